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

	"jayford.example/jayford/internal/response"
)

const (
	// MaxValueBytes is the largest spec that the object API accepts.
	MaxValueBytes = 1 << 20
	// MaxWatch is the longest wait that the platform allows a watch.
	MaxWatch = 25 * time.Second

	// maxResponseBytes bounds a reply, also a compressed one that grows.
	maxResponseBytes = 4 << 20
	maxConnections   = 64
	dialTimeout      = time.Second
	fetchTimeout     = 30 * time.Minute
)

// errNotSent marks a failure before the first byte of the request was sent.
var errNotSent = errors.New("platform: not sent")

// HTTP is a client of the platform's services. It implements Store, Directory
// and Weights, and never retries. Each call has a connection of its own: a reply
// doesn't name its call, so on a kept connection a repeated one would count as the
// reply to a later call.
type HTTP struct {
	base    string
	timeout time.Duration
	client  *fasthttp.HostClient

	mu sync.Mutex
	// All below is guarded by mu: the last list of instances and its entity tag,
	// "" if the platform sent none.
	instances []Instance
	etag      string
}

// NewHTTP returns a client of the platform at addr ("ip:port"). timeout bounds each
// call except Watch and Fetch.
func NewHTTP(addr string, timeout time.Duration) *HTTP {
	return &HTTP{
		base:    "http://" + addr,
		timeout: timeout,
		client: &fasthttp.HostClient{
			Addr:                     addr,
			Name:                     "jayford",
			NoDefaultUserAgentHeader: true,
			DialTimeout:              dial,
			MaxConns:                 maxConnections,
			MaxResponseBodySize:      maxResponseBytes,
			// By default fasthttp retries a GET or PUT whose connection closed
			// without a reply. The retry of a write that had taken effect would
			// get a conflict, as if nothing had been written.
			MaxIdemponentCallAttempts: 1,
			RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
		},
	}
}

// dial opens a connection for a call that ends after timeout.
func dial(addr string, timeout time.Duration) (net.Conn, error) {
	c, err := net.DialTimeout("tcp", addr, min(timeout, dialTimeout))
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errNotSent, err)
	}
	return response.NewConn(c), nil
}

// Call is one exchange with the platform.
type Call struct {
	// Kind names the call in metrics.
	Kind   string
	Method string
	Path   string
	Query  url.Values
	Body   []byte
	// Timeout bounds the whole call.
	Timeout time.Duration
	// Write is set if the call may change the store, so that its outcome is unknown
	// without a reply.
	Write bool
	// Watch is set for a watch. A response with changes that is too long to be read is
	// ErrCompacted: the objects themselves can still be listed.
	Watch bool
	// IfNoneMatch is the entity tag of the caller's cached copy, "" for none.
	IfNoneMatch string
}

// Reply is the platform's response to a Call.
type Reply struct {
	Status int
	Body   []byte
	etag   string
	err    error
}

// do makes a call and decodes its reply into out, which may be nil.
func (h *HTTP) do(ctx context.Context, c Call, out any) error {
	r, err := h.Run(ctx, c)
	if err != nil || out == nil {
		return err
	}
	return c.decode(r, out)
}

// doListing makes a call and decodes its reply, which is a listing.
func (h *HTTP) doListing(ctx context.Context, c Call, l *Listing) error {
	r, err := h.Run(ctx, c)
	if err != nil {
		return err
	}
	if err := decodeListing(r.Body, l); err != nil {
		return c.noReply(err)
	}
	return nil
}

func (c Call) decode(r Reply, out any) error {
	if err := json.Unmarshal(r.Body, out); err != nil {
		return c.noReply(eris.Wrap(err, "reply isn't JSON"))
	}
	return nil
}

// Run makes a call, without retries, and maps its outcome to the package's errors.
func (h *HTTP) Run(ctx context.Context, c Call) (Reply, error) {
	timeout := c.Timeout
	if d, ok := ctx.Deadline(); ok {
		timeout = min(timeout, time.Until(d))
	}
	if ctx.Err() != nil || timeout <= 0 {
		return Reply{}, fmt.Errorf("%w: the caller's context has ended", ErrUnavailable)
	}
	countCall(c.Kind)
	start := time.Now()
	defer func() {
		metrics.GetOrCreateHistogram(fmt.Sprintf("jayford_platform_call_seconds{kind=%q}", c.Kind)).Update(time.Since(start).Seconds())
	}()
	// If ctx is cancelled first, the exchange continues in the background, at most
	// until timeout.
	replies := make(chan Reply, 1)
	go func() { replies <- h.exchange(c, timeout) }()
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

func (h *HTTP) exchange(c Call, timeout time.Duration) Reply {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetConnectionClose()
	req.Header.SetMethod(c.Method)
	req.SetRequestURI(h.base + c.Path + "?" + c.Query.Encode())
	req.SetBodyRaw(c.Body)
	// The uncompressed list of instances of a full-size fleet is 180 KB.
	req.Header.Set(fasthttp.HeaderAcceptEncoding, "gzip")
	if c.IfNoneMatch != "" {
		req.Header.Set(fasthttp.HeaderIfNoneMatch, c.IfNoneMatch)
	}
	if err := h.client.DoTimeout(req, resp, timeout); err != nil {
		return Reply{err: err}
	}
	body, err := resp.BodyUncompressedWithLimit(maxResponseBytes)
	if err != nil {
		return Reply{err: eris.Wrap(err, "reply can't be decompressed")}
	}
	etag := string(resp.Header.Peek(fasthttp.HeaderETag))
	return Reply{Status: resp.StatusCode(), Body: append([]byte(nil), body...), etag: etag}
}

// outcome maps a reply to the package's errors. A write that failed is ErrOutcomeUnknown
// unless it certainly had no effect.
func (c Call) outcome(r Reply) error {
	switch {
	case errors.Is(r.err, errNotSent), errors.Is(r.err, fasthttp.ErrNoFreeConns):
		return fmt.Errorf("%w: %w", ErrUnavailable, r.err)
	case c.Watch && errors.Is(r.err, fasthttp.ErrBodyTooLarge):
		return fmt.Errorf("%w: %w", ErrCompacted, r.err)
	case r.err != nil:
		return c.noReply(r.err)
	}
	switch r.Status {
	case fasthttp.StatusOK:
		return nil
	case fasthttp.StatusNotModified:
		if c.IfNoneMatch != "" {
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

// noReply returns the error for a call without a usable reply.
func (c Call) noReply(err error) error {
	if c.Write {
		return fmt.Errorf("%w: %w", ErrOutcomeUnknown, err)
	}
	return fmt.Errorf("%w: %w", ErrUnavailable, err)
}

func countCall(kind string) {
	metrics.GetOrCreateCounter(fmt.Sprintf("jayford_platform_calls_total{kind=%q}", kind)).Inc()
}

func countFailure(kind string) {
	metrics.GetOrCreateCounter(fmt.Sprintf("jayford_platform_failed_calls_total{kind=%q}", kind)).Inc()
}

func objectPath(kind, name string) string {
	return "/objects/" + url.PathEscape(kind) + "/" + url.PathEscape(name)
}

// Get returns an object, or ErrNotFound.
func (h *HTTP) Get(ctx context.Context, kind, name string) (Object, error) {
	c := Call{Kind: "get", Method: fasthttp.MethodGet, Path: objectPath(kind, name), Timeout: h.timeout}
	r, err := h.Run(ctx, c)
	if err != nil {
		return Object{}, err
	}
	o, err := decodeObject(r.Body)
	if err != nil {
		return Object{}, c.noReply(err)
	}
	return o, nil
}

// List returns the objects of a kind, without deleted ones.
func (h *HTTP) List(ctx context.Context, kind string) (Listing, error) {
	var l Listing
	c := Call{
		Kind: "list", Method: fasthttp.MethodGet, Path: "/objects",
		Query: url.Values{"kind": {kind}}, Timeout: h.timeout,
	}
	err := h.doListing(ctx, c, &l)
	return l, err
}

// Watch waits for changes after revision, including deletions. The platform is
// asked to reply one call timeout before ctx's deadline, or halfway to it if that
// is later, even without changes. No reply by the deadline is ErrUnavailable rather
// than an empty listing, since the connection may be dead. If ctx is cancelled, the
// listing is empty.
func (h *HTTP) Watch(ctx context.Context, kind string, revision uint64) (Listing, error) {
	wait := MaxWatch
	if d, ok := ctx.Deadline(); ok {
		remaining := time.Until(d)
		wait = min(wait, max(remaining-h.timeout, remaining/2))
	}
	c := Call{
		Kind: "watch", Method: fasthttp.MethodGet, Path: "/watch", Timeout: wait + h.timeout, Watch: true,
		Query: url.Values{
			"kind":     {kind},
			"revision": {strconv.FormatUint(revision, 10)},
			"wait":     {strconv.FormatInt(max(wait.Milliseconds(), 1), 10)},
		},
	}
	l := Listing{Revision: revision}
	err := h.doListing(ctx, c, &l)
	if err != nil && errors.Is(ctx.Err(), context.Canceled) {
		return Listing{Revision: revision}, nil
	}
	return l, err
}

type putReply struct {
	Version uint64 `json:"version"`
}

// Put writes o if the stored version is o.Version. See Store.
func (h *HTTP) Put(ctx context.Context, o Object) (uint64, error) {
	if len(o.Spec) > MaxValueBytes {
		return 0, ErrTooLarge
	}
	body, err := json.Marshal(o)
	if err != nil {
		return 0, eris.Wrap(err, "platform: object can't be encoded as JSON")
	}
	c := Call{
		Kind: "put", Method: fasthttp.MethodPut, Path: objectPath(o.Kind, o.Name),
		Body: body, Timeout: h.timeout, Write: true,
	}
	var w putReply
	err = h.do(ctx, c, &w)
	return w.Version, err
}

// Delete deletes the object if its stored version is version.
func (h *HTTP) Delete(ctx context.Context, kind, name string, version uint64) error {
	c := Call{
		Kind: "delete", Method: fasthttp.MethodDelete, Path: objectPath(kind, name),
		Query: url.Values{"version": {strconv.FormatUint(version, 10)}}, Timeout: h.timeout, Write: true,
	}
	return h.do(ctx, c, nil)
}

// Instances returns the eventually consistent list of instances, which callers must
// not modify. The list is polled every two seconds but changes only some thousand
// times a day, so the request is conditional on its entity tag: a platform that sends
// entity tags transfers the list only after a change.
func (h *HTTP) Instances(ctx context.Context) ([]Instance, error) {
	h.mu.Lock()
	cached, etag := h.instances, h.etag
	h.mu.Unlock()
	c := Call{Kind: "instances", Method: fasthttp.MethodGet, Path: "/instances", Timeout: h.timeout, IfNoneMatch: etag}
	r, err := h.Run(ctx, c)
	switch {
	case err != nil:
		return nil, err
	case r.Status == fasthttp.StatusNotModified:
		return cached, nil
	}
	var list []Instance
	if err := c.decode(r, &list); err != nil {
		return nil, err
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.instances, h.etag = list, r.etag
	return list, nil
}

type fetchReply struct {
	Bytes int64 `json:"bytes"`
}

// Fetch reads the weights of a model's version and returns their size. It ends with
// ctx, and after half an hour at the latest.
func (h *HTTP) Fetch(ctx context.Context, model, version string) (int64, error) {
	var f fetchReply
	c := Call{
		Kind: "fetch", Method: fasthttp.MethodGet, Timeout: fetchTimeout,
		Path: "/weights/" + url.PathEscape(model) + "/" + url.PathEscape(version),
	}
	err := h.do(ctx, c, &f)
	return f.Bytes, err
}
