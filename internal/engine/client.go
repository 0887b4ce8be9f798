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

	"jayford.example/jayford/internal/memory"
	"jayford.example/jayford/internal/response"
)

// Default timeouts and size limits of the client.
const (
	defaultDialTimeout = 2 * time.Second
	defaultCallTimeout = 60 * time.Second
	defaultStreamIdle  = 10 * time.Second
	maxEventLineBytes  = 1 << 20
	maxResponseBytes   = 64 << 20
)

// HTTP is a Client over HTTP and JSON.
//
// Each call opens its own connection, which is cheap because the engine runs next
// to its agent. So no call can fail on a pooled connection that is dead or was
// closed by a restart, where the client couldn't tell whether the call has run,
// and closing a connection affects no other call.
type HTTP struct {
	addr        string
	dialTimeout time.Duration
	callTimeout time.Duration
	streamIdle  time.Duration
	memory      *memory.Arriving
}

var _ Client = (*HTTP)(nil)

// Option sets a timeout of the client.
type Option func(*HTTP)

// WithDialTimeout bounds the connection setup of a call.
func WithDialTimeout(d time.Duration) Option { return func(h *HTTP) { h.dialTimeout = d } }

// WithCallTimeout bounds a whole call, except for a decode stream.
func WithCallTimeout(d time.Duration) Option { return func(h *HTTP) { h.callTimeout = d } }

// WithStreamIdle bounds the wait for the next bytes of a decode stream.
func WithStreamIdle(d time.Duration) Option { return func(h *HTTP) { h.streamIdle = d } }

// WithMemory sets the memory that the responses are charged to while they are read.
// Without it, a client has a share of the machine's.
func WithMemory(m *memory.Arriving) Option { return func(h *HTTP) { h.memory = m } }

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
	if h.memory == nil {
		h.memory = memory.NewArriving(memory.Detect(0).Answers, time.Now)
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

// call sends one request and decodes the response into out unless that is nil.
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
	if err := h.readJSON(resp, done, out); err != nil {
		return wrapLost(ctx, err)
	}
	return nil
}

// readJSON reads the body of a response and decodes it into out. If the body has
// to give way to others, closeConn ends it.
func (h *HTTP) readJSON(resp *fasthttp.Response, closeConn func(), out any) error {
	if resp.BodyStream() == nil {
		return io.ErrUnexpectedEOF
	}
	claim := h.memory.Open(func() { go closeConn() })
	defer claim.Close()
	body, err := claim.ReadAll(resp.BodyStream(), int64(resp.Header.ContentLength()), maxResponseBytes, 1)
	if errors.Is(err, memory.ErrTooLarge) {
		return response.Malformed("the body has no end")
	}
	if err != nil {
		return err
	}
	return json.Unmarshal(body, out)
}

// send opens a connection, sends the request and reads the head of the response.
// The body is left for the caller to read, with the read timeout idle unless that
// is 0. done closes the connection.
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
		return nil, wrapLost(ctx, err)
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		defer done()
		return nil, responseError(ctx, resp)
	}
	return done, nil
}

// dial returns ErrUnreachable for every error, since no byte has been sent yet.
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
// By default fasthttp sends a GET up to five times if the server closes the
// connection without a response, so that one call could run several times. All
// three retry settings are off, and the only connection that the client could use
// for a retry is closed by then.
func (h *HTTP) exchange(conn net.Conn, req *fasthttp.Request, resp *fasthttp.Response, idle time.Duration) error {
	neverRetry := func(*fasthttp.Request, int, error) (bool, bool) { return false, false }
	checked := response.NewConn(readTimeoutConn{conn, idle})
	c := fasthttp.HostClient{
		Addr:                      h.addr,
		Dial:                      func(string) (net.Conn, error) { return checked, nil },
		MaxConns:                  1,
		MaxIdemponentCallAttempts: 1,
		RetryIfErr:                neverRetry,
		RetryIfErrUpstream: func(r *fasthttp.Request, n int, err error, _ string) (bool, bool) {
			return neverRetry(r, n, err)
		},
		StreamResponseBody: true,
	}
	if err := c.Do(req, resp); err != nil {
		return checked.Cause(err)
	}
	return nil
}

// readTimeoutConn sets a timeout for each read. Without it, reading a stream from
// a dead connection would block forever.
type readTimeoutConn struct {
	net.Conn
	idle time.Duration
}

// Read sets a new deadline and reads.
func (c readTimeoutConn) Read(p []byte) (int, error) {
	if c.idle > 0 {
		if err := c.SetReadDeadline(time.Now().Add(c.idle)); err != nil {
			return 0, err
		}
	}
	return c.Conn.Read(p)
}

func responseError(ctx context.Context, resp *fasthttp.Response) error {
	body := resp.Body()
	if s := resp.BodyStream(); s != nil {
		body, _ = io.ReadAll(io.LimitReader(s, maxEventLineBytes))
	}
	var f Failure
	if err := json.Unmarshal(body, &f); err != nil {
		return wrapLost(ctx, err)
	}
	return errorOf(f.Code, f.Detail)
}

// wrapLost wraps an error after which the work may have run in ErrLost. If ctx has
// ended, its error replaces err, since the connection was closed because of it.
func wrapLost(ctx context.Context, err error) error {
	if cause := ctx.Err(); cause != nil {
		err = cause
	}
	if errors.Is(err, ErrLost) {
		return err
	}
	return eris.Wrap(fmt.Errorf("%w: %w", ErrLost, err), "call")
}
