package entry

import (
	"context"
	"maps"
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

// serviceCall is the state of one call of a plain service.
type serviceCall struct {
	e        *Entry
	r        *request
	dest     destination
	attempts uint32
	// exclude holds the servers that have been tried; leaving are those among them that
	// refused because they are leaving.
	exclude map[string]bool
	leaving map[string]bool
	// failures and refusals count the tries that failed or were refused. notRun counts
	// those of both that are proven not to have run.
	failures int
	refusals int
	notRun   int
	// crashes counts the tries under which a server was lost.
	crashes int
	// paused has the ends of the pauses of servers that refused for one.
	paused map[string]time.Time
	// open holds the tries that haven't ended, in the order they were started.
	open    []openTry
	results chan callResult
}

// openTry is a try that hasn't ended.
type openTry struct {
	server string
	began  time.Time
	// trial is set for a try at a server that was suspected of failure.
	trial bool
	// judged is set once a timeout of the server was recorded. It is also set
	// for a trial, which records its timeout itself.
	judged bool
}

// callService forwards r to a plain service and returns its reply and the number
// of tries.
func (e *Entry) callService(ctx context.Context, r *request) (*pb.CallReply, int, *verdict.Error) {
	dest, err := e.routeRequest(r)
	if err != nil {
		return nil, 0, err
	}
	if len(dest.targets.service) == 0 {
		return nil, 0, verdict.New(verdict.NotRun, verdict.NoServer, "Pool %s has no live service.", dest.choice.Pool).WithRetryAfter(time.Second)
	}
	if err := e.refuseConvicted(r); err != nil {
		return nil, 0, err
	}
	if err := e.claim(ctx, r); err != nil {
		return nil, 0, err
	}
	c := newServiceCall(e, r, dest)
	ctx, cancel := context.WithCancel(ctx)
	// Cancel the tries that are still open when one has answered.
	defer cancel()
	e.recordFirstTry(r.organisation, dest.choice.Pool)
	reply, err := c.run(ctx)
	if err != nil && err.Verdict == verdict.NotRun {
		e.unclaim(r)
	}
	return reply, int(c.attempts), err
}

// maxTries bounds the tries of one call that may have run, hedges included. Those that
// are proven not to have run are bounded by the retry policy.
const maxTries = 4

func newServiceCall(e *Entry, r *request, dest destination) *serviceCall {
	return &serviceCall{
		e: e, r: r, dest: dest, exclude: make(map[string]bool), leaving: make(map[string]bool), paused: make(map[string]time.Time),
		results: make(chan callResult, maxTries),
	}
}

// exhausted reports whether the call may not be tried again.
func (c *serviceCall) exhausted() bool { return int(c.attempts)-c.notRun >= maxTries }

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
			return nil, endedError(ctx, verdict.MayHaveRun)
		case <-hedge.C:
			delay := c.e.latency.hedgeDelay()
			c.recordOverdue(overdueFactor * delay)
			c.hedge(ctx)
			// Check again later: if the hedge budget is exhausted now, a call to
			// a frozen server would otherwise wait until its deadline.
			hedge.Reset(delay << doublings(checks))
			checks++
		case res := <-c.results:
			c.logResult(res)
			if res.err == nil {
				c.recordOvertaken(res.target.id)
				if c.crashes > 0 {
					c.e.recordCleared(c.r.fingerprint)
				}
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

// logResult logs the result of a try.
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
	// checksBeforeBackoff is how many times an open call is checked at intervals
	// of the hedge delay. Then the interval doubles at each check, maxDoublings
	// times at most, so that a long call doesn't wake the entry all the time.
	checksBeforeBackoff = 8
	maxDoublings        = 6
)

// doublings returns how often the check interval has doubled after the given
// number of checks.
func doublings(checks int) int { return min(max(0, checks-checksBeforeBackoff), maxDoublings) }

// handleFailure handles a failed try. It returns nil if another try is open or was
// started, and the final error otherwise.
func (c *serviceCall) handleFailure(ctx context.Context, res callResult, worst verdict.Verdict) *verdict.Error {
	c.exclude[res.target.id] = true
	if res.err.Code == verdict.Leaving {
		c.leaving[res.target.id] = true
	}
	if res.err.Paused {
		c.paused[res.target.id] = time.Now().Add(res.err.RetryAfter)
	}
	if res.err.Verdict == verdict.NotRun {
		c.notRun++
	}
	if res.err.Crashed {
		c.crashes++
		c.e.recordCrash(c.r.fingerprint, res.err.CrashedAlone)
	}
	c.open = slices.DeleteFunc(c.open, func(o openTry) bool { return o.server == res.target.id })
	if len(c.open) > 0 {
		return nil
	}
	err := *res.err
	err.Verdict = worst
	if len(c.paused) == len(c.dest.targets.service) {
		err.RetryAfter = c.soonestPause()
		return &err
	}
	if retry.Refused(&err) {
		c.refusals++
	} else {
		c.failures++
	}
	d := c.e.retryDecision(&err, retry.Attempt{
		Organisation: c.r.organisation, Target: c.dest.choice.Pool, Idempotent: c.r.idempotent,
		Attempts: c.failures, Refusals: c.refusals, MayHaveRun: worst != verdict.NotRun, Deadline: c.r.deadline,
	})
	if !d.Retry || c.exhausted() {
		return withRetryAfter(&err)
	}
	if !wait.Sleep(ctx, d.Delay) {
		return endedError(ctx, worst)
	}
	refusal := c.start(ctx)
	switch {
	case refusal == nil:
		return nil
	case refusal.Code == verdict.Crashes:
		refusal.Verdict = worst
		return refusal
	}
	return withRetryAfter(&err)
}

// soonestPause returns the time until the first of the servers' pauses ends.
func (c *serviceCall) soonestPause() time.Duration {
	soonest := slices.MinFunc(slices.Collect(maps.Values(c.paused)), time.Time.Compare)
	return max(0, time.Until(soonest))
}

// recordOvertaken records a timeout for servers that were tried before the winner
// and haven't answered. If a backend server is frozen, its agent is still alive
// and connected: without this evidence the server would keep its share of the
// requests, each of which would wait for a hedge.
//
// What they took so far counts as a latency. Without the slow tries the hedge delay
// would stay short while all servers are slow, and more and more calls would be hedged.
func (c *serviceCall) recordOvertaken(winner string) {
	for _, o := range c.open {
		if o.server == winner {
			return
		}
		if !o.trial {
			c.e.latency.add(time.Since(o.began))
		}
		if !o.judged {
			c.e.members.observeCall(o.server, o.began, doubt.Timeout)
		}
	}
}

// overdueFactor is after how many hedge delays an unanswered try counts as a
// timeout of its server.
const overdueFactor = 4

// recordOverdue records a timeout for servers that haven't answered for limit.
// While the hedge budget is exhausted no hedge overtakes a frozen server, and as
// long as it is trusted more and more callers would wait for it.
func (c *serviceCall) recordOverdue(limit time.Duration) {
	for i := range c.open {
		o := &c.open[i]
		if !o.judged && time.Since(o.began) >= limit {
			o.judged = true
			c.e.members.observeCall(o.server, o.began, doubt.Timeout)
		}
	}
}

// canHedge reports whether the call may be sent to a second server at the same
// time.
func (c *serviceCall) canHedge() bool {
	return c.r.idempotent && len(c.dest.targets.service) > 1
}

// hedgeTimer returns the timer for the first hedge: after the hedge delay, since a
// server that takes much longer than usual may be frozen, or at once if the first
// try is a trial. It never fires for calls that may not be hedged.
func (c *serviceCall) hedgeTimer() *time.Timer {
	switch {
	case !c.canHedge():
		t := time.NewTimer(time.Hour)
		t.Stop()
		return t
	case c.open[0].trial:
		return time.NewTimer(0)
	}
	return time.NewTimer(c.e.latency.hedgeDelay())
}

// hedge starts a second try beside the open one if a budget allows it. Slow
// answers alone may have exhausted the hedge budget by the time a server freezes.
// A call that waits for a server suspected of failure may therefore also use the
// retry budget: its hedge isn't a guess but replaces a try that has probably
// failed.
func (c *serviceCall) hedge(ctx context.Context) {
	if len(c.open) != 1 || c.exhausted() {
		return
	}
	pool := c.dest.choice.Pool
	suspected := c.e.members.unproven(c.open[0].server)
	if c.e.allowHedge(pool) || suspected && c.e.allowRetry(c.r.organisation, pool) {
		hedgesTotal.Inc()
		_ = c.start(ctx)
	}
}

// start starts a try at the best server that hasn't been tried. Once all have, it is
// one that didn't refuse as leaving or for a pause: a server whose connection failed may
// be back.
func (c *serviceCall) start(ctx context.Context) *verdict.Error {
	if err := c.e.refuseConvicted(c.r); err != nil {
		return err
	}
	if len(c.exclude) >= len(c.dest.targets.service) {
		c.exclude = maps.Clone(c.leaving)
		for id, until := range c.paused {
			if time.Now().Before(until) {
				c.exclude[id] = true
			}
		}
		for _, o := range c.open {
			c.exclude[o.server] = true
		}
	}
	list := c.e.chooseService(c.dest.targets.service, c.exclude)
	if len(list) == 0 {
		return verdict.New(verdict.NotRun, verdict.NoServer, "No server of pool %s can be used now.", c.dest.choice.Pool).WithRetryAfter(time.Second)
	}
	t := list[0]
	c.exclude[t.id] = true
	c.attempts++
	trial := c.canHedge() && c.e.members.unproven(t.id)
	c.open = append(c.open, openTry{server: t.id, began: time.Now(), trial: trial, judged: trial})
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

// refuseConvicted refuses a request that is known to crash servers.
func (e *Entry) refuseConvicted(r *request) *verdict.Error {
	if e.blameState(r.fingerprint) == blame.Convicted {
		return crashRefusal()
	}
	return nil
}

// trialFactor is the timeout of a trial in hedge delays.
const trialFactor = 2

// trialContext returns the context of a trial, a try at a server that was
// suspected of failure and whose agent is alive again. The backend server may
// still be frozen, so the call is hedged at once; otherwise about one caller in a
// hundred would wait for the hedge delay. When the hedge's answer ends ctx, the
// trial goes on until trialFactor hedge delays after its start, to distinguish a
// frozen server from a slightly slower one. end must be called when the try has
// ended.
func (e *Entry) trialContext(ctx context.Context, id string) (trying context.Context, end func()) {
	began := time.Now()
	until := began.Add(trialFactor * e.latency.hedgeDelay())
	trying, cancel := context.WithCancel(context.WithoutCancel(ctx))
	stop := context.AfterFunc(ctx, func() {
		t := time.NewTimer(time.Until(until))
		defer t.Stop()
		select {
		case <-t.C:
			e.members.observeCall(id, began, doubt.Timeout)
			cancel()
		case <-trying.Done():
		}
	})
	return trying, func() {
		stop()
		cancel()
	}
}

// callOnce makes one try at one server.
func (e *Entry) callOnce(ctx context.Context, r *request, t target, number uint32) (*pb.CallReply, *verdict.Error) {
	conn, cerr := e.agents.Conn(t.id, t.address)
	if cerr != nil {
		return nil, verdict.Wrap(cerr, verdict.NotRun, verdict.Unreachable, "The server's agent can't be reached.")
	}
	a := &pb.Attempt{Request: r.id, Number: number, Entry: e.agents.Entry}
	conn.StartRenewing(a)
	defer conn.StopRenewing(a)
	conn.AddPending(0)
	req := &pb.CallRequest{
		Attempt: a, Incarnation: conn.Incarnation(), Method: r.method, Uri: r.uri, Body: r.body,
		DeadlineMs: uint64(max(time.Until(r.deadline).Milliseconds(), 1)), Fingerprint: r.fingerprint,
		Exclusive: e.blameState(r.fingerprint) == blame.Suspect,
	}
	for _, h := range r.headers {
		req.Headers = append(req.Headers, &pb.Header{Key: h.key, Value: []byte(h.value)})
	}
	if r.idempotent {
		// Another server can answer. A call that can't be repeated waits on the old
		// connection until that closes: a renewal without a reply may mean that the
		// agent is slow, and giving up would make it cancel the call midway.
		var cancel context.CancelFunc
		ctx, cancel = conn.ConnectionContext(ctx)
		defer cancel()
	}
	began := time.Now()
	reply, err := conn.Call(ctx, req)
	if err != nil {
		e.recordCallError(t.id, began, err)
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
