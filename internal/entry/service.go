package entry

import (
	"context"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	pb "jayford.example/jayford/api/jayfordv1"
	"jayford.example/jayford/internal/policy/blame"
	"jayford.example/jayford/internal/policy/doubt"
	"jayford.example/jayford/internal/policy/retry"
	"jayford.example/jayford/internal/verdict"
	"jayford.example/jayford/internal/wait"
)

// callResult is the outcome of one try of a call.
type callResult struct {
	reply  *pb.CallReply
	target target
	err    *verdict.Error
}

// serviceCall is the work on one call of a plain service.
type serviceCall struct {
	e        *Entry
	r        *request
	dest     destination
	attempts uint32
	exclude  map[string]bool
	// failures and refusals count the tries that ended so.
	failures int
	refusals int
	// open has the tries that have not ended, in the order of asking.
	open    []openTry
	results chan callResult
}

// openTry is a try that has not ended.
type openTry struct {
	server string
	began  time.Time
	// judged: the server's silence was noted, or the try is a trial, which
	// judges its server by itself.
	judged bool
}

// callService passes r to a plain service and returns its reply with the
// number of tries.
func (e *Entry) callService(ctx context.Context, r *request) (*pb.CallReply, int, *verdict.Error) {
	dest, err := e.routeRequest(r)
	if err != nil {
		return nil, 0, err
	}
	if len(dest.targets.service) == 0 {
		return nil, 0, verdict.New(verdict.NotRun, verdict.NoServer, "Pool %s has no live service.", dest.choice.Pool).After(time.Second)
	}
	if e.blameState(r.fingerprint) == blame.Convicted {
		return nil, 0, crashRefusal()
	}
	if err := e.claim(ctx, r); err != nil {
		return nil, 0, err
	}
	c := &serviceCall{e: e, r: r, dest: dest, exclude: make(map[string]bool), results: make(chan callResult, maxTries)}
	ctx, cancel := context.WithCancel(ctx)
	// Tries that lost against a faster one are cancelled.
	defer cancel()
	e.recordFirstTry(r.organisation, dest.choice.Pool)
	reply, err := c.run(ctx)
	if err != nil && err.Verdict == verdict.NotRun {
		e.unclaim(r)
	}
	return reply, int(c.attempts), err
}

// maxTries bounds the tries of one call, hedges included.
const maxTries = 4

func (c *serviceCall) run(ctx context.Context) (*pb.CallReply, *verdict.Error) {
	if err := c.start(ctx); err != nil {
		return nil, err
	}
	hedge := c.hedgeTimer()
	defer hedge.Stop()
	checks := 0
	worst := verdict.NotRun
	for {
		select {
		case <-ctx.Done():
			err := contextVerdict(ctx)
			err.Verdict = verdict.MayHaveRun
			return nil, err
		case <-hedge.C:
			delay := c.e.latency.hedgeDelay()
			c.recordOverdue(overdueFactor * delay)
			c.hedge(ctx)
			// If the budget is spent, without another look a call on a frozen
			// server would wait until its deadline.
			hedge.Reset(delay << doublings(checks))
			checks++
		case res := <-c.results:
			c.logResult(res)
			if res.err == nil {
				c.recordOvertaken(res.target.id)
				return res.reply, nil
			}
			if res.err.Verdict != verdict.NotRun {
				worst = verdict.MayHaveRun
			}
			if err := c.handleFailure(ctx, res, worst); err != nil {
				return nil, err
			}
		}
	}
}

// note logs how a try ended.
func (c *serviceCall) logResult(res callResult) {
	log := c.e.log.WithFields(logrus.Fields{
		"request": c.r.id, "organisation": c.r.organisation, "server": res.target.id, "attempts": c.attempts, "revision": c.e.revision(),
	})
	if res.err != nil {
		log.WithError(res.err).WithFields(logrus.Fields{"code": res.err.Code, "verdict": res.err.Verdict.String()}).Info("entry: call failed.")
		return
	}
	log.WithField("status", res.reply.Status).Info("entry: call answered.")
}

const (
	// quickLooks at an open call come one after the other in a slow answer's
	// time; then the pause doubles, slowest times at most. A call that lasts for
	// long by nature would otherwise wake its entry for all of it.
	checksBeforeBackoff = 8
	maxDoublings        = 6
)

// slower is how many times the pause after so many looks has doubled.
func doublings(checks int) int { return min(max(0, checks-checksBeforeBackoff), maxDoublings) }

// failed decides after a failed try. It returns the final error, or nil while
// another try is open or begun.
func (c *serviceCall) handleFailure(ctx context.Context, res callResult, worst verdict.Verdict) *verdict.Error {
	c.exclude[res.target.id] = true
	if res.err.Crashed {
		c.e.recordCrash(c.r.fingerprint, res.err.CrashedAlone)
	}
	c.open = slices.DeleteFunc(c.open, func(o openTry) bool { return o.server == res.target.id })
	if len(c.open) > 0 {
		return nil
	}
	err := *res.err
	err.Verdict = worst
	if retry.Refused(&err) {
		c.refusals++
	} else {
		c.failures++
	}
	d := c.e.retryDecision(&err, retry.Try{
		Organisation: c.r.organisation, Target: c.dest.choice.Pool, Idempotent: c.r.idempotent,
		Attempts: c.failures, Refusals: c.refusals, MayHaveRun: worst != verdict.NotRun, Deadline: c.r.deadline,
	})
	if !d.Retry || c.attempts >= maxTries {
		return &err
	}
	wait.Sleep(ctx, d.After)
	if c.start(ctx) != nil {
		return &err
	}
	return nil
}

// overtaken notes the servers that were asked before the one that answered and
// have not answered yet. A frozen server's agent lives and its connection is
// open: without this evidence it would get its share of all requests, each of
// which would wait for its hedge.
func (c *serviceCall) recordOvertaken(winner string) {
	for _, o := range c.open {
		if o.server == winner {
			return
		}
		if !o.judged {
			c.e.members.observe(o.server, doubt.Timeout)
		}
	}
}

// overdueAfter is when a try without an answer is evidence against its server,
// in the usual times of a slow answer.
const overdueFactor = 4

// overdue notes the servers that have given no answer for limit. While the budget of
// hedges is spent nobody overtakes a frozen server, and all callers that it got
// meanwhile would wait, more of them with each moment that it is trusted.
func (c *serviceCall) recordOverdue(limit time.Duration) {
	for i := range c.open {
		o := &c.open[i]
		if !o.judged && time.Since(o.began) >= limit {
			o.judged = true
			c.e.members.observe(o.server, doubt.Timeout)
		}
	}
}

// mayRepeat reports whether the call may be sent to a second server.
func (c *serviceCall) canHedge() bool {
	return c.r.idempotent && len(c.dest.targets.service) > 1
}

// hedgeTimer is set for calls that may be repeated: when an answer takes much
// longer than usual the server may be frozen, and another one is asked too. With
// a trial another one is asked at once.
func (c *serviceCall) hedgeTimer() *time.Timer {
	switch {
	case !c.canHedge():
		t := time.NewTimer(time.Hour)
		t.Stop()
		return t
	case c.open[0].judged:
		return time.NewTimer(0)
	}
	return time.NewTimer(c.e.latency.hedgeDelay())
}

// hedge begins a second try beside the one that is open, if a budget allows it.
// Slow answers alone may have spent that of hedges by the time that a server
// freezes. Calls that stand at a doubted server are no guess any more: they may
// take from the budget of retries.
func (c *serviceCall) hedge(ctx context.Context) {
	if len(c.open) != 1 || c.attempts >= maxTries {
		return
	}
	pool := c.dest.choice.Pool
	suspected := c.e.members.unproven(c.open[0].server)
	if c.e.allowHedge(pool) || suspected && c.e.allowRetry(c.r.organisation, pool) {
		hedgesTotal.Inc()
		_ = c.start(ctx)
	}
}

// start begins a try at the best server that has not been tried.
func (c *serviceCall) start(ctx context.Context) *verdict.Error {
	list := c.e.chooseService(c.dest.targets.service, c.exclude)
	if len(list) == 0 {
		return verdict.New(verdict.NotRun, verdict.NoServer, "No server of pool %s can be used now.", c.dest.choice.Pool).After(time.Second)
	}
	t := list[0]
	c.exclude[t.id] = true
	c.attempts++
	trial := c.canHedge() && c.e.members.unproven(t.id)
	c.open = append(c.open, openTry{t.id, time.Now(), trial})
	n := c.attempts
	attemptsTotal.Inc()
	end := func() {}
	if trial {
		ctx, end = c.e.trialContext(ctx, t.id)
	}
	go func() {
		defer end()
		reply, err := c.e.callOnce(ctx, c.r, t, n)
		c.results <- callResult{reply, t, err}
	}()
	return nil
}

// trialFor is how long a trial may take, in the usual times of a slow answer.
const trialFactor = 2

// trial returns the context of a try at a server that was doubted and whose
// agent lives. The failure: the backend server is frozen still, each such try
// waits for its hedge, and every hundredth caller notices. So another server is
// asked at once, and when its answer ends ctx the trial goes on for as long as
// slow answers take: only that tells a frozen server from one that was overtaken
// by little. end must be called when the try has ended.
func (e *Entry) trialContext(ctx context.Context, id string) (trying context.Context, end func()) {
	until := time.Now().Add(trialFactor * e.latency.hedgeDelay())
	trying, cancel := context.WithCancel(context.WithoutCancel(ctx))
	stop := context.AfterFunc(ctx, func() {
		t := time.NewTimer(time.Until(until))
		defer t.Stop()
		select {
		case <-t.C:
			e.members.observe(id, doubt.Timeout)
			cancel()
		case <-trying.Done():
		}
	})
	return trying, func() {
		stop()
		cancel()
	}
}

// callOnce does one try at one server.
func (e *Entry) callOnce(ctx context.Context, r *request, t target, number uint32) (*pb.CallReply, *verdict.Error) {
	conn, cerr := e.agents.Conn(t.id, t.address)
	if cerr != nil {
		return nil, verdict.Wrap(cerr, verdict.NotRun, verdict.Unreachable, "The server's agent can't be reached.")
	}
	a := &pb.Attempt{Request: r.id, Number: number, Entry: e.agents.Entry}
	conn.Hold(a)
	defer conn.Drop(a)
	conn.Expect(0)
	req := &pb.CallRequest{
		Attempt: a, Incarnation: conn.Incarnation(), Method: r.method, Uri: r.uri, Body: r.body,
		DeadlineMs: uint64(max(time.Until(r.deadline).Milliseconds(), 1)), Fingerprint: r.fingerprint,
		Exclusive: e.blameState(r.fingerprint) == blame.Suspect,
	}
	for _, h := range r.headers {
		req.Headers = append(req.Headers, &pb.Header{Key: h.key, Value: h.value})
	}
	ctx, cancel := conn.WhileKept(ctx)
	defer cancel()
	began := time.Now()
	reply, err := conn.Call(ctx, req)
	if err != nil {
		e.recordCallError(t.id, err)
		return nil, verdict.Wrap(err, verdictOfRPC(err), verdict.Unreachable, "The server's agent gave no answer.")
	}
	if reply.Refusal != nil {
		e.recordRefusal(t.id, reply.Refusal)
		return nil, refusalError(reply.Refusal)
	}
	e.latency.add(time.Since(began))
	e.recordSuccess(t.id)
	return reply, nil
}
