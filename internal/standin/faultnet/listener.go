// Package faultnet provides the stand-ins with a fault-injecting listener, whose
// connections can be closed, reset, delayed, or blackholed in one or both directions,
// and with helpers for a simulated restart.
package faultnet

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// writeTimeout bounds a write to a client that doesn't read.
const writeTimeout = 10 * time.Second

// Listener is a listener that injects faults into its connections. A silent
// connection is blackholed: it drops all data, and neither end sees the other's
// close.
type Listener struct {
	net.Listener
	// delay is added to each read, in nanoseconds.
	delay atomic.Int64

	mu sync.Mutex
	// open is guarded by mu; nil after Cut.
	open map[*conn]struct{}
	// partitioned makes new connections silent. It is guarded by mu.
	partitioned bool
	// repeat is the function of Repeat; nil for none. It is guarded by mu.
	repeat func(answers [][]byte) [][]byte
}

// New wraps ln.
func New(ln net.Listener) *Listener {
	return &Listener{Listener: ln, open: make(map[*conn]struct{})}
}

// Accept implements net.Listener.
func (s *Listener) Accept() (net.Conn, error) {
	raw, err := s.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &conn{Conn: raw, listener: s, cut: make(chan struct{})}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.open == nil {
		_ = raw.Close()
		return nil, net.ErrClosed
	}
	s.open[c] = struct{}{}
	c.silent.Store(s.partitioned)
	return c, nil
}

// Cut closes the listener and all open connections.
func (s *Listener) Cut() {
	_ = s.Close()
	s.mu.Lock()
	open := s.open
	s.open = nil
	s.mu.Unlock()
	for c := range open {
		close(c.cut)
		_ = c.Conn.Close()
	}
}

// Reset closes the open connections with a TCP reset; new ones work.
func (s *Listener) Reset() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.open {
		c.reset()
	}
}

// Reset closes one connection that a Listener accepted with a TCP reset.
func Reset(accepted net.Conn) {
	if c, ok := accepted.(*conn); ok {
		c.reset()
	}
}

func (c *conn) reset() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Conn.Close()
}

// Delay delays each read from any connection by d.
func (s *Listener) Delay(d time.Duration) { s.delay.Store(int64(d)) }

// DropReplies makes the open connections silent in one direction: what clients send arrives,
// but replies are dropped. New connections work.
func (s *Listener) DropReplies() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.open {
		c.dropsReplies.Store(true)
	}
}

// Silence makes the open connections silent, apart from except; new ones work.
func (s *Listener) Silence(except net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.open {
		if net.Conn(c) != except {
			c.silent.Store(true)
		}
	}
}

// Partition makes all open connections silent, and new ones too until Heal. A silent
// connection stays silent after Heal.
func (s *Listener) Partition() {
	s.mu.Lock()
	s.partitioned = true
	s.mu.Unlock()
	s.Silence(nil)
}

// Heal ends a partition for new connections.
func (s *Listener) Heal() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.partitioned = false
}

func (s *Listener) remove(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.open, c)
}

// conn is an accepted connection. A silent one behaves as if a middlebox had dropped
// its connection state: all data is lost and neither end sees the other's close.
type conn struct {
	net.Conn
	listener     *Listener
	silent       atomic.Bool
	dropsReplies atomic.Bool
	cut          chan struct{}
	answers      answers
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.repeatAnswers()
	}
	if c.silent.Load() {
		<-c.cut
		return 0, net.ErrClosed
	}
	time.Sleep(time.Duration(c.listener.delay.Load()))
	return n, err
}

func (c *conn) dropsWrites() bool { return c.silent.Load() || c.dropsReplies.Load() }

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	if c.dropsWrites() {
		return len(p), nil
	}
	if err := c.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return 0, err
	}
	c.answers.record(p)
	return c.Conn.Write(p)
}

// Close implements net.Conn. The socket of a connection that is silent or drops
// replies stays open until Cut, as the client would otherwise see the close.
func (c *conn) Close() error {
	if c.dropsWrites() {
		return nil
	}
	c.listener.remove(c)
	return c.Conn.Close()
}
