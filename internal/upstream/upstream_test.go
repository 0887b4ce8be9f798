package upstream

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// serve accepts connections and calls f with each and its number, counted from 1.
func serve(t *testing.T, f func(n int, c net.Conn)) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for n := 1; ; n++ {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				f(n, c)
			}()
		}
	}()
	return l.Addr().String()
}

func newPool() *Pool {
	return NewPool(Options{DialTimeout: time.Second, AckTimeout: 3 * time.Second, IdleTimeout: time.Minute, IDHeader: "X-Id"})
}

func request(id string) *Request {
	return &Request{
		Method: http.MethodPost, URI: "/a%20b?c=d", Host: "h", Body: []byte("body"),
		Headers: []Header{{Name: "X-Id", Value: id}}, ID: id,
	}
}

// reply reads a request from r and writes a response to w. An empty id stands for
// the request's.
func reply(t *testing.T, r *bufio.Reader, w io.Writer, id, body string) bool {
	req, err := http.ReadRequest(r)
	if err != nil {
		return false
	}
	_, err = io.Copy(io.Discard, req.Body)
	assert.Check(t, err)
	assert.Check(t, req.RequestURI == "/a%20b?c=d", req.RequestURI)
	if id == "" {
		id = req.Header.Get("X-Id")
	}
	_, err = fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nX-Id: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
	return err == nil
}

func do(t *testing.T, p *Pool, addr, id string) (string, error) {
	t.Helper()
	resp, err := p.Do(t.Context(), addr, request(id))
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return string(body), err
}

// A server responds to the first request twice, the second time after it has read
// the next request on the connection. That request must get its own response.
func TestDuplicateResponseIsDropped(t *testing.T) {
	addr := serve(t, func(_ int, c net.Conn) {
		r := bufio.NewReader(c)
		if !reply(t, r, c, "", "first") {
			return
		}
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		_, _ = fmt.Fprint(c, "HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 5\r\n\r\nextra")
		_, _ = fmt.Fprint(c, "HTTP/1.1 200 OK\r\nX-Id: 2\r\nContent-Length: 6\r\n\r\nsecond")
	})
	p := newPool()
	body, err := do(t, p, addr, "1")
	assert.NilError(t, err)
	assert.Equal(t, body, "first")
	body, err = do(t, p, addr, "2")
	assert.NilError(t, err)
	assert.Equal(t, body, "second")
}

// An idle connection has unexpected bytes or was closed by the server. The next
// request must use a new one: if it failed on the old one, it would be unknown
// whether it has run.
func TestUnusableConnectionIsNotReused(t *testing.T) {
	for _, spoil := range []func(c net.Conn){
		func(c net.Conn) { _, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 0\r\n\r\n") },
		func(c net.Conn) { _ = c.Close() },
	} {
		var connections atomic.Int32
		addr := serve(t, func(n int, c net.Conn) {
			connections.Store(int32(n))
			r := bufio.NewReader(c)
			for reply(t, r, c, "", "x") {
				if n == 1 {
					time.Sleep(30 * time.Millisecond)
					spoil(c)
				}
			}
		})
		p := newPool()
		_, err := do(t, p, addr, "1")
		assert.NilError(t, err)
		time.Sleep(100 * time.Millisecond)
		_, err = do(t, p, addr, "2")
		assert.NilError(t, err)
		assert.Equal(t, connections.Load(), int32(2))
	}
}

// The connection is refused, or the server fails at various points of the
// response. Sent may be false only if no byte was sent, which proves that the
// request hasn't run.
func TestErrorReportsWhetherRequestWasSent(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	closed := l.Addr().String()
	assert.NilError(t, l.Close())
	_, err = do(t, newPool(), closed, "1")
	var e *Error
	assert.Assert(t, errors.As(err, &e))
	assert.Assert(t, !e.Sent)

	for _, answer := range []string{"", "HTTP/1.1 2", "\x16\x03\x01 no HTTP", "HTTP/1.1 200 OK\r\nno colon\r\n\r\n", "HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: -2\r\n\r\n"} {
		addr := serve(t, func(_ int, c net.Conn) {
			if req, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
				_, _ = io.Copy(io.Discard, req.Body)
			}
			_, _ = io.WriteString(c, answer)
		})
		_, err = do(t, newPool(), addr, "1")
		assert.Assert(t, errors.As(err, &e), "%q", answer)
		assert.Assert(t, e.Sent, "%q", answer)
	}
}

// A body that is shorter than its Content-Length or lacks its last chunk must be
// reported as an error.
func TestTruncatedBodyIsAnError(t *testing.T) {
	for _, answer := range []string{
		"HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 9\r\n\r\nhalf",
		"HTTP/1.1 200 OK\r\nX-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n",
	} {
		addr := serve(t, func(_ int, c net.Conn) {
			if req, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
				_, _ = io.Copy(io.Discard, req.Body)
			}
			_, _ = io.WriteString(c, answer)
		})
		_, err := do(t, newPool(), addr, "1")
		assert.Assert(t, err != nil, "%q", answer)
	}
}

// A request is cancelled while the server works on it. The connection must be
// closed, which tells the server to cancel the work.
func TestCancelClosesTheConnection(t *testing.T) {
	closed := make(chan struct{})
	addr := serve(t, func(_ int, c net.Conn) {
		r := bufio.NewReader(c)
		if req, err := http.ReadRequest(r); err == nil {
			_, _ = io.Copy(io.Discard, req.Body)
		}
		_, _ = r.ReadByte()
		close(closed)
	})
	ctx, cancel := context.WithCancel(t.Context())
	time.AfterFunc(50*time.Millisecond, cancel)
	_, err := newPool().Do(ctx, addr, request("1"))
	assert.Assert(t, err != nil)
	select {
	case <-closed:
	case <-time.After(2 * time.Second):
		t.Fatal("the connection stayed open")
	}
}

// A server responds before it has read a long body and keeps the connection open.
// The whole body must be sent before the connection is reused, or the server would
// read the next request as the rest of the body. Otherwise it must be closed.
func TestEarlyResponseToLongBody(t *testing.T) {
	var connections atomic.Int32
	addr := serve(t, func(n int, c net.Conn) {
		connections.Store(int32(n))
		r := bufio.NewReader(c)
		for {
			req, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			_, _ = fmt.Fprintf(c, "HTTP/1.1 413 Too Large\r\nX-Id: %s\r\nContent-Length: 0\r\n\r\n", req.Header.Get("X-Id"))
			if _, err := io.Copy(io.Discard, req.Body); err != nil {
				return
			}
		}
	})
	p := newPool()
	for _, id := range []string{"1", "2"} {
		r := request(id)
		r.Body = make([]byte, 1<<20)
		resp, err := p.Do(t.Context(), addr, r)
		assert.NilError(t, err)
		assert.Equal(t, resp.Status, http.StatusRequestEntityTooLarge)
		_, _ = io.Copy(io.Discard, resp.Body)
		assert.NilError(t, resp.Body.Close())
	}
}
