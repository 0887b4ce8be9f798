// Package callers holds the connections of callers: bounded writes, closes that
// lose no answer, and a watch that tells when a caller has left.
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

	"golang.org/x/sys/unix"
)

const (
	keepAliveIdle     = 5 * time.Second
	keepAliveInterval = 2 * time.Second
	keepAliveCount    = 3
	// pipelinedPoll is how often a caller that has sent more bytes already is
	// looked at; its close can't be seen by a read then.
	pipelinedPoll = 100 * time.Millisecond
	// lingerTime and lingerBytes bound what is still read from a caller that
	// was refused in the middle of its request.
	lingerTime  = 2 * time.Second
	lingerBytes = 64 << 20
	// lingerAtMost bounds the connections that linger at once.
	lingerAtMost = 64
)

// Listener bounds each write to a caller and the time until a vanished caller
// is found by the kernel.
type Listener struct {
	*net.TCPListener
	// WriteTimeout bounds one write.
	WriteTimeout time.Duration
	// Rest returns how long a connection may rest between two requests, 0 for
	// as long as the HTTP library says. It may change while connections are
	// open; nil is a Rest of 0.
	Rest func() time.Duration

	drainMu sync.Mutex
	// All below is guarded by drainMu.
	drained bool
	// late has the connections that Drain took and Accept hasn't returned.
	late []*net.TCPConn
}

// Accept returns the next caller's connection.
func (l *Listener) Accept() (net.Conn, error) { return l.AcceptConn() }

// AcceptConn is Accept with the connection's own type.
func (l *Listener) AcceptConn() (*Conn, error) {
	c, err := l.AcceptTCP()
	if err != nil {
		c, err = l.acceptLate(err)
	}
	if err != nil {
		return nil, err
	}
	// A caller behind a dead link sends no close. Without keep-alive probes
	// its request would hold engine memory until the deadline.
	_ = c.SetKeepAliveConfig(net.KeepAliveConfig{
		Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount,
	})
	return &Conn{TCPConn: c, writeTimeout: l.WriteTimeout, rest: l.Rest}, nil
}

// Conn is a caller's connection. Each write has its own deadline: one
// deadline for a whole answer would cut long streams, none would let a caller
// that doesn't read hold a request for ever.
type Conn struct {
	*net.TCPConn
	writeTimeout time.Duration
	rest         func() time.Duration
	// Resting: the last request was answered, the next hasn't begun.
	Resting atomic.Bool
	// Linger: the caller was refused while it still sends.
	Linger atomic.Bool
	// Release is called with each close; nil for nothing.
	Release func()
}

// lingering counts the connections that linger.
var lingering atomic.Int64

// Close closes the connection. A caller that was refused while it still sends
// its body would get a reset instead of the refusal: the kernel answers unread
// bytes with one, and that drops what the caller has not read yet. So the write
// side is closed first and the rest is read, within bounds.
func (c *Conn) Close() error {
	if c.Release != nil {
		c.Release()
	}
	if !c.Linger.Load() {
		return c.TCPConn.Close()
	}
	if lingering.Add(1) > lingerAtMost {
		lingering.Add(-1)
		return c.TCPConn.Close()
	}
	go func() {
		defer lingering.Add(-1)
		defer func() { _ = c.TCPConn.Close() }()
		if c.CloseWrite() != nil || c.SetReadDeadline(time.Now().Add(lingerTime)) != nil {
			return
		}
		_, _ = io.CopyN(io.Discard, c.TCPConn, lingerBytes)
	}()
	return nil
}

// SetReadDeadline bounds the reads to come. The HTTP library has one time of rest
// for good; a configuration may allow callers another.
func (c *Conn) SetReadDeadline(t time.Time) error {
	if c.rest != nil && c.Resting.Load() {
		if d := c.rest(); d > 0 {
			t = time.Now().Add(d)
		}
	}
	return c.TCPConn.SetReadDeadline(t)
}

// Write writes b within the write timeout.
func (c *Conn) Write(b []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(c.writeTimeout)); err != nil {
		return 0, err
	}
	return c.TCPConn.Write(b)
}

// Watch returns a context that ends when the caller closes its connection.
//
// The HTTP library tells a handler nothing of a caller that left: the request
// would keep its queue place, its slot and its engine memory. The watch parks
// in the network poller and peeks at the socket when it becomes readable, so
// that it costs nothing while nothing happens. stop ends the watch and must be
// called before the connection is read again.
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
		if waitGone(raw, quit) {
			cancel(ErrGone)
		}
	}()
	var once sync.Once
	return ctx, func() {
		once.Do(func() {
			close(quit)
			// A deadline in the past wakes the parked peek.
			_ = cc.SetReadDeadline(time.Unix(1, 0))
			wg.Wait()
			_ = cc.SetReadDeadline(time.Time{})
			cancel(nil)
		})
	}
}

// ErrGone is the cause of a context that ended with its caller's connection.
var ErrGone = errors.New("callers: caller gone")

// waitGone returns true when the caller has closed, false when quit is closed.
func waitGone(raw syscall.RawConn, quit <-chan struct{}) bool {
	for {
		state := peek(raw)
		switch state {
		case peekClosed:
			return true
		case peekData:
			if pollGone(raw, quit) {
				return true
			}
			return false
		case peekWoken:
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
	peekWoken peekResult = iota
	peekClosed
	peekData
)

// peek waits until the socket is readable and says why.
func peek(raw syscall.RawConn) peekResult {
	result := peekWoken
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

// pollGone asks the kernel now and then whether the caller closed its side
// behind bytes that are not read yet (a pipelined request).
func pollGone(raw syscall.RawConn, quit <-chan struct{}) bool {
	tick := time.NewTicker(pipelinedPoll)
	defer tick.Stop()
	for {
		select {
		case <-quit:
			return false
		case <-tick.C:
		}
		gone := false
		err := raw.Control(func(fd uintptr) {
			fds := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
			n, err := unix.Poll(fds, 0)
			gone = err == nil && n > 0
		})
		if gone || err != nil {
			return true
		}
	}
}
