package gateway

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"jayford.example/jayford/internal/catalog"
	"jayford.example/jayford/internal/lease"
	"jayford.example/jayford/internal/platform"
	"jayford.example/jayford/internal/policy/place"
	"jayford.example/jayford/internal/policy/stage"
)

const (
	// stageScope names the lease under which engines get orders.
	stageScope = "stages"
	// stageTick is how often the division of engines is looked at.
	stageTick = 500 * time.Millisecond
	// stageSettle is how long the division must have been off before an order. A
	// crashed engine is listed again within ten seconds; an order in between takes a
	// further engine away for as long, while other gateways still send to it.
	stageSettle = 20 * time.Second
	// orderSettle is how much longer than its change an engine may take to be
	// listed with its new stage.
	orderSettle = 6 * time.Second
	// stageCandidates is how many gateways ask for the lease; one stays when
	// two are replaced at once.
	stageCandidates = 3
	orderTimeout    = time.Second
	// foundingFor is how long after it made the lease a gateway divides the
	// engines exactly: the whole system starts, and no caller is there yet.
	foundingFor = 5 * time.Second
)

// StageOptions of a stage controller.
type StageOptions struct {
	Store platform.Store
	// Share of a service's engines that prefill; 0 for no controller.
	Share float64
	// Term of the lease. It must not be shorter than the time within which two
	// instances that order in turn count as two holders.
	Term time.Duration
	// Self names this start of the process, Instance the instance.
	Self, Instance string
	// Peers returns the ids of the gateways that live.
	Peers func() []string
}

// stages keeps the engines divided between the stages. One gateway at a time
// orders, by a lease; the others stand by. No call is made for it while the
// division is as it should be.
//
// Engines that check no fencing number would take orders from two holders. So
// a holder asks for its fence just before each order, and a successor waits for
// a whole term after it took the lease: by then its predecessor, paused or cut
// off, has seen its own time run out.
type stages struct {
	g     *Gateway
	opts  StageOptions
	lease *lease.Runner
	// offAt is since when the division is off, zero if it isn't.
	offAt time.Time

	mu sync.Mutex
	// All below is guarded by mu: the lease's goroutine asks for candidacy.
	// heldAt is since when the lease is held, zero if it isn't; lapsed says that
	// it was lost once.
	heldAt time.Time
	lapsed bool
	// ordered has the last order to each start of an engine.
	ordered map[string]sentOrder
}

// sentOrder is an order that was sent. Until the engine can have carried it out
// and told so, it counts as one of the stage that it was ordered to: without
// that each look would order a further engine.
type sentOrder struct {
	to catalog.Stage
	at time.Time
}

// RunStages keeps the division until ctx ends. It returns nil.
func (g *Gateway) RunStages(ctx context.Context, o StageOptions) error {
	if o.Share <= 0 {
		<-ctx.Done()
		return nil
	}
	s := &stages{g: g, opts: o, ordered: map[string]sentOrder{}}
	s.lease = lease.NewRunner(lease.Options{
		Store: o.Store, Scope: stageScope, Self: o.Self, Term: o.Term, Candidate: s.candidate, Keep: true,
	})
	done := make(chan error, 1)
	go func() { done <- s.lease.Run(ctx) }()
	t := time.NewTicker(stageTick)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return <-done
		case <-t.C:
			s.turn(ctx, time.Now())
		}
	}
}

// candidate says whether this gateway is to ask for the lease.
func (s *stages) candidate() bool {
	if !s.g.Ready() || len(s.wanted(1, s.exact())) == 0 {
		return false
	}
	ids := s.opts.Peers()
	for _, id := range place.Subset(stageScope, ids, stageCandidates) {
		if id == s.opts.Instance {
			return true
		}
	}
	return false
}

// change is an order that is due.
type change struct {
	server catalog.Server
	to     catalog.Stage
}

// exact reports whether the division must be as wanted to the engine: nothing
// runs yet, so a change costs nothing.
func (s *stages) exact() bool {
	s.mu.Lock()
	lapsed := s.lapsed
	s.mu.Unlock()
	return s.lease.Founded() && !lapsed || s.lease.Holder() == ""
}

// wanted returns at most limit changes a service, none before all engines are known.
func (s *stages) wanted(limit int, exact bool) []change {
	c := s.g.Config()
	if c == nil || !s.g.view.complete.Load() {
		return nil
	}
	var out []change
	for name, service := range c.Services {
		if service.Engine == nil {
			continue
		}
		list := s.g.view.list().engines(name)
		now := time.Now()
		doubted := s.g.view.doubted(list, now)
		engines := make([]stage.Engine, 0, len(list))
		for i, x := range list {
			e := stage.Engine{ID: x.ID, AvailabilityZone: x.AvailabilityZone, Stage: x.Stage, Away: doubted[i]}
			if o, ok := s.lastOrder(x.start); ok && now.Sub(o.at) < service.Engine.SwitchTime+orderSettle {
				e.Stage, e.Away = o.to, true
			}
			engines = append(engines, e)
		}
		want := stage.Want(len(engines), s.opts.Share)
		if !exact && !stage.Off(stage.Prefilling(engines), want) {
			continue
		}
		for _, d := range stage.Decide(engines, want, limit) {
			i := slices.IndexFunc(list, func(c candidate) bool { return c.ID == d.ID })
			out = append(out, change{list[i].Server, d.To})
		}
	}
	return out
}

func (s *stages) lastOrder(start string) (sentOrder, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.ordered[start]
	return o, ok
}

// hold notes whether the lease is held, and returns for how long and whether
// this gateway founded it. Who lost it in between founds nothing any more: the
// engines are in use.
func (s *stages) hold(now time.Time, held bool) (since time.Duration, founding bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !held {
		s.lapsed = s.lapsed || !s.heldAt.IsZero()
		s.heldAt = time.Time{}
		return 0, false
	}
	if s.heldAt.IsZero() {
		s.heldAt = now
	}
	since = now.Sub(s.heldAt)
	return since, s.lease.Founded() && !s.lapsed && since < foundingFor
}

func (s *stages) turn(ctx context.Context, now time.Time) {
	_, held := s.lease.Fence()
	since, founding := s.hold(now, held)
	if !held || !founding && since < s.opts.Term {
		s.offAt = time.Time{}
		return
	}
	limit := 1
	if founding {
		limit = len(s.g.view.list().all)
	}
	due := s.wanted(limit, founding)
	if len(due) == 0 {
		s.offAt = time.Time{}
		return
	}
	if s.offAt.IsZero() {
		s.offAt = now
	}
	if !founding && now.Sub(s.offAt) < stageSettle {
		return
	}
	for _, c := range due {
		s.order(ctx, c)
	}
}

// order sends one order, if the lease still holds when it leaves.
func (s *stages) order(ctx context.Context, c change) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	log := s.g.log.WithFields(logrus.Fields{"server": start(c.server), "stage": c.to.String()})
	report, err := s.g.backend.Report(ctx, c.server)
	if err != nil || report.Busy || report.Stage == c.to {
		log.WithError(err).WithField("busy", report.Busy).Debug("gateway: no order sent.")
		return
	}
	fence, held := s.lease.Fence()
	if !held {
		return
	}
	s.mu.Lock()
	s.ordered[start(c.server)] = sentOrder{c.to, time.Now()}
	s.mu.Unlock()
	err = s.g.backend.Order(ctx, c.server, StageOrder{Stage: c.to, Holder: s.opts.Instance, Fence: fence, Orders: report.Orders})
	if err != nil {
		log.WithError(err).Warn("gateway: order failed or unclear.")
		return
	}
	ordersTotal.Inc()
	log.WithField("fence", fence).WithField("orders", report.Orders).Info("gateway: stage ordered.")
}
