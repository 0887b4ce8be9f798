// Package control runs the capacity controller of a region inside its entries.
//
// A few of a region's entries compete for its lease, and the holder leads: it
// fetches the load of each availability zone from the entries that aggregate
// it, lets package capacity decide, and sends the orders to agents. There is
// one lease per region rather than per pool, as an engine that checks fencing
// tokens keeps a single highest token, and a server may be in several pools.
package control

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"
	"google.golang.org/grpc"

	"jayford.example/jayford/internal/board"
	"jayford.example/jayford/internal/capacity"
	"jayford.example/jayford/internal/config"
	"jayford.example/jayford/internal/feed"
	"jayford.example/jayford/internal/lease"
	"jayford.example/jayford/internal/platform"
	"jayford.example/jayford/internal/settings"
)

// leaseChecksPerTerm is how many times per term the holder checks that it still
// holds the lease.
const leaseChecksPerTerm = 30

var log = logrus.WithField("part", "control")

// LeaseScope returns the name of a region's lease, which is also the scope of its
// orders.
func LeaseScope(region string) string { return "capacity." + region }

// Options of a Controller.
type Options struct {
	Identity    feed.Identity
	Incarnation uint64
	Settings    settings.Capacity
	Config      *config.Store
	Platform    platform.Store
	// DialEntry and DialAgent are the options of connections to entries and to
	// agents; they must include transport credentials.
	DialEntry, DialAgent []grpc.DialOption
	// Board, if set, gets the controller's state for the dump.
	Board *board.Board
}

// Controller makes one entry a candidate to lead its region.
type Controller struct {
	opts  Options
	scope string
	lease *lease.Runner
	peers *peers

	mu sync.Mutex
	// The fields below are guarded by mu.
	core *capacity.Controller
	// orders maps each order in progress to its start.
	orders map[capacity.Order]time.Time
	pools  []capacity.View
}

// New returns a controller; Run starts it.
func New(o Options) *Controller {
	scope := LeaseScope(o.Identity.Region)
	c := &Controller{
		opts: o, scope: scope, peers: newPeers(o.DialEntry),
		core: capacity.New(capacity.Options{
			Smooth: o.Settings.Smooth.D(), Sustain: o.Settings.Sustain.D(),
			Stay: o.Settings.Stay.D(), Settle: o.Settings.Settle.D(),
		}),
		orders: make(map[capacity.Order]time.Time),
	}
	c.lease = lease.NewRunner(lease.Options{
		Store: o.Platform, Scope: scope, Term: o.Settings.LeaseTerm.D(),
		Self: fmt.Sprintf("%s#%d", o.Identity.ID, o.Incarnation),
		Candidate: func() bool {
			return lease.IsCandidate(o.Config.Current().Instances, o.Identity.Region, scope, o.Identity.ID)
		},
	})
	if o.Board != nil {
		o.Board.AddView("capacity", func() any { return c.view() })
	}
	return c
}

// state is the controller's part of the dump.
type state struct {
	Lease  lease.View       `json:"lease"`
	Orders []capacity.Order `json:"orders"`
	// Pools are the views of the last round in which this process led.
	Pools []capacity.View `json:"pools"`
}

func (c *Controller) view() state {
	s := state{Lease: c.lease.View(), Orders: []capacity.Order{}}
	c.mu.Lock()
	defer c.mu.Unlock()
	s.Pools = c.pools
	for o := range c.orders {
		s.Orders = append(s.Orders, o)
	}
	return s
}

// Run competes for the lease and leads while it is held, until ctx ends. It
// returns nil.
func (c *Controller) Run(ctx context.Context) error {
	defer c.peers.close()
	var g errgroup.Group
	loopDone := make(chan struct{})
	leaseCtx, stop := context.WithCancel(context.Background())
	g.Go(func() error { return c.lease.Run(leaseCtx) })
	g.Go(func() error {
		// The lease is released after the last order has ended.
		defer stop()
		defer close(loopDone)
		c.loop(ctx)
		return nil
	})
	<-loopDone
	return g.Wait()
}

func (c *Controller) loop(ctx context.Context) {
	t := time.NewTicker(c.opts.Settings.Every.D())
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		if _, held := c.lease.FencingToken(); held {
			c.lead(ctx)
		}
	}
}

// lead runs rounds until the lease is lost or ctx ends. It returns when all its
// orders have ended, so that they never overlap with those of the next time that
// this process leads.
func (c *Controller) lead(ctx context.Context) {
	ctx, cancel := c.whileLeaseHeld(ctx)
	var orders sync.WaitGroup
	t := time.NewTicker(c.opts.Settings.Every.D())
	defer t.Stop()
	for ctx.Err() == nil {
		c.round(ctx, &orders)
		select {
		case <-ctx.Done():
		case <-t.C:
		}
	}
	cancel()
	orders.Wait()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.core.Tick(time.Now(), false, nil)
}

// whileLeaseHeld returns a context that is cancelled when the lease is lost.
func (c *Controller) whileLeaseHeld(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	go func() {
		t := time.NewTicker(c.opts.Settings.LeaseTerm.D() / leaseChecksPerTerm)
		defer t.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-t.C:
			}
			if _, held := c.lease.FencingToken(); !held {
				cancel()
				return
			}
		}
	}()
	return ctx, cancel
}

// round fetches the current load once and starts the orders that it calls for.
func (c *Controller) round(ctx context.Context, orders *sync.WaitGroup) {
	snap := c.opts.Config.Current()
	reports := c.peers.fetchReports(ctx, snap, c.opts.Identity.Region)
	pools, agents := buildPools(snap, c.opts.Identity.Region, reports)
	if ctx.Err() != nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, o := range c.core.Tick(time.Now(), true, pools) {
		c.orders[o] = time.Now()
		orders.Go(func() { c.runOrder(ctx, o, agents[o.Server]) })
	}
	c.pools = c.core.Views(pools)
}

func (c *Controller) runOrder(ctx context.Context, o capacity.Order, address string) {
	entry := log.WithField("server", o.Server).WithField("value", o.Value)
	entry.Info("control: Order begins.")
	err := c.execute(ctx, o, address)
	if err != nil {
		entry.WithError(err).Warn("control: Order failed.")
	} else {
		entry.Info("control: Order done.")
	}
	metrics.GetOrCreateCounter(fmt.Sprintf(`jayford_capacity_orders_total{kind=%q,ok="%t"}`, kindOf(o.Kind), err == nil)).Inc()
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.orders, o)
	c.core.Done(time.Now(), o, err == nil)
}
