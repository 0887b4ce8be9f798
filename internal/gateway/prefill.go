package gateway

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"jayford.example/jayford/internal/catalog"
	"jayford.example/jayford/internal/policy/doubt"
	"jayford.example/jayford/internal/policy/prefill"
	"jayford.example/jayford/internal/policy/retry"
	"jayford.example/jayford/internal/verdict"
)

const (
	// prefillTimeout bounds a prefill, also at a server that doesn't respond.
	prefillTimeout = 1200 * time.Millisecond
	// maxPrefillQueue is the expected prefill time, as a part of the objective, above
	// which the prefill engines are bypassed. The decode engine then runs the prefill
	// itself, at half the speed, and stalls its other streams meanwhile.
	maxPrefillQueue = 0.8
)

// prefillResult is the id of a prefill's result and the engine that keeps it. The zero
// value leaves the prefill to the decode engine.
type prefillResult struct {
	from catalog.Server
	id   string
}

// prefill runs the prompt's prefill at a prefill engine, or leaves it to the decode
// engine of the reservation, and makes sure that the decode may be sent. An error means
// that the request is refused.
func (g *Gateway) prefill(ctx context.Context, j *job, p reservation, after string) (prefillResult, *verdict.Error) {
	out, err := g.tryPrefill(ctx, j, p, after)
	if err == nil && ctx.Err() != nil {
		err = verdict.Wrap(ctx.Err(), verdict.NotRun, verdict.Cancelled, "Nobody waits for the request any more.")
	}
	if err == nil && !g.takeRetries(j, j.arrivals.OwedForRun()) {
		err = budgetEmptyError()
	}
	return out, err
}

// tryPrefill tries prefill engines until one has run the prefill, and returns the zero
// value if it is left to the decode engine.
func (g *Gateway) tryPrefill(ctx context.Context, j *job, p reservation, after string) (prefillResult, *verdict.Error) {
	for {
		if err := g.recheck(ctx, j); err != nil {
			return prefillResult{}, err
		}
		s, ok := g.pickPrefill(j)
		if !ok {
			return prefillResult{}, nil
		}
		expected := g.expectedPrefill(j, s)
		prompt := prefill.Prompt{
			StallsStreams: g.stallsStreams(j, p), DecodeIdle: g.engineIdle(p), MayHaveRun: j.runs > 0 || eventNumber(after) > 0,
			InTime: expected < j.route.MaxEventGap,
		}
		step := j.prefillState.Next(prompt)
		if step == prefill.Send && !g.takeRetries(j, j.arrivals.OwedForPrefill(j.runs > 0)) {
			step = j.prefillState.WithoutBudget(prompt)
		}
		switch step {
		case prefill.Refuse:
			return prefillResult{}, verdict.New(
				verdict.NotRun, verdict.Overloaded, "No engine has read the prompt, and a decode engine that read it would stall its streams.",
			).WithRetryAfter(notSentOnRetryAfter)
		case prefill.FallBack:
			g.logRequest(j, "gateway: prefill left to the decode server.", logrus.Fields{"holdsUp": prompt.StallsStreams, "alone": prompt.DecodeIdle})
			return prefillResult{}, nil
		case prefill.Send:
		}
		if !prompt.StallsStreams && expected > time.Duration(maxPrefillQueue*float64(j.route.LatencyObjective)) {
			prefillsSkipped.Inc()
			g.logRequest(j, "gateway: prefill left to the decode server.", logrus.Fields{"best": serverKey(s), "expected": milliseconds(expected)})
			return prefillResult{}, nil
		}
		if out, ok := g.prefillOn(ctx, j, s); ok || ctx.Err() != nil {
			return out, nil
		}
	}
}

// engineIdle reports whether the reservation is the only known load on its engine.
func (g *Gateway) engineIdle(p reservation) bool {
	key := serverKey(p.server)
	return int(g.loads.need(key, g.loads.get(key))[0]) <= p.Reserved
}

// expectedPrefill returns the expected time for the prompt's prefill at s, including
// the queue there.
func (g *Gateway) expectedPrefill(j *job, s catalog.Server) time.Duration {
	if g.queues.byTime(j.service.Name) {
		return g.queues.expected(g.queues.now(), serverKey(s), j.r.Generation.Prompt)
	}
	return g.prefillSpeed.estimate(g.loads.queuedTokens(serverKey(s)) + j.r.Generation.Prompt)
}

// prefillOn runs the prompt's prefill at s, and reports whether it succeeded.
func (g *Gateway) prefillOn(ctx context.Context, j *job, s catalog.Server) (prefillResult, bool) {
	if !g.limits.take(serverKey(s), time.Now()) {
		return prefillResult{}, false
	}
	tokens := j.r.Generation.Prompt
	queued := g.loads.queuedTokens(serverKey(s)) + tokens
	unread := g.queues.unread(serverKey(s)) + tokens
	end := g.loads.begin(s, tokens)
	defer end()
	j.progress.prefill(serverKey(s))
	defer j.progress.prefill("")
	began := time.Now()
	at := &attempt{sentAt: began}
	ctx, cancel := context.WithTimeout(ctx, prefillTimeout)
	defer cancel()
	r, err := g.backend.Prefill(ctx, s, Call{
		Request: j.r, Organisation: j.organisationName(), IsRanked: j.isRanked, Rank: j.rank, Timeout: time.Until(j.until), Trace: &at.trace,
	})
	took := time.Since(began)
	countSending("prefill", err)
	if err != nil {
		if isLoss(ctx, err) {
			g.recordLoss(j, s, at, err)
		}
		g.prefillFailed(ctx, j, s, err)
		g.logRequest(j, "gateway: prefill failed.", at.logConnection(logrus.Fields{"server": serverKey(s), "cause": err.Error(), "took": milliseconds(took)}))
		return prefillResult{}, false
	}
	j.prefillState.Done()
	j.arrivals.PromptRead()
	g.loads.recordAccepted(s)
	observe(prefillSeconds, began)
	g.prefillSpeed.record(queued, took)
	g.queues.recordPrefill(serverKey(s), unread, took)
	g.recordPromptTime(queued, tokens, took)
	g.logRequest(j, "gateway: prefill finished.", at.logConnection(logrus.Fields{"server": serverKey(s), "queued": queued, "unread": unread, "took": milliseconds(took)}))
	g.view.recordOutcome(s, doubt.Success)
	return prefillResult{from: s, id: r.Result}, true
}

// prefillFailed records a failed prefill in the health and load of its engine and in
// the job's prefill state.
func (g *Gateway) prefillFailed(ctx context.Context, j *job, s catalog.Server, err *verdict.Error) {
	g.recordFailure(ctx, s, err)
	j.avoid[serverKey(s)] = true
	failure := prefill.Lost
	switch {
	case !arrived(err):
		failure = prefill.Unreachable
	case retry.Refused(err):
		g.loads.recordRefusal(s, time.Now())
		failure = prefill.Refused
	}
	j.prefillState.Failed(failure)
	if arrived(err) {
		j.arrivals.PromptUnread()
		g.checkUnasked(j)
	}
}

// decodePrefillSlowdown is how much longer a prefill takes on an engine that decodes
// meanwhile.
const decodePrefillSlowdown = 2

// stallsStreams reports whether the engine of the reservation, if it ran this prefill, would stall its
// other streams beyond the allowed gap between events. That would save one request and
// make several others late.
func (g *Gateway) stallsStreams(j *job, p reservation) bool {
	if j.route.MaxEventGap <= 0 {
		return false
	}
	prefillTime := g.prefillSpeed.estimate(j.r.Generation.Prompt)
	if g.queues.byTime(j.service.Name) {
		prefillTime = g.queues.decodePrefill(j.service.Name, serverKey(p.server), j.r.Generation.Prompt)
	}
	return decodePrefillSlowdown*prefillTime+g.loads.runs.eventInterval(eventTokens(j.service.Engine)) > j.route.MaxEventGap
}

// pickPrefill returns the prefill server with the shortest queue, by expected time or by tokens,
// if one is neither full nor suspect.
func (g *Gateway) pickPrefill(j *job) (catalog.Server, bool) {
	list := g.view.list().usable(j.service.Name, catalog.Prefill)
	now, prompt, rank := g.queues.now(), j.r.Generation.Prompt, g.byTokens
	if g.queues.decide(now, j.service.Name, j.route.LatencyObjective, prompt, list) {
		rank = func(key string, _ load) int { return int(g.queues.expected(now, key, prompt)) }
	}
	for _, s := range g.best(j, list, 1, rank) {
		return s.Server, s.penalty == noPenalty
	}
	return catalog.Server{}, false
}
