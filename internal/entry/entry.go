// Package entry is the role that callers reach: it admits requests, places them
// on backend servers through their agents, and streams the answers back.
//
// An entry keeps nothing that must last. What it knows of servers are hints; a
// wrong one costs a refusal and another try. It guarantees that a request is
// answered at most once, that an answer is whole or says that it isn't, and
// that what it holds at agents is released on every path.
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
	// Ready says whether there is a configuration to work with.
	Ready func() bool
	// Dial has the transport credentials towards agents; plain if nil.
	Dial grpc.DialOption
	Log  *logrus.Logger
}

// Entry is one entry. Its methods are safe for concurrent use.
type Entry struct {
	settings    settings.Entry
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
	// gates by pool, guarded by gatesMu.
	gates map[string]*admissionGate

	policyMu sync.Mutex
	// The policy state machines below are guarded by policyMu.
	retryBudget *retry.Budget
	hedgeBudget *retry.Budget
	blame       *blame.Blame
	prefixes    *place.Prefixes

	convictions chan uint64
}

// New returns an entry and adds its state to the board's dump.
func New(o Options) *Entry {
	if o.Dial == nil {
		o.Dial = identity.Identity{}.DialOption("agent")
	}
	log := o.Log.WithField("part", "entry")
	m := newMembers(log)
	e := &Entry{
		members:     m,
		routing:     &routing{store: o.Config, members: m, ranking: ranking{o.Settings.ID, o.Settings.Policy.Subset}},
		settings:    o.Settings,
		log:         log,
		agents:      agents.NewPool(fmt.Sprintf("%s#%d", o.Settings.ID, o.Incarnation), o.Dial, o.Log),
		claims:      claim.New(o.Store, o.Settings.ID),
		store:       o.Store,
		latency:     newLatencies(),
		isReady:     o.Ready,
		incarnation: o.Incarnation,
		gates:       make(map[string]*admissionGate),
		retryBudget: retry.NewBudget(retry.Options{Ratio: o.Settings.Policy.RetryRatio}),
		hedgeBudget: retry.NewBudget(retry.Options{Ratio: hedgeRatio, MinPerSecond: hedgeMinPerSecond, Burst: hedgeBurst}),
		blame:       blame.New(blame.Options{}),
		prefixes:    place.NewPrefixes(prefixesPerServer),
		convictions: make(chan uint64, convictionBuffer),
	}
	o.Board.Part("agents", e.agents.View)
	o.Board.Part("queues", e.queuesView)
	o.Board.Part("members", e.members.view)
	e.agents.Beat = e.recordHeartbeat
	return e
}

// Run serves callers until ctx ends, then stops without cutting a request.
func (e *Entry) Run(ctx context.Context) error {
	l, err := net.Listen("tcp", e.settings.Listen)
	if err != nil {
		return eris.Wrapf(err, "entry: listen on %s", e.settings.Listen)
	}
	// What serves the running requests outlives ctx until they have ended.
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

// nextID returns a request id that no other incarnation of any entry gives.
func (e *Entry) nextID() string {
	n := e.requests.Add(1)
	return e.settings.ID + "-" + strconv.FormatUint(e.incarnation, 36) + "-" + strconv.FormatUint(n, 10)
}

// gateOf returns the queue of a pool.
func (e *Entry) gateFor(pool string) *admissionGate {
	e.gatesMu.Lock()
	defer e.gatesMu.Unlock()
	g := e.gates[pool]
	if g == nil {
		lim := e.settings.Limits
		if e.settings.Policy.Baseline() {
			// All wait as one organisation.
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

func (e *Entry) queuesView() any {
	e.gatesMu.Lock()
	defer e.gatesMu.Unlock()
	out := make(map[string]int, len(e.gates))
	for pool, g := range e.gates {
		out[pool] = g.length()
	}
	return out
}
