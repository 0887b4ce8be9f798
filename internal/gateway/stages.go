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
	// orderVisibleWithin is how much longer than the switch itself an engine may take to be
	// listed with its new stage: it ends its generations before, and the list lags.
	orderVisibleWithin = 10 * time.Second
	// leaseCandidates is how many gateways try to acquire the lease; one is left when
	// two are replaced at once.
	leaseCandidates = 3
	orderTimeout    = time.Second
	// announceLead is how long before its order a change is announced: what was reserved at the
	// engine before has its prompt read in that time, and begins to run there.
	announceLead = time.Second
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
	// MinShare and MaxShare bound the part that runs prefill if it follows the work, which it
	// does if MaxShare is over Share. A MinShare of 0 stands for Share.
	MinShare, MaxShare float64
	// PeerPromptRate returns the prompt tokens a second of the peers that have reported
	// theirs, how many these are, and how many peers are listed. It may be nil.
	PeerPromptRate func() (perSecond float64, reported, listed int)
	// Speed returns an engine's speed relative to the mean: 1 is average, 0 unknown. It may be nil.
	Speed func(catalog.Server) float64
}

// stageLease is the part of a lease.Runner that is used to send orders.
type stageLease interface {
	FencingToken() (uint64, bool)
	Created() bool
	Holder() string
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
	lease stageLease
	// split is nil if the split is fixed.
	split *splitter
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
	// announced has the changes that are announced and not yet ordered, by server key. It is
	// used by tick alone.
	announced map[string]announcedOrder
}

// announcedOrder is a change that is to be ordered at a time.
type announcedOrder struct {
	change
	orderAt time.Time
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
	s := &stages{g: g, opts: o, lastOrders: map[string]sentOrder{}, announced: map[string]announcedOrder{}, split: newSplitter(o, g.opts.Board)}
	runner := lease.NewRunner(lease.Options{
		Store: o.Store, Scope: stageScope, Self: o.Self, Term: o.Term, Candidate: s.isCandidate, LapseOnStop: true,
	})
	s.lease = runner
	done := make(chan error, 1)
	go func() { done <- runner.Run(ctx) }()
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

// isCandidate reports whether this gateway should try to acquire the lease. A split that follows
// the work is ordered within two seconds, so its lease is held all the time.
func (s *stages) isCandidate() bool {
	if !s.g.Ready() || s.split == nil && len(s.dueChanges(time.Now(), 1, s.exact())) == 0 {
		return false
	}
	return s.mayOrder()
}

// mayOrder reports whether this gateway is one of those that may hold the lease.
func (s *stages) mayOrder() bool {
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
func (s *stages) dueChanges(now time.Time, limit int, exact bool) []change {
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
		engines := s.engines(list, service.Engine.SwitchTime, now)
		p := s.plan(name, len(engines), limit, exact)
		if !p.exact && !stage.NeedsChange(stage.CountPrefill(engines), p.want) {
			continue
		}
		for _, d := range p.choose(engines, p.want, p.limit) {
			i := slices.IndexFunc(list, func(c candidate) bool { return c.ID == d.ID })
			out = append(out, change{list[i].Server, d.To})
		}
	}
	return out
}

// engines returns the state of the listed engines for the choice of stages.
func (s *stages) engines(list []candidate, switchTime time.Duration, now time.Time) []stage.Engine {
	suspect := s.g.view.suspects(list, now)
	engines := make([]stage.Engine, 0, len(list))
	for i, x := range list {
		e := stage.Engine{ID: x.ID, AvailabilityZone: x.AvailabilityZone, Stage: x.Stage, Unavailable: suspect[i]}
		if o, ok := s.lastOrder(x.key); ok && now.Sub(o.at) < switchTime+orderVisibleWithin {
			e.Stage, e.Unavailable, e.Changing = o.to, true, true
		}
		if s.opts.Speed != nil {
			e.Speed = s.opts.Speed(x.Server)
		}
		engines = append(engines, e)
	}
	return engines
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
	ordering := held && (founding || since >= s.opts.Term)
	correcting := s.stepSplit(now, ordering && !founding)
	if !ordering {
		s.unbalancedSince = time.Time{}
		clear(s.announced)
		return
	}
	s.orderAnnounced(ctx, now)
	limit := 1
	if founding {
		limit = len(s.g.view.list().all)
	}
	due := s.dueChanges(now, limit, founding)
	if len(due) == 0 {
		s.unbalancedSince = time.Time{}
		return
	}
	if s.unbalancedSince.IsZero() {
		s.unbalancedSince = now
	}
	if !founding && !correcting && now.Sub(s.unbalancedSince) < stageOrderDelay {
		return
	}
	for _, c := range due {
		if founding {
			s.order(ctx, now, c)
		} else {
			s.announce(now, c)
		}
	}
}

// announce tells all gateways of a change that is ordered after announceLead. Until then it
// counts as ordered, so that no other engine is chosen for it.
func (s *stages) announce(now time.Time, c change) {
	key := serverKey(c.server)
	s.setLastOrder(key, sentOrder{c.to, now})
	s.announced[key] = announcedOrder{c, now.Add(announceLead)}
	s.g.announceChange(c, now.Add(announceLead+2*stageInterval), now)
}

// orderAnnounced sends the orders that are due.
func (s *stages) orderAnnounced(ctx context.Context, now time.Time) {
	for key, x := range s.announced {
		if now.Before(x.orderAt) {
			continue
		}
		delete(s.announced, key)
		s.order(ctx, now, x.change)
	}
}

func (s *stages) setLastOrder(key string, o sentOrder) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastOrders[key] = o
}

// switchTime returns how long a server is out of service for a change.
func (s *stages) switchTime(server catalog.Server) time.Duration {
	if c := s.g.Config(); c != nil && c.Services[server.Service].Engine != nil {
		return c.Services[server.Service].Engine.SwitchTime
	}
	return 0
}

// order sends one order if the lease is still held.
func (s *stages) order(ctx context.Context, now time.Time, c change) {
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
	s.setLastOrder(serverKey(c.server), sentOrder{c.to, now})
	s.g.announceChange(c, now.Add(s.switchTime(c.server)+orderVisibleWithin), now)
	err = s.g.backend.Order(ctx, c.server, StageOrder{Stage: c.to, Holder: s.opts.Instance, Fence: fence, Orders: report.Orders})
	if err != nil {
		log.WithError(err).Warn("gateway: stage order failed, outcome unknown.")
		return
	}
	ordersTotal.Inc()
	log.WithField("fence", fence).WithField("orders", report.Orders).Info("gateway: stage ordered.")
}
