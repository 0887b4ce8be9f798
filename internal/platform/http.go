package platform

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/url"
	"strconv"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"
)

const (
	// MaxValueBytes is the largest spec that the object API holds.
	MaxValueBytes = 1 << 20
	// MaxWatch is how long the platform lets a watch wait.
	MaxWatch = 25 * time.Second

	maxResponseBytes = 256 << 20
	maxConnections   = 64
	dialTimeout      = time.Second
	idleConnection   = 10 * time.Second
	maxFetch         = 30 * time.Minute
)

// errNotSent marks an error before the first byte of the request was written.
var errNotSent = errors.New("platform: not sent")

// HTTP is a client of the platform's services. It implements Store, Directory
// and Weights, and repeats nothing by itself.
type HTTP struct {
	base    string
	timeout time.Duration
	client  *fasthttp.HostClient

	mu sync.Mutex
	// All below is guarded by mu: the list of instances that came last, with
	// its entity tag, "" if the platform gives none.
	instances []Instance
	tag       string
}

// NewHTTP returns a client of the platform at addr ("ip:port"). Each call but
// Watch and Fetch ends within timeout.
func NewHTTP(addr string, timeout time.Duration) *HTTP {
	return &HTTP{
		base:    "http://" + addr,
		timeout: timeout,
		client: &fasthttp.HostClient{
			Addr:                     addr,
			Name:                     "jayford",
			NoDefaultUserAgentHeader: true,
			Dial:                     dial,
			MaxConns:                 maxConnections,
			MaxIdleConnDuration:      idleConnection,
			MaxResponseBodySize:      maxResponseBytes,
			// The library repeats a GET or PUT whose connection closed without
			// a reply. A write that had taken effect would then come back as a
			// conflict and pass for not written.
			MaxIdemponentCallAttempts: 1,
			RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
		},
	}
}

func dial(addr string) (net.Conn, error) {
	c, err := net.DialTimeout("tcp", addr, dialTimeout)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errNotSent, err)
	}
	return c, nil
}

// Call is one exchange with the platform.
type Call struct {
	// Kind names the call in metrics.
	Kind   string
	Method string
	Path   string
	Query  url.Values
	Body   []byte
	// Limit bounds the whole exchange.
	Limit time.Duration
	// Write: the call may change the store, so that no reply is unclear.
	Write bool
	// Unless is the entity tag of what the caller has, "" for none.
	Unless string
}

// Reply is the platform's answer to a Call.
type Reply struct {
	Status int
	Body   []byte
	tag    string
	err    error
}

// do runs a call and decodes its reply into out, which may be nil.
func (h *HTTP) do(ctx context.Context, c Call, out any) error {
	r, err := h.Run(ctx, c)
	if err != nil || out == nil {
		return err
	}
	return c.decode(r, out)
}

func (c Call) decode(r Reply, out any) error {
	if err := json.Unmarshal(r.Body, out); err != nil {
		return c.noReply(eris.Wrap(err, "reply isn't JSON"))
	}
	return nil
}

// Run runs a call and maps what became of it to the package's errors. It repeats
// nothing.
func (h *HTTP) Run(ctx context.Context, c Call) (Reply, error) {
	limit := c.Limit
	if d, ok := ctx.Deadline(); ok {
		limit = min(limit, time.Until(d))
	}
	if ctx.Err() != nil || limit <= 0 {
		return Reply{}, fmt.Errorf("%w: the caller's time is over", ErrUnavailable)
	}
	count(c.Kind)
	began := time.Now()
	defer func() {
		metrics.GetOrCreateHistogram(fmt.Sprintf("jayford_platform_call_seconds{kind=%q}", c.Kind)).Update(time.Since(began).Seconds())
	}()
	// The exchange goes on alone if ctx is cancelled first; limit ends it.
	replies := make(chan Reply, 1)
	go func() { replies <- h.exchange(c, limit) }()
	var r Reply
	select {
	case r = <-replies:
	case <-ctx.Done():
		r = Reply{err: ctx.Err()}
	}
	err := c.outcome(r)
	if err != nil {
		countFailure(c.Kind)
	}
	return r, err
}

func (h *HTTP) exchange(c Call, limit time.Duration) Reply {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(c.Method)
	req.SetRequestURI(h.base + c.Path + "?" + c.Query.Encode())
	req.SetBodyRaw(c.Body)
	// The list of instances is 180 KB at full size.
	req.Header.Set(fasthttp.HeaderAcceptEncoding, "gzip")
	if c.Unless != "" {
		req.Header.Set(fasthttp.HeaderIfNoneMatch, c.Unless)
	}
	if err := h.client.DoTimeout(req, resp, limit); err != nil {
		// The other idle connections may have gone silent with this one. Each
		// would cost a call and its whole timeout to find out.
		h.client.CloseIdleConnections()
		return Reply{err: err}
	}
	body, err := resp.BodyUncompressed()
	if err != nil {
		return Reply{err: eris.Wrap(err, "reply can't be uncompressed")}
	}
	tag := string(resp.Header.Peek(fasthttp.HeaderETag))
	return Reply{Status: resp.StatusCode(), Body: append([]byte(nil), body...), tag: tag}
}

// outcome maps a reply to the package's errors. What isn't known to have been
// refused before it did anything is unclear for a write.
func (c Call) outcome(r Reply) error {
	switch {
	case errors.Is(r.err, errNotSent), errors.Is(r.err, fasthttp.ErrNoFreeConns):
		return fmt.Errorf("%w: %w", ErrUnavailable, r.err)
	case r.err != nil:
		return c.noReply(r.err)
	}
	switch r.Status {
	case fasthttp.StatusOK:
		return nil
	case fasthttp.StatusNotModified:
		if c.Unless != "" {
			return nil
		}
		return c.noReply(eris.Errorf("status %d", r.Status))
	case fasthttp.StatusNotFound:
		return ErrNotFound
	case fasthttp.StatusConflict:
		return ErrConflict
	case fasthttp.StatusGone:
		return ErrCompacted
	case fasthttp.StatusRequestEntityTooLarge:
		return ErrTooLarge
	case fasthttp.StatusTooManyRequests, fasthttp.StatusServiceUnavailable:
		return fmt.Errorf("%w: status %d", ErrUnavailable, r.Status)
	case fasthttp.StatusBadRequest:
		return eris.Errorf("platform: bad request: %s", r.Body)
	default:
		return c.noReply(eris.Errorf("status %d", r.Status))
	}
}

func (c Call) noReply(err error) error {
	if c.Write {
		return fmt.Errorf("%w: %w", ErrUnclear, err)
	}
	return fmt.Errorf("%w: %w", ErrUnavailable, err)
}

func count(kind string) {
	metrics.GetOrCreateCounter(fmt.Sprintf("jayford_platform_calls_total{kind=%q}", kind)).Inc()
}

func countFailure(kind string) {
	metrics.GetOrCreateCounter(fmt.Sprintf("jayford_platform_failed_calls_total{kind=%q}", kind)).Inc()
}

func objectPath(kind, name string) string {
	return "/objects/" + url.PathEscape(kind) + "/" + url.PathEscape(name)
}

// Get returns an object; ErrNotFound if there is none.
func (h *HTTP) Get(ctx context.Context, kind, name string) (Object, error) {
	var o Object
	c := Call{Kind: "get", Method: fasthttp.MethodGet, Path: objectPath(kind, name), Limit: h.timeout}
	err := h.do(ctx, c, &o)
	return o, err
}

// List returns the live objects of a kind.
func (h *HTTP) List(ctx context.Context, kind string) (Listing, error) {
	var l Listing
	c := Call{
		Kind: "list", Method: fasthttp.MethodGet, Path: "/objects",
		Query: url.Values{"kind": {kind}}, Limit: h.timeout,
	}
	err := h.do(ctx, c, &l)
	return l, err
}

// Watch waits for changes after revision, deletions among them. It asks the
// platform to reply, empty if need be, one call's timeout before ctx's
// deadline. So no reply by then is ErrUnavailable, not rest: the connection
// may have gone silent. Only a cancelled ctx gives an empty listing.
func (h *HTTP) Watch(ctx context.Context, kind string, revision uint64) (Listing, error) {
	wait := MaxWatch
	if d, ok := ctx.Deadline(); ok {
		left := time.Until(d)
		wait = min(wait, max(left-h.timeout, left/2))
	}
	c := Call{
		Kind: "watch", Method: fasthttp.MethodGet, Path: "/watch", Limit: wait + h.timeout,
		Query: url.Values{
			"kind":     {kind},
			"revision": {strconv.FormatUint(revision, 10)},
			"wait":     {strconv.FormatInt(max(wait.Milliseconds(), 1), 10)},
		},
	}
	l := Listing{Revision: revision}
	err := h.do(ctx, c, &l)
	if err != nil && errors.Is(ctx.Err(), context.Canceled) {
		return Listing{Revision: revision}, nil
	}
	return l, err
}

type written struct {
	Version uint64 `json:"version"`
}

// Put writes o if the stored version is o.Version; see Store.
func (h *HTTP) Put(ctx context.Context, o Object) (uint64, error) {
	if len(o.Spec) > MaxValueBytes {
		return 0, ErrTooLarge
	}
	body, err := json.Marshal(o)
	if err != nil {
		return 0, eris.Wrap(err, "platform: spec isn't JSON")
	}
	c := Call{
		Kind: "put", Method: fasthttp.MethodPut, Path: objectPath(o.Kind, o.Name),
		Body: body, Limit: h.timeout, Write: true,
	}
	var w written
	err = h.do(ctx, c, &w)
	return w.Version, err
}

// Delete removes the object if its version is version.
func (h *HTTP) Delete(ctx context.Context, kind, name string, version uint64) error {
	c := Call{
		Kind: "delete", Method: fasthttp.MethodDelete, Path: objectPath(kind, name),
		Query: url.Values{"version": {strconv.FormatUint(version, 10)}}, Limit: h.timeout, Write: true,
	}
	return h.do(ctx, c, nil)
}

// Instances returns the lagging list of instances, which must not be changed.
// It is read every two seconds and changes some thousand times a day, so it is
// asked for by its entity tag: a platform that gives one sends it only when it
// is new.
func (h *HTTP) Instances(ctx context.Context) ([]Instance, error) {
	h.mu.Lock()
	have, tag := h.instances, h.tag
	h.mu.Unlock()
	c := Call{Kind: "instances", Method: fasthttp.MethodGet, Path: "/instances", Limit: h.timeout, Unless: tag}
	r, err := h.Run(ctx, c)
	switch {
	case err != nil:
		return nil, err
	case r.Status == fasthttp.StatusNotModified:
		return have, nil
	}
	var list []Instance
	if err := c.decode(r, &list); err != nil {
		return nil, err
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.instances, h.tag = list, r.tag
	return list, nil
}

type fetched struct {
	Bytes int64 `json:"bytes"`
}

// Fetch waits until the weights of a model's version have been read. It ends
// with ctx, and within half an hour in any case.
func (h *HTTP) Fetch(ctx context.Context, model, version string) (int64, error) {
	var f fetched
	c := Call{
		Kind: "fetch", Method: fasthttp.MethodGet, Limit: maxFetch,
		Path: "/weights/" + url.PathEscape(model) + "/" + url.PathEscape(version),
	}
	err := h.do(ctx, c, &f)
	return f.Bytes, err
}
