// Package upstream sends HTTP/1.1 requests to backend servers over pooled
// connections, and reports with each error whether the request may have run.
//
// A server may respond late or twice on a connection, any number of exchanges later. So each
// response must carry the id of its request, or no earlier one's if that has none, and others are
// dropped. A connection carries an id once: a copy of an earlier response is never taken for that of
// a later request with an id. A connection with unexpected bytes on it is not reused.
package upstream

import (
	"bufio"
	"context"
	"errors"
	"io"
	"math"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"jayford.example/jayford/internal/response"
)

// Response is a backend server's response. Body must be closed.
type Response struct {
	Status int
	Header http.Header
	// Length is the length of the body, -1 if unknown.
	Length int64
	// Unframed: the body has neither a length nor chunks and ends with the connection. One that
	// was cut off can't be told from a complete one, unless the connection is reset.
	Unframed bool
	// Body fails with ErrMalformed once it is longer than any answer, if its length is unknown.
	Body io.ReadCloser
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

// ErrMalformed marks bytes from a server that are no response.
var ErrMalformed = response.ErrMalformed

const (
	// maxMismatched limits the responses to other requests that one exchange drops.
	maxMismatched = 4
	// headTimeout bounds the time from the first byte of a head to its last.
	headTimeout = 2 * time.Second
	// maxBodyBytes bounds a body of unknown length.
	maxBodyBytes = 64 << 20
	// maxDiscardBytes and discardTimeout bound what is read of a body that nobody wants, so that
	// its connection can be reused.
	maxDiscardBytes = 1 << 20
	discardTimeout  = 100 * time.Millisecond
)

// Do sends r to addr and returns once the response header has arrived. ctx bounds
// the whole exchange including the body: when it ends, the connection is closed,
// which tells the server to cancel the work.
func (p *Pool) Do(ctx context.Context, addr string, r *Request) (*Response, error) {
	t := r.Trace
	if t == nil {
		t = &Trace{}
	}
	c, err := p.get(ctx, addr, r, t)
	if err != nil {
		return nil, &Error{cause: err}
	}
	t.Connection, t.Use = c.number, c.uses
	stop := context.AfterFunc(ctx, c.close)
	resp, err := c.exchange(r, t)
	if err != nil {
		stop()
		c.close()
		if cause := context.Cause(ctx); cause != nil {
			err = eris.Wrap(cause, err.Error())
		}
		return nil, &Error{Sent: c.wrote, cause: err}
	}
	b := &body{ReadCloser: resp.Body, conn: c, stop: stop, pool: p, left: math.MaxInt64}
	if resp.Length < 0 {
		b.left = maxBodyBytes
	}
	resp.Body = b
	return resp, nil
}

func (c *conn) exchange(r *Request, t *Trace) (*Response, error) {
	if err := r.send(bufio.NewWriterSize(c, writeBuffer)); err != nil {
		return nil, err
	}
	return c.readResponse(r, t)
}

// readResponse reads responses until one can be that to the request.
func (c *conn) readResponse(r *Request, t *Trace) (*Response, error) {
	req := &http.Request{Method: r.Method}
	for range maxMismatched {
		resp, err := c.readHead(req) //nolint:bodyclose // the caller closes it with the connection
		if err != nil {
			return nil, err
		}
		if !c.isDue(r, resp.Header.Get(c.idHeader)) {
			t.Dropped++
			dropped.Inc()
			if !c.discard(resp.Body, headTimeout) {
				return nil, response.Malformed("a response to another request has no end")
			}
			continue
		}
		c.keepAlive = !resp.Close && r.mayShare()
		c.keepAliveTimeout = parseKeepAlive(resp.Header.Get("Keep-Alive"))
		return &Response{
			Status: resp.StatusCode, Header: resp.Header, Length: resp.ContentLength, Body: resp.Body, ConnectedAt: c.connectedAt,
			Unframed: resp.ContentLength < 0 && len(resp.TransferEncoding) == 0,
		}, nil
	}
	return nil, response.Malformed("too many responses to other requests")
}

// isDue reports whether a response with an id, "" for none, can be that to r.
func (c *conn) isDue(r *Request, id string) bool {
	return id == r.ID || r.ID == "" && !c.hasCarried(id)
}

// readHead reads the head of the next final response, which is bounded in bytes and, from its
// first byte on, in time.
func (c *conn) readHead(req *http.Request) (*http.Response, error) {
	for isInterim := true; isInterim; {
		if _, err := c.r.Peek(1); err != nil {
			return nil, eris.Wrap(err, "read response")
		}
		_ = c.SetReadDeadline(time.Now().Add(headTimeout))
		var err error
		isInterim, err = c.r.NextHead()
		_ = c.SetReadDeadline(time.Time{})
		if err != nil {
			return nil, headError(err)
		}
	}
	resp, err := http.ReadResponse(c.r.Reader, req)
	if err != nil {
		return nil, headError(err)
	}
	return resp, nil
}

// headError returns the error of a head that couldn't be read.
func headError(err error) error {
	switch {
	case errors.Is(err, ErrMalformed):
		return err
	case isConnectionError(err):
		return eris.Wrap(err, "read response")
	}
	return response.Malformed(err.Error())
}

// isConnectionError reports whether reading failed as the connection was closed or reset, and
// not by what was read or how slowly it came.
func isConnectionError(err error) bool {
	var ne net.Error
	if errors.As(err, &ne) {
		return !ne.Timeout()
	}
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, net.ErrClosed)
}

// discard reads the rest of a small body, and reports whether it has ended.
func (c *conn) discard(body io.Reader, timeout time.Duration) bool {
	_ = c.SetReadDeadline(time.Now().Add(timeout))
	defer func() { _ = c.SetReadDeadline(time.Time{}) }()
	_, err := io.CopyN(io.Discard, body, maxDiscardBytes)
	return errors.Is(err, io.EOF)
}

// Discard reads the rest of a small body that nobody wants, so that its connection can be
// reused, and closes it. It reports whether the body has ended.
func (r *Response) Discard() (ended bool) {
	if b, ok := r.Body.(*body); ok && b.conn.discard(b.ReadCloser, discardTimeout) {
		b.ended.Store(true)
		ended = true
	}
	_ = r.Body.Close()
	return ended
}

// IsRepeated reports whether an earlier response over the connection had an id that servers give
// once. The response is then a copy of that, and the connection, over which its own is still due,
// is closed. It must be called before Body is closed.
func (r *Response) IsRepeated(id string) bool {
	b, ok := r.Body.(*body)
	if !ok || id == "" {
		return false
	}
	c := b.conn
	if c.hasCarried(id) {
		dropped.Inc()
		c.close()
		c.keepAlive = false
		return true
	}
	c.remember(id)
	return false
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
	conn *conn
	stop func() bool
	pool *Pool
	// left is how many bytes the body may still have. Only Read uses it.
	left  int64
	ended atomic.Bool
	once  sync.Once
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if b.left -= int64(n); b.left < 0 {
		b.conn.close()
		return 0, response.Malformed("the body has no end")
	}
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
