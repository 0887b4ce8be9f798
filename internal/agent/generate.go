package agent

import (
	"context"
	"errors"
	"time"

	pb "jayford.example/jayford/api/jayfordv1"
	"jayford.example/jayford/internal/agent/grant"
	"jayford.example/jayford/internal/engine"
)

const (
	// defaultLimit bounds work without a deadline.
	defaultLimit = 10 * time.Minute
	// decodeIdleTimeout bounds the time between two lines of a decode stream
	// while the engine lists the attempt but makes no progress. A silent
	// connection is found sooner, by abortSilentRuns.
	decodeIdleTimeout = 10 * time.Second
	// prefillTimeout bounds a prefill for the same reason; it is far above any
	// useful prefill.
	prefillTimeout = 30 * time.Second
	// importTimeout bounds a KV cache transfer, in addition to its time on the
	// link. It must outlast link stalls of 2 s, or they would waste the
	// prefill. A longer timeout delays the retry when the connection goes
	// silent: with 5 s the caller waited 6 s, with 3 s it waits 4 s.
	importTimeout = 3 * time.Second
	// maxLinkWait bounds the wait for the link: the result of a prefill expires
	// after that.
	maxLinkWait = 700 * time.Millisecond
)

var (
	errIdle    = errors.New("engine made no progress")
	errStalled = errors.New("transfer stalled")
	errStream  = errors.New("engine stream ended without a finish")
)

// timeLimit converts the remaining time of a request, in milliseconds from the
// arrival of the message; 0 means none given. It is a duration rather than a
// wall-clock time because the clocks of instances differ.
func timeLimit(deadlineMs uint64) time.Duration {
	if deadlineMs == 0 || deadlineMs > uint64(defaultLimit/time.Millisecond) {
		return defaultLimit
	}
	return time.Duration(deadlineMs) * time.Millisecond
}

// Prefill runs the prefill of a granted attempt. A second call for the same
// attempt waits for the result of the first. If the message includes a
// reservation, the slot is reserved in the same step.
func (s server) Prefill(ctx context.Context, q *pb.PrefillRequest) (*pb.PrefillReply, error) {
	a, k := s.agent, key(q.GetAttempt(), pb.Phase_PHASE_PREFILL)
	o := runRequest{key: k, entry: q.GetAttempt().GetEntry(), limit: timeLimit(q.GetDeadlineMs())}
	if q.GetReserve() != nil {
		o.reserve = grantRequest(k, o.entry, q.GetReserve())
	}
	r, granted, refusal := a.beginRun(o, func(r *run) { a.runPrefill(r, q) })
	if refusal != nil {
		return a.refusePrefill(granted, refusal), nil
	}
	for {
		p := r.watch(0)
		switch {
		case p.prefill != nil:
			return p.prefill, nil
		case p.ended:
			return a.refusePrefill(true, p.refusal), nil
		}
		select {
		case <-p.changed:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

func (a *Agent) refusePrefill(granted bool, refusal *grant.Refusal) *pb.PrefillReply {
	return &pb.PrefillReply{Refusal: refusalProto(refusal), Granted: granted, Incarnation: a.incarnation, Load: a.Load()}
}

func (a *Agent) runPrefill(r *run, q *pb.PrefillRequest) {
	if a.engine == nil || !a.send(r) {
		a.failRun(r, nil)
		return
	}
	ctx, cancel := context.WithTimeoutCause(r.ctx, prefillTimeout, errIdle)
	defer cancel()
	begin := time.Now()
	out, err := a.engine.Prefill(ctx, engine.PrefillRequest{
		Attempt: engineAttempt(r.key), Model: q.GetModel(), Version: q.GetVersion(),
		Prompt: string(q.GetPrompt()), Priority: int(q.GetPriority()),
	})
	if err != nil {
		a.failRun(r, causeOf(ctx, err))
		return
	}
	a.timing.prefill(out.PromptTokens-out.CachedTokens, begin, time.Now())
	reply := &pb.PrefillReply{
		Kv: out.KV, Source: a.cfg.Backend, PromptTokens: uint32(out.PromptTokens),
		CachedTokens: uint32(out.CachedTokens), KvBytes: uint64(out.KVBytes),
		ExpiresMs: uint32(out.ExpiresMs), Granted: true, Incarnation: a.incarnation,
	}
	// The slot is freed before the entry gets the reply, so that its next
	// reservation finds it free.
	a.done(r, resultRetention)
	reply.Load = a.Load()
	r.update(func() {
		r.prefill = reply
		r.ended = true
	})
}

// Decode streams the tokens of a granted attempt. A second call for the same
// attempt attaches to the running stream, from the token index given.
func (s server) Decode(q *pb.DecodeRequest, out pb.Agent_DecodeServer) error {
	a, k := s.agent, key(q.GetAttempt(), pb.Phase_PHASE_DECODE)
	o := runRequest{key: k, entry: q.GetAttempt().GetEntry(), attach: q.GetAttach(), limit: timeLimit(q.GetDeadlineMs())}
	r, _, refusal := a.beginRun(o, func(r *run) { a.runDecode(r, q) })
	if refusal != nil {
		return out.Send(&pb.DecodeEvent{Attempt: q.GetAttempt(), Refusal: refusalProto(refusal), Load: a.Load()})
	}
	return a.follow(r, q, out)
}

// follow sends each token once and in order, then the end or the refusal.
func (a *Agent) follow(r *run, q *pb.DecodeRequest, out pb.Agent_DecodeServer) error {
	next, started := q.GetFrom(), false
	for {
		p := r.watch(next)
		e := &pb.DecodeEvent{Attempt: q.GetAttempt(), Tokens: p.tokens, Started: p.imported && !started}
		if p.ended {
			e.End, e.Refusal = p.end, refusalProto(p.refusal)
			e.Load = a.Load()
		}
		if e.Started || p.ended || len(p.tokens) > 0 {
			if err := out.Send(e); err != nil {
				return err
			}
		}
		if p.ended {
			return nil
		}
		started = started || p.imported
		if n := len(p.tokens); n > 0 {
			next = p.tokens[n-1].GetIndex() + 1
		}
		select {
		case <-p.changed:
		case <-out.Context().Done():
			return out.Context().Err()
		}
	}
}

func (a *Agent) runDecode(r *run, q *pb.DecodeRequest) {
	if a.engine == nil {
		a.failRun(r, engine.ErrInvalid)
		return
	}
	if !a.waitForLink(r, q) || !a.send(r) {
		a.failRun(r, nil)
		return
	}
	d := &decoder{agent: a, run: r, next: int(q.GetResume())}
	r.lineReceived(d.next)
	ctx, cancel := context.WithCancelCause(r.ctx)
	defer cancel(nil)
	d.watchdog = time.AfterFunc(importTimeout+a.pacer.cost(int64(q.GetKvBytes())), func() { cancel(errStalled) })
	defer func() { d.watchdog.Stop() }()
	d.cancel = cancel
	err := a.engine.Decode(ctx, engine.DecodeRequest{
		Attempt: engineAttempt(r.key), Model: q.GetModel(), Version: q.GetVersion(),
		Prompt: string(q.GetPrompt()), KV: q.GetKv(), Source: q.GetSource(),
		MaxTokens: int(q.GetMaxTokens()), Priority: int(q.GetPriority()), Resume: int(q.GetResume()),
	}, d.event)
	if d.finish != "" {
		a.done(r, streamRetention)
		r.update(func() {
			r.end = &pb.DecodeEnd{Tokens: uint32(d.next), FinishReason: d.finish}
			r.ended = true
		})
		return
	}
	if err == nil {
		err = errStream
	}
	a.failRun(r, causeOf(ctx, err))
}

// causeOf returns the agent's own reason for ending ctx, or err if there is
// none.
func causeOf(ctx context.Context, err error) error {
	for _, cause := range []error{errSilent, errIdle, errStalled} {
		if errors.Is(context.Cause(ctx), cause) {
			return cause
		}
	}
	return err
}

// waitForLink waits for the link that transfers share. If the wait would exceed
// maxLinkWait, the result would have expired on arrival, so nothing is sent.
func (a *Agent) waitForLink(r *run, q *pb.DecodeRequest) bool {
	if q.GetKv() == "" {
		return true
	}
	wait := a.pacer.reserve(q.GetSourceZone(), int64(q.GetKvBytes()), a.now(), maxLinkWait)
	if wait < 0 {
		r.stop(&grant.Refusal{
			Reason: pb.Reason_REASON_TRANSFER, Verdict: pb.Verdict_VERDICT_NOT_RUN,
			Detail: "The link is full.",
		})
		return false
	}
	select {
	case <-time.After(wait):
		return true
	case <-r.ctx.Done():
		return false
	}
}

// decoder handles the lines of one decode stream.
type decoder struct {
	agent    *Agent
	run      *run
	next     int
	finish   string
	last     time.Time
	watchdog *time.Timer
	cancel   context.CancelCauseFunc
}

var errTokenOrder = errors.New("engine sent a token out of order")

func (d *decoder) event(e engine.Event) error {
	// A line of another attempt is a late or misdirected answer. It is dropped so
	// that no caller gets the tokens of another.
	if e.Attempt != engineAttempt(d.run.key) {
		return nil
	}
	if d.watchdog.Stop() {
		d.watchdog = time.AfterFunc(decodeIdleTimeout, func() { d.cancel(errIdle) })
	}
	d.run.lineReceived(d.next)
	switch {
	case e.Error != "":
		return errors.New(e.Error)
	case e.Imported:
		d.run.update(func() { d.run.imported = true })
	case e.Token != nil:
		return d.token(e.Token)
	case e.Finish != "":
		d.finish = e.Finish
	}
	return nil
}

func (d *decoder) token(t *engine.Token) error {
	if t.Index != d.next {
		return errTokenOrder
	}
	d.next++
	now := time.Now()
	if !d.last.IsZero() {
		d.agent.timing.token(now.Sub(d.last))
	}
	d.last = now
	d.run.lineReceived(d.next)
	d.run.update(func() {
		d.run.imported = true
		d.run.tokens = append(d.run.tokens, &pb.Token{Index: uint32(t.Index), Text: t.Text})
	})
	return nil
}
