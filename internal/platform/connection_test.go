package platform

import (
	"net"
	"strconv"
	"testing"
	"time"

	"golang.org/x/sys/unix"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"jayford.example/jayford/internal/standin/broken"
)

// listenFull returns the address of a listener on loopback whose backlog is full, so that the
// kernel answers no further connection.
func listenFull(t *testing.T) string {
	t.Helper()
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = unix.Close(fd) })
	assert.NilError(t, unix.Bind(fd, &unix.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}))
	assert.NilError(t, unix.Listen(fd, 0))
	bound, err := unix.Getsockname(fd)
	assert.NilError(t, err)
	address := net.JoinHostPort("127.0.0.1", strconv.Itoa(bound.(*unix.SockaddrInet4).Port))
	for {
		c, err := net.DialTimeout("tcp", address, 500*time.Millisecond)
		if err != nil {
			return address
		}
		t.Cleanup(func() { _ = c.Close() })
	}
}

// Guards against calls that wait for a connection beyond their timeout, or whose writes count as
// possibly done though nothing was sent.
func TestUnansweredConnectionEndsWithItsCall(t *testing.T) {
	h := NewHTTP(listenFull(t), 100*time.Millisecond)
	began := time.Now()
	_, err := h.Put(t.Context(), Object{Kind: "k", Name: "n"})
	assert.ErrorIs(t, err, ErrUnavailable)
	assert.Assert(t, time.Since(began) < dialTimeout, "%v", time.Since(began))
}

// Guards against an outage in which a call with a long timeout, as that of a watch, waits for its
// connection all that time.
func TestUnansweredConnectionEndsBeforeALongCall(t *testing.T) {
	h := NewHTTP(listenFull(t), time.Minute)
	began := time.Now()
	_, err := h.Watch(t.Context(), "k", 1)
	assert.ErrorIs(t, err, ErrUnavailable)
	assert.Assert(t, time.Since(began) < 10*dialTimeout, "%v", time.Since(began))
}

// Guards against connections that stay open after their calls, whether those succeeded or not, and
// use up the descriptors of the client or the platform.
func TestConnectionEndsWithItsCall(t *testing.T) {
	for _, status := range []string{"200 OK", "409 Conflict", "503 Service Unavailable", "999 Odd"} {
		s := broken.Serve(t, "HTTP/1.1 "+status+"\r\nContent-Length: 2\r\n\r\n{}")
		h := NewHTTP(s.Address(), time.Second)
		for range 8 {
			_, _ = h.Put(t.Context(), Object{Kind: "k", Name: "n"})
		}
		poll.WaitOn(t, s.IsClosed, poll.WithTimeout(time.Second), poll.WithDelay(time.Millisecond))
		assert.Equal(t, s.Requests.Load(), int32(8), status)
	}
}
