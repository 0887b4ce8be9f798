// Package control runs the capacity controller of a region inside its entries.
//
// Of a region's entries a few ask for its lease, and the holder leads: it asks
// the entries that group the status of each availability zone for the load,
// lets package capacity decide, and gives the orders to agents. There is one
// lease for a region, not one for each pool: an engine that checks fencing
// numbers keeps one number for all, and a server may be in several pools.
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

// guardsPerTerm is how often a running order looks at the lease.
const guardsPerTerm = 30

var log = logrus.WithField("part", "control")

// ScopeOf returns the name of a region's lease, the scope of its orders.
func ScopeOf(region string) string { return "capacity." + region }

// Options of a Controller.
type Options struct {
	Identity    feed.Identity
	Incarnation uint64
	Settings    settings.Capacity
	Config      *config.Store
	Platform    platform.Store
	// DialEntry and DialAgent are the options of connections to entries and to
	// agents, with their transport credentials.
	DialEntry, DialAgent []grpc.DialOption
	// Board gets the controller's state for the dump.
	Board *board.Board
}

// Controller is one entry's part in leading its region.
type Controller struct {
	opts  Options
	scope string
	lease *lease.Runner
	peers *peers

	mu sync.Mutex
	// The fields below are guarded by mu.
	core *capacity.Controller
	// orders are those under way.
	orders map[capacity.Order]time.Time
	pools  []capacity.View
}

// New returns a controller; Run starts it.
func New(o Options) *Controller {
	scope := ScopeOf(o.Identity.Region)
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
		o.Board.Part("capacity", func() any { return c.view() })
	}
	return c
}

// state is the controller's part of the dump.
type state struct {
	Lease  lease.View       `json:"lease"`
	Orders []capacity.Order `json:"orders"`
	// Pools as the process saw them when it led last.
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

// Run asks for the lease and leads while it is held, until ctx ends. It returns
// nil.
func (c *Controller) Run(ctx context.Context) error {
	defer c.peers.close()
	var g errgroup.Group
	led := make(chan struct{})
	leaseCtx, stop := context.WithCancel(context.Background())
	g.Go(func() error { return c.lease.Run(leaseCtx) })
	g.Go(func() error {
		// The lease is given up after the last order has ended.
		defer stop()
		defer close(led)
		c.loop(ctx)
		return nil
	})
	<-led
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
		if _, held := c.lease.Fence(); held {
			c.lead(ctx)
		}
	}
}

// lead leads until the lease is lost or ctx ends. It returns when all its
// orders have ended, so that none of an earlier lead runs beside those of a
// later one.
func (c *Controller) lead(ctx context.Context) {
	ctx, cancel := c.guard(ctx)
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

// guard returns a context that ends with the lease.
func (c *Controller) guard(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	go func() {
		t := time.NewTicker(c.opts.Settings.LeaseTerm.D() / guardsPerTerm)
		defer t.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-t.C:
			}
			if _, held := c.lease.Fence(); !held {
				cancel()
				return
			}
		}
	}()
	return ctx, cancel
}

// round looks at the demand once and begins the orders that follow.
func (c *Controller) round(ctx context.Context, orders *sync.WaitGroup) {
	snap := c.opts.Config.Current()
	known := c.peers.gather(ctx, snap, c.opts.Identity.Region)
	pools, agents := survey(snap, c.opts.Identity.Region, known)
	if ctx.Err() != nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, o := range c.core.Tick(time.Now(), true, pools) {
		c.orders[o] = time.Now()
		orders.Go(func() { c.run(ctx, o, agents[o.Server]) })
	}
	c.pools = c.core.Views(pools)
}

func (c *Controller) run(ctx context.Context, o capacity.Order, address string) {
	entry := log.WithField("server", o.Server).WithField("value", o.Value)
	entry.Info("control: Order begins.")
	err := c.give(ctx, o, address)
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
