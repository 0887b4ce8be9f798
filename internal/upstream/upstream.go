// Package upstream exchanges HTTP/1.1 requests with backend servers over kept
// connections, and says of each failure whether the request may have run.
//
// A server may answer late or twice on a connection. So each answer must bear
// the id of the request it belongs to, and one that doesn't is dropped; a
// connection with unexpected bytes on it is not used again.
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

// Response is a server's answer. Body must be closed.
type Response struct {
	Status int
	Header http.Header
	// Length of the body, or -1 if it isn't known beforehand.
	Length int64
	Body   io.ReadCloser
}

// Error is a failed exchange.
type Error struct {
	// Sent: a part of the request may have reached the server.
	Sent  bool
	cause error
}

// Error returns the cause's text.
func (e *Error) Error() string { return "upstream: " + e.cause.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.cause }

var errStrange = errors.New("too many answers that belong to other requests")

// maxStrange bounds the answers to other requests that one exchange drops.
const maxStrange = 4

// Do sends r to addr and returns the head of the answer. ctx bounds the whole
// exchange, the body included: when it ends the connection is closed, which
// tells the server to drop the work.
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
	return c.answer(r)
}

// answer reads answers until one bears the request's id.
func (c *conn) answer(r *Request) (*Response, error) {
	req := &http.Request{Method: r.Method}
	for range maxStrange {
		resp, err := http.ReadResponse(c.r, req) //nolint:bodyclose // the caller closes it with the connection
		if err != nil {
			return nil, eris.Wrap(err, "read answer")
		}
		if resp.StatusCode < http.StatusOK {
			continue
		}
		if r.IDHeader != "" && resp.Header.Get(r.IDHeader) != r.ID {
			if _, err := io.Copy(io.Discard, resp.Body); err != nil {
				return nil, eris.Wrap(err, "read an answer that belongs to another request")
			}
			continue
		}
		c.keep = !resp.Close
		c.keepFor = keepAlive(resp.Header.Get("Keep-Alive"))
		return &Response{Status: resp.StatusCode, Header: resp.Header, Length: resp.ContentLength, Body: resp.Body}, nil
	}
	return nil, errStrange
}

// keepAlive returns the time that a Keep-Alive header names, 0 for none.
func keepAlive(v string) time.Duration {
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

// body is an answer's body. Its connection is kept if the body was read to its
// end and nothing else is on it.
type body struct {
	io.ReadCloser
	conn  *conn
	stop  func() bool
	pool  *Pool
	ended atomic.Bool
	once  sync.Once
}

// Read reads from the answer.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		b.ended.Store(true)
	}
	return n, err
}

// Close ends the exchange. A body that wasn't read to its end closes the
// connection, which tells the server to drop the work.
func (b *body) Close() error {
	b.once.Do(func() {
		live := b.stop()
		if !live || !b.ended.Load() || !b.conn.keep {
			b.conn.close()
			return
		}
		b.pool.put(b.conn)
	})
	return nil
}
