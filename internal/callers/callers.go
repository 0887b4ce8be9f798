// Package callers handles callers' TCP connections: reading requests within an account of memory,
// write timeouts, closing without losing the response, and detection of callers that disconnect.
//
// It guarantees:
//   - A connection has no buffer and no parsed request while it is idle.
//   - The HTTP library gets a head only when it has arrived, and its bytes as the caller sent them.
//   - A body that is cut off is never taken for a whole one.
//   - What a request takes is charged before it is allocated (package memory).
package callers

import (
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"golang.org/x/sys/unix"

	"jayford.example/jayford/internal/accept"
)

const (
	keepAliveIdle     = 5 * time.Second
	keepAliveInterval = 2 * time.Second
	keepAliveCount    = 3
	// lingerTimeout and maxLingerBytes limit what is read and discarded from a
	// caller whose request was refused before it was fully sent.
	lingerTimeout  = 2 * time.Second
	maxLingerBytes = 64 << 20
	// maxLingering limits the number of concurrently lingering connections.
	maxLingering = 64
	// receiveBuffer is the size of the kernel's buffer for what a caller has sent and nobody has
	// read, in bytes; the kernel doubles it for its own use. By default it grows to megabytes.
	receiveBuffer = 64 << 10
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

// LimitReceiveBuffer bounds the kernel's buffers of connections that are accepted from now on.
func (l *Listener) LimitReceiveBuffer() error {
	raw, err := l.SyscallConn()
	if err != nil {
		return err
	}
	var failed error
	err = raw.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, receiveBuffer)
	})
	return errors.Join(err, failed)
}

var refusedConnections = metrics.NewCounter("jayford_callers_refused_connections_total")

var lingering atomic.Int64

// Close closes the connection. If Linger is set, it first closes the write side and
// discards the rest of the request, within limits. Otherwise the kernel would send
// a reset because of the unread bytes, and the caller could lose the response that
// it hasn't read yet.
//
// A connection of a Server that is idle stays open and waits for its next request.
func (c *Conn) Close() error {
	if c.parked.CompareAndSwap(true, false) {
		go c.server.await(c)
		return nil
	}
	if claim := c.claim.Load(); claim != nil {
		claim.Close()
	}
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
