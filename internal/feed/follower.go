// Package feed distributes the configuration from the platform to every process.
//
// Two entries of each availability zone watch the platform; all other
// processes follow one of them over gRPC. A process whose feed is silent or
// stale switches to another upstream on a new connection and calls the platform
// directly, with jitter and at a limited rate. A starting process contacts
// several peers and the platform at once. Updates from all sources are merged by
// config.Store, in which versions only increase. Machine makes the decisions,
// Follower carries them out, and Server answers followers.
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
	tickInterval = 250 * time.Millisecond
	// watchTimeout bounds a watch. It is below staleAfter, so that a watch on a
	// half-open connection is replaced before followers bypass the feed.
	watchTimeout = 5 * time.Second
	pollTimeout  = time.Second
	listTimeout  = 10 * time.Second
	// inputBuffer absorbs a burst of events; senders block when it is full.
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
	// Seeds are peer addresses of entries, tried after the entries in the list of
	// instances.
	Seeds []string
	Store *config.Store
	// Platform must bound each of its calls to a few seconds.
	Platform Source
	// Dial holds the options for connections to peers; it must include transport
	// credentials.
	Dial []grpc.DialOption
	// Incarnation of the process, for its status.
	Incarnation uint64
	// Load returns the load to report; it may be nil.
	Load func() *pb.ProcessLoad
	// Board includes the feed's state in the state dump; it may be nil.
	Board *board.Board
}

// State is the feed's part of the state dump.
type State struct {
	AgeSeconds float64
	Watches    bool
	Writes     bool
	// ReportTo lists the addresses of the entries that accept the process's status,
	// best first.
	ReportTo []string
	// Upstreams lists the addresses of the peers that are being followed.
	Upstreams []string
}

type openStream struct {
	address string
	cancel  context.CancelFunc
}

type input func(m *Machine, now time.Time) []Action

// Follower keeps a process's store up to date.
type Follower struct {
	opts     Options
	inputs   chan input
	ready    chan struct{}
	started  time.Time
	syncedAt atomic.Int64
	writes   atomic.Bool
	watches  atomic.Bool
	// reportTo lists the addresses of the entries that accept the process's status.
	reportTo atomic.Pointer[[]string]

	mu sync.Mutex
	// streams is guarded by mu.
	streams map[uint64]openStream

	ageGauge *metrics.Gauge
}

// NewFollower returns a follower; Run starts it.
func NewFollower(o Options) *Follower {
	f := &Follower{
		opts:     o,
		inputs:   make(chan input, inputBuffer),
		ready:    make(chan struct{}),
		started:  time.Now(),
		streams:  make(map[uint64]openStream),
		ageGauge: metrics.GetOrCreateGauge(`jayford_feed_age_seconds{id="`+o.Identity.ID+`"}`, nil),
	}
	f.syncedAt.Store(f.started.Add(-ageIfNeverSynced).UnixNano())
	f.reportTo.Store(new([]string))
	if o.Board != nil {
		o.Board.AddView("feed", func() any { return f.State() })
	}
	return f
}

// State returns the feed's state.
func (f *Follower) State() State {
	s := State{
		AgeSeconds: f.Age().Seconds(), Watches: f.Watches(), Writes: f.WritesStatus(), ReportTo: *f.reportTo.Load(),
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, st := range f.streams {
		s.Upstreams = append(s.Upstreams, st.address)
	}
	return s
}

// Ready is closed when the process has a usable configuration: the platform's,
// or a peer's once startupGrace has passed.
func (f *Follower) Ready() <-chan struct{} { return f.ready }

// Age returns how long ago the configuration was last confirmed to be current,
// directly by the platform or through an upstream; about a year if never.
func (f *Follower) Age() time.Duration {
	return max(0, time.Since(time.Unix(0, f.syncedAt.Load())))
}

// WritesStatus reports whether this process writes its zone's status.
func (f *Follower) WritesStatus() bool { return f.writes.Load() }

// Watches reports whether this process watches the platform for its zone.
func (f *Follower) Watches() bool { return f.watches.Load() }

// Run follows until ctx ends and then returns nil.
func (f *Follower) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return f.runMachine(ctx, g) })
	g.Go(func() error { return f.report(ctx) })
	if err := g.Wait(); err != nil && !errors.Is(err, context.Canceled) {
		return err
	}
	return nil
}

// runMachine owns the machine and passes it one input at a time.
func (f *Follower) runMachine(ctx context.Context, g *errgroup.Group) error {
	m := NewMachine(f.opts.Identity, f.opts.Seeds, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
	tick := time.NewTicker(tickInterval)
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
			f.execute(ctx, g, a)
		}
	}
}

// publish makes the machine's state available to other goroutines.
func (f *Follower) publish(m *Machine) {
	now := time.Now()
	age := m.Age(now)
	f.syncedAt.Store(now.Add(-age).UnixNano())
	f.ageGauge.Set(age.Seconds())
	f.writes.Store(m.WritesStatus())
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

func (f *Follower) execute(ctx context.Context, g *errgroup.Group, a Action) {
	switch a.Kind {
	case ActionCall:
		g.Go(func() error {
			o := f.call(ctx, a.Call)
			f.submit(ctx, func(m *Machine, now time.Time) []Action { return m.OnCall(now, a.Call, o) })
			return nil
		})
	case ActionFollow:
		stream, cancel := context.WithCancel(ctx)
		f.mu.Lock()
		f.streams[a.Stream] = openStream{a.Address, cancel}
		f.mu.Unlock()
		g.Go(func() error {
			f.follow(stream, a)
			f.closeStream(a.Stream)
			f.submit(ctx, func(m *Machine, now time.Time) []Action { return m.OnStreamEnd(now, a.Stream) })
			return nil
		})
	case ActionUnfollow:
		f.closeStream(a.Stream)
	}
}

// closeStream ends a stream; it may be called more than once.
func (f *Follower) closeStream(stream uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if s, ok := f.streams[stream]; ok {
		s.cancel()
		delete(f.streams, stream)
	}
}

func (f *Follower) submit(ctx context.Context, in input) {
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
		err = f.watch(ctx, watchTimeout)
	case CallPoll:
		err = f.watch(ctx, pollTimeout)
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
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	l, err := f.opts.Platform.List(ctx, "")
	if err != nil {
		return err
	}
	f.opts.Store.Apply(l.Objects, l.Revision, true)
	return nil
}

// watch applies the changes after the store's revision. The result is complete
// up to the answer's revision, whatever other sources delivered meanwhile.
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
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	list, err := f.opts.Platform.Instances(ctx)
	if err != nil {
		return err
	}
	f.opts.Store.ApplyInstances(list)
	return nil
}
