package engine

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"strconv"
	"time"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"
)

// Defaults of the client's bounds.
const (
	defaultDialTimeout = 2 * time.Second
	defaultCallTimeout = 60 * time.Second
	defaultStreamIdle  = 10 * time.Second
	maxEventLine       = 1 << 20
	maxAnswer          = 64 << 20
)

// HTTP is a Client over HTTP and JSON.
//
// Each call has a connection of its own. The engine stands beside its agent, so
// that a dial is cheap; in return no call can land on a pooled connection that
// has gone silent or was closed by a restart, where "nothing ran" couldn't be
// told from "may have run", and closing it concerns no other call.
type HTTP struct {
	addr        string
	dialTimeout time.Duration
	callTimeout time.Duration
	streamIdle  time.Duration
}

var _ Client = (*HTTP)(nil)

// Option changes a bound of the client.
type Option func(*HTTP)

// WithDialTimeout bounds the dial of a call.
func WithDialTimeout(d time.Duration) Option { return func(h *HTTP) { h.dialTimeout = d } }

// WithCallTimeout bounds a whole call, except for a decode stream.
func WithCallTimeout(d time.Duration) Option { return func(h *HTTP) { h.callTimeout = d } }

// WithStreamIdle bounds the wait for the next bytes of a decode stream.
func WithStreamIdle(d time.Duration) Option { return func(h *HTTP) { h.streamIdle = d } }

// NewHTTP returns a client of the engine at addr, "ip:port".
func NewHTTP(addr string, opts ...Option) *HTTP {
	h := &HTTP{
		addr:        addr,
		dialTimeout: defaultDialTimeout,
		callTimeout: defaultCallTimeout,
		streamIdle:  defaultStreamIdle,
	}
	for _, o := range opts {
		o(h)
	}
	return h
}

// Prefill implements Client.
func (h *HTTP) Prefill(ctx context.Context, r PrefillRequest) (PrefillResult, error) {
	var out PrefillResult
	err := h.call(ctx, fasthttp.MethodPost, PathPrefill, r, &out)
	return out, err
}

// Cancel implements Client.
func (h *HTTP) Cancel(ctx context.Context, a Attempt) error {
	return h.call(ctx, fasthttp.MethodPost, PathCancel, a, nil)
}

// Running implements Client.
func (h *HTTP) Running(ctx context.Context) ([]Running, error) {
	var out []Running
	err := h.call(ctx, fasthttp.MethodGet, PathRunning, nil, &out)
	return out, err
}

// Load implements Client.
func (h *HTTP) Load(ctx context.Context) (Load, error) {
	var out Load
	err := h.call(ctx, fasthttp.MethodGet, PathLoad, nil, &out)
	return out, err
}

// CacheEvents implements Client.
func (h *HTTP) CacheEvents(ctx context.Context, after uint64) (CacheEvents, error) {
	var out CacheEvents
	uri := PathEvents + "?after=" + strconv.FormatUint(after, 10)
	err := h.call(ctx, fasthttp.MethodGet, uri, nil, &out)
	return out, err
}

// Order implements Client.
func (h *HTTP) Order(ctx context.Context, o Order) error {
	return h.call(ctx, fasthttp.MethodPost, PathOrder, o, nil)
}

// call runs one request and decodes its answer into out unless that is nil.
func (h *HTTP) call(ctx context.Context, method, uri string, in, out any) error {
	ctx, cancel := context.WithTimeout(ctx, h.callTimeout)
	defer cancel()
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	done, err := h.send(ctx, method, uri, in, resp, 0)
	if err != nil {
		return err
	}
	defer done()
	if out == nil {
		return nil
	}
	if err := json.Unmarshal(resp.Body(), out); err != nil {
		return lost(ctx, err)
	}
	return nil
}

// send dials, sends the request and reads the answer's header, and its body
// unless idle is set, which asks for a stream. done closes the connection.
func (h *HTTP) send(ctx context.Context, method, uri string, in any, resp *fasthttp.Response, idle time.Duration) (done func(), err error) {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	req.Header.SetMethod(method)
	req.SetRequestURI("http://" + h.addr + uri)
	req.SetConnectionClose()
	if in != nil {
		body, err := json.Marshal(in)
		if err != nil {
			return nil, eris.Wrap(ErrInvalid, err.Error())
		}
		req.Header.SetContentType("application/json")
		req.SetBodyRaw(body)
	}
	conn, err := h.dial(ctx)
	if err != nil {
		return nil, err
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	done = func() {
		stop()
		_ = conn.Close()
	}
	if err := h.exchange(conn, req, resp, idle); err != nil {
		done()
		return nil, lost(ctx, err)
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		defer done()
		return nil, refusal(ctx, resp)
	}
	return done, nil
}

// dial returns ErrUnreachable on each failure: no byte was sent yet.
func (h *HTTP) dial(ctx context.Context) (net.Conn, error) {
	d := net.Dialer{Timeout: h.dialTimeout}
	conn, err := d.DialContext(ctx, "tcp", h.addr)
	if err != nil {
		return nil, eris.Wrap(fmt.Errorf("%w: %w", ErrUnreachable, err), "dial")
	}
	return conn, nil
}

// exchange runs one request on conn.
//
// By default fasthttp sends a GET again, up to five times, if the server closes
// without an answer; a call then runs several times though it was made once. All
// three ways to allow that are closed here, and the client has but one
// connection to use, which is closed by then.
func (h *HTTP) exchange(conn net.Conn, req *fasthttp.Request, resp *fasthttp.Response, idle time.Duration) error {
	never := func(*fasthttp.Request, int, error) (bool, bool) { return false, false }
	c := fasthttp.HostClient{
		Addr:                      h.addr,
		Dial:                      func(string) (net.Conn, error) { return idleConn{conn, idle}, nil },
		MaxConns:                  1,
		MaxIdemponentCallAttempts: 1,
		RetryIfErr:                never,
		RetryIfErrUpstream: func(r *fasthttp.Request, n int, err error, _ string) (bool, bool) {
			return never(r, n, err)
		},
		MaxResponseBodySize: maxAnswer,
		StreamResponseBody:  idle > 0,
	}
	return c.Do(req, resp)
}

// idleConn bounds each single read. Without it a stream whose connection has
// gone silent would hold its reader for good, as no error ever arrives.
type idleConn struct {
	net.Conn
	idle time.Duration
}

// Read reads with a fresh deadline.
func (c idleConn) Read(p []byte) (int, error) {
	if c.idle > 0 {
		if err := c.SetReadDeadline(time.Now().Add(c.idle)); err != nil {
			return 0, err
		}
	}
	return c.Conn.Read(p)
}

func refusal(ctx context.Context, resp *fasthttp.Response) error {
	body := resp.Body()
	if s := resp.BodyStream(); s != nil {
		body, _ = io.ReadAll(io.LimitReader(s, maxEventLine))
	}
	var f Failure
	if err := json.Unmarshal(body, &f); err != nil {
		return lost(ctx, err)
	}
	return errorOf(f.Code, f.Detail)
}

// lost wraps an error after which the work may have run. The context's own
// error comes first: the connection was closed because of it.
func lost(ctx context.Context, err error) error {
	if cause := ctx.Err(); cause != nil {
		err = cause
	}
	if errors.Is(err, ErrLost) {
		return err
	}
	return eris.Wrap(fmt.Errorf("%w: %w", ErrLost, err), "call")
}
