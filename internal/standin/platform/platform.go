// Package platform is a stand-in for the platform's services, for tests and the dev
// role: the object API, the delayed list of instances and the weight store, with the
// platform's limits and its known faults.
//
// In addition it serves GET /record (all accepted writes in order), GET /meter
// (call counts by kind) and POST /control (fault injection). These are neither
// counted nor subject to faults.
package platform

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"
	"golang.org/x/sync/errgroup"
	"golang.org/x/time/rate"

	api "jayford.example/jayford/internal/platform"
)

// Kinds of outage.
const (
	// OutageRefuse answers each call with status 503 and has no other effect.
	OutageRefuse = "refuse"
	// OutageHang blocks each call until the outage ends, and then closes its
	// connection. The call has no effect.
	OutageHang = "hang"
)

const (
	shutdownTimeout = 2 * time.Second
	maxRequestBytes = 2 << 20
	maxHang         = time.Hour
)

// Options are the platform's limits. The zero value has no rate limits.
type Options struct {
	// Calls above ReadsPerSecond and WritesPerSecond are refused; 0 means no
	// limit. A watch counts as one read.
	ReadsPerSecond  float64
	WritesPerSecond float64
	// WatchLimit is the maximum duration of a watch; 0 means api.MaxWatch.
	WatchLimit time.Duration
	// InstanceLag is the delay until a changed list of instances is visible.
	InstanceLag time.Duration
	// WeightBytes is the size of a model's weights. WeightBytesPerSecond is
	// the rate that all readers share; 0 means no limit.
	WeightBytes          int64
	WeightBytesPerSecond float64
}

// Control is the body of POST /control. It replaces all injected faults.
type Control struct {
	// Outage is "", OutageRefuse or OutageHang.
	Outage string `json:"outage,omitempty"`
	// SlowMilliseconds is the latency added to each call.
	SlowMilliseconds int `json:"slowMilliseconds,omitempty"`
	// LoseReplies is the number of following writes that take effect but whose
	// connection is closed instead of a reply.
	LoseReplies int `json:"loseReplies,omitempty"`
	// Compact compacts the history once: a watch from an earlier revision
	// fails with api.ErrCompacted.
	Compact bool `json:"compact,omitempty"`
}

// Meter counts calls by kind.
type Meter struct {
	Get, List, Watch, Put, Delete, Instances, Fetch, Refused uint64
	// Waiting is the number of pending watches.
	Waiting int
}

type delayedInstances struct {
	visible time.Time
	list    []api.Instance
	// tag is the list's entity tag.
	tag string
}

// Platform is a simulated platform.
type Platform struct {
	opts    Options
	store   *store
	reads   *rate.Limiter
	writes  *rate.Limiter
	weights *rate.Limiter
	stop    chan struct{}
	// startNanos is the start time in Unix nanoseconds. It makes the entity tags
	// unique across runs.
	startNanos int64

	mu sync.Mutex
	// The fields below are guarded by mu.
	control Control
	// outageChange closes when an outage begins or ends.
	outageChange chan struct{}
	meter        Meter
	instances    []delayedInstances
	// listCount is the number of SetInstances calls.
	listCount int
}

// New returns a stand-in with an empty store.
func New(o Options) *Platform {
	if o.WatchLimit == 0 {
		o.WatchLimit = api.MaxWatch
	}
	return &Platform{
		opts:         o,
		store:        newStore(),
		reads:        limiter(o.ReadsPerSecond),
		writes:       limiter(o.WritesPerSecond),
		weights:      limiter(o.WeightBytesPerSecond),
		stop:         make(chan struct{}),
		startNanos:   time.Now().UnixNano(),
		outageChange: make(chan struct{}),
	}
}

func limiter(perSecond float64) *rate.Limiter {
	if perSecond == 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	return rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond)))
}

// Serve serves on ln until ctx ends. It may be called only once.
func (p *Platform) Serve(ctx context.Context, ln net.Listener) error {
	s := &fasthttp.Server{
		Handler:            fasthttp.CompressHandlerLevel(p.handle, fasthttp.CompressBestSpeed),
		Name:               "platform stand-in",
		MaxRequestBodySize: maxRequestBytes,
		// OutageHang accumulates many concurrent calls.
		Concurrency: fasthttp.DefaultConcurrency,
	}
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return eris.Wrap(s.Serve(ln), "platform stand-in") })
	g.Go(func() error {
		<-ctx.Done()
		close(p.stop)
		shutdownCtx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
		defer cancel()
		// Connections that clients keep open beyond the timeout aren't closed.
		_ = s.ShutdownWithContext(shutdownCtx)
		// A server that hasn't begun to accept yet doesn't know its listener.
		_ = ln.Close()
		return nil
	})
	return g.Wait()
}

// SetControl replaces the injected faults, as POST /control does.
func (p *Platform) SetControl(c Control) {
	if c.Compact {
		p.store.compact()
		c.Compact = false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.control.Outage != c.Outage {
		close(p.outageChange)
		p.outageChange = make(chan struct{})
	}
	p.control = c
}

// SetInstances replaces the list of instances. The new list is visible after
// InstanceLag.
func (p *Platform) SetInstances(list []api.Instance) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.listCount++
	tag := fmt.Sprintf(`"%d-%d"`, p.startNanos, p.listCount)
	p.instances = append(p.instances, delayedInstances{time.Now().Add(p.opts.InstanceLag), list, tag})
}

// Meter returns the counts so far.
func (p *Platform) Meter() Meter {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.meter
}

// Record returns all accepted writes in order.
func (p *Platform) Record() []Accepted { return p.store.record() }

// Put writes an object, bypassing faults and rate limits, to set up a test.
func (p *Platform) Put(o api.Object) (uint64, error) { return p.store.put(o) }

// visibleInstances returns the currently visible list of instances and its entity
// tag.
func (p *Platform) visibleInstances() ([]api.Instance, string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	for len(p.instances) > 1 && !p.instances[1].visible.After(now) {
		p.instances = p.instances[1:]
	}
	if len(p.instances) == 0 || p.instances[0].visible.After(now) {
		return []api.Instance{}, fmt.Sprintf(`"%d-0"`, p.startNanos)
	}
	return p.instances[0].list, p.instances[0].tag
}

// admit counts the call, applies the faults and the rate limit, and reports whether
// the call may proceed.
func (p *Platform) admit(ctx *fasthttp.RequestCtx, n func(*Meter) *uint64, limit *rate.Limiter) bool {
	p.mu.Lock()
	*n(&p.meter)++
	c, end := p.control, p.outageChange
	p.mu.Unlock()
	if c.SlowMilliseconds > 0 {
		p.wait(time.Duration(c.SlowMilliseconds)*time.Millisecond, nil)
	}
	switch {
	case c.Outage == OutageHang:
		p.wait(maxHang, end)
		ctx.Conn().Close()
		return false
	case c.Outage == OutageRefuse:
		p.refuse(ctx, fasthttp.StatusServiceUnavailable)
		return false
	case !limit.Allow():
		p.refuse(ctx, fasthttp.StatusTooManyRequests)
		return false
	}
	return true
}

func (p *Platform) refuse(ctx *fasthttp.RequestCtx, status int) {
	p.mu.Lock()
	p.meter.Refused++
	p.mu.Unlock()
	ctx.Error("refused", status)
}

// wait returns after d, when until closes or when the stand-in stops.
func (p *Platform) wait(d time.Duration, until <-chan struct{}) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-until:
	case <-p.stop:
	}
}

// loseReply reports whether to drop the reply of this write.
func (p *Platform) loseReply() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.control.LoseReplies == 0 {
		return false
	}
	p.control.LoseReplies--
	return true
}

func writeJSON(ctx *fasthttp.RequestCtx, v any) {
	b, err := json.Marshal(v)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(b)
}
