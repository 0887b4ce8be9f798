package blame

import (
	"container/heap"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// Times of the fleet, and the bounds that it is checked for.
const (
	fleetTime = 40 * time.Second
	// guiltyFrom is when requests with guilty parts begin.
	guiltyFrom = 5 * time.Second
	// knownAfter is how long after the crash number crashesUntilKnown at most maxLate
	// requests with a guilty part reach a server.
	knownAfter        = 3 * time.Second
	crashesUntilKnown = 5
	maxLate           = 3
	// gatewayDown is how long a gateway that ends isn't there, repeatPeriod how long its
	// reports are repeated, and updateInterval that of full updates.
	gatewayDown    = 500 * time.Millisecond
	repeatPeriod   = 2500 * time.Millisecond
	repeatInterval = 250 * time.Millisecond
	updateInterval = time.Second
	// resetAnswer is how soon a server that was only reset shows that it lives.
	resetAnswer = 60 * time.Millisecond
)

// event is a step of the fleet at a time.
type event struct {
	at   time.Duration
	step func()
}

type eventQueue []event

func (q eventQueue) Len() int           { return len(q) }
func (q eventQueue) Less(i, j int) bool { return q[i].at < q[j].at }
func (q eventQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any) {
	e, _ := x.(event)
	*q = append(*q, e)
}

func (q *eventQueue) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
}

// fleet is a number of gateways with views of their own before model servers that crash under
// guilty parts.
type fleet struct {
	rnd      *rand.Rand
	now      time.Duration
	queue    eventQueue
	gateways []*fleetGateway
	servers  []*fleetServer
	// firsts is the number of first parts that sound and guilty requests share, guilty has the
	// parts that crash servers.
	firsts  int
	guilty  []uint64
	crashes map[uint64][]time.Duration
	late    map[uint64]int
	// served and refused count the sound requests after the guilty parts should be known.
	served, refused int
	lastRequest     uint64
	// stored has the convictions in the gateways' objects, which outlast them.
	stored map[*fleetGateway][]Loss
}

type fleetGateway struct {
	f      *fleet
	ledger *Ledger
	// upSince is when the gateway started, or was last cut off.
	upSince time.Duration
	cut     bool
	down    bool
}

type fleetServer struct {
	id, start uint64
	down      bool
	runs      []*fleetRun
}

type fleetRun struct {
	g       *fleetGateway
	request uint64
	parts   []uint64
	server  *fleetServer
	began   time.Duration
	// wroteAt is when it began to write, 0 before.
	wroteAt time.Duration
	ended   bool
	// late: it reached a server when its part should have been known.
	late  bool
	again int
}

func (f *fleet) time() time.Time { return start.Add(f.now) }

func (f *fleet) in(d time.Duration, step func()) { heap.Push(&f.queue, event{f.now + d, step}) }

func (f *fleet) between(a, b time.Duration) time.Duration {
	return a + time.Duration(f.rnd.Int64N(int64(b-a)))
}

func (f *fleet) newLedger(g *fleetGateway) {
	g.ledger = NewLedger(LedgerOptions{OnChange: func(c Change) {
		for _, x := range c.Reports {
			f.tell(g, func(l *Ledger) { l.RecordLoss(x, f.time()) })
		}
		for _, p := range c.Proofs {
			f.tell(g, func(l *Ledger) { l.RecordProof(p, f.time()) })
		}
	}})
	g.upSince = f.now
}

// tell brings a report to each peer, repeated for as long as one of the two is cut off.
func (f *fleet) tell(from *fleetGateway, report func(*Ledger)) {
	for _, to := range f.gateways {
		if to != from {
			f.deliver(from, to, report, f.now)
		}
	}
}

func (f *fleet) deliver(from, to *fleetGateway, report func(*Ledger), since time.Duration) {
	f.in(f.between(time.Millisecond, 40*time.Millisecond), func() {
		switch {
		case !from.cut && !to.cut && !to.down:
			report(to.ledger)
		case f.now-since < repeatPeriod:
			f.in(repeatInterval, func() { f.deliver(from, to, report, since) })
		}
	})
}

// update tells a peer of the convictions.
func (f *fleet) update(from *fleetGateway) {
	f.in(f.between(updateInterval/2, updateInterval), func() { f.update(from) })
	if from.down {
		return
	}
	f.stored[from] = from.ledger.Convictions(24, f.time())
	if from.cut {
		return
	}
	to := f.gateways[f.rnd.IntN(len(f.gateways))]
	if to == from || to.down || to.cut {
		return
	}
	for _, x := range append(from.ledger.Convictions(24, f.time()), from.ledger.Suspicions(24, f.time())...) {
		to.ledger.RecordLoss(x, f.time())
	}
}

// request sends one request, which comes to any gateway.
func (f *fleet) request(id uint64, parts []uint64, again int) {
	g := f.gateways[f.rnd.IntN(len(f.gateways))]
	if g.down {
		return
	}
	f.judged(g, &fleetRun{g: g, request: id, parts: parts, again: again}, true)
}

// judged goes on with a request that may run: to its prefill, then to its decode.
func (f *fleet) judged(g *fleetGateway, r *fleetRun, prefill bool) {
	j := g.ledger.JudgeParts(r.parts, f.time())
	if !j.Convicted {
		j = g.ledger.Judge(r.request, f.time())
	}
	settled := f.now > f.knownAt()+2*knownAfter
	guilty := f.guiltyPart(r.parts)
	switch {
	case j.Convicted && guilty == 0 && settled:
		f.refused++
		return
	case j.Convicted:
		return
	case j.Unsettled > 0:
		f.in(j.Unsettled+time.Millisecond, func() { f.judged(g, r, prefill) })
		return
	}
	if guilty != 0 && !r.late && f.isLate(g, guilty) {
		r.late = true
		f.late[guilty]++
	}
	if prefill {
		f.in(f.between(30*time.Millisecond, 150*time.Millisecond), func() { f.judged(g, r, false) })
		return
	}
	f.run(r)
}

// isLate reports whether a gateway in touch should know the part by now.
func (f *fleet) isLate(g *fleetGateway, part uint64) bool {
	c := f.crashes[part]
	return len(c) >= crashesUntilKnown && f.now > c[crashesUntilKnown-1]+knownAfter && !g.cut && f.now > g.upSince+knownAfter
}

// knownAt returns when the last of the guilty parts should be known.
func (f *fleet) knownAt() time.Duration {
	var out time.Duration
	for _, c := range f.crashes {
		if len(c) > 0 {
			out = max(out, c[min(len(c), crashesUntilKnown)-1])
		}
	}
	return out
}

func (f *fleet) guiltyPart(parts []uint64) uint64 {
	for _, p := range parts {
		for _, g := range f.guilty {
			if p == g {
				return p
			}
		}
	}
	return 0
}

// run runs a request at the server with the fewest runs.
func (f *fleet) run(r *fleetRun) {
	var best *fleetServer
	for _, s := range f.servers {
		if !s.down && (best == nil || len(s.runs) < len(best.runs)) {
			best = s
		}
	}
	if best == nil {
		return
	}
	r.server, r.began = best, f.now
	best.runs = append(best.runs, r)
	f.in(f.between(5*time.Millisecond, 60*time.Millisecond), func() {
		if r.ended {
			return
		}
		if part := f.guiltyPart(r.parts); part != 0 {
			f.in(f.between(15*time.Millisecond, 90*time.Millisecond), func() { f.crash(best, part, r) })
			return
		}
		r.wroteAt = f.now
		f.in(ProvenTime, func() { f.prove(r) })
		f.in(f.between(400*time.Millisecond, 2500*time.Millisecond), func() { f.complete(r) })
	})
}

func (f *fleet) prove(r *fleetRun) {
	if !r.ended && !r.g.down {
		r.g.ledger.RecordRun(Run{Model: testModel, Parts: r.parts, Began: start.Add(r.wroteAt)}, f.time())
	}
}

func (f *fleet) complete(r *fleetRun) {
	if r.ended {
		return
	}
	r.ended = true
	r.server.runs = slices.DeleteFunc(r.server.runs, func(o *fleetRun) bool { return o == r })
	if f.now > f.knownAt()+2*knownAfter {
		f.served++
	}
	if !r.g.down {
		r.g.ledger.RecordSuccess(r.request, f.time())
	}
}

// crash ends a server under a run with a guilty part, or by itself if the run is nil.
func (f *fleet) crash(s *fleetServer, part uint64, r *fleetRun) {
	if s.down || r != nil && r.ended {
		return
	}
	if part != 0 {
		f.crashes[part] = append(f.crashes[part], f.now)
	}
	s.down = true
	f.lose(s)
	f.in(f.between(time.Second, 4*time.Second), func() {
		s.down = false
		s.start++
	})
}

// lose loses all runs at a server. Each is sent once more.
func (f *fleet) lose(s *fleetServer) {
	runs := s.runs
	s.runs = nil
	for _, r := range runs {
		r.ended = true
		if r.g.down {
			continue
		}
		x := Loss{
			Request: r.request, Server: s.id, ID: NewLossID(), Began: start.Add(r.began), Lost: f.time(), Prompt: true, Model: testModel,
		}
		if r.wroteAt == 0 || f.now-r.wroteAt < ProvenTime {
			x.Parts = r.parts
		}
		r.g.ledger.RecordLoss(x, f.time())
		f.tell(r.g, func(l *Ledger) { l.RecordLoss(x, f.time()) })
		if r.again == 0 {
			f.in(f.between(time.Millisecond, 300*time.Millisecond), func() { f.request(r.request, r.parts, 1) })
		}
	}
}

// reset resets the connections of a server that lives on: gateways that lost it ask it soon.
func (f *fleet) reset(s *fleetServer) {
	if s.down {
		return
	}
	var lost []*fleetGateway
	for _, r := range s.runs {
		if !slices.Contains(lost, r.g) {
			lost = append(lost, r.g)
		}
	}
	f.lose(s)
	for _, g := range lost {
		f.in(resetAnswer, func() {
			if !g.down && !s.down {
				g.ledger.RecordAnswer(Answer{Server: s.id, Sent: f.time().Add(-time.Millisecond), Connected: f.time(), Identified: true}, f.time())
			}
		})
	}
}

// poisson repeats a step at random times, perSecond in the mean.
func (f *fleet) poisson(from time.Duration, perSecond float64, step func()) {
	if perSecond <= 0 {
		return
	}
	f.in(from+time.Duration(f.rnd.ExpFloat64()/perSecond*float64(time.Second)), func() {
		step()
		f.poisson(0, perSecond, step)
	})
}

func (f *fleet) newParts(part uint64) (id uint64, parts []uint64) {
	f.lastRequest++
	parts = []uint64{1 + f.rnd.Uint64N(uint64(f.firsts))}
	if part != 0 {
		parts = append(parts, part)
	}
	return 1_000_000 + f.lastRequest, parts
}

func (f *fleet) play() {
	heap.Init(&f.queue)
	for len(f.queue) > 0 && f.now < fleetTime {
		e, _ := heap.Pop(&f.queue).(event)
		f.now = e.at
		e.step()
	}
}

// fleetParams describe a fleet and its faults. Rates are per second.
type fleetParams struct {
	seed                      uint64
	firsts, gateways, servers int
	sound                     float64
	// guilty has the rates of requests with each guilty part.
	guilty                      []float64
	crashes, resets, ends, cuts float64
}

func drawParams(t *rapid.T) fleetParams {
	return fleetParams{
		seed:     rapid.Uint64().Draw(t, "seed"),
		firsts:   rapid.SampledFrom([]int{1, 2, 5, 20}).Draw(t, "first parts"),
		gateways: rapid.IntRange(2, 6).Draw(t, "gateways"),
		servers:  rapid.IntRange(6, 12).Draw(t, "servers"),
		sound:    rapid.SampledFrom([]float64{10, 20, 40}).Draw(t, "sound"),
		guilty:   rapid.SliceOfN(rapid.SampledFrom([]float64{0.5, 1, 4, 10}), 0, 3).Draw(t, "guilty"),
		crashes:  rapid.SampledFrom([]float64{0, 0.1, 0.3}).Draw(t, "crashes"),
		resets:   rapid.SampledFrom([]float64{0, 0.5}).Draw(t, "resets"),
		ends:     rapid.SampledFrom([]float64{0, 0.1}).Draw(t, "gateways' ends"),
		cuts:     rapid.SampledFrom([]float64{0, 0.1}).Draw(t, "cuts"),
	}
}

func newFleet(p fleetParams) *fleet {
	f := &fleet{
		rnd: rand.New(rand.NewPCG(p.seed, 1)), firsts: p.firsts,
		crashes: map[uint64][]time.Duration{}, late: map[uint64]int{}, stored: map[*fleetGateway][]Loss{},
	}
	for range p.gateways {
		g := &fleetGateway{f: f}
		f.newLedger(g)
		f.gateways = append(f.gateways, g)
		f.update(g)
	}
	for i := range p.servers {
		f.servers = append(f.servers, &fleetServer{id: uint64(i)})
	}
	f.poisson(0, p.sound, func() {
		id, parts := f.newParts(0)
		f.request(id, parts, 0)
	})
	for i, rate := range p.guilty {
		part := uint64(1000 + i)
		f.guilty = append(f.guilty, part)
		f.poisson(guiltyFrom, rate, func() {
			id, parts := f.newParts(part)
			f.request(id, parts, 0)
		})
	}
	f.poisson(0, p.crashes, func() { f.crash(f.anyServer(), 0, nil) })
	f.poisson(0, p.resets, func() { f.reset(f.anyServer()) })
	f.poisson(0, p.ends, f.endGateway)
	f.poisson(0, p.cuts, f.cutGateway)
	return f
}

func (f *fleet) anyServer() *fleetServer { return f.servers[f.rnd.IntN(len(f.servers))] }

// endGateway ends a gateway and starts it anew. The first one lives on: what isn't a conviction
// yet is known by those alone that heard of it.
func (f *fleet) endGateway() {
	g := f.gateways[1+f.rnd.IntN(len(f.gateways)-1)]
	g.down = true
	f.in(gatewayDown, func() {
		g.down = false
		f.newLedger(g)
		for _, owner := range f.gateways {
			for _, x := range f.stored[owner] {
				g.ledger.RecordLoss(x, f.time())
			}
		}
	})
}

func (f *fleet) cutGateway() {
	g := f.gateways[f.rnd.IntN(len(f.gateways))]
	g.cut = true
	f.in(f.between(time.Second, 6*time.Second), func() { g.cut, g.upSince = false, f.now })
}

// checkFleet plays a fleet and checks that few guilty requests come late, and that at least half
// of the sound ones are served.
func checkFleet(t assert.TestingT, p fleetParams) {
	f := newFleet(p)
	f.play()
	for _, part := range f.guilty {
		assert.Assert(t, f.late[part] <= maxLate, "part %d: %d late requests, %d crashes", part, f.late[part], len(f.crashes[part]))
	}
	assert.Assert(t, f.refused <= f.served, "%d sound requests refused, %d served", f.refused, f.served)
}

// Guards against guilty parts that go on crashing servers and sound requests that are refused for
// them, at gateways with views of their own that end, start anew and are cut off, beside servers
// that crash by themselves or have their connections reset.
func TestFleetsFindTheGuiltyParts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { checkFleet(t, drawParams(t)) })
}

// Guards against a part that two gateways which are cut off from each other don't find, as each
// knows only some of the requests that were lost with a server and no run lasts long enough.
func TestFleetThatWasDrawnFindsTheGuiltyParts(t *testing.T) {
	checkFleet(t, fleetParams{seed: 0x1b6, firsts: 2, gateways: 2, servers: 6, sound: 20, guilty: []float64{0.5, 10}, crashes: 0.3, cuts: 0.1})
}
