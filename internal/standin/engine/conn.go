package engine

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// writeTimeout bounds one write to a client that reads nothing.
const writeTimeout = 10 * time.Second

// conns is a listener that can cut its connections or make them silent.
type conns struct {
	net.Listener

	mu sync.Mutex
	// open is guarded by mu; nil once cut.
	open map[*conn]struct{}
}

func newConns(ln net.Listener) *conns {
	return &conns{Listener: ln, open: make(map[*conn]struct{})}
}

// Accept implements net.Listener.
func (s *conns) Accept() (net.Conn, error) {
	raw, err := s.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &conn{Conn: raw, set: s, cut: make(chan struct{})}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.open == nil {
		_ = raw.Close()
		return nil, net.ErrClosed
	}
	s.open[c] = struct{}{}
	return c, nil
}

// cut closes the listener and all connections at once.
func (s *conns) cut() {
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

// silence makes the present connections silent, but for except; new ones work.
func (s *conns) silence(except net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.open {
		if net.Conn(c) != except {
			c.silent.Store(true)
		}
	}
}

func (s *conns) remove(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.open, c)
}

// conn acts, once silent, as if something between the two ends had lost track
// of it: bytes vanish and neither end learns of the other's close.
type conn struct {
	net.Conn
	set    *conns
	silent atomic.Bool
	cut    chan struct{}
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if c.silent.Load() {
		<-c.cut
		return 0, net.ErrClosed
	}
	return n, err
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	if c.silent.Load() {
		return len(p), nil
	}
	if err := c.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return 0, err
	}
	return c.Conn.Write(p)
}

// Close implements net.Conn. The socket of a silent connection stays open until
// the engine dies, else the client would see a close.
func (c *conn) Close() error {
	if c.silent.Load() {
		return nil
	}
	c.set.remove(c)
	return c.Conn.Close()
}
