package callers

import (
	"errors"
	"io"
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"jayford.example/jayford/internal/memory"
)

// Conn is a caller's connection. Each Write gets the listener's timeout. If it belongs to a Server,
// the HTTP library has it only during a request: Read returns a head that has arrived completely,
// then the body, and fails between two requests.
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

	// server is nil for a connection that the HTTP library reads itself.
	server *Server
	raw    syscall.RawConn
	// parked: the next Close gives the connection back to its server.
	parked atomic.Bool
	// evicted: the current request has to end, as others need its memory.
	evicted atomic.Bool
	// claim is the last claim of incoming; nil if there was none.
	claim atomic.Pointer[memory.Claim]
	// incoming belongs to the goroutine that reads the connection.
	incoming incoming
}

var errParked = errors.New("callers: the connection is idle")

// expired is a deadline that has passed.
var expired = time.Unix(1, 0)

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	switch {
	case c.server == nil:
		return c.TCPConn.Read(p)
	case c.Idle.Load():
		c.parked.Store(true)
		return 0, errParked
	}
	return c.incoming.read(c, p)
}

// receive reads from the socket.
func (c *Conn) receive(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	if c.evicted.Load() {
		return 0, memory.ErrEvicted
	}
	return n, err
}

// SetReadDeadline implements net.Conn. Between two requests the configured idle timeout applies.
func (c *Conn) SetReadDeadline(t time.Time) error {
	if c.Idle.Load() {
		if d := c.configuredIdleTimeout(); d > 0 {
			t = time.Now().Add(d)
		}
	}
	err := c.TCPConn.SetReadDeadline(t)
	if c.evicted.Load() {
		return c.TCPConn.SetReadDeadline(expired)
	}
	return err
}

func (c *Conn) configuredIdleTimeout() time.Duration {
	if c.idleTimeout == nil {
		return 0
	}
	return c.idleTimeout()
}

// Write implements io.Writer.
func (c *Conn) Write(b []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(c.writeTimeout)); err != nil {
		return 0, err
	}
	return c.TCPConn.Write(b)
}

// evict ends the current request while it arrives.
func (c *Conn) evict() {
	c.evicted.Store(true)
	_ = c.TCPConn.SetReadDeadline(expired)
	evictions.Inc()
}

// readFirst waits for the first bytes of a request. It takes a buffer only once there are some.
func (c *Conn) readFirst(h *head) error {
	var n int
	var failed error
	err := c.raw.Read(func(fd uintptr) bool {
		h.begin()
		for {
			n, failed = unix.Read(int(fd), h.buf)
			if !errors.Is(failed, unix.EINTR) {
				break
			}
		}
		if errors.Is(failed, unix.EAGAIN) {
			h.release()
			return false
		}
		return true
	})
	switch {
	case err != nil:
		return err
	case failed != nil:
		h.release()
		return failed
	case n <= 0:
		h.release()
		return io.EOF
	}
	h.n = n
	return nil
}
