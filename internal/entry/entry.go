// Package entry implements the role that serves callers: it admits requests,
// places them on backend servers through their agents, and streams the answers
// back.
//
// An entry has no durable state. Its view of the servers consists of hints; a
// wrong hint costs a refusal and a retry. The entry guarantees that a request is
// answered at most once, that an incomplete answer is marked as such, and that
// its reservations at agents are released on every path.
package entry

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"strconv"
	"sync"
	"sync/atomic"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"
	"google.golang.org/grpc"

	"jayford.example/jayford/internal/agents"
	"jayford.example/jayford/internal/board"
	"jayford.example/jayford/internal/claim"
	"jayford.example/jayford/internal/config"
	"jayford.example/jayford/internal/identity"
	"jayford.example/jayford/internal/memory"
	"jayford.example/jayford/internal/platform"
	"jayford.example/jayford/internal/policy/admit"
	"jayford.example/jayford/internal/policy/blame"
	"jayford.example/jayford/internal/policy/place"
	"jayford.example/jayford/internal/policy/retry"
	"jayford.example/jayford/internal/settings"
)

// prefixesPerServer bounds the prefix index of one prefill server.
const prefixesPerServer = 4096

// Options configures an Entry.
type Options struct {
	Settings    settings.Entry
	Board       *board.Board
	Config      *config.Store
	Store       platform.Store
	Incarnation uint64
	// Ready reports whether a configuration has been received.
	Ready func() bool
	// Dial sets the transport credentials for connections to agents. If nil,
	// they are plain text.
	Dial grpc.DialOption
	// Memory bounds what callers take up; its zero value stands for what follows from Settings.
	Memory memory.Limits
	Log    *logrus.Logger
}

// Entry is one entry process. Its methods are safe for concurrent use.
type Entry struct {
	settings    settings.Entry
	memory      memory.Limits
	board       *board.Board
	log         *logrus.Entry
	routing     *routing
	agents      *agents.Pool
	members     *members
	claims      *claim.Claimer
	store       platform.Store
	latency     *latencies
	isReady     func() bool
	incarnation uint64
	requests    atomic.Uint64
	roundRobin  atomic.Uint64

	gatesMu sync.Mutex
	// gates are the admission gates by pool, guarded by gatesMu.
	gates map[string]*admissionGate

	policyMu sync.Mutex
	// The policy state below is guarded by policyMu.
	retryBudget *retry.Budget
	hedgeBudget *retry.Budget
	blame       *blame.Detector
	prefixes    *place.PrefixIndex

	convictions chan uint64
}

// New returns an entry and registers its state for the board's state dump.
func New(o Options) *Entry {
	if o.Dial == nil {
		o.Dial = identity.Identity{}.DialOption("agent")
	}
	log := o.Log.WithField("part", "entry")
	if o.Memory.Machine == 0 {
		o.Memory = memory.Detect(o.Settings.MachineBytes())
	}
	m := newMembers(log)
	e := &Entry{
		members:     m,
		routing:     &routing{store: o.Config, members: m, ranking: ranking{o.Settings.ID, o.Settings.Policy.Subset}},
		settings:    o.Settings,
		memory:      o.Memory,
		board:       o.Board,
		log:         log,
		agents:      agents.NewPool(fmt.Sprintf("%s#%d", o.Settings.ID, o.Incarnation), o.Dial, o.Log),
		claims:      claim.New(o.Store, o.Settings.ID),
		store:       o.Store,
		latency:     newLatencies(),
		isReady:     o.Ready,
		incarnation: o.Incarnation,
		gates:       make(map[string]*admissionGate),
		retryBudget: retry.NewBudget(retry.Options{Ratio: o.Settings.Policy.RetryRatio}),
		hedgeBudget: newHedgeBudget(),
		blame:       blame.New(blame.Options{}),
		prefixes:    place.NewPrefixIndex(prefixesPerServer),
		convictions: make(chan uint64, convictionBuffer),
	}
	o.Board.AddView("agents", e.agents.View)
	o.Board.AddView("queues", e.queuesView)
	o.Board.AddView("members", e.members.view)
	e.agents.OnRenewal = e.recordHeartbeat
	e.agents.OnAvailability = e.recordAvailability
	e.agents.OnDisconnect = m.check
	m.onLost = e.serverLost
	return e
}

// Run serves callers until ctx ends, then drains: running requests get
// Settings.StopWithin to complete.
func (e *Entry) Run(ctx context.Context) error {
	l, err := net.Listen("tcp", e.settings.Listen)
	if err != nil {
		return eris.Wrapf(err, "entry: listen on %s", e.settings.Listen)
	}
	// These tasks serve running requests, so they go on after ctx ends until
	// the drain is over.
	inner, cancel := context.WithCancel(context.Background())
	defer cancel()
	g, inner := errgroup.WithContext(inner)
	g.Go(func() error { return e.agents.Run(inner) })
	g.Go(func() error { return e.watchMembers(inner) })
	g.Go(func() error { return e.publishConvictions(inner) })
	g.Go(func() error {
		defer cancel()
		return newServer(e).run(ctx, l)
	})
	e.log.WithField("address", e.settings.Listen).Info("entry: listening.")
	return g.Wait()
}

func (e *Entry) ready() bool { return e.isReady() }

func (e *Entry) models() []string { return e.routing.current().models }

// nextID returns a request id that is unique across entries and their
// incarnations.
func (e *Entry) nextID() string {
	n := e.requests.Add(1)
	return e.settings.ID + "-" + strconv.FormatUint(e.incarnation, 36) + "-" + strconv.FormatUint(n, 10)
}

// gateFor returns the admission gate of a pool, with the current shares.
func (e *Entry) gateFor(pool string) *admissionGate {
	e.gatesMu.Lock()
	defer e.gatesMu.Unlock()
	g := e.gates[pool]
	if g == nil {
		lim := e.settings.Limits
		if e.settings.Policy.Baseline() {
			// The baselines queue all requests as one organisation.
			lim.MaxQueuePerOrganisation = lim.MaxQueue
		}
		g = newAdmissionGate(admit.New(
			admit.Options{MaxTotal: lim.MaxQueue, MaxPerOrganisation: lim.MaxQueuePerOrganisation},
			rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		))
		e.gates[pool] = g
	}
	g.setShares(e.routing.current().shares)
	return g
}

// serverLost tells the gates of a server's pools that it was lost. It may have run
// requests of other entries only.
func (e *Entry) serverLost(id string) {
	pools := e.routing.current().pools
	e.gatesMu.Lock()
	defer e.gatesMu.Unlock()
	for name, g := range e.gates {
		p := pools[name]
		if p.generates(id) {
			g.serverLost()
		}
	}
}

func (e *Entry) queuesView() any {
	e.gatesMu.Lock()
	defer e.gatesMu.Unlock()
	out := make(map[string]int, len(e.gates))
	for pool, g := range e.gates {
		out[pool] = g.length()
	}
	return out
}
