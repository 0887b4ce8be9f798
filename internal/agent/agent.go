// Package agent implements the process that runs beside each backend server and
// admits all work to it. It grants slots, refuses duplicates and stale fencing
// tokens, drains the server, and cancels work that no entry owns any more.
// Package grant makes the decisions; this package carries them out.
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
	"jayford.example/jayford/internal/accept"
	"jayford.example/jayford/internal/agent/grant"
	"jayford.example/jayford/internal/board"
	"jayford.example/jayford/internal/engine"
	"jayford.example/jayford/internal/memory"
	"jayford.example/jayford/internal/settings"
	"jayford.example/jayford/internal/transport"
)

// Limits that are not configurable.
const (
	maxWait          = 30 * time.Second
	maxIdle          = 10 * time.Second
	maxExclusiveWait = 2 * time.Second
	dedupRetention   = 15 * time.Minute
	maxDedupRecords  = 1 << 16
	maxConvicted     = 4096
	// callQueue bounds the decodes and calls that wait for a slot.
	callQueue = 64
	// streamRetention is how long the tokens of a finished decode are retained
	// for an entry whose connection was lost before it had received them all.
	streamRetention = 10 * time.Second
	// resultRetention is the same for the result of a prefill. The engine
	// expires an unused result by itself and keeps one that is being
	// transferred. If the grant ended when the result expires, the agent would
	// cancel the result during the transfer: each transfer that takes longer
	// than a result lives would fail.
	resultRetention = 10 * time.Second
	// ticksPerLapse is how often the core is ticked within LapseAfter.
	ticksPerLapse = 20
	// keepalivePing finds connections whose entry is gone without closing them.
	// Grants on them lapse for lack of renewals anyway; this only frees the
	// memory of the connection. At full size 211 entries each keep a connection
	// to an agent of a prefill engine, nearly all idle: a ping on each every
	// two seconds was most of the agent's CPU time and half of its traffic.
	keepalivePing    = 30 * time.Second
	keepaliveTimeout = 2 * time.Second
	// minClientPing is the shortest ping interval allowed to clients.
	minClientPing = 500 * time.Millisecond
	maxMessage    = 64 << 20
)

// Options configures an Agent.
type Options struct {
	Settings settings.Agent
	Board    *board.Board
	// Engine is the client of the model engine; nil for a plain service.
	Engine engine.Client
	// ReadFence reads the fencing token of a controller's lease from the platform.
	// If nil, the agent refuses all orders.
	ReadFence func(ctx context.Context, scope string) (uint64, error)
	Log       logrus.FieldLogger
	// Answers is the memory of the backend server's answers; nil stands for a share of
	// the machine's.
	Answers *memory.Arriving
	// ServerOptions holds additional gRPC server options, such as credentials.
	ServerOptions []grpc.ServerOption
	// Incarnation differs after each start; 0 derives it from the clock.
	Incarnation uint64
}

// Agent admits and runs the work of one backend server. Its methods are safe
// for concurrent use.
type Agent struct {
	cfg         settings.Agent
	engine      engine.Client
	answers     *memory.Arriving
	lease       func(ctx context.Context, scope string) (uint64, error)
	log         logrus.FieldLogger
	incarnation uint64
	startedAt   time.Time
	server      *grpc.Server
	pacer       *pacer
	timing      timing
	probe       chan struct{}
	// workCtx bounds all work at the backend server. It outlives the RPCs.
	workCtx    context.Context
	cancelWork context.CancelFunc
	work       sync.WaitGroup
	// renewCtx bounds the renewal streams.
	renewCtx       context.Context
	cancelRenewals context.CancelFunc

	mu sync.Mutex
	// The fields below are guarded by mu.
	core    *grant.Core
	waiters map[grant.Key]chan *grant.Refusal
	runs    map[grant.Key]*run
	// engineIncarnation is 0 until the engine has answered a heartbeat.
	engineIncarnation uint64
	// engineLoad is the engine's last report. For a while after an order, the
	// ordered role, model and version replace the reported ones.
	engineLoad    engine.Load
	roleOrderedAt time.Duration
	orphans       map[engine.Attempt]time.Time
	// pausedUntil is the end of the pause that a plain service asked for.
	pausedUntil time.Time
	// stopping: a graceful stop has begun.
	stopping bool
}

// New returns an agent and registers its state for the board's dump.
func New(o Options) *Agent {
	if o.Log == nil {
		o.Log = logrus.StandardLogger()
	}
	if o.Incarnation == 0 {
		o.Incarnation = uint64(time.Now().UnixNano())
	}
	if o.Answers == nil {
		o.Answers = memory.NewArriving(memory.Detect(0).Answers, time.Now)
	}
	a := &Agent{
		cfg: o.Settings, engine: o.Engine, lease: o.ReadFence, answers: o.Answers,
		log:         o.Log,
		incarnation: o.Incarnation,
		startedAt:   time.Now(),
		pacer:       newPacer(o.Settings.LinkBytesPerSecond),
		probe:       make(chan struct{}, 1),
		waiters:     make(map[grant.Key]chan *grant.Refusal),
		runs:        make(map[grant.Key]*run),
		orphans:     make(map[engine.Attempt]time.Time),
	}
	a.workCtx, a.cancelWork = context.WithCancel(context.Background())
	a.renewCtx, a.cancelRenewals = context.WithCancel(context.Background())
	a.core = grant.New(grant.Config{
		Incarnation: o.Incarnation, Slots: o.Settings.Slots, BatchHeadroom: o.Settings.BatchHeadroom,
		PrefillQueue: o.Settings.PrefillQueue, Queue: callQueue,
		LapseAfter: o.Settings.LapseAfter.D(), MaxWait: maxWait, MaxIdle: maxIdle, MaxExclusiveWait: maxExclusiveWait,
		DedupRetention: dedupRetention, MaxDedupRecords: maxDedupRecords, MaxConvicted: maxConvicted,
	})
	a.server = grpc.NewServer(append(ServerOptions(), o.ServerOptions...)...)
	pb.RegisterAgentServer(a.server, server{agent: a})
	if o.Board != nil {
		o.Board.AddView("agent", func() any { return a.view() })
	}
	return a
}

// ServerOptions returns the gRPC options of every agent's server.
func ServerOptions() []grpc.ServerOption {
	return append(
		transport.ServerOptions(),
		grpc.MaxRecvMsgSize(maxMessage), grpc.MaxSendMsgSize(maxMessage),
		grpc.KeepaliveParams(keepalive.ServerParameters{Time: keepalivePing, Timeout: keepaliveTimeout}),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: minClientPing, PermitWithoutStream: true}),
	)
}

// Incarnation returns the number that distinguishes this run of the agent from
// others.
func (a *Agent) Incarnation() uint64 { return a.incarnation }

// now is monotonic, so that a step of the wall clock doesn't make grants lapse.
func (a *Agent) now() time.Duration { return time.Since(a.startedAt) }

// Run serves until Stop, the end of ctx or a failure of the listener. When ctx
// ends it stops gracefully within the setting StopWithin.
func (a *Agent) Run(ctx context.Context) error {
	l, err := net.Listen("tcp", a.cfg.Peer)
	if err != nil {
		return eris.Wrap(err, "listen for peers")
	}
	return a.Serve(ctx, l)
}

// Serve is like Run, with a listener from the caller.
func (a *Agent) Serve(ctx context.Context, l net.Listener) error {
	group, groupCtx := errgroup.WithContext(ctx)
	served := make(chan struct{})
	group.Go(func() error {
		defer close(served)
		defer a.cancelWork()
		return eris.Wrap(a.server.Serve(&accept.Listener{Listener: l, Retrier: accept.Retrier{Log: a.log}}), "serve peers")
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

// Stop refuses new work, lets running work finish until ctx ends, cancels the
// rest at the backend server and closes the listener.
func (a *Agent) Stop(ctx context.Context) {
	a.mu.Lock()
	a.stopping = true
	a.mu.Unlock()
	a.SetLeaving(true)
	a.log.Info("agent: Stopping, refusing new work.")
	a.drain(ctx)
	a.cancelRenewals()
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
	a.cancelWork()
}

func (a *Agent) drain(ctx context.Context) {
	t := time.NewTicker(a.tickEvery())
	defer t.Stop()
	for {
		a.mu.Lock()
		busy := a.core.GrantCount()
		a.mu.Unlock()
		if busy == 0 {
			return
		}
		select {
		case <-ctx.Done():
			a.log.WithField("attempts", busy).Warn("agent: Stop time exceeded, cancelling running attempts.")
			a.cancelAll()
			return
		case <-t.C:
		}
	}
}

// SetLeaving starts or ends refusing new work. Running work finishes.
//
// A stop can't be undone. Each change of the configuration states again whether
// an operator drains the server; without this check a stopping agent that isn't
// being drained would accept new work again, never become empty, and cut
// running work at the end of its stop time.
func (a *Agent) SetLeaving(leaving bool) {
	a.step(func(c *grant.Core, now time.Duration) { c.SetLeaving(now, leaving || a.stopping) })
}

// Convict refuses requests that are known to crash servers, by their
// fingerprints.
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
		case <-a.workCtx.Done():
			return
		case <-t.C:
			a.step(func(c *grant.Core, now time.Duration) { c.Tick(now) })
		}
	}
}

// step runs f on the core and carries out the resulting actions.
func (a *Agent) step(f func(c *grant.Core, now time.Duration)) {
	a.mu.Lock()
	defer a.mu.Unlock()
	f(a.core, a.now())
	countLapses(a.core.TakeLapses())
	for _, u := range a.core.TakeUnused() {
		a.logUnused(u)
	}
	for _, act := range a.core.Ready() {
		a.carryOut(act)
	}
}

func (a *Agent) logUnused(u grant.Unused) {
	a.log.WithFields(logrus.Fields{
		"request": u.Key.Request, "attempt": u.Key.Number, "phase": u.Key.Phase.String(), "entry": u.Entry,
		"cause": u.Cause.String(), "age": u.Age.Seconds(), "renewed": u.Renewed.Seconds(),
	}).Info("agent: A grant ended before it was used.")
}

// carryOut is called with mu held.
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
			r.markLost(&refusal)
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

// drop is called with mu held.
func (a *Agent) drop(k grant.Key) {
	delete(a.runs, k)
	if k.Phase == pb.Phase_PHASE_PREFILL && a.engine != nil {
		a.work.Go(func() { a.cancelDropped(engineAttempt(k)) })
	}
}

func engineAttempt(k grant.Key) engine.Attempt {
	return engine.Attempt{Request: k.Request, Number: k.Number}
}
