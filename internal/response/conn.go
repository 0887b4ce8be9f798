package response

import "net"

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
