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
	// stageScope is the scope of the lease that is held to send stage orders.
	stageScope = "stages"
	// stageInterval is how often the split of the engines is checked.
	stageInterval = 500 * time.Millisecond
	// stageOrderDelay is how long the split must have been off before an order is
	// sent. A crashed engine is listed again within ten seconds; an order in between
	// would take another engine out of service for as long, while other gateways still
	// send to it.
	stageOrderDelay = 20 * time.Second
	// orderVisibleWithin is how long after the change of its stage an engine may take
	// to be listed with it.
	orderVisibleWithin = 6 * time.Second
	// leaseCandidates is how many gateways try to acquire the lease; one is left when
	// two are replaced at once.
	leaseCandidates = 3
	orderTimeout    = time.Second
	// foundingPeriod is how long after creating the lease a gateway splits the engines
	// exactly: the whole system is starting, and there are no callers yet.
	foundingPeriod = 5 * time.Second
)

// StageOptions are the options of the stage controller.
type StageOptions struct {
	Store platform.Store
	// Share is the part of a service's engines that run prefill; 0 disables the
	// controller.
	Share float64
	// Term is the duration of the lease. It must not be shorter than the time within
	// which orders from two instances count as coming from two holders.
	Term time.Duration
	// Self identifies this incarnation of the process, Instance the instance.
	Self, Instance string
	// Peers returns the ids of the live gateways.
	Peers func() []string
}

// stages controls the split of the engines between prefill and decode. One gateway at
// a time, the holder of the lease, sends orders; the others stand by. No calls to
// engines are made while the split is as configured.
//
// Engines that don't check fencing tokens would accept orders from two holders. So a
// holder checks its lease just before each order, and a successor waits for a whole
// term after it acquired the lease: by then its predecessor, even if paused or
// partitioned, has seen its own lease expire.
type stages struct {
	g     *Gateway
	opts  StageOptions
	lease *lease.Runner
	// unbalancedSince is the time since which the split has been off, zero if it isn't.
	unbalancedSince time.Time

	mu sync.Mutex
	// All below is guarded by mu, as the lease's goroutine calls isCandidate. heldAt
	// is when the lease was first found to be held, zero if it isn't; leaseLost is set if it
	// was lost since it was first held.
	heldAt    time.Time
	leaseLost bool
	// lastOrders has the last order to each engine, by server key.
	lastOrders map[string]sentOrder
}

// sentOrder is an order that was sent. Until the engine can be listed with its new
// stage, it counts as being in that stage; otherwise each check would send another
// engine an order.
type sentOrder struct {
	to catalog.Stage
	at time.Time
}

// RunStages controls the split until ctx ends. It returns nil.
func (g *Gateway) RunStages(ctx context.Context, o StageOptions) error {
	if o.Share <= 0 {
		<-ctx.Done()
		return nil
	}
	s := &stages{g: g, opts: o, lastOrders: map[string]sentOrder{}}
	s.lease = lease.NewRunner(lease.Options{
		Store: o.Store, Scope: stageScope, Self: o.Self, Term: o.Term, Candidate: s.isCandidate, LapseOnStop: true,
	})
	done := make(chan error, 1)
	go func() { done <- s.lease.Run(ctx) }()
	t := time.NewTicker(stageInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return <-done
		case <-t.C:
			s.tick(ctx, time.Now())
		}
	}
}

// isCandidate reports whether this gateway should try to acquire the lease.
func (s *stages) isCandidate() bool {
	if !s.g.Ready() || len(s.dueChanges(1, s.exact())) == 0 {
		return false
	}
	ids := s.opts.Peers()
	for _, id := range place.Subset(stageScope, ids, leaseCandidates) {
		if id == s.opts.Instance {
			return true
		}
	}
	return false
}

// change is a change of stage that is due.
type change struct {
	server catalog.Server
	to     catalog.Stage
}

// exact reports whether the split must be exact, without tolerance. This holds while
// the system starts: no requests run yet, so changes cost nothing.
func (s *stages) exact() bool {
	s.mu.Lock()
	lost := s.leaseLost
	s.mu.Unlock()
	return s.lease.Created() && !lost || s.lease.Holder() == ""
}

// dueChanges returns at most limit changes for each service, and none before all
// engines are known.
func (s *stages) dueChanges(limit int, exact bool) []change {
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
		suspect := s.g.view.suspects(list, now)
		engines := make([]stage.Engine, 0, len(list))
		for i, x := range list {
			e := stage.Engine{ID: x.ID, AvailabilityZone: x.AvailabilityZone, Stage: x.Stage, Unavailable: suspect[i]}
			if o, ok := s.lastOrder(x.key); ok && now.Sub(o.at) < service.Engine.SwitchTime+orderVisibleWithin {
				e.Stage, e.Unavailable = o.to, true
			}
			engines = append(engines, e)
		}
		want := stage.TargetPrefill(len(engines), s.opts.Share)
		if !exact && !stage.NeedsChange(stage.CountPrefill(engines), want) {
			continue
		}
		for _, d := range stage.Decide(engines, want, limit) {
			i := slices.IndexFunc(list, func(c candidate) bool { return c.ID == d.ID })
			out = append(out, change{list[i].Server, d.To})
		}
	}
	return out
}

func (s *stages) lastOrder(key string) (sentOrder, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.lastOrders[key]
	return o, ok
}

// updateHeld records whether the lease is held. It returns for how long, and whether
// this gateway is in its founding period. A holder that lost the lease in between
// isn't, as the engines are in use by then.
func (s *stages) updateHeld(now time.Time, held bool) (since time.Duration, founding bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !held {
		s.leaseLost = s.leaseLost || !s.heldAt.IsZero()
		s.heldAt = time.Time{}
		return 0, false
	}
	if s.heldAt.IsZero() {
		s.heldAt = now
	}
	since = now.Sub(s.heldAt)
	return since, s.lease.Created() && !s.leaseLost && since < foundingPeriod
}

func (s *stages) tick(ctx context.Context, now time.Time) {
	_, held := s.lease.FencingToken()
	since, founding := s.updateHeld(now, held)
	if !held || !founding && since < s.opts.Term {
		s.unbalancedSince = time.Time{}
		return
	}
	limit := 1
	if founding {
		limit = len(s.g.view.list().all)
	}
	due := s.dueChanges(limit, founding)
	if len(due) == 0 {
		s.unbalancedSince = time.Time{}
		return
	}
	if s.unbalancedSince.IsZero() {
		s.unbalancedSince = now
	}
	if !founding && now.Sub(s.unbalancedSince) < stageOrderDelay {
		return
	}
	for _, c := range due {
		s.order(ctx, c)
	}
}

// order sends one order if the lease is still held.
func (s *stages) order(ctx context.Context, c change) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	log := s.g.log.WithFields(logrus.Fields{"server": serverKey(c.server), "stage": c.to.String()})
	report, err := s.g.backend.Report(ctx, c.server)
	if err != nil || report.Busy || report.Stage == c.to {
		log.WithError(err).WithField("busy", report.Busy).Debug("gateway: stage order skipped.")
		return
	}
	fence, held := s.lease.FencingToken()
	if !held {
		return
	}
	s.mu.Lock()
	s.lastOrders[serverKey(c.server)] = sentOrder{c.to, time.Now()}
	s.mu.Unlock()
	err = s.g.backend.Order(ctx, c.server, StageOrder{Stage: c.to, Holder: s.opts.Instance, Fence: fence, Orders: report.Orders})
	if err != nil {
		log.WithError(err).Warn("gateway: stage order failed, outcome unknown.")
		return
	}
	ordersTotal.Inc()
	log.WithField("fence", fence).WithField("orders", report.Orders).Info("gateway: stage ordered.")
}
