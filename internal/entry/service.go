package entry

import (
	"context"
	"slices"
	"time"

	pb "jayford.example/jayford/api/jayfordv1"
	"jayford.example/jayford/internal/policy/blame"
	"jayford.example/jayford/internal/policy/doubt"
	"jayford.example/jayford/internal/policy/retry"
	"jayford.example/jayford/internal/verdict"
)

// callResult is the outcome of one try of a call.
type callResult struct {
	reply  *pb.CallReply
	target target
	err    *verdict.Error
}

// serviceCall is the work on one call of a plain service.
type serviceCall struct {
	e       *Entry
	r       *request
	to      routed
	number  uint32
	exclude map[string]bool
	// failures and refusals count the tries that ended so.
	failures int
	refusals int
	// open has the servers whose tries have not ended, in the order of asking.
	open    []string
	results chan callResult
}

// callService passes r to a plain service and returns its reply with the
// number of tries.
func (e *Entry) callService(ctx context.Context, r *request) (*pb.CallReply, int, *verdict.Error) {
	to, err := e.routeRequest(r)
	if err != nil {
		return nil, 0, err
	}
	if len(to.targets.service) == 0 {
		return nil, 0, verdict.New(verdict.NotRun, verdict.NoServer, "Pool %s has no live service.", to.choice.Pool).After(time.Second)
	}
	if e.blameOf(r.fingerprint) == blame.Convicted {
		return nil, 0, crashes()
	}
	if err := e.claim(ctx, r); err != nil {
		return nil, 0, err
	}
	c := &serviceCall{e: e, r: r, to: to, exclude: make(map[string]bool), results: make(chan callResult, maxTries)}
	ctx, cancel := context.WithCancel(ctx)
	// Tries that lost against a faster one are cancelled.
	defer cancel()
	e.first(r.organisation, to.choice.Pool)
	reply, err := c.run(ctx)
	if err != nil && err.Verdict == verdict.NotRun {
		e.unclaim(r)
	}
	return reply, int(c.number), err
}

// maxTries bounds the tries of one call, hedges included.
const maxTries = 4

func (c *serviceCall) run(ctx context.Context) (*pb.CallReply, *verdict.Error) {
	if err := c.start(ctx); err != nil {
		return nil, err
	}
	hedge := c.hedgeTimer()
	defer hedge.Stop()
	worst := verdict.NotRun
	for {
		select {
		case <-ctx.Done():
			err := contextVerdict(ctx)
			err.Verdict = verdict.MayHaveRun
			return nil, err
		case <-hedge.C:
			if !c.hedge(ctx) {
				// The budget is spent. Without another look a call on a frozen
				// server would wait until its deadline.
				hedge.Reset(c.e.latency.hedgeAfter())
			}
		case res := <-c.results:
			if res.err == nil {
				c.overtaken(res.target.id)
				return res.reply, nil
			}
			if res.err.Verdict != verdict.NotRun {
				worst = verdict.MayHaveRun
			}
			if err := c.failed(ctx, res, worst); err != nil {
				return nil, err
			}
		}
	}
}

// failed decides after a failed try. It returns the final error, or nil while
// another try is open or begun.
func (c *serviceCall) failed(ctx context.Context, res callResult, worst verdict.Verdict) *verdict.Error {
	c.exclude[res.target.id] = true
	if res.err.Crashed {
		c.e.crashed(c.r.fingerprint, res.err.CrashedAlone)
	}
	c.open = slices.DeleteFunc(c.open, func(id string) bool { return id == res.target.id })
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
		Organisation: c.r.organisation, Target: c.to.choice.Pool, Idempotent: c.r.idempotent,
		Attempts: c.failures, Refusals: c.refusals, MayHaveRun: worst != verdict.NotRun, Deadline: c.r.deadline,
	})
	if !d.Retry || c.number >= maxTries {
		return &err
	}
	sleep(ctx, d.After)
	if c.start(ctx) != nil {
		return &err
	}
	return nil
}

// overtaken notes the servers that were asked before the one that answered and
// have not answered yet. A frozen server's agent lives and its connection is
// open: without this evidence it would get its share of all requests, each of
// which would wait for its hedge.
func (c *serviceCall) overtaken(winner string) {
	for _, id := range c.open {
		if id == winner {
			return
		}
		c.e.members.outcome(id, doubt.Timeout)
	}
}

// hedgeTimer is set for calls that may be repeated: when an answer takes much
// longer than usual the server may be frozen, and another one is asked too.
func (c *serviceCall) hedgeTimer() *time.Timer {
	if !c.r.idempotent || len(c.to.targets.service) < 2 {
		t := time.NewTimer(time.Hour)
		t.Stop()
		return t
	}
	return time.NewTimer(c.e.latency.hedgeAfter())
}

func (c *serviceCall) hedge(ctx context.Context) bool {
	if !c.e.mayHedge(c.to.choice.Pool) {
		return false
	}
	hedgesTotal.Inc()
	_ = c.start(ctx)
	return true
}

// start begins a try at the best server that has not been tried.
func (c *serviceCall) start(ctx context.Context) *verdict.Error {
	list := c.e.chooseService(c.to.targets.service, c.exclude)
	if len(list) == 0 {
		return verdict.New(verdict.NotRun, verdict.NoServer, "No server of pool %s can be used now.", c.to.choice.Pool).After(time.Second)
	}
	t := list[0]
	c.exclude[t.id] = true
	c.number++
	c.open = append(c.open, t.id)
	n := c.number
	attemptsTotal.Inc()
	go func() {
		reply, err := c.e.callOnce(ctx, c.r, t, n)
		c.results <- callResult{reply, t, err}
	}()
	return nil
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
		Exclusive: e.blameOf(r.fingerprint) == blame.Suspect,
	}
	for _, h := range r.headers {
		req.Headers = append(req.Headers, &pb.Header{Key: h.key, Value: h.value})
	}
	ctx, cancel := conn.WhileKept(ctx)
	defer cancel()
	began := time.Now()
	reply, err := conn.Call(ctx, req)
	if err != nil {
		e.unheard(t.id, err)
		return nil, verdict.Wrap(err, verdictOfRPC(err), verdict.Unreachable, "The server's agent gave no answer.")
	}
	if reply.Refusal != nil {
		e.refused(t.id, reply.Refusal)
		return nil, refusalError(reply.Refusal)
	}
	e.latency.add(time.Since(began))
	e.trusted(t.id)
	return reply, nil
}
