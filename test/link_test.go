package test

import (
	"net"
	"sync"
	"testing"
	"time"
)

// link is a TCP proxy between two processes whose traffic can be dropped.
type link struct {
	address string
	to      string

	mu sync.Mutex
	// All below is guarded by mu.
	conns  map[*linkConn]bool
	closed bool
	// dropToB and dropToA drop bytes to the server and to the client on new
	// connections too.
	dropToB, dropToA bool
	// delay delays requests on new connections.
	delay bool
	// isCut reports whether the traffic of a source is dropped; nil if none is.
	isCut func(source string) bool
}

// linkConn is one connection through the link.
type linkConn struct {
	a, b net.Conn
	// delayed delays requests; nil if they pass.
	delayed *delayedRequest
	// Guards all below. In a silent direction bytes are dropped while the connection
	// stays open.
	mu        sync.Mutex
	silentToB bool
	silentToA bool
	// source is the instance id of the process at a, once it has been identified.
	source string
}

// newLink returns a link that forwards connections to the address to.
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
			go l.forward(c)
		}
	}()
	return l
}

func (l *link) forward(a net.Conn) {
	b, err := net.DialTimeout("tcp", l.to, time.Second)
	if err != nil {
		a.Close()
		return
	}
	l.mu.Lock()
	// Under the lock, so that no cut can happen between this and the insertion into
	// conns.
	c := &linkConn{a: a, b: b, silentToA: l.dropToA, silentToB: l.dropToB}
	if l.delay {
		c.delayed = newDelayedRequest()
	}
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
	go func() { defer wg.Done(); c.copy(c.a, c.b, &c.silentToB, l.identify) }()
	go func() { defer wg.Done(); c.copy(c.b, c.a, &c.silentToA, nil) }()
	wg.Wait()
	l.mu.Lock()
	delete(l.conns, c)
	l.mu.Unlock()
}

func (c *linkConn) copy(from, to net.Conn, drop *bool, inspect func(c *linkConn, b []byte)) {
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		if inspect != nil {
			inspect(c, buf[:n])
		}
		c.mu.Lock()
		silent := *drop
		c.mu.Unlock()
		if n > 0 && !silent {
			if werr := c.write(to, buf[:n]); werr != nil {
				err = werr
			}
		}
		if err != nil {
			c.mu.Lock()
			silent = *drop
			c.mu.Unlock()
			if !silent {
				// A silent connection doesn't forward a close either.
				to.Close()
			}
			from.Close()
			return
		}
	}
}

func (c *linkConn) write(to net.Conn, b []byte) error {
	if to == c.b && c.delayed != nil {
		return c.delayed.write(to, b)
	}
	_, err := to.Write(b)
	return err
}

// silence drops all traffic on the existing connections permanently; new ones work.
func (l *link) silence() { l.silenceDirections(true, true) }

// silenceDirections drops traffic to the server, to the client or both on the existing
// connections permanently.
func (l *link) silenceDirections(toB, toA bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		c.mu.Lock()
		c.silentToB = toB
		c.silentToA = toA
		c.mu.Unlock()
	}
}

// cut drops all traffic, on new connections too, until heal.
func (l *link) cut() { l.cutOneWay(true, true) }

// cutOneWay drops traffic to the server, to the client or both, on new connections
// too, until heal.
func (l *link) cutOneWay(toB, toA bool) {
	l.mu.Lock()
	l.dropToB, l.dropToA = toB, toA
	l.mu.Unlock()
	l.silenceDirections(toB, toA)
}

// heal lets new connections work again. Existing ones stay silent.
func (l *link) heal() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.dropToB, l.dropToA = false, false
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
