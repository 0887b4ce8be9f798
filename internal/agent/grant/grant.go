// Package grant decides what may run on one backend server. It is the core of
// the agent: a state machine without I/O, goroutines or a clock. Each method
// takes the present monotonic time; Ready returns the actions that follow for
// attempts other than the one a method was called for.
//
// An entry holds only hints. Whatever it believes, nothing starts here without
// a grant, and every grant ends: by Done, Release, lapse or loss of the server.
//
// A Core is not safe for concurrent use.
package grant

import (
	"time"

	pb "jayford.example/jayford/api/jayfordv1"
)

// phases is one more than the highest pb.Phase, so that phases index arrays.
const phases = int(pb.Phase_PHASE_CALL) + 1

// Config holds the limits of a Core.
type Config struct {
	// Incarnation of this agent; differs after each restart.
	Incarnation uint64
	// Slots of each phase.
	Slots int
	// BatchHeadroom is how many decode slots batch leaves free while there are
	// interactive requests.
	BatchHeadroom int
	// PrefillQueue and Queue bound the attempts that wait for a slot, for
	// prefill and for each other phase.
	PrefillQueue int
	Queue        int
	// LapseAfter is how long grants live without a renewal of their entry.
	LapseAfter time.Duration
	// MaxWait bounds the wait for a slot, MaxIdle the life of an unused grant.
	MaxWait time.Duration
	MaxIdle time.Duration
	// MaxDrain bounds the wait of an exclusive attempt, during which nobody else
	// is admitted.
	MaxDrain time.Duration
	// SeenFor and MaxSeen bound the memory of attempts seen before.
	SeenFor time.Duration
	MaxSeen int
	// MaxConvicted bounds the memory of convicted fingerprints.
	MaxConvicted int
}

// Key names a grant. The entry is no part of it: the engine knows an attempt
// by request and number alone, so two entries can't hold the same one.
type Key struct {
	Request string
	Number  uint32
	Phase   pb.Phase
}

// Attempt names one try of one request, in all its phases.
type Attempt struct {
	Request string
	Number  uint32
}

// Attempt returns the attempt that k belongs to.
func (k Key) Attempt() Attempt { return Attempt{k.Request, k.Number} }

// Request asks for a grant.
type Request struct {
	Key Key
	// Entry is "id#incarnation".
	Entry string
	// Incarnation of the agent that the entry expects; 0 for any.
	Incarnation  uint64
	Fingerprint  uint64
	Exclusive    bool
	Batch        bool
	Organisation string
	// PromptTokens is a hint for the load.
	PromptTokens int
	// Idle is how long the grant may stand unused, Wait how long the request
	// may queue. Both are cut to the limits of Config.
	Idle time.Duration
	Wait time.Duration
	// Waited is how long the request has waited at its entry so far.
	Waited time.Duration
}

// Refusal says why an attempt was refused or ended, and whether it may have run.
type Refusal struct {
	Reason       pb.Reason
	Verdict      pb.Verdict
	RetryAfter   time.Duration
	Detail       string
	CrashedAlone bool
}

// Outcome is the answer to a Request.
type Outcome int

// The outcomes.
const (
	Refused Outcome = iota
	Granted
	// Waiting: an Admit or Refuse action follows.
	Waiting
)

// ActionKind says what the caller of the core must do.
type ActionKind int

// The kinds of action.
const (
	// Admit answers a waiting Request with a grant.
	Admit ActionKind = iota
	// Refuse answers a waiting Request with the Refusal.
	Refuse
	// Stop cancels a started attempt at the backend server. The slot stays
	// taken until Done confirms it.
	Stop
	// Lost ends a started attempt whose server is gone. Its grant is gone too.
	Lost
	// Drop discards what an ended attempt left: a KV cache, a kept stream.
	Drop
)

// Action is one thing to do for one attempt.
type Action struct {
	Kind    ActionKind
	Key     Key
	Refusal Refusal
}

type state int

const (
	waiting state = iota
	idle
	// started: the attempt's call has come, nothing was sent to the server.
	started
	// sent: the server may have seen the attempt.
	sent
	stopping
	// kept: ended without a slot; its result stands until until.
	kept
)

type grant struct {
	Request
	pair  *pair
	state state
	// arrived is when the entry's caller came, created when the Request did, admitted
	// when it got its slot.
	arrived  time.Duration
	created  time.Duration
	admitted time.Duration
	// until bounds the states waiting, idle and kept.
	until   time.Duration
	wasSent bool
	// broken since brokenAt: its connection to the server was lost.
	broken   bool
	brokenAt time.Duration
}

func (g *grant) holdsSlot() bool {
	return g.state == idle || g.state == started || g.state == sent || g.state == stopping
}

// Core is the state machine.
type Core struct {
	cfg    Config
	now    time.Duration
	grants map[Key]*grant
	pairs  map[string]*pair
	queues [phases][]*grant
	used   [phases]int
	// orgUsed counts the slots that each organisation holds.
	orgUsed [phases]map[string]int
	// served orders organisations by their last admission.
	served map[string]uint64
	turn   uint64
	hold   [phases]time.Duration
	// interactiveUntil: before this, batch leaves headroom.
	interactiveUntil time.Duration
	// exclusive waits for or holds the whole server.
	exclusive *grant
	// openUntil: before it no exclusive attempt may wait.
	openUntil time.Duration
	down      bool
	leaving   bool
	switching bool
	// closed phases aren't served in the server's role.
	closed [phases]bool
	// freshFrom: a renewal read earlier may have been sent before a pause.
	freshFrom time.Duration
	seen      map[Key]*seenMark
	seenOrder []*seenMark
	convicted map[uint64]bool
	verdicts  []uint64
	fences    map[string]uint64
	ordering  bool
	lapses    int
	out       []Action
}

// New returns a Core whose server counts as down until ServerUp.
func New(cfg Config) *Core {
	c := &Core{
		cfg:       cfg,
		grants:    make(map[Key]*grant),
		pairs:     make(map[string]*pair),
		served:    make(map[string]uint64),
		seen:      make(map[Key]*seenMark),
		convicted: make(map[uint64]bool),
		fences:    make(map[string]uint64),
		down:      true,
	}
	for i := range c.orgUsed {
		c.orgUsed[i] = make(map[string]int)
	}
	return c
}

// Ready returns and forgets the actions that have come up.
func (c *Core) Ready() []Action {
	out := c.out
	c.out = nil
	return out
}

func (c *Core) act(kind ActionKind, k Key, r Refusal) {
	c.out = append(c.out, Action{Kind: kind, Key: k, Refusal: r})
}

// move changes the state of g and keeps the counts of slots.
func (c *Core) move(g *grant, to state) {
	before := g.holdsSlot()
	g.state = to
	after := g.holdsSlot()
	if before == after {
		return
	}
	p, org := g.Key.Phase, g.Organisation
	if after {
		c.used[p]++
		c.orgUsed[p][org]++
		g.admitted = c.now
		return
	}
	c.freeSlot(g)
}

func (c *Core) freeSlot(g *grant) {
	p, org := g.Key.Phase, g.Organisation
	c.used[p]--
	c.orgUsed[p][org]--
	if c.orgUsed[p][org] == 0 {
		delete(c.orgUsed[p], org)
	}
	c.hold[p] = average(c.hold[p], c.now-g.admitted)
	if c.exclusive == g {
		c.exclusive = nil
	}
}

// average is an EWMA with weight 1/8 for the new value.
func average(old, v time.Duration) time.Duration {
	if old == 0 {
		return v
	}
	return old + (v-old)/8
}

// remove forgets g and frees what it holds.
func (c *Core) remove(g *grant) {
	if g.state == waiting {
		c.unqueue(g)
	}
	if g.holdsSlot() {
		c.freeSlot(g)
	}
	if c.exclusive == g {
		c.exclusive = nil
		c.openUntil = c.now + openFactor*(c.now-g.created)
	}
	delete(c.grants, g.Key)
	g.pair.live--
}

// finish ends g for reason, whatever its state. A started attempt is stopped
// first: its slot is free only when Done says that the server is rid of it.
func (c *Core) finish(g *grant, reason pb.Reason) {
	r := Refusal{Reason: reason, Verdict: g.verdict()}
	switch g.state {
	case waiting:
		c.remove(g)
		c.act(Refuse, g.Key, r)
	case idle:
		c.remove(g)
	case started, sent:
		c.move(g, stopping)
		c.act(Stop, g.Key, r)
	case kept:
		c.remove(g)
		c.act(Drop, g.Key, r)
	case stopping:
	}
}

func (g *grant) verdict() pb.Verdict {
	if g.wasSent {
		return pb.Verdict_VERDICT_MAY_HAVE_RUN
	}
	return pb.Verdict_VERDICT_NOT_RUN
}

// Start begins the work of a grant, once. It returns nil if it may begin.
func (c *Core) Start(now time.Duration, k Key, entry string) *Refusal {
	c.advance(now)
	defer c.admit()
	g := c.grants[k]
	if g == nil || g.pair.name() != entry {
		return c.unknown(k)
	}
	if g.state != idle {
		return &Refusal{Reason: pb.Reason_REASON_DUPLICATE, Verdict: pb.Verdict_VERDICT_MAY_HAVE_RUN}
	}
	if c.convicted[g.Fingerprint] {
		c.remove(g)
		return refuse(pb.Reason_REASON_CONVICTED)
	}
	if g.pair.probation {
		c.remove(g)
		return c.full("The agent was paused; the entry must renew first.")
	}
	c.move(g, started)
	if m := c.seen[k]; m != nil {
		m.started = true
	}
	return nil
}

// unknown tells of an attempt without a grant. Only the memory of an attempt
// that was never started proves that it has not run: an attempt never seen
// here may have run under an earlier incarnation of the agent.
func (c *Core) unknown(k Key) *Refusal {
	r := &Refusal{Reason: pb.Reason_REASON_UNKNOWN_GRANT, Verdict: pb.Verdict_VERDICT_MAY_HAVE_RUN}
	if m := c.seen[k]; m != nil && !m.started {
		r.Verdict = pb.Verdict_VERDICT_NOT_RUN
	}
	return r
}

// Send marks that the attempt is about to be sent to the server. If it returns
// false the attempt was stopped and must not be sent.
func (c *Core) Send(now time.Duration, k Key) bool {
	c.advance(now)
	g := c.grants[k]
	if g == nil || g.state != started {
		return false
	}
	g.wasSent = true
	c.move(g, sent)
	return true
}

// Done ends a started attempt: the server holds no slot for it any more. With
// keep above 0 its result stands so long, until Release, lapse or Drop.
func (c *Core) Done(now time.Duration, k Key, keep time.Duration) {
	c.advance(now)
	defer c.admit()
	g := c.grants[k]
	if g == nil {
		if keep > 0 {
			c.act(Drop, k, Refusal{})
		}
		return
	}
	if keep > 0 && (g.state == started || g.state == sent) {
		c.move(g, kept)
		g.until = c.now + keep
		return
	}
	if keep > 0 {
		c.act(Drop, k, Refusal{})
	}
	c.remove(g)
}

// Release ends an attempt on behalf of its entry. A release that overtakes its
// own reservation is remembered, so that the late reservation is refused.
func (c *Core) Release(now time.Duration, k Key, entry string) {
	c.advance(now)
	defer c.admit()
	g := c.grants[k]
	if g == nil {
		c.remember(k)
		return
	}
	if g.pair.name() == entry {
		c.finish(g, pb.Reason_REASON_CANCELLED)
	}
}

// Live reports whether attempt a has a grant that may hold engine memory.
func (c *Core) Live(a Attempt) bool {
	for p := 1; p < phases; p++ {
		if c.grants[Key{a.Request, a.Number, pb.Phase(p)}] != nil {
			return true
		}
	}
	return false
}

// Owns reports whether entry holds the grant k.
func (c *Core) Owns(k Key, entry string) bool {
	g := c.grants[k]
	return g != nil && g.pair.name() == entry
}

// Missing tells of an attempt that was to be attached to and isn't running.
func (c *Core) Missing(now time.Duration, k Key) *Refusal {
	c.advance(now)
	return c.unknown(k)
}
