package capacity

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"jayford.example/jayford/internal/object"
)

const (
	every = 5 * time.Second
	slots = 20
)

func newPool(prefill, decode int) *Pool {
	p := &Pool{Name: "p"}
	for i := range prefill + decode {
		role := object.RolePrefill
		if i >= prefill {
			role = object.RoleDecode
		}
		p.Servers = append(p.Servers, Server{
			ID: fmt.Sprint("s", i), Role: role, EngineRole: role, Known: true, Usable: true, Movable: true, Slots: slots,
		})
	}
	return p
}

// apply carries out an order: the engine and its label change.
func (p *Pool) apply(o Order) {
	for i := range p.Servers {
		s := &p.Servers[i]
		if s.ID != o.Server {
			continue
		}
		s.Usable = true
		switch o.Kind {
		case ChangeRole:
			s.Role, s.EngineRole = o.Value, o.Value
		case ChangeVersion:
			s.EngineVersion = o.Value
		case ChangeModel:
			s.EngineModel = o.Value
		}
	}
}

// simulation simulates the demand of an academic term, from nearly none to a
// deadline.
type simulation struct {
	pool             *Pool
	now              time.Time
	backlog          float64
	changes          int
	short, avoidable time.Duration
	busyUntil        time.Time
	order            *Order
}

// demand returns the offered work on a day of the term, in engines: it swings by
// 40 % over each day, the share of prefill is highest at night, when batches with
// long prompts run, and each sample has 10 % noise.
func demand(day, days float64, rnd *rand.Rand) (prefill, decode float64) {
	part := day / days
	season := 0.5 + 10*part*part
	hour := math.Sin(2 * math.Pi * day)
	total := season * (1 + 0.4*hour)
	share := 0.35 - 0.15*hour
	noise := func() float64 { return 1 + 0.1*rnd.NormFloat64() }
	return total * share * noise(), total * (1 - share) * noise()
}

func (s *simulation) load(prefill, decode float64) {
	n, d := float64(s.pool.serving(object.RolePrefill)), float64(s.pool.serving(object.RoleDecode))
	if prefill > n || decode > d {
		s.short += every
		if math.Ceil(prefill)+math.Ceil(decode) <= float64(len(s.pool.Servers)) {
			s.avoidable += every
		}
	}
	s.backlog = max(0, s.backlog+(prefill-n)*every.Seconds())
	s.backlog = min(s.backlog, 60*n)
	inside := min(64, prefill/n/max(0.02, 1-prefill/n)+s.backlog/n)
	if prefill >= n {
		inside = 64
	}
	for i := range s.pool.Servers {
		v := &s.pool.Servers[i]
		v.Used, v.Queued = 0, 0
		if v.Role == object.RolePrefill {
			v.Queued = int(inside)
		} else {
			v.Used = int(min(slots, slots*decode/d))
		}
	}
	s.pool.Queued = int(max(0, decode-d) * slots)
}

// simulate runs a term; a change keeps its engine out of service for a minute.
func simulate(o Options, follow bool) *simulation {
	const days = 28
	rnd := rand.New(rand.NewPCG(1, 2))
	s := &simulation{pool: newPool(4, 8), now: time.Unix(0, 0)}
	c := New(o)
	begin := s.now
	for s.now.Sub(begin) < days*24*time.Hour {
		s.now = s.now.Add(every)
		if s.order != nil && s.now.After(s.busyUntil) {
			s.pool.apply(*s.order)
			c.Done(s.now, *s.order, true)
			s.order = nil
		}
		s.load(demand(s.now.Sub(begin).Hours()/24, days, rnd))
		for _, order := range c.Tick(s.now, follow, []Pool{*s.pool}) {
			s.changes++
			s.order, s.busyUntil = &order, s.now.Add(time.Minute)
			for i := range s.pool.Servers {
				if s.pool.Servers[i].ID == order.Server {
					s.pool.Servers[i].Usable = false
				}
			}
		}
	}
	return s
}

// Demand rises from nearly none to overload over a term, with daily swings and
// noise. Without hysteresis roles would change at each swing, with engines out of
// service for it; with a fixed split one role would be short while engines of the
// other are idle.
func TestTermSwing(t *testing.T) {
	fixed := simulate(Options{}, false)
	withoutHysteresis := simulate(Options{Smooth: time.Second, Sustain: time.Nanosecond, Stay: time.Nanosecond, Gap: 1e-9, Gain: 1e-9}, true)
	s := simulate(Options{}, true)
	t.Logf("figure: 28 days, 12 engines: fixed split short %s, of it avoidable %s", fixed.short, fixed.avoidable)
	t.Logf("figure: without hysteresis %d changes, short %s, of it avoidable %s", withoutHysteresis.changes, withoutHysteresis.short, withoutHysteresis.avoidable)
	t.Logf("figure: with hysteresis %d changes, short %s, of it avoidable %s", s.changes, s.short, s.avoidable)
	assert.Assert(t, s.avoidable < fixed.avoidable/2, "capacity doesn't follow demand")
	assert.Assert(t, s.changes < 28*4, "more than 4 changes a day")
	assert.Assert(t, s.changes < withoutHysteresis.changes/2)
}

// rules drives a controller and checks each order.
type rules struct {
	pool    *Pool
	c       *Controller
	now     time.Time
	open    *Order
	leading bool
}

func (r *rules) tick(t *rapid.T) {
	r.now = r.now.Add(every)
	for _, o := range r.c.Tick(r.now, r.leading, []Pool{*r.pool}) {
		if !r.leading {
			t.Fatalf("order without a lease: %+v", o)
		}
		if r.open != nil {
			t.Fatalf("%+v while %+v runs", o, *r.open)
		}
		from := o.From
		if o.Kind == ChangeVersion {
			from = r.server(o.Server).Role
		}
		if (o.Relabel || o.Kind == ChangeVersion) && r.pool.serving(from)-1 < r.pool.minimum(from) {
			t.Fatalf("%+v takes %s below its minimum", o, from)
		}
		r.open = &o
	}
}

func (r *rules) server(id string) *Server {
	for i := range r.pool.Servers {
		if r.pool.Servers[i].ID == id {
			return &r.pool.Servers[i]
		}
	}
	return nil
}

func (r *rules) done(t *rapid.T) {
	if r.open == nil {
		return
	}
	ok := rapid.Bool().Draw(t, "ok")
	if ok {
		r.pool.apply(*r.open)
	}
	r.c.Done(r.now, *r.open, ok)
	r.open = nil
}

// lead acquires or loses the lease. The caller of a Controller ends its orders
// before it leads again.
func (r *rules) lead(t *rapid.T) {
	if r.leading = rapid.Bool().Draw(t, "leading"); !r.leading {
		r.c.Tick(r.now, false, nil)
		r.open = nil
	}
}

// Load, minimums, versions and the lease change at any time, engines come and go,
// and orders end late or fail. Each order must keep the rules that tick checks.
func TestOrdersKeepTheRules(t *testing.T) {
	orders := 0
	rapid.Check(t, func(t *rapid.T) {
		r := &rules{
			pool: newPool(rapid.IntRange(1, 5).Draw(t, "prefill"), rapid.IntRange(1, 5).Draw(t, "decode")),
			c:    New(Options{Smooth: every, Sustain: every, Stay: 2 * every, Settle: every, RetryAfter: every}),
			now:  time.Unix(0, 0), leading: true,
		}
		n := rapid.IntRange(0, 40)
		server := func(t *rapid.T) *Server {
			return &r.pool.Servers[rapid.IntRange(0, len(r.pool.Servers)-1).Draw(t, "s")]
		}
		t.Repeat(map[string]func(*rapid.T){
			"tick": r.tick,
			"done": func(t *rapid.T) {
				if r.open != nil {
					orders++
				}
				r.done(t)
			},
			"lead":    r.lead,
			"load":    func(t *rapid.T) { s := server(t); s.Used, s.Queued = n.Draw(t, "used"), n.Draw(t, "queued") },
			"usable":  func(t *rapid.T) { server(t).Usable = rapid.IntRange(0, 3).Draw(t, "usable") > 0 },
			"restart": func(t *rapid.T) { s := server(t); s.EngineRole, s.EngineVersion = otherRole(s.Role), "" },
			"minimum": func(t *rapid.T) {
				r.pool.MinPrefill, r.pool.MinDecode = rapid.IntRange(0, 4).Draw(t, "p"), rapid.IntRange(0, 4).Draw(t, "d")
			},
			"version": func(t *rapid.T) { r.pool.Version = rapid.SampledFrom([]string{"", "v1", "v2"}).Draw(t, "v") },
		})
	})
	assert.Assert(t, orders > 10, "too few orders to check: %d", orders)
}

// An operator changes the role label. The engine must follow, but only after
// Settle, as label and report are both seconds old and may disagree for a while.
func TestEngineFollowsItsLabel(t *testing.T) {
	p := newPool(2, 2)
	c := New(Options{})
	now := time.Unix(0, 0)
	p.Servers[0].Role = object.RoleDecode
	for range 3 {
		assert.Equal(t, len(c.Tick(now, true, []Pool{*p})), 0)
		now = now.Add(every)
	}
	orders := c.Tick(now, true, []Pool{*p})
	assert.DeepEqual(t, orders, []Order{{Pool: "p", Server: "s0", Kind: ChangeRole, Value: "decode", From: "prefill"}})
}

// After a leader's start the engines' reports arrive one by one. Engines
// without a report must not count as missing, or the leader would move an
// engine to replace them.
func TestUnknownEnginesAreNotMissing(t *testing.T) {
	p := newPool(3, 3)
	p.MinDecode = 2
	for i := range p.Servers {
		if p.Servers[i].Role == object.RoleDecode {
			p.Servers[i].Known, p.Servers[i].Usable = false, false
		}
	}
	c := New(Options{})
	now := time.Unix(0, 0)
	for range 100 {
		assert.Equal(t, len(c.Tick(now, true, []Pool{*p})), 0)
		now = now.Add(every)
	}
	// Engines that report that they are down do count as missing.
	for i := range p.Servers {
		p.Servers[i].Known = true
	}
	c.Tick(now, true, []Pool{*p})
	orders := c.Tick(now.Add(DefaultSustain), true, []Pool{*p})
	assert.Equal(t, len(orders), 1)
	assert.Equal(t, orders[0].Value, object.RoleDecode)
}

// A new version is rolled out to one engine at a time in each pool, and to at
// most MaxLoads at once over all pools, as they share the weight store's
// bandwidth.
func TestVersionRollOut(t *testing.T) {
	c := New(Options{})
	now := time.Unix(0, 0)
	var pools []Pool
	for i := range 4 {
		p := newPool(2, 2)
		p.Name, p.Version = fmt.Sprint("p", i), "v2"
		pools = append(pools, *p)
	}
	done := 0
	for range 200 {
		orders := c.Tick(now, true, pools)
		assert.Assert(t, len(orders) <= DefaultMaxLoads)
		now = now.Add(every)
		for _, o := range orders {
			for i := range pools {
				if pools[i].Name == o.Pool {
					pools[i].apply(o)
				}
			}
			c.Done(now, o, true)
			done++
		}
	}
	assert.Equal(t, done, 16)
}
