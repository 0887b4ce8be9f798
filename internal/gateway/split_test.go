package gateway

import (
	"context"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"jayford.example/jayford/internal/catalog"
	"jayford.example/jayford/internal/verdict"
)

// fakeLease is a lease whose state a test sets.
type fakeLease struct{ held, created bool }

func (l *fakeLease) FencingToken() (uint64, bool) { return 7, l.held }
func (l *fakeLease) Created() bool                { return l.created }
func (l *fakeLease) Holder() string               { return "other" }

// splitWorld has a gateway before forty engines, eight of which prefill, and its clock.
type splitWorld struct {
	t       *testing.T
	g       *Gateway
	f       *fakeBackend
	lease   *fakeLease
	stages  *stages
	now     time.Time
	servers []catalog.Server
	// rate is the prompt tokens a second of all peers; reported of the listed peers have told theirs.
	rate     float64
	reported int
	listed   int
	end      []func()
	// took is how long prefills take.
	took time.Duration
}

const testTerm = 4 * time.Second

func newSplitWorld(t *testing.T, prefill int) *splitWorld {
	t.Helper()
	w := &splitWorld{t: t, f: &fakeBackend{report: Report{Stage: catalog.Decode}}, lease: &fakeLease{}, now: time.Now(), reported: 21, listed: 21}
	w.g = newGateway(t, w.f)
	c := *testConfig()
	model := c.Services[modelService]
	engine := *model.Engine
	engine.KVTokens, engine.SwitchTime = 40210, 6*time.Second
	model.Engine = &engine
	c.Version, c.Services = 2, map[string]catalog.Service{plainService: c.Services[plainService], modelService: model}
	w.g.SetConfig(&c)
	w.g.view.peers.Store(22)
	for i := range 40 {
		s := catalog.Server{ID: fmt.Sprint("e", i), Service: modelService, Address: "10.0.0.2:1", AvailabilityZone: fmt.Sprint("az", i%3), Stage: catalog.Decode}
		if i < prefill {
			s.Stage = catalog.Prefill
		}
		w.servers = append(w.servers, s)
	}
	w.g.SetServers(w.servers)
	w.use(StageOptions{Share: 0.2, MaxShare: 0.35})
	return w
}

// use makes the gateway control stages with these options.
func (w *splitWorld) use(o StageOptions) {
	o.Term, o.Instance = testTerm, "g1"
	o.Peers = func() []string { return []string{"g1", "g2"} }
	o.PeerPromptRate = func() (float64, int, int) { return w.rate, w.reported, w.listed }
	w.stages = &stages{g: w.g, opts: o, lease: w.lease, lastOrders: map[string]sentOrder{}, announced: map[string]announcedOrder{}, split: newSplitter(o, w.g.opts.Board)}
}

// demand sets the demand of the peers, and how long prompts queue.
func (w *splitWorld) demand(rate float64, queued int) {
	for _, end := range w.end {
		end()
	}
	w.rate, w.end = rate, nil
	for _, s := range w.servers {
		if s.Stage == catalog.Prefill && queued > 0 {
			w.end = append(w.end, w.g.loads.begin(s, queued))
		}
	}
	w.g.prompts.count(w.now, 5200)
	w.took = 0
	if rate > 0 {
		w.took = time.Duration(float64(queued*len(w.end)) / rate * float64(time.Second))
	}
}

func (w *splitWorld) run(d time.Duration) {
	for end := w.now.Add(d); w.now.Before(end); w.now = w.now.Add(stageInterval) {
		for i := 0; i < 3 && w.took > 0; i++ {
			w.g.prompts.demand.RecordPrefill(w.now, w.took)
		}
		w.stages.tick(context.Background(), w.now)
	}
}

// Prompts queue on the prefill engines. The holder must announce a tenth of the engines for prefill
// within two seconds, order them a lead later, and no more of them while those orders may be carried
// out late: engines that aren't listed with their new stage yet would otherwise be ordered for again.
func TestSplitFollowsTheDemand(t *testing.T) {
	w := newSplitWorld(t, 8)
	w.lease.held = true
	w.run(14 * time.Second)
	assert.Equal(t, w.f.orderCount(), 0)
	w.demand(182000, 12000)
	w.run(2500 * time.Millisecond)
	assert.Equal(t, len(w.stages.announced), 4)
	assert.Equal(t, w.f.orderCount(), 0)
	w.run(announceLead)
	assert.Equal(t, w.f.orderCount(), 4)
	for _, o := range w.f.orders {
		assert.Equal(t, o.Stage, catalog.Prefill)
		assert.Equal(t, o.Fence, uint64(7))
	}
	w.run(9 * time.Second)
	assert.Equal(t, w.f.orderCount(), 4, "orders while others may be carried out")
	d, ok := w.stages.split.decision(modelService)
	assert.Assert(t, ok)
	assert.Equal(t, d.Wanted, 12)
	assert.Equal(t, d.Present, 12)
}

// Deployments without a highest share keep their split whatever the demand.
func TestFixedSplitIgnoresTheDemand(t *testing.T) {
	w := newSplitWorld(t, 8)
	w.use(StageOptions{Share: 0.2})
	w.lease.held = true
	w.run(14 * time.Second)
	w.demand(400000, 40000)
	w.run(40 * time.Second)
	assert.Equal(t, w.f.orderCount(), 0)
	assert.Assert(t, w.stages.split == nil && !w.stages.isCandidate(), "a balanced split needs no lease")
}

// Demand is known only from the gateways that report it. If these are too few, the split must
// stay as it is.
func TestTooFewPeersKnownChangeNothing(t *testing.T) {
	w := newSplitWorld(t, 8)
	w.lease.held, w.reported = true, 9
	w.run(14 * time.Second)
	w.demand(400000, 40000)
	w.run(30 * time.Second)
	assert.Equal(t, w.f.orderCount(), 0)
	w.reported = 10
	w.run(3*time.Second + announceLead)
	assert.Assert(t, w.f.orderCount() > 0, "half of the gateways are known")
}

// The holder crashes after it changed four engines. Its successor must not undo that, although it
// hasn't seen the demand for it, and must not order within a term of taking over.
func TestSplitSuccessorWaits(t *testing.T) {
	w := newSplitWorld(t, 12)
	w.demand(20000, 0)
	w.run(5 * time.Second)
	w.lease.held = true
	w.run(60 * time.Second)
	assert.Equal(t, w.f.orderCount(), 0)

	w = newSplitWorld(t, 8)
	w.demand(182000, 20000)
	w.run(16 * time.Second)
	assert.Equal(t, w.f.orderCount(), 0, "another gateway holds the lease")
	w.lease.held = true
	w.run(testTerm + 6*time.Second)
	assert.Equal(t, w.f.orderCount(), 0, "within a term and the time of a change")
	w.run(2*time.Second + announceLead)
	assert.Assert(t, w.f.orderCount() > 0)
}

// Guards against a holder that orders what it has announced after it lost its lease: its successor
// chooses by its own observations.
func TestAnnouncedChangeOfALostLeaseIsDropped(t *testing.T) {
	w := newSplitWorld(t, 8)
	w.lease.held = true
	w.run(14 * time.Second)
	w.demand(182000, 12000)
	w.run(2500 * time.Millisecond)
	assert.Equal(t, len(w.stages.announced), 4)
	w.lease.held = false
	w.run(stageInterval)
	w.lease.held = true
	w.run(testTerm)
	assert.Equal(t, w.f.orderCount(), 0)
}

// A gateway without the lease, or that lost it between the decision and the order, must not order:
// its successor may do so already.
func TestSplitHolderCutOffOrdersNothing(t *testing.T) {
	w := newSplitWorld(t, 8)
	w.lease.held = true
	w.run(14 * time.Second)
	w.g.backend = cutOffBackend{w.g.backend, w.lease}
	w.demand(182000, 12000)
	w.run(30 * time.Second)
	assert.Equal(t, w.f.orderCount(), 0)
}

// cutOffBackend makes the lease expire while an engine is asked for its state.
type cutOffBackend struct {
	Backend
	lease *fakeLease
}

func (b cutOffBackend) Report(ctx context.Context, s catalog.Server) (Report, error) {
	b.lease.held = false
	return b.Backend.Report(ctx, s)
}

// With several services with engines, demand can't be told apart, so the split stays fixed.
func TestSplitIsFixedWithSeveralServices(t *testing.T) {
	w := newSplitWorld(t, 8)
	c := *w.g.Config()
	second := c.Services[modelService]
	second.Name = "second"
	c.Version, c.Services = 3, map[string]catalog.Service{modelService: c.Services[modelService], "second": second}
	w.g.SetConfig(&c)
	w.lease.held = true
	w.run(14 * time.Second)
	w.demand(400000, 40000)
	w.run(30 * time.Second)
	assert.Equal(t, w.f.orderCount(), 0)
}

// Prefill engines are lost for good while there is no demand. The split must be mended as with a
// fixed one: after 20 s.
func TestSplitIsMendedAfterALoss(t *testing.T) {
	w := newSplitWorld(t, 8)
	w.lease.held = true
	w.run(14 * time.Second)
	w.servers = w.servers[4:]
	w.g.SetServers(w.servers)
	w.run(stageOrderDelay)
	assert.Equal(t, w.f.orderCount(), 0)
	w.run(5 * time.Second)
	assert.Assert(t, w.f.orderCount() > 0)
}

// Guards against orders to slow engines to prefill.
func TestSplitOrdersFastEngines(t *testing.T) {
	w := newSplitWorld(t, 8)
	speeds := map[string]float64{}
	for i, s := range w.servers {
		speeds[serverKey(s)] = []float64{0.6, 1, 1.6, 1}[i%4]
	}
	w.use(StageOptions{Share: 0.2, MaxShare: 0.35, Speed: func(s catalog.Server) float64 { return speeds[serverKey(s)] }})
	w.lease.held = true
	w.run(14 * time.Second)
	w.demand(182000, 12000)
	w.run(2500 * time.Millisecond)
	assert.Equal(t, len(w.stages.lastOrders), 4)
	for key := range w.stages.lastOrders {
		assert.Equal(t, speeds[key], 1.6, key)
	}
}

// Guards against a queue that makes engines look slow: only prefills that are alone count.
func TestTokenTimeIsOfPrefillsAlone(t *testing.T) {
	g := newGateway(t, &fakeBackend{})
	for range 5 {
		g.recordPromptTime(1000, 1000, 50*time.Millisecond)
		g.recordPromptTime(3000, 3000, 110*time.Millisecond)
		g.recordPromptTime(9000, 1000, 300*time.Millisecond)
	}
	_, tokenTime, latency := g.prompts.sizes()
	assert.Equal(t, tokenTime, 30*time.Microsecond)
	assert.Equal(t, latency, 20*time.Millisecond)
}

// Guards against prompts that the controller doesn't see: a generation must be counted.
func TestGenerationsCountAsDemand(t *testing.T) {
	f := &fakeBackend{}
	f.reserve = func(catalog.Server, int) (string, *verdict.Error) { return "", full() }
	g := newGateway(t, f)
	r := generation("/stream/")
	r.CallerTimeout = 300 * time.Millisecond
	_, err := g.Serve(t.Context(), r)
	assert.Assert(t, err != nil)
	assert.Equal(t, g.PromptRate(), 100.0)
}

// While the whole system starts, a split that may follow the work is made exact at once, as a fixed
// one is, and its lease is held from then on, so that the first correction needn't wait for it.
func TestSplitIsExactAtTheStart(t *testing.T) {
	f := &fakeBackend{report: Report{Stage: catalog.Prefill}}
	g := gatewayWithEngines(t, f)
	store := newMemoryStore()
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
	defer cancel()
	assert.NilError(t, g.RunStages(ctx, StageOptions{
		Store: store, Share: 0.2, MaxShare: 0.5, Term: 2 * time.Second, Self: "g1#1", Instance: "g1",
		Peers: func() []string { return []string{"g1", "g2"} },
	}))
	assert.Equal(t, f.orderCount(), 4)

	w := newSplitWorld(t, 8)
	assert.Assert(t, w.stages.isCandidate(), "the lease of a balanced split isn't sought")
	w.stages.opts.Peers = func() []string { return []string{"g2"} }
	assert.Assert(t, !w.stages.isCandidate())
}

// Guards against a split that is sized for the shortest of several objectives, while the engines
// read the prompts of that route first.
func TestSplitGoesByTheMeanObjective(t *testing.T) {
	route := func(kind catalog.Kind, objective time.Duration) catalog.Route {
		return catalog.Route{Kind: kind, LatencyObjective: objective, Targets: []catalog.Target{{Service: modelService, Weight: 1}}}
	}
	c := &catalog.Config{Routes: []catalog.Route{
		route(catalog.Streaming, 800*time.Millisecond), route(catalog.Streaming, 2*time.Second),
		route(catalog.Streaming, 0), route(catalog.Idempotent, time.Millisecond),
	}}
	assert.Equal(t, meanObjective(c, modelService), 1400*time.Millisecond)
	assert.Equal(t, meanObjective(c, "another"), time.Duration(0))
}
