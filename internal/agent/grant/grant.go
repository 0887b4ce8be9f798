// Package grant decides which attempts may run on one backend server. It is the
// core of the agent: a state machine without I/O, goroutines or a clock. Methods
// whose effect depends on the time take the current monotonic time. Ready returns
// the actions that the caller must then carry out.
//
// Entries route by hints that may be stale. Nothing starts here without a
// grant, and every grant ends: by Done, Release, lapse or loss of the server.
//
// A Core is not safe for concurrent use.
package grant

import (
	"time"

	pb "jayford.example/jayford/api/jayfordv1"
)

// phases is one more than the highest pb.Phase, to size arrays indexed by
// phase.
const phases = int(pb.Phase_PHASE_CALL) + 1

// Config holds the limits of a Core.
type Config struct {
	// Incarnation of this agent; differs after each restart.
	Incarnation uint64
	// Slots is the number of concurrent attempts in each phase.
	Slots int
	// BatchHeadroom is how many decode slots batch requests leave free while
	// interactive requests arrive.
	BatchHeadroom int
	// PrefillQueue and Queue bound the attempts waiting for a slot, for prefill
	// and for each other phase.
	PrefillQueue int
	Queue        int
	// LapseAfter is how long grants stay valid without a renewal by their
	// entry; after that they lapse.
	LapseAfter time.Duration
	// MaxWait bounds the wait for a slot, MaxIdle the time that a grant may
	// stay unused.
	MaxWait time.Duration
	MaxIdle time.Duration
	// MaxExclusiveWait bounds the wait of an exclusive attempt, during which no other
	// attempt is admitted.
	MaxExclusiveWait time.Duration
	// DedupRetention and MaxDedupRecords bound the record of past attempts that detects
	// duplicates.
	DedupRetention  time.Duration
	MaxDedupRecords int
	// MaxConvicted bounds the list of convicted fingerprints.
	MaxConvicted int
}

// Key identifies a grant. It does not include the entry: the engine identifies
// an attempt by request and number alone, so two entries can't hold the same
// one.
type Key struct {
	Request string
	Number  uint32
	Phase   pb.Phase
}

// Attempt identifies one attempt at a request, across all its phases.
type Attempt struct {
	Request string
	Number  uint32
}

// Attempt returns the attempt of k.
func (k Key) Attempt() Attempt { return Attempt{k.Request, k.Number} }

// Request is a request for a grant.
type Request struct {
	Key Key
	// Entry is "id#incarnation".
	Entry string
	// ListedFrom is the sequence of the first renewal that can list the attempt, 0 if
	// unknown.
	ListedFrom uint64
	// Incarnation is the agent incarnation that the entry expects; 0 for any.
	Incarnation  uint64
	Fingerprint  uint64
	Exclusive    bool
	Batch        bool
	Organisation string
	// PromptTokens is only used for the reported load.
	PromptTokens int
	// Idle is how long the grant may stay unused, Wait how long the request may
	// queue. Both are capped by Config.
	Idle time.Duration
	Wait time.Duration
	// Waited is how long the request has already waited at its entry.
	Waited time.Duration
}

// Refusal is why an attempt was refused or ended. Its verdict says whether the
// attempt may have run.
type Refusal struct {
	Reason       pb.Reason
	Verdict      pb.Verdict
	RetryAfter   time.Duration
	Detail       string
	CrashedAlone bool
}

// Outcome is the result of Reserve.
type Outcome int

// The outcomes of Reserve.
const (
	Refused Outcome = iota
	Granted
	// Waiting: an Admit or Refuse action follows.
	Waiting
)

// ActionKind is what the caller of the core must do.
type ActionKind int

// The kinds of action.
const (
	// Admit answers a waiting Request with a grant.
	Admit ActionKind = iota
	// Refuse answers a waiting Request with the Refusal.
	Refuse
	// Stop cancels a started attempt at the backend server. Its slot stays
	// taken until Done.
	Stop
	// Lost ends a started attempt whose server went down. Its grant is already
	// removed.
	Lost
	// Drop discards the result of an ended attempt: a KV cache or a finished
	// stream.
	Drop
)

// Action is a task for the caller, concerning one attempt.
type Action struct {
	Kind    ActionKind
	Key     Key
	Refusal Refusal
}

type state int

const (
	waiting state = iota
	idle
	// started: the entry has begun the work; nothing was sent to the server
	// yet.
	started
	// sent: the attempt was sent, so the server may have seen it.
	sent
	stopping
	// kept: finished without a slot; its result is retained until grant.until.
	kept
)

type grant struct {
	Request
	lease *lease
	state state
	// arrived is when the request arrived at its entry, created when it arrived
	// here, admitted when it got its slot.
	arrived  time.Duration
	created  time.Duration
	admitted time.Duration
	// until is the deadline of the states waiting, idle and kept.
	until   time.Duration
	wasSent bool
	// broken: the connection to the server was lost at brokenAt.
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
	leases map[string]*lease
	queues [phases][]*grant
	used   [phases]int
	// orgUsed counts the slots held by each organisation.
	orgUsed [phases]map[string]int
	// lastServed orders organisations by their last admission; admissions is
	// the counter behind it.
	lastServed map[string]uint64
	admissions uint64
	// avgSlotTime is a moving average of how long a slot is held.
	avgSlotTime [phases]time.Duration
	// interactiveUntil is until when batch requests leave decode slots free,
	// as an interactive request arrived recently.
	interactiveUntil time.Duration
	// exclusive is the attempt that waits for or holds the whole server.
	exclusive *grant
	// noExclusiveUntil: no exclusive attempt may wait before this time.
	noExclusiveUntil time.Duration
	down             bool
	leaving          bool
	switching        bool
	// closed marks the phases that the role of the server does not serve.
	closed [phases]bool
	// trustRenewalsFrom: a message read before this time may have been sent
	// before a pause of the agent.
	trustRenewalsFrom time.Duration
	seen              map[Key]*dedupRecord
	seenOrder         []*dedupRecord
	convicted         map[uint64]bool
	convictedOrder    []uint64
	fences            map[string]uint64
	ordering          bool
	lapses            int
	unused            []Unused
	out               []Action
}

// New returns a Core. Its server counts as down until ServerUp.
func New(cfg Config) *Core {
	c := &Core{
		cfg:        cfg,
		grants:     make(map[Key]*grant),
		leases:     make(map[string]*lease),
		lastServed: make(map[string]uint64),
		seen:       make(map[Key]*dedupRecord),
		convicted:  make(map[uint64]bool),
		fences:     make(map[string]uint64),
		down:       true,
	}
	for i := range c.orgUsed {
		c.orgUsed[i] = make(map[string]int)
	}
	return c
}

// Ready returns the pending actions and clears them.
func (c *Core) Ready() []Action {
	out := c.out
	c.out = nil
	return out
}

func (c *Core) addAction(kind ActionKind, k Key, r Refusal) {
	c.out = append(c.out, Action{Kind: kind, Key: k, Refusal: r})
}

// setState changes the state of g and updates the slot counts.
func (c *Core) setState(g *grant, to state) {
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
	c.avgSlotTime[p] = average(c.avgSlotTime[p], c.now-g.admitted)
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

// remove deletes g and frees its slot or its place in the queue.
func (c *Core) remove(g *grant) {
	if g.state == waiting {
		c.unqueue(g)
	}
	if g.holdsSlot() {
		c.freeSlot(g)
	}
	if c.exclusive == g {
		c.exclusive = nil
		c.noExclusiveUntil = c.now + exclusiveCooldownFactor*(c.now-g.created)
	}
	delete(c.grants, g.Key)
	g.lease.grantCount--
}

// finish ends g in any state. A started attempt is stopped first; its slot is
// freed only by Done, once the server no longer runs it.
func (c *Core) finish(g *grant, reason pb.Reason) {
	r := Refusal{Reason: reason, Verdict: g.verdict()}
	switch g.state {
	case waiting:
		c.remove(g)
		c.addAction(Refuse, g.Key, r)
	case idle:
		c.remove(g)
	case started, sent:
		c.setState(g, stopping)
		c.addAction(Stop, g.Key, r)
	case kept:
		c.remove(g)
		c.addAction(Drop, g.Key, r)
	case stopping:
	}
}

func (g *grant) verdict() pb.Verdict {
	if g.wasSent {
		return pb.Verdict_VERDICT_MAY_HAVE_RUN
	}
	return pb.Verdict_VERDICT_NOT_RUN
}

// Start begins the work of a grant, at most once. It returns nil on success.
func (c *Core) Start(now time.Duration, k Key, entry string) *Refusal {
	c.advance(now)
	defer c.admit()
	g := c.grants[k]
	if g == nil || g.lease.name() != entry {
		return c.unknownGrant(k)
	}
	if g.state != idle {
		return &Refusal{Reason: pb.Reason_REASON_DUPLICATE, Verdict: pb.Verdict_VERDICT_MAY_HAVE_RUN}
	}
	if c.convicted[g.Fingerprint] {
		c.remove(g)
		return refuse(pb.Reason_REASON_CONVICTED)
	}
	if g.lease.unconfirmed {
		c.remove(g)
		return c.refuseFull("The agent was paused; the entry must renew first.")
	}
	c.setState(g, started)
	if m := c.seen[k]; m != nil {
		m.started = true
	}
	return nil
}

// unknownGrant refuses an attempt that has no grant. Only a record of an
// attempt that was never started proves that it has not run: an attempt without
// a record may have run under an earlier incarnation of the agent.
func (c *Core) unknownGrant(k Key) *Refusal {
	r := &Refusal{Reason: pb.Reason_REASON_UNKNOWN_GRANT, Verdict: pb.Verdict_VERDICT_MAY_HAVE_RUN}
	if m := c.seen[k]; m != nil && !m.started {
		r.Verdict = pb.Verdict_VERDICT_NOT_RUN
	}
	return r
}

// Send marks the attempt as sent. The caller calls it just before sending, and
// must not send if it returns false: the attempt was stopped.
func (c *Core) Send(now time.Duration, k Key) bool {
	c.advance(now)
	g := c.grants[k]
	if g == nil || g.state != started {
		return false
	}
	g.wasSent = true
	c.setState(g, sent)
	return true
}

// Done ends a started attempt, which no longer holds a slot of the server. If
// keep is above 0, its result is retained for that long, or until Release or
// lapse.
func (c *Core) Done(now time.Duration, k Key, keep time.Duration) {
	c.advance(now)
	defer c.admit()
	g := c.grants[k]
	if g == nil {
		if keep > 0 {
			c.addAction(Drop, k, Refusal{})
		}
		return
	}
	if keep > 0 && (g.state == started || g.state == sent) {
		c.setState(g, kept)
		g.until = c.now + keep
		return
	}
	if keep > 0 {
		c.addAction(Drop, k, Refusal{})
	}
	c.remove(g)
}

// Release ends an attempt on behalf of its entry. A release that arrives before
// its own reservation is recorded, so that the late reservation is refused.
func (c *Core) Release(now time.Duration, k Key, entry string) {
	c.advance(now)
	defer c.admit()
	g := c.grants[k]
	if g == nil {
		c.recordSeen(k)
		return
	}
	if g.lease.name() == entry {
		c.finish(g, pb.Reason_REASON_CANCELLED)
	}
}

// HasGrant reports whether attempt a has a grant in any phase, and so may hold
// engine memory.
func (c *Core) HasGrant(a Attempt) bool {
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
	return g != nil && g.lease.name() == entry
}

// RefuseUnknown returns the refusal for a request to attach to an attempt that
// isn't running.
func (c *Core) RefuseUnknown(now time.Duration, k Key) *Refusal {
	c.advance(now)
	return c.unknownGrant(k)
}
