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
	// grantIdleTimeout is how long a reservation may stay unused. It covers a
	// prefill including its queueing; if the entry dies, the reservation lapses
	// earlier for lack of renewals. Agents cap it at their own maxIdle.
	grantIdleTimeout = 15 * time.Second
	// exclusiveRetryDelay is the pause between two attempts to reserve an
	// exclusive server.
	exclusiveRetryDelay = 250 * time.Millisecond
	// reserveWait is how long an agent may queue a reservation for a slot.
	reserveWait = 250 * time.Millisecond
	// maxReserveTargets bounds the agents tried for one reservation.
	maxReserveTargets = 3
	// replyMargin is how much longer a reservation's RPC may take than its wait
	// at the agent.
	replyMargin = 300 * time.Millisecond
)

// generation is the state of one completion request. It is used by one
// goroutine.
type generation struct {
	e    *Entry
	r    *request
	out  *output
	dest destination
	log  *logrus.Entry

	gate *admissionGate
	// attemptNumber is the number of the last attempt to get a grant.
	attemptNumber uint32
	// claimed reports whether the idempotency key was claimed, if one is needed.
	claimed bool
	// dispatched reports whether the request was sent to an engine and thus may
	// have run.
	dispatched bool
	// exclude holds the ids of servers that failed this request.
	exclude map[string]bool
	// inGate reports whether the gate has admitted the request to reserve.
	inGate bool
	// refusedByQueue reports whether the last error came from the gate.
	refusedByQueue bool
	// failures and refusals count the tries that failed or were refused.
	failures int
	refusals int
	// crashes counts the servers that were lost while they ran this request.
	crashes int
	// suspect is set once servers have crashed while they ran a request with
	// this fingerprint. The request then runs only alone on its server.
	suspect bool
}

// grant is a reservation at an agent.
type grant struct {
	conn    *agents.Conn
	target  target
	attempt *pb.Attempt
	phase   pb.Phase
	// granted is set when the agent has confirmed the slot.
	granted bool
	// released is set when the release has been sent.
	released bool
}

// release frees the grant. Calls after the first do nothing. It isn't safe for
// concurrent use.
func (g *grant) release() {
	if g != nil && !g.released {
		g.released = true
		g.conn.Release(g.attempt, g.phase)
	}
}

// generate runs r and writes the answer to out. It returns when the answer has
// ended and its reservations have been released.
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

// finalError returns the error to report for err. Once the request was sent to an
// engine, the verdict is that it may have run.
func (g *generation) finalError(ctx context.Context, err *verdict.Error) *verdict.Error {
	mayHaveRun := g.dispatched || g.out.len() > 0
	switch {
	case ctx.Err() != nil && mayHaveRun:
		err = endedError(ctx, verdict.MayHaveRun)
	case ctx.Err() != nil:
		err = contextVerdict(ctx)
	case mayHaveRun:
		changed := *err
		changed.Verdict = verdict.MayHaveRun
		err = &changed
	}
	err = withRetryAfter(err)
	// Only a claimed key is released: earlier refusals must not call the
	// platform, or wait for it when it is down.
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
		// The baselines use one FIFO queue, also at agents and engines.
		g.dest.choice.Priority = Interactive
	}
	if !dest.targets.canGenerate() {
		return "", verdict.New(verdict.NotRun, verdict.NoServer, "Pool %s has no live prefill or decode servers.", dest.choice.Pool).WithRetryAfter(time.Second)
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

// checkBlame refuses a request that is known to crash servers, and sets suspect
// on one that may.
func (g *generation) checkBlame() *verdict.Error {
	switch g.e.blameState(g.r.fingerprint) {
	case blame.Convicted:
		return crashRefusal()
	case blame.Suspect:
		g.suspect = true
	}
	return nil
}

// crashRefusal returns the refusal of a request that is known to crash servers.
// Its verdict is NotRun; finalError changes that if an earlier attempt was sent
// to an engine.
func crashRefusal() *verdict.Error {
	return verdict.New(verdict.NotRun, verdict.Crashes, "This request crashes the servers that run it. Don't send it again.")
}

// clearBlame clears the fingerprint of a request that was answered after servers
// had crashed while they ran it.
func (g *generation) clearBlame() {
	if g.crashes > 0 {
		g.e.recordCleared(g.r.fingerprint)
	}
}

// prepareRetry decides whether to make another attempt after err. It waits for
// the backoff and returns nil if so, and the final error otherwise.
func (g *generation) prepareRetry(ctx context.Context, err *verdict.Error) *verdict.Error {
	if g.refusedByQueue {
		// Retrying a refusal by the gate at once would only add load.
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
	d := g.e.retryDecision(err, retry.Attempt{
		Organisation: g.r.organisation, Target: g.dest.choice.Pool, Idempotent: g.r.idempotent,
		Attempts: g.failures, Refusals: g.refusals, MayHaveRun: g.dispatched, Deadline: g.r.deadline,
	})
	if !d.Retry {
		return d.Final
	}
	g.log.WithError(err).WithFields(logrus.Fields{"after": d.Delay.Seconds(), "failures": g.failures, "refusals": g.refusals}).Info("entry: retrying request.")
	if !wait.Sleep(ctx, d.Delay) {
		return contextVerdict(ctx)
	}
	return nil
}

// attempt makes one attempt: reservations, prefill, KV transfer and decode.
func (g *generation) attempt(ctx context.Context) (string, *verdict.Error) {
	g.out.countAttempt()
	attemptsTotal.Inc()
	it := g.queueItem()
	if err := g.enterGate(ctx, it); err != nil {
		g.refusedByQueue = true
		return "", err
	}
	defer g.gate.slotFreed(it.ID)
	if p := g.e.settings.Policy; p.Reserve == settings.ReserveEarly && !p.Baseline() {
		return g.attemptEarly(ctx, it)
	}
	return g.attemptLate(ctx, it)
}

// enterGate waits until the gate admits the request. A suspect bypasses the gate:
// it waits for an exclusive server, and its refusals would pause admission for
// all others as if the pool were full.
func (g *generation) enterGate(ctx context.Context, it admit.Item) *verdict.Error {
	if g.suspect {
		return nil
	}
	err := g.gate.enter(ctx, it)
	g.inGate = err == nil
	return err
}

// leaveGate leaves the gate if the request is in it.
func (g *generation) leaveGate(it admit.Item, granted bool) {
	if g.inGate {
		g.inGate = false
		g.gate.leave(it, granted)
	}
}

// attemptEarly reserves the decode slot before it runs the prefill, so that no
// prefill is wasted for lack of a decode slot.
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
		// The baselines have no fair shares and no prediction; only the
		// request's context bounds the wait.
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

// queueDeadline returns the time until which the request may stay queued. An
// interactive request that can no longer meet the TTFT target would take capacity
// from those that can.
//
// Retries have no queue deadline, only that of their context. After a server is
// lost the queue stalls briefly, and the service rate measured then predicts
// waits of many seconds: already accepted requests would be refused with most of
// their deadline left.
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

// reserveQueued reserves a slot. While all servers are full, it goes back to the
// gate's queue and tries again.
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
			// For a while after an exclusive reservation timed out, an agent
			// refuses further ones without queueing them.
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

// reserve tries the best servers in order until one grants a slot. Only the last
// one may queue the reservation, for up to wait.
func (g *generation) reserve(ctx context.Context, phase pb.Phase, zone string, wait time.Duration) (*grant, *verdict.Error) {
	return g.reserveAmong(ctx, g.e.choose(phase, g, zone), phase, wait)
}

func (g *generation) reserveAmong(ctx context.Context, list []target, phase pb.Phase, wait time.Duration) (*grant, *verdict.Error) {
	if len(list) == 0 {
		return nil, verdict.New(verdict.NotRun, verdict.NoServer, "No server of pool %s can be used now.", g.dest.choice.Pool).WithRetryAfter(time.Second)
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
		// Excluding the servers that failed this request may leave only ones
		// that are unreachable, which would be tried until the deadline.
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
	began := time.Now()
	reply, rerr := gr.conn.Reserve(ctx, g.reservation(gr, wait))
	if rerr != nil {
		// The agent may have granted the slot: release it so that it isn't held
		// until it lapses.
		gr.release()
		g.e.recordCallError(t.id, began, rerr)
		return nil, verdict.Wrap(rerr, verdict.NotRun, verdict.Unreachable, "The server's agent gave no answer.")
	}
	if reply.Refusal != nil {
		gr.conn.StopRenewing(gr.attempt)
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

// newGrant starts an attempt at t, which is included in renewals from now on.
func (g *generation) newGrant(t target, phase pb.Phase) (*grant, *verdict.Error) {
	conn, err := g.e.agents.Conn(t.id, t.address)
	if err != nil {
		return nil, verdict.Wrap(err, verdict.NotRun, verdict.Unreachable, "The server's agent can't be reached.")
	}
	g.attemptNumber++
	a := &pb.Attempt{Request: g.r.id, Number: g.attemptNumber, Entry: g.e.agents.Entry}
	conn.StartRenewing(a)
	conn.AddPending(int64(g.r.promptTokens))
	return &grant{conn: conn, target: t, attempt: a, phase: phase}, nil
}

// reservation returns the request that reserves gr.
func (g *generation) reservation(gr *grant, wait time.Duration) *pb.ReserveRequest {
	return &pb.ReserveRequest{
		Attempt: gr.attempt, Phase: gr.phase, Incarnation: gr.conn.Incarnation(), Fingerprint: g.r.fingerprint,
		Exclusive: g.suspect, IdleMs: uint32(grantIdleTimeout.Milliseconds()), WaitMs: uint32(wait.Milliseconds()),
		PromptTokens: uint32(g.r.promptTokens), MaxTokens: uint32(g.r.maxTokens),
		Batch: g.dest.choice.Priority == Batch, Organisation: g.shareOrganisation(),
		WaitedMs: uint32(time.Since(g.r.arrived).Milliseconds()),
	}
}

// shareOrganisation returns the organisation whose fair share the request is
// counted against at agents.
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
