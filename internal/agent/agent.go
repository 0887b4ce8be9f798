// Package agent is the role of the process beside each backend server. It alone
// decides what runs there: it grants slots, refuses duplicates and old fencing
// numbers, drains, and cancels what nobody wants any more. The decisions are
// made by package grant; this package carries them out.
package agent

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"
	"google.golang.org/grpc"
	"google.golang.org/grpc/keepalive"

	pb "jayford.example/jayford/api/jayfordv1"
	"jayford.example/jayford/internal/agent/grant"
	"jayford.example/jayford/internal/board"
	"jayford.example/jayford/internal/engine"
	"jayford.example/jayford/internal/settings"
	"jayford.example/jayford/internal/transport"
)

// Limits that need no setting.
const (
	maxWait      = 30 * time.Second
	maxIdle      = 10 * time.Second
	maxDrain     = 2 * time.Second
	seenFor      = 15 * time.Minute
	maxSeen      = 1 << 16
	maxConvicted = 4096
	// callQueue bounds decodes and calls that wait for a slot.
	callQueue = 64
	// keepStream is how long the tokens of a finished decode stand for an
	// entry whose connection went silent before it had them all.
	keepStream = 10 * time.Second
	// keepResult is the same for a prefill's result. The engine lets an unused
	// one expire by itself and holds one that is being pulled. Ending the grant
	// when the result expires would cancel it under the pull: each transfer that
	// takes longer than a result lives would fail.
	keepResult = 10 * time.Second
	// ticksPerLapse sets how often the core sees the time.
	ticksPerLapse = 20
	// keepalivePing finds connections that entries have left without a word. Those
	// in use are found by their renewals, and what they held lapses; this only
	// frees a dead one's memory. At full size 211 entries keep a connection to an
	// agent of a prefill engine, nearly all at rest: a ping on each every 2 s was
	// most of the agent's processor time and half of its bytes.
	keepalivePing    = 30 * time.Second
	keepaliveTimeout = 2 * time.Second
	// leastPing is how often a client may ping.
	leastPing  = 500 * time.Millisecond
	maxMessage = 64 << 20
)

// Options configures an Agent.
type Options struct {
	Settings settings.Agent
	Board    *board.Board
	// Engine is the client of the model engine; nil for a plain service.
	Engine engine.Client
	// Lease reads the fencing number of a controller's lease from the platform.
	// Without it the agent refuses every order.
	Lease func(ctx context.Context, scope string) (uint64, error)
	Log   logrus.FieldLogger
	// Server are further options of the gRPC server, for its credentials.
	Server []grpc.ServerOption
	// Incarnation differs after each start; 0 takes it from the clock.
	Incarnation uint64
}

// Agent is one agent. Its methods are safe for concurrent use.
type Agent struct {
	cfg         settings.Agent
	engine      engine.Client
	lease       func(ctx context.Context, scope string) (uint64, error)
	log         logrus.FieldLogger
	incarnation uint64
	begin       time.Time
	server      *grpc.Server
	pacer       *pacer
	timing      timing
	probe       chan struct{}
	// life ends all work at the backend server. It outlives each RPC.
	life context.Context
	end  context.CancelFunc
	work sync.WaitGroup
	// renewing ends the streams of renewals.
	renewing    context.Context
	endRenewing context.CancelFunc

	mu sync.Mutex
	// The fields below are guarded by mu.
	core    *grant.Core
	waiters map[grant.Key]chan *grant.Refusal
	runs    map[grant.Key]*run
	// engineIncarnation is 0 until the engine was heard.
	engineIncarnation uint64
	// engineLoad is the engine's last report, with the role that it was last
	// ordered to while its report may be older than that order.
	engineLoad  engine.Load
	roleOrdered time.Duration
	orphans     map[engine.Attempt]time.Time
	// stopping: a graceful stop has begun.
	stopping bool
}

// New returns an agent and adds its state to the board's dump.
func New(o Options) *Agent {
	if o.Log == nil {
		o.Log = logrus.StandardLogger()
	}
	if o.Incarnation == 0 {
		o.Incarnation = uint64(time.Now().UnixNano())
	}
	a := &Agent{
		cfg: o.Settings, engine: o.Engine, lease: o.Lease,
		log:         o.Log,
		incarnation: o.Incarnation,
		begin:       time.Now(),
		pacer:       newPacer(o.Settings.LinkBytesPerSecond),
		probe:       make(chan struct{}, 1),
		waiters:     make(map[grant.Key]chan *grant.Refusal),
		runs:        make(map[grant.Key]*run),
		orphans:     make(map[engine.Attempt]time.Time),
	}
	a.life, a.end = context.WithCancel(context.Background())
	a.renewing, a.endRenewing = context.WithCancel(context.Background())
	a.core = grant.New(grant.Config{
		Incarnation: o.Incarnation, Slots: o.Settings.Slots, BatchHeadroom: o.Settings.BatchHeadroom,
		PrefillQueue: o.Settings.PrefillQueue, Queue: callQueue,
		LapseAfter: o.Settings.LapseAfter.D(), MaxWait: maxWait, MaxIdle: maxIdle, MaxExclusiveWait: maxDrain,
		SeenFor: seenFor, MaxSeen: maxSeen, MaxConvicted: maxConvicted,
	})
	a.server = grpc.NewServer(append(ServerOptions(), o.Server...)...)
	pb.RegisterAgentServer(a.server, server{agent: a})
	if o.Board != nil {
		o.Board.Part("agent", func() any { return a.view() })
	}
	return a
}

// ServerOptions returns the options of every agent's listener.
func ServerOptions() []grpc.ServerOption {
	return append(
		transport.ServerOptions(),
		grpc.MaxRecvMsgSize(maxMessage), grpc.MaxSendMsgSize(maxMessage),
		grpc.KeepaliveParams(keepalive.ServerParameters{Time: keepalivePing, Timeout: keepaliveTimeout}),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: leastPing, PermitWithoutStream: true}),
	)
}

// Incarnation returns the number that tells this run of the agent from others.
func (a *Agent) Incarnation() uint64 { return a.incarnation }

// now is monotonic, so that a step of the wall clock lapses nothing.
func (a *Agent) now() time.Duration { return time.Since(a.begin) }

// Run serves until Stop, the end of ctx or a failure of the listener. When ctx
// ends it stops gracefully within the setting StopWithin.
func (a *Agent) Run(ctx context.Context) error {
	l, err := net.Listen("tcp", a.cfg.Peer)
	if err != nil {
		return eris.Wrap(err, "listen for peers")
	}
	return a.Serve(ctx, l)
}

// Serve is Run on a listener of the caller's.
func (a *Agent) Serve(ctx context.Context, l net.Listener) error {
	group, groupCtx := errgroup.WithContext(ctx)
	served := make(chan struct{})
	group.Go(func() error {
		defer close(served)
		defer a.end()
		return eris.Wrap(a.server.Serve(l), "serve peers")
	})
	group.Go(func() error { a.tick(); return nil })
	group.Go(func() error { a.watchServer(); return nil })
	group.Go(func() error {
		select {
		case <-groupCtx.Done():
		case <-served:
			return nil
		}
		stopCtx, cancel := context.WithTimeout(context.Background(), a.cfg.StopWithin.D())
		defer cancel()
		a.Stop(stopCtx)
		return nil
	})
	err := group.Wait()
	a.work.Wait()
	return err
}

// Stop refuses new work, lets what runs finish until ctx ends, cancels the rest
// at the backend server and closes the listener.
func (a *Agent) Stop(ctx context.Context) {
	a.mu.Lock()
	a.stopping = true
	a.mu.Unlock()
	a.SetLeaving(true)
	a.log.Info("agent: Stopping, no new work.")
	a.drain(ctx)
	a.endRenewing()
	done := make(chan struct{})
	go func() {
		a.server.GracefulStop()
		close(done)
	}()
	select {
	case <-done:
	case <-ctx.Done():
		a.server.Stop()
	}
	a.end()
}

func (a *Agent) drain(ctx context.Context) {
	t := time.NewTicker(a.tickEvery())
	defer t.Stop()
	for {
		a.mu.Lock()
		busy := a.core.Busy()
		a.mu.Unlock()
		if busy == 0 {
			return
		}
		select {
		case <-ctx.Done():
			a.log.WithField("attempts", busy).Warn("agent: Stopped with work left.")
			a.cancelAll()
			return
		case <-t.C:
		}
	}
}

// SetLeaving refuses new work from now on, or takes it again. What runs
// finishes.
//
// A stop can't be undone. The failure: each change of the configuration says
// anew whether an operator drains the server; a stopping agent that nobody
// drains would take new work again, never be empty, and cut what runs when its
// time is up.
func (a *Agent) SetLeaving(leaving bool) {
	a.step(func(c *grant.Core, now time.Duration) { c.SetLeaving(now, leaving || a.stopping) })
}

// Convict refuses requests that are known to crash servers.
func (a *Agent) Convict(fingerprints []uint64) {
	a.step(func(c *grant.Core, now time.Duration) { c.Convict(now, fingerprints) })
}

func (a *Agent) tickEvery() time.Duration {
	return max(a.cfg.LapseAfter.D()/ticksPerLapse, time.Millisecond)
}

func (a *Agent) tick() {
	t := time.NewTicker(a.tickEvery())
	defer t.Stop()
	for {
		select {
		case <-a.life.Done():
			return
		case <-t.C:
			a.step(func(c *grant.Core, now time.Duration) { c.Tick(now) })
		}
	}
}

// step runs f on the core and carries out the actions that follow.
func (a *Agent) step(f func(c *grant.Core, now time.Duration)) {
	a.mu.Lock()
	defer a.mu.Unlock()
	f(a.core, a.now())
	countLapses(a.core.TakeLapses())
	for _, act := range a.core.Ready() {
		a.carryOut(act)
	}
}

// carryOut is called under mu.
func (a *Agent) carryOut(act grant.Action) {
	refusal := act.Refusal
	switch act.Kind {
	case grant.Admit:
		countGrant()
		a.answer(act.Key, nil)
	case grant.Refuse:
		countRefusal(refusal.Reason)
		a.answer(act.Key, &refusal)
	case grant.Stop:
		countStop(refusal.Reason)
		if r := a.runs[act.Key]; r != nil {
			r.stop(&refusal)
		}
	case grant.Lost:
		countStop(refusal.Reason)
		if r := a.runs[act.Key]; r != nil {
			delete(a.runs, act.Key)
			r.lose(&refusal)
		}
	case grant.Drop:
		a.drop(act.Key)
	}
}

func (a *Agent) answer(k grant.Key, r *grant.Refusal) {
	if ch := a.waiters[k]; ch != nil {
		ch <- r
		delete(a.waiters, k)
	}
}

// drop is called under mu.
func (a *Agent) drop(k grant.Key) {
	delete(a.runs, k)
	if k.Phase == pb.Phase_PHASE_PREFILL && a.engine != nil {
		a.work.Go(func() { a.cancelDropped(engineAttempt(k)) })
	}
}

func engineAttempt(k grant.Key) engine.Attempt {
	return engine.Attempt{Request: k.Request, Number: k.Number}
}
