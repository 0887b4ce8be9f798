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
	grantIdle = 15 * time.Second
	// suspectPause is the time between two rounds of a request that must run alone.
	suspectPause = 250 * time.Millisecond
	// reserveWait is how long an agent may queue a reservation for a slot.
	reserveWait = 250 * time.Millisecond
	// askAtMost bounds the agents asked for one reservation.
	askAtMost = 3
	// answerMargin is added to bounded waits for an agent's answer.
	answerMargin = 300 * time.Millisecond
)

// generation is the work on one completion. It is used by one goroutine.
type generation struct {
	e   *Entry
	r   *request
	out *output
	to  routed
	log *logrus.Entry

	gate   *gate
	number uint32
	// claimed: the request has its key, if it needs one.
	claimed bool
	// touched: an engine was asked to work, so the request may have run.
	touched bool
	// exclude names servers that failed this request.
	exclude map[string]bool
	// inGate: it has its turn to reserve.
	inGate bool
	// queued: the last error is the queue's.
	queued bool
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
		err = g.final(ctx, err)
	}
	out.end(finish, err)
}

// final makes the verdict truthful: once an engine was asked, it may have run.
func (g *generation) final(ctx context.Context, err *verdict.Error) *verdict.Error {
	if ctx.Err() != nil {
		err = contextVerdict(ctx)
	}
	if g.touched || g.out.len() > 0 {
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
		"code": err.Code, "verdict": err.Verdict.String(), "attempts": g.number, "retryAfter": err.RetryAfter.Seconds(),
	}).Info("entry: request ended without a whole answer.")
	return err
}

func (g *generation) run(ctx context.Context) (string, *verdict.Error) {
	to, err := g.e.routeRequest(g.r)
	if err != nil {
		return "", err
	}
	g.to = to
	if g.e.settings.Policy.Baseline() {
		// One queue in order of arrival, also at agents and engines.
		g.to.choice.Priority = Interactive
	}
	if !to.targets.generates() {
		return "", verdict.New(verdict.NotRun, verdict.NoServer, "Pool %s has no live prefill or decode servers.", to.choice.Pool).After(time.Second)
	}
	if err := g.e.claim(ctx, g.r); err != nil {
		return "", err
	}
	g.claimed = true
	g.gate = g.e.gateOf(to.choice.Pool)
	g.e.first(g.r.organisation, to.choice.Pool)
	for {
		if err := g.judge(); err != nil {
			return "", err
		}
		finish, err := g.attempt(ctx)
		if err == nil {
			g.settle()
			g.log.WithFields(logrus.Fields{"finish": finish, "attempts": g.number, "tokens": g.out.len()}).Info("entry: request answered.")
			return finish, nil
		}
		if ctx.Err() != nil {
			return "", contextVerdict(ctx)
		}
		if last := g.again(ctx, err); last != nil {
			return "", last
		}
	}
}

// judge refuses a request that is known to crash servers.
func (g *generation) judge() *verdict.Error {
	switch g.e.blameOf(g.r.fingerprint) {
	case blame.Convicted:
		return crashes()
	case blame.Suspect:
		g.suspect = true
	}
	return nil
}

// crashes is the refusal of a request that is known to crash servers. It has
// not run this time; final says otherwise of one that an engine was asked for.
func crashes() *verdict.Error {
	return verdict.New(verdict.NotRun, verdict.Crashes, "This request crashes the servers that run it. Don't send it again.")
}

// settle clears a request that servers were lost under and that was answered.
func (g *generation) settle() {
	if g.crashes > 0 {
		g.e.cleared(g.r.fingerprint)
	}
}

// again decides on another attempt. It returns nil if there is one, after the
// wait before it, or else the final error.
func (g *generation) again(ctx context.Context, err *verdict.Error) *verdict.Error {
	if g.queued {
		// The queue itself refused: trying again at once would only cost.
		return err
	}
	if err.Crashed {
		g.crashes++
		g.gate.lost()
		g.e.crashed(g.r.fingerprint, err.CrashedAlone)
	}
	if retry.Refused(err) {
		g.refusals++
	} else {
		g.failures++
	}
	d := g.e.retryDecision(err, retry.Try{
		Organisation: g.r.organisation, Target: g.to.choice.Pool, Idempotent: g.r.idempotent,
		Attempts: g.failures, Refusals: g.refusals, MayHaveRun: g.touched, Deadline: g.r.deadline,
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
	g.out.attempt()
	attemptsTotal.Inc()
	it := g.item()
	if err := g.enter(ctx, it); err != nil {
		g.queued = true
		return "", err
	}
	defer g.gate.freed()
	if p := g.e.settings.Policy; p.Reserve == settings.ReserveEarly && !p.Baseline() {
		return g.attemptEarly(ctx, it)
	}
	return g.attemptLate(ctx, it)
}

// enter waits for the request's turn. A suspect has none: it waits for a server
// of its own, and while it stood in the queue its refusals would hold back all
// others, as if the pool were full.
func (g *generation) enter(ctx context.Context, it admit.Item) *verdict.Error {
	if g.suspect {
		return nil
	}
	err := g.gate.enter(ctx, it)
	g.inGate = err == nil
	return err
}

// leave ends the request's turn, if it has one.
func (g *generation) leave(it admit.Item, granted bool) {
	if g.inGate {
		g.inGate = false
		g.gate.leave(it, granted)
	}
}

// attemptEarly reserves the decode slot before the prefill is paid for.
func (g *generation) attemptEarly(ctx context.Context, it admit.Item) (string, *verdict.Error) {
	decode, err := g.reserveTurn(ctx, it, pb.Phase_PHASE_DECODE, "")
	if err != nil {
		return "", err
	}
	defer decode.release()
	prefill, kv, err := g.prefillAnywhere(ctx, it, decode.target.zone)
	defer prefill.release()
	if err != nil {
		return "", err
	}
	return g.decode(ctx, decode, prefill, kv)
}

func (g *generation) item() admit.Item {
	if g.e.settings.Policy.Baseline() {
		// No shares and no prediction: the request's context ends its wait.
		return admit.Item{ID: g.r.id, Interactive: true, Enqueued: time.Now()}
	}
	return admit.Item{
		ID:           g.r.id,
		Organisation: g.r.organisation,
		Interactive:  g.to.choice.Priority == Interactive,
		Cost:         float64(g.r.promptTokens)/10 + float64(g.r.maxTokens),
		Deadline:     g.startBy(),
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
func (g *generation) startBy() time.Time {
	switch {
	case g.out.len() > 0 || g.number > 0:
		return time.Time{}
	case g.to.choice.Priority != Interactive:
		return g.r.deadline
	}
	by := g.r.arrived.Add(g.e.settings.Policy.TTFTTarget.D())
	if g.r.deadline.Before(by) {
		return g.r.deadline
	}
	return by
}

// reserveTurn reserves, going back to the queue while all servers are full.
func (g *generation) reserveTurn(ctx context.Context, it admit.Item, phase pb.Phase, zone string) (*grant, *verdict.Error) {
	for {
		gr, err := g.reserve(ctx, phase, zone, reserveWait)
		if err == nil {
			return gr, nil
		}
		if err.Code != verdict.Overloaded || ctx.Err() != nil {
			g.leave(it, false)
			return nil, err
		}
		if g.suspect {
			// An agent answers at once while its server is kept open for others.
			wait.Sleep(ctx, suspectPause)
			continue
		}
		if err := g.gate.again(ctx, it); err != nil {
			g.inGate = false
			g.queued = true
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
		return nil, verdict.New(verdict.NotRun, verdict.NoServer, "No server of pool %s can be used now.", g.to.choice.Pool).After(time.Second)
	}
	last := verdict.New(verdict.NotRun, verdict.Overloaded, "All servers are full.")
	unheard := false
	for i, t := range list[:min(askAtMost, len(list))] {
		if err := ctx.Err(); err != nil {
			return nil, contextVerdict(ctx)
		}
		w := time.Duration(0)
		if i == min(askAtMost, len(list))-1 {
			w = wait
		}
		gr, err := g.reserveAtServer(ctx, t, phase, w)
		if err == nil {
			return gr, nil
		}
		if err.Code == verdict.Crashes {
			return nil, err
		}
		unheard = unheard || err.Code == verdict.Unreachable
		last = err
	}
	if unheard {
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
	gr, err := g.grantAt(t, phase)
	if err != nil {
		return nil, err
	}
	if g.suspect {
		wait = time.Until(g.r.deadline)
	}
	ctx, cancel := context.WithTimeout(ctx, wait+answerMargin)
	defer cancel()
	reply, rerr := gr.conn.Reserve(ctx, g.reservation(gr, wait))
	if rerr != nil {
		// The grant may have been given: the release makes sure that it is
		// not held until it lapses.
		gr.release()
		g.e.unheard(t.id, rerr)
		return nil, verdict.Wrap(rerr, verdict.NotRun, verdict.Unreachable, "The server's agent gave no answer.")
	}
	if reply.Refusal != nil {
		gr.conn.Drop(gr.attempt)
		g.e.refused(t.id, reply.Refusal)
		return nil, refusalError(reply.Refusal)
	}
	g.e.trusted(t.id)
	gr.granted = true
	hint := g.e.agents.Hint(t.id)
	g.log.WithFields(logrus.Fields{
		"server": t.id, "incarnation": reply.Incarnation, "phase": phase.String(), "attempt": gr.attempt.Number,
		"pending": hint.Pending, "revision": g.e.revision(),
	}).Info("entry: slot granted.")
	return gr, nil
}

// grantAt begins an attempt at t, which renewals list from now on.
func (g *generation) grantAt(t target, phase pb.Phase) (*grant, *verdict.Error) {
	conn, err := g.e.agents.Conn(t.id, t.address)
	if err != nil {
		return nil, verdict.Wrap(err, verdict.NotRun, verdict.Unreachable, "The server's agent can't be reached.")
	}
	g.number++
	a := &pb.Attempt{Request: g.r.id, Number: g.number, Entry: g.e.agents.Entry}
	conn.Hold(a)
	conn.Expect(int64(g.r.promptTokens))
	return &grant{conn: conn, target: t, attempt: a, phase: phase}, nil
}

// reservation is the message that asks for gr.
func (g *generation) reservation(gr *grant, wait time.Duration) *pb.ReserveRequest {
	return &pb.ReserveRequest{
		Attempt: gr.attempt, Phase: gr.phase, Incarnation: gr.conn.Incarnation(), Fingerprint: g.r.fingerprint,
		Exclusive: g.suspect, IdleMs: uint32(grantIdle.Milliseconds()), WaitMs: uint32(wait.Milliseconds()),
		PromptTokens: uint32(g.r.promptTokens), MaxTokens: uint32(g.r.maxTokens),
		Batch: g.to.choice.Priority == Batch, Organisation: g.sharer(),
		WaitedMs: uint32(time.Since(g.r.arrived).Milliseconds()),
	}
}

// sharer is the organisation whose share the request counts to at agents.
func (g *generation) sharer() string {
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
