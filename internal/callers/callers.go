// Package callers handles callers' TCP connections: write timeouts, closing without
// losing the response, and detection of callers that disconnect.
package callers

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"golang.org/x/sys/unix"

	"jayford.example/jayford/internal/accept"
)

const (
	keepAliveIdle     = 5 * time.Second
	keepAliveInterval = 2 * time.Second
	keepAliveCount    = 3
	// pipelinedPollInterval is how often a connection with unread bytes is polled.
	// While there are such bytes, a peek can't detect that the caller closed it.
	pipelinedPollInterval = 100 * time.Millisecond
	// lingerTimeout and maxLingerBytes limit what is read and discarded from a
	// caller whose request was refused before it was fully sent.
	lingerTimeout  = 2 * time.Second
	maxLingerBytes = 64 << 20
	// maxLingering limits the number of concurrently lingering connections.
	maxLingering = 64
)

// Listener accepts callers' connections. It sets a timeout for each write and
// enables TCP keep-alive, so that unreachable callers are detected.
type Listener struct {
	*net.TCPListener
	// WriteTimeout bounds one write.
	WriteTimeout time.Duration
	// IdleTimeout returns the idle timeout between two requests on a connection, 0 for
	// that of the HTTP library. The value may change while connections are open.
	// A nil IdleTimeout is the same as one that returns 0.
	IdleTimeout func() time.Duration
	// MaxOpen bounds the open connections, 0 for no bound. Those beyond it are closed unread, so
	// that their callers can try elsewhere.
	MaxOpen int64
	// Retrier makes Accept go on after errors that pass.
	accept.Retrier
	// open counts the accepted connections that aren't closed.
	open atomic.Int64

	drainMu sync.Mutex
	// The fields below are guarded by drainMu.
	drained bool
	// accepted has the connections that Drain accepted and Accept hasn't returned
	// yet.
	accepted []*net.TCPConn
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) { return l.AcceptConn() }

// AcceptConn is Accept with a concrete result type.
func (l *Listener) AcceptConn() (*Conn, error) {
	c, err := l.acceptWithin()
	if err != nil {
		return nil, err
	}
	// An unreachable caller doesn't close its connection. Without keep-alive
	// probes its request would use engine memory until the deadline.
	_ = c.SetKeepAliveConfig(net.KeepAliveConfig{
		Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount,
	})
	return &Conn{TCPConn: c, writeTimeout: l.WriteTimeout, idleTimeout: l.IdleTimeout, release: sync.OnceFunc(func() { l.open.Add(-1) })}, nil
}

// acceptWithin accepts the next connection within MaxOpen.
func (l *Listener) acceptWithin() (*net.TCPConn, error) {
	for {
		c, err := l.AcceptTCP()
		if l.Retry(err) {
			continue
		}
		if err != nil {
			c, err = l.nextAccepted(err)
		}
		if err != nil {
			return nil, err
		}
		if n := l.open.Add(1); l.MaxOpen == 0 || n <= l.MaxOpen {
			return c, nil
		}
		l.open.Add(-1)
		refusedConnections.Inc()
		_ = c.Close()
	}
}

var refusedConnections = metrics.NewCounter("jayford_callers_refused_connections_total")

// Conn is a caller's connection. Each write has its own deadline: one deadline for
// the whole response would cut off long streams, and without any a caller that
// doesn't read could block its request forever.
type Conn struct {
	*net.TCPConn
	writeTimeout time.Duration
	idleTimeout  func() time.Duration
	// Idle: the connection is idle between two requests.
	Idle atomic.Bool
	// Linger: the request was refused before the caller had sent all of it.
	Linger atomic.Bool
	// OnClose, if not nil, is called by each Close.
	OnClose func()
	// release gives the connection's place at its listener back.
	release func()
}

// lingering is the number of lingering connections.
var lingering atomic.Int64

// Close closes the connection. If Linger is set, it first closes the write side and
// discards the rest of the request, within limits. Otherwise the kernel would send
// a reset because of the unread bytes, and the caller could lose the response that
// it hasn't read yet.
func (c *Conn) Close() error {
	if c.release != nil {
		c.release()
	}
	if c.OnClose != nil {
		c.OnClose()
	}
	if !c.Linger.Load() {
		return c.TCPConn.Close()
	}
	if lingering.Add(1) > maxLingering {
		lingering.Add(-1)
		return c.TCPConn.Close()
	}
	go func() {
		defer lingering.Add(-1)
		defer func() { _ = c.TCPConn.Close() }()
		if c.CloseWrite() != nil || c.SetReadDeadline(time.Now().Add(lingerTimeout)) != nil {
			return
		}
		_, _ = io.CopyN(io.Discard, c.TCPConn, maxLingerBytes)
	}()
	return nil
}

// SetReadDeadline sets the read deadline. On an idle connection the listener's IdleTimeout
// replaces the HTTP library's idle timeout, which can't be changed once the server
// runs.
func (c *Conn) SetReadDeadline(t time.Time) error {
	if c.idleTimeout != nil && c.Idle.Load() {
		if d := c.idleTimeout(); d > 0 {
			t = time.Now().Add(d)
		}
	}
	return c.TCPConn.SetReadDeadline(t)
}

// Write writes b with the write timeout.
func (c *Conn) Write(b []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(c.writeTimeout)); err != nil {
		return 0, err
	}
	return c.TCPConn.Write(b)
}

// Watch returns a context that ends when the caller closes its connection.
//
// The HTTP library doesn't notify handlers of closed connections, so a request
// would keep its queue position, slot and engine memory after its caller has
// disconnected. The watching goroutine is parked in the network poller and peeks
// at the socket when it becomes readable, so an idle watch uses no CPU time. stop
// ends the watch and must be called before the connection is read again.
func Watch(parent context.Context, c net.Conn) (ctx context.Context, stop func()) {
	ctx, cancel := context.WithCancelCause(parent)
	cc, ok := c.(*Conn)
	if !ok {
		return ctx, func() { cancel(nil) }
	}
	raw, err := cc.SyscallConn()
	if err != nil {
		return ctx, func() { cancel(nil) }
	}
	_ = cc.SetReadDeadline(time.Time{})
	quit := make(chan struct{})
	var wg sync.WaitGroup
	wg.Add(1)
	go func() {
		defer wg.Done()
		if waitClosed(raw, quit) {
			cancel(ErrDisconnected)
		}
	}()
	var once sync.Once
	return ctx, func() {
		once.Do(func() {
			close(quit)
			// A deadline in the past unblocks the peek.
			_ = cc.SetReadDeadline(time.Unix(1, 0))
			wg.Wait()
			_ = cc.SetReadDeadline(time.Time{})
			cancel(nil)
		})
	}
}

// ErrDisconnected is the cause of a context that ended because the caller closed its
// connection.
var ErrDisconnected = errors.New("callers: connection closed by caller")

// waitClosed returns true when the caller closes its connection, and false when
// quit is closed.
func waitClosed(raw syscall.RawConn, quit <-chan struct{}) bool {
	for {
		state := peek(raw)
		switch state {
		case peekClosed:
			return true
		case peekData:
			if pollClosed(raw, quit) {
				return true
			}
			return false
		case peekInterrupted:
		}
		select {
		case <-quit:
			return false
		case <-time.After(time.Millisecond):
		}
	}
}

type peekResult int

const (
	peekInterrupted peekResult = iota
	peekClosed
	peekData
)

// peek waits until the socket is readable and returns the reason.
func peek(raw syscall.RawConn) peekResult {
	result := peekInterrupted
	var buf [1]byte
	err := raw.Read(func(fd uintptr) bool {
		n, _, err := unix.Recvfrom(int(fd), buf[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		switch {
		case errors.Is(err, unix.EAGAIN) || errors.Is(err, unix.EINTR):
			return false
		case err != nil || n == 0:
			result = peekClosed
		default:
			result = peekData
		}
		return true
	})
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		return peekClosed
	}
	return result
}

// pollClosed polls whether the caller has closed its side of a connection that has
// unread bytes, such as a pipelined request.
func pollClosed(raw syscall.RawConn, quit <-chan struct{}) bool {
	tick := time.NewTicker(pipelinedPollInterval)
	defer tick.Stop()
	for {
		select {
		case <-quit:
			return false
		case <-tick.C:
		}
		closed := false
		err := raw.Control(func(fd uintptr) {
			fds := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
			n, err := unix.Poll(fds, 0)
			closed = err == nil && n > 0
		})
		if closed || err != nil {
			return true
		}
	}
}
