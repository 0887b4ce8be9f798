// Package crowd plays callers that stay within no limits, for tests with real processes: it opens
// many connections that each send the same kind of odd request, and measures what they cost the
// process that they reach.
package crowd

import (
	"context"
	"io"
	"net"
	"sync"
	"time"
)

const (
	dialTimeout = time.Second
	// redialPause is how long a caller whose connection has ended waits for the next one.
	redialPause = 20 * time.Millisecond
	// answerTimeout bounds the wait for an answer.
	answerTimeout = 5 * time.Second
)

// Caller is one connection of a crowd.
type Caller struct {
	net.Conn
	// N is the number of the caller, Try that of its connection, both from 0 on.
	N, Try int
	// Done ends with the crowd's time.
	Done context.Context
}

// Kind is what each caller of a crowd does with a new connection. The connection stays open until
// the end of the crowd unless Kind returns an error.
type Kind func(*Caller) error

// Crowd is a number of callers at one address.
type Crowd struct {
	cancel context.CancelFunc
	wg     sync.WaitGroup

	mu sync.Mutex
	// conns is guarded by mu.
	conns map[net.Conn]bool
}

// Start connects n callers to address. Those whose connections end come again.
func Start(address string, n int, kind Kind) *Crowd {
	ctx, cancel := context.WithCancel(context.Background())
	c := &Crowd{cancel: cancel, conns: map[net.Conn]bool{}}
	for i := range n {
		c.wg.Go(func() {
			for try := 0; ctx.Err() == nil; try++ {
				c.call(ctx, address, kind, i, try)
				sleep(ctx, redialPause)
			}
		})
	}
	return c
}

// End closes all connections and waits for the callers.
func (c *Crowd) End() {
	c.cancel()
	c.mu.Lock()
	for conn := range c.conns {
		_ = conn.Close()
	}
	c.mu.Unlock()
	c.wg.Wait()
}

func (c *Crowd) call(ctx context.Context, address string, kind Kind, n, try int) {
	conn, err := net.DialTimeout("tcp", address, dialTimeout)
	if err != nil {
		return
	}
	c.mu.Lock()
	c.conns[conn] = true
	c.mu.Unlock()
	defer func() {
		c.mu.Lock()
		delete(c.conns, conn)
		c.mu.Unlock()
		_ = conn.Close()
	}()
	if ctx.Err() != nil || kind(&Caller{Conn: conn, N: n, Try: try, Done: ctx}) != nil {
		return
	}
	// The other side, or End, ends the connection.
	_ = conn.SetReadDeadline(time.Time{})
	_, _ = io.Copy(io.Discard, conn)
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
