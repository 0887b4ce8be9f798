// Package upstream sends HTTP/1.1 requests to backend servers over pooled
// connections, and reports with each error whether the request may have run.
//
// A server may respond late or twice on a connection. So each response must carry
// the id of its request, and others are dropped. A connection with unexpected
// bytes on it is not reused.
package upstream

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
)

// Response is a backend server's response. Body must be closed.
type Response struct {
	Status int
	Header http.Header
	// Length is the length of the body, -1 if unknown.
	Length int64
	Body   io.ReadCloser
	// ConnectedAt is when the connection that carried the response was established.
	ConnectedAt time.Time
}

// Error is a failed exchange.
type Error struct {
	// Sent: at least a part of the request may have reached the server.
	Sent  bool
	cause error
}

// Error implements error.
func (e *Error) Error() string { return "upstream: " + e.cause.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.cause }

var errTooManyMismatched = errors.New("too many responses to other requests")

// maxMismatched limits the responses to other requests that one exchange drops.
const maxMismatched = 4

// Do sends r to addr and returns once the response header has arrived. ctx bounds
// the whole exchange including the body: when it ends, the connection is closed,
// which tells the server to cancel the work.
func (p *Pool) Do(ctx context.Context, addr string, r *Request) (*Response, error) {
	c, err := p.get(ctx, addr, r.MaxIdle)
	if err != nil {
		return nil, &Error{cause: err}
	}
	stop := context.AfterFunc(ctx, c.close)
	resp, err := c.exchange(r)
	if err != nil {
		stop()
		c.close()
		if cause := context.Cause(ctx); cause != nil {
			err = eris.Wrap(cause, err.Error())
		}
		return nil, &Error{Sent: c.wrote, cause: err}
	}
	resp.Body = &body{ReadCloser: resp.Body, conn: c, stop: stop, pool: p}
	return resp, nil
}

func (c *conn) exchange(r *Request) (*Response, error) {
	if err := r.send(bufio.NewWriterSize(c, writeBuffer)); err != nil {
		return nil, err
	}
	return c.readResponse(r)
}

// readResponse reads responses until one carries the request's id.
func (c *conn) readResponse(r *Request) (*Response, error) {
	req := &http.Request{Method: r.Method}
	for range maxMismatched {
		resp, err := http.ReadResponse(c.r, req) //nolint:bodyclose // the caller closes it with the connection
		if err != nil {
			return nil, eris.Wrap(err, "read response")
		}
		if resp.StatusCode < http.StatusOK {
			continue
		}
		if r.IDHeader != "" && resp.Header.Get(r.IDHeader) != r.ID {
			if _, err := io.Copy(io.Discard, resp.Body); err != nil {
				return nil, eris.Wrap(err, "read a response to another request")
			}
			continue
		}
		c.keepAlive = !resp.Close
		c.keepAliveTimeout = parseKeepAlive(resp.Header.Get("Keep-Alive"))
		return &Response{
			Status: resp.StatusCode, Header: resp.Header, Length: resp.ContentLength, Body: resp.Body, ConnectedAt: c.connectedAt,
		}, nil
	}
	return nil, errTooManyMismatched
}

// parseKeepAlive returns the timeout of a Keep-Alive header, 0 if it has none.
func parseKeepAlive(v string) time.Duration {
	const key = "timeout="
	for i := 0; i+len(key) <= len(v); i++ {
		if v[i:i+len(key)] != key {
			continue
		}
		end := i + len(key)
		for end < len(v) && v[end] >= '0' && v[end] <= '9' {
			end++
		}
		n, err := strconv.Atoi(v[i+len(key) : end])
		if err != nil {
			return 0
		}
		return time.Duration(n) * time.Second
	}
	return 0
}

// body is a response body. Its connection returns to the pool if the body was read
// to its end and the connection has no further bytes.
type body struct {
	io.ReadCloser
	conn  *conn
	stop  func() bool
	pool  *Pool
	ended atomic.Bool
	once  sync.Once
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		b.ended.Store(true)
	}
	return n, err
}

// Close ends the exchange. If the body wasn't read to its end, the connection is
// closed, which tells the server to cancel the work.
func (b *body) Close() error {
	b.once.Do(func() {
		open := b.stop()
		if !open || !b.ended.Load() || !b.conn.keepAlive {
			b.conn.close()
			return
		}
		b.pool.put(b.conn)
	})
	return nil
}
