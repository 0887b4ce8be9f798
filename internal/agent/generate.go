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
	// defaultLimit bounds work whose entry named no deadline.
	defaultLimit = 10 * time.Minute
	// idleLimit bounds the time between two lines of a decode stream whose
	// engine lists it and doesn't get on with it. A silent connection is found
	// sooner, by findSilent.
	idleLimit = 10 * time.Second
	// prefillLimit bounds a prefill for the same reason; it is far above any
	// useful prefill.
	prefillLimit = 30 * time.Second
	// importLimit bounds a transfer beyond its time on the link. Links stand still
	// for 2 s and go on, which must not cost a prefill; with 5 s a transfer whose
	// connection went silent kept its caller for 6, now for 4.
	importLimit = 3 * time.Second
	// maxPace bounds the wait for the link: a prefill's result doesn't live
	// longer than this.
	maxPace = 700 * time.Millisecond
)

var (
	errIdle    = errors.New("engine made no progress")
	errStalled = errors.New("transfer stalled")
	errStream  = errors.New("engine stream ended without a finish")
)

// limitOf takes the time that the request has left, in milliseconds from the
// message's arrival; 0 for none given. It is no wall-clock time, since clocks of
// instances differ.
func limitOf(deadlineMs uint64) time.Duration {
	if deadlineMs == 0 || deadlineMs > uint64(defaultLimit/time.Millisecond) {
		return defaultLimit
	}
	return time.Duration(deadlineMs) * time.Millisecond
}

// Prefill runs the prefill of a granted attempt. A second call with the same
// attempt waits for the result of the first. With a reservation in the message
// the slot is taken in the same step.
func (s server) Prefill(ctx context.Context, q *pb.PrefillRequest) (*pb.PrefillReply, error) {
	a, k := s.agent, key(q.GetAttempt(), pb.Phase_PHASE_PREFILL)
	o := workOrder{key: k, entry: q.GetAttempt().GetEntry(), limit: limitOf(q.GetDeadlineMs())}
	if q.GetReserve() != nil {
		o.reserve = grantRequest(k, o.entry, q.GetReserve())
	}
	r, granted, no := a.beginRun(o, func(r *run) { a.runPrefill(r, q) })
	if no != nil {
		return a.noPrefill(granted, no), nil
	}
	for {
		p := r.watch(0)
		switch {
		case p.prefill != nil:
			return p.prefill, nil
		case p.ended:
			return a.noPrefill(true, p.refusal), nil
		}
		select {
		case <-p.changed:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

func (a *Agent) noPrefill(granted bool, no *grant.Refusal) *pb.PrefillReply {
	return &pb.PrefillReply{Refusal: refusal(no), Granted: granted, Incarnation: a.incarnation, Load: a.Load()}
}

func (a *Agent) runPrefill(r *run, q *pb.PrefillRequest) {
	if a.engine == nil || !a.send(r) {
		a.abandon(r, nil)
		return
	}
	ctx, cancel := context.WithTimeoutCause(r.ctx, prefillLimit, errIdle)
	defer cancel()
	begin := time.Now()
	out, err := a.engine.Prefill(ctx, engine.PrefillRequest{
		Attempt: engineAttempt(r.key), Model: q.GetModel(), Version: q.GetVersion(),
		Prompt: string(q.GetPrompt()), Priority: int(q.GetPriority()),
	})
	if err != nil {
		a.abandon(r, causeOf(ctx, err))
		return
	}
	a.timing.prefill(out.PromptTokens-out.CachedTokens, begin, time.Now())
	reply := &pb.PrefillReply{
		Kv: out.KV, Source: a.cfg.Backend, PromptTokens: uint32(out.PromptTokens),
		CachedTokens: uint32(out.CachedTokens), KvBytes: uint64(out.KVBytes),
		ExpiresMs: uint32(out.ExpiresMs), Granted: true, Incarnation: a.incarnation,
	}
	// The slot is free before the entry hears of it, so that its next
	// reservation finds the slot.
	a.done(r, keepResult)
	reply.Load = a.Load()
	r.change(func() {
		r.prefill = reply
		r.ended = true
	})
}

// Decode streams the tokens of a granted attempt. A second call with the same
// attempt attaches to the running stream, from any index it already holds.
func (s server) Decode(q *pb.DecodeRequest, out pb.Agent_DecodeServer) error {
	a, k := s.agent, key(q.GetAttempt(), pb.Phase_PHASE_DECODE)
	o := workOrder{key: k, entry: q.GetAttempt().GetEntry(), attach: q.GetAttach(), limit: limitOf(q.GetDeadlineMs())}
	r, _, no := a.beginRun(o, func(r *run) { a.runDecode(r, q) })
	if no != nil {
		return out.Send(&pb.DecodeEvent{Attempt: q.GetAttempt(), Refusal: refusal(no), Load: a.Load()})
	}
	return a.follow(r, q, out)
}

// follow sends each token once and in order, then the end.
func (a *Agent) follow(r *run, q *pb.DecodeRequest, out pb.Agent_DecodeServer) error {
	next, started := q.GetFrom(), false
	for {
		p := r.watch(next)
		e := &pb.DecodeEvent{Attempt: q.GetAttempt(), Tokens: p.tokens, Started: p.imported && !started}
		if p.ended {
			e.End, e.Refusal = p.end, refusal(p.refusal)
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
		a.abandon(r, engine.ErrInvalid)
		return
	}
	if !a.pace(r, q) || !a.send(r) {
		a.abandon(r, nil)
		return
	}
	d := &decoder{agent: a, run: r, next: int(q.GetResume())}
	r.hear(d.next)
	ctx, cancel := context.WithCancelCause(r.ctx)
	defer cancel(nil)
	d.watchdog = time.AfterFunc(importLimit+a.pacer.cost(int64(q.GetKvBytes())), func() { cancel(errStalled) })
	defer func() { d.watchdog.Stop() }()
	d.cancel = cancel
	err := a.engine.Decode(ctx, engine.DecodeRequest{
		Attempt: engineAttempt(r.key), Model: q.GetModel(), Version: q.GetVersion(),
		Prompt: string(q.GetPrompt()), KV: q.GetKv(), Source: q.GetSource(),
		MaxTokens: int(q.GetMaxTokens()), Priority: int(q.GetPriority()), Resume: int(q.GetResume()),
	}, d.event)
	if d.finish != "" {
		a.done(r, keepStream)
		r.change(func() {
			r.end = &pb.DecodeEnd{Tokens: uint32(d.next), FinishReason: d.finish}
			r.ended = true
		})
		return
	}
	if err == nil {
		err = errStream
	}
	a.abandon(r, causeOf(ctx, err))
}

// causeOf returns why a bound of the agent's own ended ctx, or err if none did.
func causeOf(ctx context.Context, err error) error {
	for _, own := range []error{errSilent, errIdle, errStalled} {
		if errors.Is(context.Cause(ctx), own) {
			return own
		}
	}
	return err
}

// pace waits for the link that transfers share. Past maxPace the result would
// have expired on arrival, so nothing is sent.
func (a *Agent) pace(r *run, q *pb.DecodeRequest) bool {
	if q.GetKv() == "" {
		return true
	}
	wait := a.pacer.take(q.GetSourceZone(), int64(q.GetKvBytes()), a.now(), maxPace)
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

// decoder takes the lines of one decode stream.
type decoder struct {
	agent    *Agent
	run      *run
	next     int
	finish   string
	last     time.Time
	watchdog *time.Timer
	cancel   context.CancelCauseFunc
}

var errLine = errors.New("engine sent a token out of order")

func (d *decoder) event(e engine.Event) error {
	// A line of another attempt is a late or crossed answer. Dropping it keeps
	// one caller's tokens from another.
	if e.Attempt != engineAttempt(d.run.key) {
		return nil
	}
	if d.watchdog.Stop() {
		d.watchdog = time.AfterFunc(idleLimit, func() { d.cancel(errIdle) })
	}
	d.run.hear(d.next)
	switch {
	case e.Error != "":
		return errors.New(e.Error)
	case e.Imported:
		d.run.change(func() { d.run.imported = true })
	case e.Token != nil:
		return d.token(e.Token)
	case e.Finish != "":
		d.finish = e.Finish
	}
	return nil
}

func (d *decoder) token(t *engine.Token) error {
	if t.Index != d.next {
		return errLine
	}
	d.next++
	now := time.Now()
	if !d.last.IsZero() {
		d.agent.timing.token(now.Sub(d.last))
	}
	d.last = now
	d.run.hear(d.next)
	d.run.change(func() {
		d.run.imported = true
		d.run.tokens = append(d.run.tokens, &pb.Token{Index: uint32(t.Index), Text: t.Text})
	})
	return nil
}
