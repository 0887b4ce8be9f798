package response

import (
	"errors"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// Conn is a connection whose reads fail where its server sends something else than responses. It is
// for clients that leave the reading to an HTTP library, which must write a whole request before it
// reads.
type Conn struct {
	net.Conn
	r *Reader
	// awaiting: the head of a response is due. Reads and writes don't overlap.
	awaiting bool
	err      error
}

// NewConn returns c with checked reads.
func NewConn(c net.Conn) *Conn { return &Conn{Conn: c, r: NewReader(c)} }

// Write implements net.Conn. A response is due after it.
func (c *Conn) Write(b []byte) (int, error) {
	c.awaiting = true
	return c.Conn.Write(b)
}

// Read implements net.Conn. Interim responses aren't returned.
func (c *Conn) Read(b []byte) (int, error) {
	for c.awaiting && c.err == nil {
		c.awaiting, c.err = c.r.NextHead()
	}
	if c.err != nil {
		return 0, c.err
	}
	return c.r.Read(b)
}

// Cause returns the error that ended the reading of a head, which libraries replace, or else err.
func (c *Conn) Cause(err error) error {
	if c.err != nil {
		return c.err
	}
	return err
}

// IsSilent reports whether the other end has neither closed a connection nor sent bytes that are
// still unread.
func IsSilent(c net.Conn) bool {
	_, err := peek(c)
	return errors.Is(err, unix.EAGAIN)
}

// HasUnread reports whether the other end has sent bytes that are still unread.
func HasUnread(c net.Conn) bool {
	n, err := peek(c)
	return err == nil && n > 0
}

// peek looks for the next byte of a connection without waiting. Its error is EAGAIN if there is none,
// and n is 0 at the end of the connection.
func peek(c net.Conn) (n int, err error) {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return 0, errors.ErrUnsupported
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return 0, err
	}
	var failed error
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, failed = unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	})
	return n, errors.Join(err, failed)
}
