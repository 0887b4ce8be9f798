package callers

import (
	"errors"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a gateway that accepts connections until it has no descriptors for servers: those
// beyond the bound are closed unread, and places come free again.
func TestConnectionsBeyondTheBoundAreClosedUnread(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	tcp, ok := l.(*net.TCPListener)
	assert.Assert(t, ok)
	listener := &Listener{TCPListener: tcp, MaxOpen: 2}
	defer listener.Close()
	accepted := make(chan *Conn, 10)
	go func() {
		for {
			c, err := listener.AcceptConn()
			if err != nil {
				return
			}
			accepted <- c
		}
	}()
	dial := func() net.Conn {
		c, err := net.DialTimeout("tcp", l.Addr().String(), time.Second)
		assert.NilError(t, err)
		t.Cleanup(func() { _ = c.Close() })
		return c
	}
	isClosed := func(c net.Conn) bool {
		assert.NilError(t, c.SetReadDeadline(time.Now().Add(200*time.Millisecond)))
		var b [1]byte
		_, err := c.Read(b[:])
		var ne net.Error
		return err != nil && (!errors.As(err, &ne) || !ne.Timeout())
	}
	for range 2 {
		assert.Assert(t, !isClosed(dial()))
	}
	assert.Assert(t, isClosed(dial()))
	first := <-accepted
	assert.NilError(t, first.Close())
	_ = first.Close()
	assert.Assert(t, !isClosed(dial()))
	assert.Assert(t, isClosed(dial()))
}
