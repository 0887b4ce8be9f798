// Package capacity decides which engines change their role, version or model,
// so that a pool's prefill and decode engines follow its demand and its
// operators' intent.
//
// Controller is a state machine without I/O: each Tick gets the time and the
// state of the pools and returns the orders to give. Orders are given only while
// the caller holds the lease of its region.
package capacity

import (
	"cmp"
	"time"

	"jayford.example/jayford/internal/object"
)

// Options of a Controller. A zero value means the default.
type Options struct {
	// Smooth is the time constant of the moving average of each role's work.
	Smooth time.Duration
	// Sustain is how long a change must be worthwhile before it is ordered.
	Sustain time.Duration
	// Stay is the minimum time between a role change in a pool and one in the
	// opposite direction. The next in the same direction need only be worthwhile
	// for Sustain again.
	Stay time.Duration
	// High is the pressure that a role must reach to get another engine.
	High float64
	// Gap is the minimum difference of the two roles' pressures for a change.
	// Gain is the minimum fall of the higher pressure, as a fraction of the fall
	// that one more engine could bring. They are the hysteresis: a demand that
	// swings by less than twice Gap moves no engine, and in a small pool, where
	// one engine is more than Gap, no change overshoots.
	Gap, Gain float64
	// MaxLoads bounds the concurrent orders that load weights, over all pools:
	// they share the weight store's bandwidth, so more of them would only keep
	// more engines out of service for longer.
	MaxLoads int
	// Settle is how long labels and reports must disagree before the engine is
	// taken to differ from its labels: both are some seconds old, and a change
	// by the controller shows in one before the other.
	Settle time.Duration
	// RetryAfter is how long a server gets no orders after a failed one.
	RetryAfter time.Duration
}

// Defaults of Options. The steepest demand swing of an academic term, on the eve
// of a deadline, takes hours; a change drains an engine, which takes as long as
// its longest answer, about a minute.
const (
	DefaultSmooth     = 30 * time.Second
	DefaultSustain    = 2 * time.Minute
	DefaultStay       = 20 * time.Minute
	DefaultHigh       = 0.8
	DefaultGap        = 0.1
	DefaultGain       = 0.5
	DefaultMaxLoads   = 2
	DefaultSettle     = 15 * time.Second
	DefaultRetryAfter = time.Minute
)

func (o Options) withDefaults() Options {
	o.Smooth = cmp.Or(o.Smooth, DefaultSmooth)
	o.Sustain = cmp.Or(o.Sustain, DefaultSustain)
	o.Stay = cmp.Or(o.Stay, DefaultStay)
	o.High = cmp.Or(o.High, DefaultHigh)
	o.Gap = cmp.Or(o.Gap, DefaultGap)
	o.Gain = cmp.Or(o.Gain, DefaultGain)
	o.MaxLoads = cmp.Or(o.MaxLoads, DefaultMaxLoads)
	o.Settle = cmp.Or(o.Settle, DefaultSettle)
	o.RetryAfter = cmp.Or(o.RetryAfter, DefaultRetryAfter)
	return o
}

// Server is the last known state of one engine of a pool.
type Server struct {
	ID string
	// Role, Model and Version are declared by its labels.
	Role, Model, Version string
	// EngineRole, EngineModel and EngineVersion are reported by the engine.
	EngineRole, EngineModel, EngineVersion string
	// Known: there is a fresh report.
	Known bool
	// Usable: live, with a fresh report, neither down nor leaving nor drained.
	Usable bool
	// Shared: other pools select it too.
	Shared bool
	// Movable: not shared, and still in this pool if its role label changes to
	// the other role.
	Movable bool
	Slots   int
	// Used is the number of running decodes, Queued of waiting and running
	// prefills.
	Used, Queued int
}

// Pool is the last known state of one pool of engines.
type Pool struct {
	Name string
	// MinPrefill and MinDecode are the minimum numbers of engines; a value below
	// 1 means 1.
	MinPrefill, MinDecode int
	// Version is the version to be served, or "" for the version of each
	// server's label.
	Version string
	// Queued and Refused are the numbers of requests that found no capacity.
	Queued, Refused int
	Servers         []Server
}

// Kind is the kind of an order.
type Kind int

// The kinds of order.
const (
	ChangeRole Kind = iota
	ChangeVersion
	ChangeModel
)

// Order is one change of one engine.
type Order struct {
	Pool, Server string
	Kind         Kind
	Value        string
	// From is the previous role, for ChangeRole only. With Relabel the label is
	// changed after the engine; otherwise the engine is changed to match its
	// label.
	From    string
	Relabel bool
}

// poolState is what a Controller keeps about one pool.
type poolState struct {
	// prefill and decode are the smoothed work of each role, in fully loaded
	// engines. Unlike the pressure, work doesn't jump when an engine comes or
	// goes.
	prefill, decode float64
	sampled         time.Time
	// worthwhileSince is when a change in the direction of toPrefill became
	// worthwhile, or zero.
	toPrefill       bool
	worthwhileSince time.Time
	// shortSince is when a role fell below its minimum, or zero.
	shortSince time.Time
	// changed is when a role was last changed, or else when the controller first
	// saw the pool; lastTo is the role it was changed to, "" if none was.
	changed time.Time
	lastTo  string
	order   *Order
}

// Controller is the state machine. It isn't safe for concurrent use.
type Controller struct {
	opts    Options
	pools   map[string]*poolState
	leading bool
	loads   int
	// cooldownUntil maps a server to the time until which it gets no orders.
	cooldownUntil map[string]time.Time
	// differsSince maps a server to when it was first seen to differ from its
	// labels.
	differsSince map[string]time.Time
}

// New returns a controller that isn't leading.
func New(o Options) *Controller {
	c := &Controller{opts: o.withDefaults()}
	c.reset()
	return c
}

func (c *Controller) reset() {
	c.pools = make(map[string]*poolState)
	c.cooldownUntil = make(map[string]time.Time)
	c.differsSince = make(map[string]time.Time)
	c.loads = 0
}

// Tick gets the state of the pools and returns the orders to give now. Done
// must be called at the end of each. When it stops leading, the controller
// drops its state and gives no orders. A new leader doesn't know when its
// predecessor changed a role, and waits for Sustain instead of Stay; leaders
// change too seldom for this to cause flapping.
func (c *Controller) Tick(now time.Time, leading bool, pools []Pool) []Order {
	if !leading {
		if c.leading {
			c.reset()
		}
		c.leading = false
		return nil
	}
	c.leading = true
	var out []Order
	for i := range pools {
		p := &pools[i]
		m := c.pools[p.Name]
		if m == nil {
			m = &poolState{changed: now}
			c.pools[p.Name] = m
		}
		m.sample(now, p, c.opts.Smooth)
		if m.order != nil {
			continue
		}
		if o, ok := c.decide(now, p, m); ok {
			c.begin(now, m, o)
			out = append(out, o)
		}
	}
	return out
}

func (c *Controller) begin(now time.Time, m *poolState, o Order) {
	m.order = &o
	if o.Kind != ChangeRole {
		c.loads++
	}
	if o.Relabel {
		m.changed, m.lastTo = now, o.Value
		m.worthwhileSince = time.Time{}
	}
}

// View is the controller's view of a pool, for the state dump.
type View struct {
	Pool string `json:"pool"`
	// Prefill and Decode are the numbers of engines that serve the role; the
	// work is in fully loaded engines.
	Prefill     int     `json:"prefill"`
	Decode      int     `json:"decode"`
	PrefillWork float64 `json:"prefillWork"`
	DecodeWork  float64 `json:"decodeWork"`
}

// Views returns the views of the pools that were passed to the last Tick.
func (c *Controller) Views(pools []Pool) []View {
	out := make([]View, 0, len(pools))
	for i := range pools {
		p := &pools[i]
		v := View{Pool: p.Name, Prefill: p.serving(object.RolePrefill), Decode: p.serving(object.RoleDecode)}
		if m := c.pools[p.Name]; m != nil {
			v.PrefillWork, v.DecodeWork = m.prefill, m.decode
		}
		out = append(out, v)
	}
	return out
}

// Done must be called when an order has ended; ok is false if it failed.
func (c *Controller) Done(now time.Time, o Order, ok bool) {
	m := c.pools[o.Pool]
	if m == nil || m.order == nil || *m.order != o {
		return
	}
	m.order = nil
	if o.Kind != ChangeRole {
		c.loads--
	}
	c.cooldownUntil[o.Server] = now.Add(c.opts.Settle)
	if !ok {
		c.cooldownUntil[o.Server] = now.Add(c.opts.RetryAfter)
	}
	if !o.Relabel {
		return
	}
	m.changed = now
	if ok {
		// Until the engine's next report the role still looks short. Unless
		// Sustain starts again, a second engine would be moved for the same
		// shortage, and nothing would move it back.
		m.shortSince = time.Time{}
	}
}

// decide returns the pool's next change. Declared labels and versions take
// precedence over balancing by load.
func (c *Controller) decide(now time.Time, p *Pool, m *poolState) (Order, bool) {
	if o, ok := c.followLabels(now, p); ok {
		return o, true
	}
	if o, ok := c.rollOut(now, p); ok {
		return o, true
	}
	return c.balance(now, p, m)
}

// serving counts the engines that serve a role now.
func (p *Pool) serving(role string) int {
	n := 0
	for i := range p.Servers {
		if p.Servers[i].serves(role) {
			n++
		}
	}
	return n
}

func (s *Server) serves(role string) bool {
	return s.Usable && s.Role == role && !s.wrongRole()
}

// wrongRole reports whether the engine has the role opposite to its label. An
// engine that reports neither role serves both.
func (s *Server) wrongRole() bool {
	other := otherRole(s.Role)
	return other != "" && s.EngineRole == other
}

func otherRole(role string) string {
	switch role {
	case object.RolePrefill:
		return object.RoleDecode
	case object.RoleDecode:
		return object.RolePrefill
	}
	return ""
}

func (p *Pool) minimum(role string) int {
	if role == object.RolePrefill {
		return max(1, p.MinPrefill)
	}
	return max(1, p.MinDecode)
}

// canSpare reports whether the role has more engines than its minimum.
func (p *Pool) canSpare(role string) bool { return p.serving(role) > p.minimum(role) }

func (c *Controller) coolingDown(now time.Time, id string) bool {
	until, ok := c.cooldownUntil[id]
	if ok && !now.Before(until) {
		delete(c.cooldownUntil, id)
		return false
	}
	return ok
}
