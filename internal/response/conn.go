package response

import (
	"errors"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// ErrNotIdle is the error of a write of a further request over a connection that its server has
// closed, or on which it has sent bytes behind its last response. Nothing was sent.
var ErrNotIdle = errors.New("the connection isn't idle")

// Conn is a connection whose reads fail where its server sends something else than responses. It is
// for clients that leave the reading to an HTTP library, which must write a whole request before it
// reads.
type Conn struct {
	net.Conn
	r *Reader
	// awaiting: the head of a response is due. Reads and writes don't overlap.
	awaiting bool
	// used: a response has come.
	used bool
	err  error
}

// NewConn returns c with checked reads.
func NewConn(c net.Conn) *Conn { return &Conn{Conn: c, r: NewReader(c)} }

// Write implements net.Conn. A response is due after it; bytes that are there before belong to no
// request, and would be taken for that response.
func (c *Conn) Write(b []byte) (int, error) {
	if c.used && !c.awaiting && (c.r.Buffered() > 0 || !IsSilent(c.Conn)) {
		return 0, ErrNotIdle
	}
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
	c.used = true
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
	sc, ok := c.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	silent := false
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		_, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		silent = errors.Is(err, unix.EAGAIN)
	})
	return err == nil && silent
}
