package entry

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	pb "jayford.example/jayford/api/jayfordv1"
	"jayford.example/jayford/internal/agents"
	"jayford.example/jayford/internal/policy/admit"
	"jayford.example/jayford/internal/policy/blame"
	"jayford.example/jayford/internal/policy/retry"
	"jayford.example/jayford/internal/settings"
	"jayford.example/jayford/internal/verdict"
	"jayford.example/jayford/internal/wait"
)

const (
	// grantIdle is how long a reservation may stand unused. It covers a
	// prefill with its queue; an entry that dies frees it earlier by lapse.
	grantIdleTimeout = 15 * time.Second
	// suspectPause is the time between two rounds of a request that must run alone.
	exclusiveRetryDelay = 250 * time.Millisecond
	// reserveWait is how long an agent may queue a reservation for a slot.
	reserveWait = 250 * time.Millisecond
	// askAtMost bounds the agents asked for one reservation.
	maxReserveTargets = 3
	// answerMargin is added to bounded waits for an agent's answer.
	replyMargin = 300 * time.Millisecond
)

// generation is the work on one completion. It is used by one goroutine.
type generation struct {
	e    *Entry
	r    *request
	out  *output
	dest destination
	log  *logrus.Entry

	gate          *admissionGate
	attemptNumber uint32
	// claimed: the request has its key, if it needs one.
	claimed bool
	// touched: an engine was asked to work, so the request may have run.
	dispatched bool
	// exclude names servers that failed this request.
	exclude map[string]bool
	// inGate: it has its turn to reserve.
	inGate bool
	// queued: the last error is the queue's.
	refusedByQueue bool
	// failures and refusals count the tries that ended so.
	failures int
	refusals int
	// crashes counts the servers that were lost under this request.
	crashes int
	// suspect: servers crashed under it; it runs alone from now on.
	suspect bool
}

// grant is a reservation at an agent.
type grant struct {
	conn    *agents.Conn
	target  target
	attempt *pb.Attempt
	phase   pb.Phase
	// granted: the agent has said that the attempt has its slot.
	granted bool
	// released: the agent has been told that it is over.
	released bool
}

// release frees the grant, once. It is called by one goroutine.
func (g *grant) release() {
	if g != nil && !g.released {
		g.released = true
		g.conn.Release(g.attempt, g.phase)
	}
}

// generate answers r into out. It returns when the answer has ended and all
// that was held for it has been released.
func (e *Entry) generate(ctx context.Context, r *request, out *output) {
	g := &generation{
		e: e, r: r, out: out, exclude: make(map[string]bool),
		log: e.log.WithFields(logrus.Fields{"request": r.id, "organisation": r.organisation}),
	}
	finish, err := g.run(ctx)
	if err != nil {
		err = g.finalError(ctx, err)
	}
	out.end(finish, err)
}

// final makes the verdict truthful: once an engine was asked, it may have run.
func (g *generation) finalError(ctx context.Context, err *verdict.Error) *verdict.Error {
	if ctx.Err() != nil {
		err = contextVerdict(ctx)
	}
	if g.dispatched || g.out.len() > 0 {
		changed := *err
		changed.Verdict = verdict.MayHaveRun
		err = &changed
	}
	// Only a claimed key is given back: a refusal before must cost no call to
	// the platform, and no wait for one that is down.
	if err.Verdict == verdict.NotRun && g.claimed {
		g.e.unclaim(g.r)
	}
	g.log.WithError(err).WithFields(logrus.Fields{
		"code": err.Code, "verdict": err.Verdict.String(), "attempts": g.attemptNumber, "retryAfter": err.RetryAfter.Seconds(),
	}).Info("entry: request ended without a whole answer.")
	return err
}

func (g *generation) run(ctx context.Context) (string, *verdict.Error) {
	dest, err := g.e.routeRequest(g.r)
	if err != nil {
		return "", err
	}
	g.dest = dest
	if g.e.settings.Policy.Baseline() {
		// One queue in order of arrival, also at agents and engines.
		g.dest.choice.Priority = Interactive
	}
	if !dest.targets.canGenerate() {
		return "", verdict.New(verdict.NotRun, verdict.NoServer, "Pool %s has no live prefill or decode servers.", dest.choice.Pool).After(time.Second)
	}
	if err := g.e.claim(ctx, g.r); err != nil {
		return "", err
	}
	g.claimed = true
	g.gate = g.e.gateFor(dest.choice.Pool)
	g.e.recordFirstTry(g.r.organisation, dest.choice.Pool)
	for {
		if err := g.checkBlame(); err != nil {
			return "", err
		}
		finish, err := g.attempt(ctx)
		if err == nil {
			g.clearBlame()
			g.log.WithFields(logrus.Fields{"finish": finish, "attempts": g.attemptNumber, "tokens": g.out.len()}).Info("entry: request answered.")
			return finish, nil
		}
		if ctx.Err() != nil {
			return "", contextVerdict(ctx)
		}
		if last := g.prepareRetry(ctx, err); last != nil {
			return "", last
		}
	}
}

// judge refuses a request that is known to crash servers.
func (g *generation) checkBlame() *verdict.Error {
	switch g.e.blameState(g.r.fingerprint) {
	case blame.Convicted:
		return crashRefusal()
	case blame.Suspect:
		g.suspect = true
	}
	return nil
}

// crashes is the refusal of a request that is known to crash servers. It has
// not run this time; final says otherwise of one that an engine was asked for.
func crashRefusal() *verdict.Error {
	return verdict.New(verdict.NotRun, verdict.Crashes, "This request crashes the servers that run it. Don't send it again.")
}

// settle clears a request that servers were lost under and that was answered.
func (g *generation) clearBlame() {
	if g.crashes > 0 {
		g.e.recordCleared(g.r.fingerprint)
	}
}

// again decides on another attempt. It returns nil if there is one, after the
// wait before it, or else the final error.
func (g *generation) prepareRetry(ctx context.Context, err *verdict.Error) *verdict.Error {
	if g.refusedByQueue {
		// The queue itself refused: trying again at once would only cost.
		return err
	}
	if err.Crashed {
		g.crashes++
		g.gate.serverLost()
		g.e.recordCrash(g.r.fingerprint, err.CrashedAlone)
	}
	if retry.Refused(err) {
		g.refusals++
	} else {
		g.failures++
	}
	d := g.e.retryDecision(err, retry.Try{
		Organisation: g.r.organisation, Target: g.dest.choice.Pool, Idempotent: g.r.idempotent,
		Attempts: g.failures, Refusals: g.refusals, MayHaveRun: g.dispatched, Deadline: g.r.deadline,
	})
	if !d.Retry {
		return d.Final
	}
	g.log.WithError(err).WithFields(logrus.Fields{"after": d.After.Seconds(), "failures": g.failures, "refusals": g.refusals}).Info("entry: another attempt.")
	if !wait.Sleep(ctx, d.After) {
		return contextVerdict(ctx)
	}
	return nil
}

// attempt does one try: reservations, prefill, transfer and decode.
func (g *generation) attempt(ctx context.Context) (string, *verdict.Error) {
	g.out.countAttempt()
	attemptsTotal.Inc()
	it := g.queueItem()
	if err := g.enterGate(ctx, it); err != nil {
		g.refusedByQueue = true
		return "", err
	}
	defer g.gate.slotFreed()
	if p := g.e.settings.Policy; p.Reserve == settings.ReserveEarly && !p.Baseline() {
		return g.attemptEarly(ctx, it)
	}
	return g.attemptLate(ctx, it)
}

// enter waits for the request's turn. A suspect has none: it waits for a server
// of its own, and while it stood in the queue its refusals would hold back all
// others, as if the pool were full.
func (g *generation) enterGate(ctx context.Context, it admit.Item) *verdict.Error {
	if g.suspect {
		return nil
	}
	err := g.gate.enter(ctx, it)
	g.inGate = err == nil
	return err
}

// leave ends the request's turn, if it has one.
func (g *generation) leaveGate(it admit.Item, granted bool) {
	if g.inGate {
		g.inGate = false
		g.gate.leave(it, granted)
	}
}

// attemptEarly reserves the decode slot before the prefill is paid for.
func (g *generation) attemptEarly(ctx context.Context, it admit.Item) (string, *verdict.Error) {
	decode, err := g.reserveQueued(ctx, it, pb.Phase_PHASE_DECODE, "")
	if err != nil {
		return "", err
	}
	defer decode.release()
	prefill, kv, err := g.reserveAndPrefill(ctx, it, decode.target.zone)
	defer prefill.release()
	if err != nil {
		return "", err
	}
	return g.decode(ctx, decode, prefill, kv)
}

func (g *generation) queueItem() admit.Item {
	if g.e.settings.Policy.Baseline() {
		// No shares and no prediction: the request's context ends its wait.
		return admit.Item{ID: g.r.id, Interactive: true, Enqueued: time.Now()}
	}
	return admit.Item{
		ID:           g.r.id,
		Organisation: g.r.organisation,
		Interactive:  g.dest.choice.Priority == Interactive,
		Cost:         float64(g.r.promptTokens)/10 + float64(g.r.maxTokens),
		Deadline:     g.queueDeadline(),
		Enqueued:     time.Now(),
		Fingerprint:  g.r.fingerprint,
	}
}

// startBy is when the request must leave the queue. A request that people wait
// for and that can't meet the first-token target any more would take capacity
// from those that can.
//
// Another try of a request has no such time, only the deadline of its context.
// A lost server holds the queue up for a moment, and the rate measured then
// would predict a wait of many seconds: requests that had been accepted, with
// most of their deadline left, were refused for it.
func (g *generation) queueDeadline() time.Time {
	switch {
	case g.out.len() > 0 || g.attemptNumber > 0:
		return time.Time{}
	case g.dest.choice.Priority != Interactive:
		return g.r.deadline
	}
	by := g.r.arrived.Add(g.e.settings.Policy.TTFTTarget.D())
	if g.r.deadline.Before(by) {
		return g.r.deadline
	}
	return by
}

// reserveTurn reserves, going back to the queue while all servers are full.
func (g *generation) reserveQueued(ctx context.Context, it admit.Item, phase pb.Phase, zone string) (*grant, *verdict.Error) {
	for {
		gr, err := g.reserve(ctx, phase, zone, reserveWait)
		if err == nil {
			return gr, nil
		}
		if err.Code != verdict.Overloaded || ctx.Err() != nil {
			g.leaveGate(it, false)
			return nil, err
		}
		if g.suspect {
			// An agent answers at once while its server is kept open for others.
			wait.Sleep(ctx, exclusiveRetryDelay)
			continue
		}
		if err := g.gate.reenter(ctx, it); err != nil {
			g.inGate = false
			g.refusedByQueue = true
			return nil, err
		}
	}
}

// reserve asks the best servers in turn for a grant. Only the last one asked
// may queue the reservation, for up to wait.
func (g *generation) reserve(ctx context.Context, phase pb.Phase, zone string, wait time.Duration) (*grant, *verdict.Error) {
	return g.reserveAmong(ctx, g.e.choose(phase, g, zone), phase, wait)
}

func (g *generation) reserveAmong(ctx context.Context, list []target, phase pb.Phase, wait time.Duration) (*grant, *verdict.Error) {
	if len(list) == 0 {
		return nil, verdict.New(verdict.NotRun, verdict.NoServer, "No server of pool %s can be used now.", g.dest.choice.Pool).After(time.Second)
	}
	last := verdict.New(verdict.NotRun, verdict.Overloaded, "All servers are full.")
	unreachable := false
	for i, t := range list[:min(maxReserveTargets, len(list))] {
		if err := ctx.Err(); err != nil {
			return nil, contextVerdict(ctx)
		}
		w := time.Duration(0)
		if i == min(maxReserveTargets, len(list))-1 {
			w = wait
		}
		gr, err := g.reserveAtServer(ctx, t, phase, w)
		if err == nil {
			return gr, nil
		}
		if err.Code == verdict.Crashes {
			return nil, err
		}
		unreachable = unreachable || err.Code == verdict.Unreachable
		last = err
	}
	if unreachable {
		// With the servers excluded that failed this request, one that gives no
		// answer may be all that is left; the request would ask it until its
		// deadline.
		clear(g.exclude)
	}
	if last.Code != verdict.Overloaded {
		last = verdict.Wrap(last, verdict.NotRun, verdict.Overloaded, "No server took the request.")
	}
	return nil, last
}

func (g *generation) reserveAtServer(ctx context.Context, t target, phase pb.Phase, wait time.Duration) (*grant, *verdict.Error) {
	gr, err := g.newGrant(t, phase)
	if err != nil {
		return nil, err
	}
	if g.suspect {
		wait = time.Until(g.r.deadline)
	}
	ctx, cancel := context.WithTimeout(ctx, wait+replyMargin)
	defer cancel()
	reply, rerr := gr.conn.Reserve(ctx, g.reservation(gr, wait))
	if rerr != nil {
		// The grant may have been given: the release makes sure that it is
		// not held until it lapses.
		gr.release()
		g.e.recordCallError(t.id, rerr)
		return nil, verdict.Wrap(rerr, verdict.NotRun, verdict.Unreachable, "The server's agent gave no answer.")
	}
	if reply.Refusal != nil {
		gr.conn.Drop(gr.attempt)
		g.e.recordRefusal(t.id, reply.Refusal)
		return nil, refusalError(reply.Refusal)
	}
	g.e.recordSuccess(t.id)
	gr.granted = true
	hint := g.e.agents.Hint(t.id)
	g.log.WithFields(logrus.Fields{
		"server": t.id, "incarnation": reply.Incarnation, "phase": phase.String(), "attempt": gr.attempt.Number,
		"pending": hint.Pending, "revision": g.e.revision(),
	}).Info("entry: slot granted.")
	return gr, nil
}

// grantAt begins an attempt at t, which renewals list from now on.
func (g *generation) newGrant(t target, phase pb.Phase) (*grant, *verdict.Error) {
	conn, err := g.e.agents.Conn(t.id, t.address)
	if err != nil {
		return nil, verdict.Wrap(err, verdict.NotRun, verdict.Unreachable, "The server's agent can't be reached.")
	}
	g.attemptNumber++
	a := &pb.Attempt{Request: g.r.id, Number: g.attemptNumber, Entry: g.e.agents.Entry}
	conn.Hold(a)
	conn.Expect(int64(g.r.promptTokens))
	return &grant{conn: conn, target: t, attempt: a, phase: phase}, nil
}

// reservation is the message that asks for gr.
func (g *generation) reservation(gr *grant, wait time.Duration) *pb.ReserveRequest {
	return &pb.ReserveRequest{
		Attempt: gr.attempt, Phase: gr.phase, Incarnation: gr.conn.Incarnation(), Fingerprint: g.r.fingerprint,
		Exclusive: g.suspect, IdleMs: uint32(grantIdleTimeout.Milliseconds()), WaitMs: uint32(wait.Milliseconds()),
		PromptTokens: uint32(g.r.promptTokens), MaxTokens: uint32(g.r.maxTokens),
		Batch: g.dest.choice.Priority == Batch, Organisation: g.shareOrganisation(),
		WaitedMs: uint32(time.Since(g.r.arrived).Milliseconds()),
	}
}

// sharer is the organisation whose share the request counts to at agents.
func (g *generation) shareOrganisation() string {
	if g.e.settings.Policy.Baseline() {
		return ""
	}
	return g.r.organisation
}

func priorityOf(p string) uint32 {
	if p == Interactive {
		return 1
	}
	return 0
}
