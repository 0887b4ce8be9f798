// Package feed brings the configuration from the platform to every process.
//
// Two entries of each availability zone watch the platform; all other
// processes follow one of these over gRPC. A process whose feed is silent or
// stale takes another upstream on a new connection, and asks the platform
// itself, jittered and seldom. Newcomers ask several peers and the platform at
// once. What comes from where is merged by config.Store, in which versions only
// rise. The decisions are in Machine; Follower carries them out, and Server
// answers followers.
package feed

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"
	"google.golang.org/grpc"

	pb "jayford.example/jayford/api/jayfordv1"
	"jayford.example/jayford/internal/board"
	"jayford.example/jayford/internal/config"
	"jayford.example/jayford/internal/platform"
)

const (
	tickEvery = 250 * time.Millisecond
	// watchTime bounds a watch. It is below staleAfter, so that a watch on a
	// silent connection ends and a new one begins before followers go around.
	watchTime = 5 * time.Second
	pollTime  = time.Second
	listTime  = 10 * time.Second
	// inputBuffer takes a burst of events; senders wait above it.
	inputBuffer = 64
)

var log = logrus.WithField("part", "feed")

// Source is the part of the platform that the feed reads.
type Source interface {
	platform.Store
	platform.Directory
}

// Options of a Follower.
type Options struct {
	Identity Identity
	// Seeds are peer addresses of entries, asked while no instance is known.
	Seeds []string
	Store *config.Store
	// Platform's calls must end by themselves within a few seconds.
	Platform Source
	// Dial are the options of connections to peers; transport credentials
	// must be among them.
	Dial []grpc.DialOption
	// Incarnation of the process, for its status.
	Incarnation uint64
	// Load returns the load to report; it may be nil.
	Load func() *pb.ProcessLoad
	// Board gets the feed's state for the dump; it may be nil.
	Board *board.Board
}

// State is the feed's part of the dump.
type State struct {
	AgeSeconds float64
	Watches    bool
	Writes     bool
	// ReportTo are the addresses of the entries that take its status, best
	// first.
	ReportTo []string
	// Upstreams are the addresses followed now.
	Upstreams []string
}

type openStream struct {
	address string
	cancel  context.CancelFunc
}

type input func(m *Machine, now time.Time) []Action

// Follower keeps a process's store up to date.
type Follower struct {
	opts    Options
	inputs  chan input
	ready   chan struct{}
	begun   time.Time
	heardAt atomic.Int64
	writes  atomic.Bool
	watches atomic.Bool
	// reportTo are the addresses of the entries that take its status.
	reportTo atomic.Pointer[[]string]

	mu sync.Mutex
	// streams is guarded by mu.
	streams map[uint64]openStream

	silence *metrics.Gauge
}

// NewFollower returns a follower; Run starts it.
func NewFollower(o Options) *Follower {
	f := &Follower{
		opts:    o,
		inputs:  make(chan input, inputBuffer),
		ready:   make(chan struct{}),
		begun:   time.Now(),
		streams: make(map[uint64]openStream),
		silence: metrics.GetOrCreateGauge(`jayford_feed_age_seconds{id="`+o.Identity.ID+`"}`, nil),
	}
	f.heardAt.Store(f.begun.Add(-neverHeard).UnixNano())
	f.reportTo.Store(new([]string))
	if o.Board != nil {
		o.Board.Part("feed", func() any { return f.State() })
	}
	return f
}

// State returns the feed's state.
func (f *Follower) State() State {
	s := State{
		AgeSeconds: f.Age().Seconds(), Watches: f.Watches(), Writes: f.Writes(), ReportTo: *f.reportTo.Load(),
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, st := range f.streams {
		s.Upstreams = append(s.Upstreams, st.address)
	}
	return s
}

// Ready closes when the process has a configuration to work with: the
// platform's, or a peer's after others had a moment to say more.
func (f *Follower) Ready() <-chan struct{} { return f.ready }

// Age returns how long ago the platform's state was last known, directly or
// through an upstream; a year or so if never.
func (f *Follower) Age() time.Duration {
	return max(0, time.Since(time.Unix(0, f.heardAt.Load())))
}

// Writes reports whether this process writes its zone's status.
func (f *Follower) Writes() bool { return f.writes.Load() }

// Watches reports whether this process watches the platform for its zone.
func (f *Follower) Watches() bool { return f.watches.Load() }

// Run follows until ctx ends. It returns nil then.
func (f *Follower) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return f.decide(ctx, g) })
	g.Go(func() error { return f.report(ctx) })
	if err := g.Wait(); err != nil && !errors.Is(err, context.Canceled) {
		return err
	}
	return nil
}

// decide owns the machine: it alone feeds it, one input at a time.
func (f *Follower) decide(ctx context.Context, g *errgroup.Group) error {
	m := NewMachine(f.opts.Identity, f.opts.Seeds, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
	tick := time.NewTicker(tickEvery)
	defer tick.Stop()
	changed := f.opts.Store.Changed()
	for {
		var actions []Action
		select {
		case <-ctx.Done():
			return ctx.Err()
		case in := <-f.inputs:
			actions = in(m, time.Now())
		case <-changed:
			changed = f.opts.Store.Changed()
			actions = m.OnInstances(time.Now(), f.opts.Store.Current().Instances)
		case <-tick.C:
			actions = m.Tick(time.Now())
		}
		f.publish(m)
		for _, a := range actions {
			f.act(ctx, g, a)
		}
	}
}

// publish shows the machine's state to the other goroutines.
func (f *Follower) publish(m *Machine) {
	now := time.Now()
	age := m.Age(now)
	f.heardAt.Store(now.Add(-age).UnixNano())
	f.silence.Set(age.Seconds())
	f.writes.Store(m.Writes())
	f.watches.Store(m.Watches())
	if to := m.ReportTargets(); !slices.Equal(to, *f.reportTo.Load()) {
		f.reportTo.Store(&to)
	}
	select {
	case <-f.ready:
	default:
		if m.Ready() {
			log.WithField("revision", f.opts.Store.Current().Revision).Info("feed: Configuration is in force.")
			close(f.ready)
		}
	}
}

func (f *Follower) act(ctx context.Context, g *errgroup.Group, a Action) {
	switch a.Kind {
	case ActionCall:
		g.Go(func() error {
			o := f.call(ctx, a.Call)
			f.tell(ctx, func(m *Machine, now time.Time) []Action { return m.OnCall(now, a.Call, o) })
			return nil
		})
	case ActionFollow:
		stream, cancel := context.WithCancel(ctx)
		f.mu.Lock()
		f.streams[a.Stream] = openStream{a.Address, cancel}
		f.mu.Unlock()
		g.Go(func() error {
			f.follow(stream, a)
			f.forget(a.Stream)
			f.tell(ctx, func(m *Machine, now time.Time) []Action { return m.OnStreamEnd(now, a.Stream) })
			return nil
		})
	case ActionUnfollow:
		f.forget(a.Stream)
	}
}

// forget ends a stream; it may be called more than once.
func (f *Follower) forget(stream uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if s, ok := f.streams[stream]; ok {
		s.cancel()
		delete(f.streams, stream)
	}
}

func (f *Follower) tell(ctx context.Context, in input) {
	select {
	case f.inputs <- in:
	case <-ctx.Done():
	}
}

func (f *Follower) call(ctx context.Context, c Call) Outcome {
	var err error
	switch c {
	case CallList:
		err = f.list(ctx)
	case CallWatch:
		err = f.watch(ctx, watchTime)
	case CallPoll:
		err = f.watch(ctx, pollTime)
	case CallInstances:
		err = f.listInstances(ctx)
	}
	switch {
	case err == nil:
		return Done
	case errors.Is(err, platform.ErrCompacted):
		return Compacted
	default:
		if ctx.Err() == nil {
			log.WithError(err).Debug("feed: Platform call failed.")
		}
		return Failed
	}
}

func (f *Follower) list(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, listTime)
	defer cancel()
	l, err := f.opts.Platform.List(ctx, "")
	if err != nil {
		return err
	}
	f.opts.Store.Apply(l.Objects, l.Revision, true)
	return nil
}

// watch takes the changes after the store's revision. Its claim to be complete
// holds whatever other feeds brought meanwhile.
func (f *Follower) watch(ctx context.Context, limit time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	l, err := f.opts.Platform.Watch(ctx, "", f.opts.Store.Current().Revision)
	if err != nil {
		return err
	}
	f.opts.Store.Apply(l.Objects, l.Revision, false)
	return nil
}

func (f *Follower) listInstances(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, listTime)
	defer cancel()
	list, err := f.opts.Platform.Instances(ctx)
	if err != nil {
		return err
	}
	f.opts.Store.ApplyInstances(list)
	return nil
}
