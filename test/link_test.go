package test

import (
	"net"
	"sync"
	"testing"
	"time"
)

// link is a piece of network between two processes that can be cut.
type link struct {
	address string
	to      string

	mu sync.Mutex
	// All below is guarded by mu.
	conns  map[*linkConn]bool
	closed bool
	// down: new connections are refused an answer too.
	down bool
}

// linkConn is one connection through the link.
type linkConn struct {
	a, b net.Conn
	// quiet directions: bytes are swallowed, the connection stays open.
	mu       sync.Mutex
	quietToB bool
	quietToA bool
}

// newLink returns a link that passes connections on to address to.
func newLink(t *testing.T, to string) *link {
	t.Helper()
	l := &link{address: freeAddress(t), to: to, conns: make(map[*linkConn]bool)}
	ln, err := net.Listen("tcp", l.address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		ln.Close()
		l.closeAll()
	})
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go l.pass(c)
		}
	}()
	return l
}

func (l *link) pass(a net.Conn) {
	l.mu.Lock()
	down := l.down
	l.mu.Unlock()
	c := &linkConn{a: a, quietToA: down, quietToB: down}
	b, err := net.DialTimeout("tcp", l.to, time.Second)
	if err != nil {
		a.Close()
		return
	}
	c.b = b
	l.mu.Lock()
	if l.closed {
		l.mu.Unlock()
		a.Close()
		b.Close()
		return
	}
	l.conns[c] = true
	l.mu.Unlock()
	var wg sync.WaitGroup
	wg.Add(2)
	go func() { defer wg.Done(); c.copy(c.a, c.b, &c.quietToB) }()
	go func() { defer wg.Done(); c.copy(c.b, c.a, &c.quietToA) }()
	wg.Wait()
	l.mu.Lock()
	delete(l.conns, c)
	l.mu.Unlock()
}

func (c *linkConn) copy(from, to net.Conn, quiet *bool) {
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		c.mu.Lock()
		silent := *quiet
		c.mu.Unlock()
		if n > 0 && !silent {
			if _, werr := to.Write(buf[:n]); werr != nil {
				err = werr
			}
		}
		if err != nil {
			c.mu.Lock()
			silent = *quiet
			c.mu.Unlock()
			if !silent {
				// A silent connection doesn't pass on a close either.
				to.Close()
			}
			from.Close()
			return
		}
	}
}

// silence makes the present connections silent for good; new ones work.
func (l *link) silence() { l.quiet(true, true) }

// cutToServer swallows what goes to the server on present and new connections
// until heal; answers still pass.
func (l *link) quiet(toB, toA bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		c.mu.Lock()
		c.quietToB = toB
		c.quietToA = toA
		c.mu.Unlock()
	}
}

// cut swallows everything, on new connections too, until heal.
func (l *link) cut() {
	l.mu.Lock()
	l.down = true
	l.mu.Unlock()
	l.silence()
}

// heal lets new connections work again. Old ones stay silent.
func (l *link) heal() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.down = false
}

func (l *link) closeAll() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	for c := range l.conns {
		c.a.Close()
		c.b.Close()
	}
}
