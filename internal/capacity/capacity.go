// Package capacity decides which engines change their role, version or model,
// so that a pool's prefill and decode engines follow its demand and its
// operators' intent.
//
// All of it is a state machine: the time and what is known of the pools come
// with each Tick, which returns the orders to give. Orders are given only while
// the caller holds the lease of its region.
package capacity

import (
	"cmp"
	"time"

	"jayford.example/jayford/internal/object"
)

// Options of a Controller. Zero values stand for the defaults.
type Options struct {
	// Smooth is the time over which pressure is averaged.
	Smooth time.Duration
	// Sustain is how long a change must look worth while before it is ordered.
	Sustain time.Duration
	// Stay is the least time from a change of role in a pool to one back. The
	// next in the same direction need only be worth while for Sustain again.
	Stay time.Duration
	// High is the pressure above which a role asks for another engine.
	High float64
	// Gap is the least difference of the two roles' pressures for a change, and
	// Gain the least part that the higher pressure's fall must be of the fall
	// that the new engine could bring. They are the hysteresis: a demand that
	// swings by less than twice Gap moves nothing, and in a small pool, where
	// one engine is more than Gap, no change overshoots.
	Gap, Gain float64
	// MaxLoads bounds the orders at once that read weights, over all pools:
	// they share the weight store's rate, so more at once would only keep more
	// engines out of service for longer.
	MaxLoads int
	// Settle is how long labels and reports may disagree before that is taken
	// for a difference: both are some seconds old, and a change of ours shows
	// in one before the other.
	Settle time.Duration
	// RetryAfter is how long a server isn't ordered again after a failure.
	RetryAfter time.Duration
}

// Defaults of Options. Of a term's swing the steepest part, a deadline's eve,
// takes hours; a change costs a drain of the longest answer, about a minute.
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

// Server is what is known of one engine of a pool.
type Server struct {
	ID string
	// Role, Model and Version are declared by its labels.
	Role, Model, Version string
	// EngineRole, EngineModel and EngineVersion are what the engine says.
	EngineRole, EngineModel, EngineVersion string
	// Known: there is a fresh report.
	Known bool
	// Usable: live, with a fresh report, neither down nor leaving nor drained.
	Usable bool
	// Shared: other pools select it too.
	Shared bool
	// Movable: not shared, and with the other role's label still in this pool.
	Movable bool
	Slots   int
	// Used decodes run; Queued prefills wait or run.
	Used, Queued int
}

// Pool is what is known of one pool of engines.
type Pool struct {
	Name string
	// MinPrefill and MinDecode are the least engines; at least 1.
	MinPrefill, MinDecode int
	// Version to be served; "" for that of each server's label.
	Version string
	// Queued and Refused requests found no capacity.
	Queued, Refused int
	Servers         []Server
}

// Kind is a kind of order.
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
	// From is the role before; for ChangeRole only. With Relabel the label
	// follows the engine, else the engine follows the label.
	From    string
	Relabel bool
}

// pool is what a Controller remembers of a pool.
type pool struct {
	// prefill and decode are the smoothed work of each role, in full engines.
	// Unlike the pressure it doesn't jump when an engine comes or goes.
	prefill, decode float64
	sampled         time.Time
	// toPrefill says which way a change looked worth while since when.
	toPrefill bool
	since     time.Time
	// shortSince is since when a role has been below its least number.
	shortSince time.Time
	// changed is when a role was last changed, or the lead was taken; lastTo
	// is the role it was changed to, "" after the lead was taken.
	changed time.Time
	lastTo  string
	order   *Order
}

// Controller is the state machine. It isn't safe for several goroutines.
type Controller struct {
	opts    Options
	pools   map[string]*pool
	leading bool
	loads   int
	// resting servers had an order and rest until then.
	resting map[string]time.Time
	// differing servers disagree with their labels since then.
	differing map[string]time.Time
}

// New returns a controller that doesn't lead.
func New(o Options) *Controller {
	c := &Controller{opts: o.withDefaults()}
	c.forget()
	return c
}

func (c *Controller) forget() {
	c.pools = make(map[string]*pool)
	c.resting = make(map[string]time.Time)
	c.differing = make(map[string]time.Time)
	c.loads = 0
}

// Tick takes what is known and returns the orders to give now. Each must be
// reported by Done. A controller that doesn't lead gives none and forgets all:
// a new leader doesn't know what its predecessor changed when, and waits for
// Sustain only. Leads change too seldom for that to be flapping.
func (c *Controller) Tick(now time.Time, leading bool, pools []Pool) []Order {
	if !leading {
		if c.leading {
			c.forget()
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
			m = &pool{changed: now}
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

func (c *Controller) begin(now time.Time, m *pool, o Order) {
	m.order = &o
	if o.Kind != ChangeRole {
		c.loads++
	}
	if o.Relabel {
		m.changed, m.lastTo = now, o.Value
		m.since = time.Time{}
	}
}

// View is what the controller makes of a pool, for the state dump.
type View struct {
	Pool string `json:"pool"`
	// Prefill and Decode engines serve; the work is in full engines.
	Prefill     int     `json:"prefill"`
	Decode      int     `json:"decode"`
	PrefillWork float64 `json:"prefillWork"`
	DecodeWork  float64 `json:"decodeWork"`
}

// Views returns the views of the pools that were given to the last Tick.
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

// Done says that an order has ended, well or not.
func (c *Controller) Done(now time.Time, o Order, ok bool) {
	m := c.pools[o.Pool]
	if m == nil || m.order == nil || *m.order != o {
		return
	}
	m.order = nil
	if o.Kind != ChangeRole {
		c.loads--
	}
	c.resting[o.Server] = now.Add(c.opts.Settle)
	if !ok {
		c.resting[o.Server] = now.Add(c.opts.RetryAfter)
	}
	if !o.Relabel {
		return
	}
	m.changed = now
	if ok {
		// The pool looks as short as before until the engine's next report.
		// Without waiting for Sustain anew, a second engine would be moved for
		// the same lack, and nothing would bring it back.
		m.shortSince = time.Time{}
	}
}

// decide returns the pool's next change. What the labels and the intent declare
// comes before what the load suggests.
func (c *Controller) decide(now time.Time, p *Pool, m *pool) (Order, bool) {
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

// wrongRole says that the engine surely has another role than its label. An
// engine that names neither role serves both.
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

func (p *Pool) least(role string) int {
	if role == object.RolePrefill {
		return max(1, p.MinPrefill)
	}
	return max(1, p.MinDecode)
}

// spares says whether the pool can do without one engine of the role.
func (p *Pool) spares(role string) bool { return p.serving(role) > p.least(role) }

func (c *Controller) rests(now time.Time, id string) bool {
	until, ok := c.resting[id]
	if ok && !now.Before(until) {
		delete(c.resting, id)
		return false
	}
	return ok
}
