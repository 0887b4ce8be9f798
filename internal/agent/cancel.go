package agent

import (
	"context"
	"errors"
	"time"

	"golang.org/x/sync/errgroup"

	pb "jayford.example/jayford/api/jayfordv1"
	"jayford.example/jayford/internal/agent/grant"
	"jayford.example/jayford/internal/engine"
)

const (
	cancelTimeout = time.Second
	firstBackoff  = 50 * time.Millisecond
	maxBackoff    = time.Second
)

// abandon ends r after it failed with err, or was stopped. The caller is
// answered at once; the slot stays taken until the engine is rid of r, else the
// next attempt would meet an engine without room.
func (a *Agent) abandon(r *run, err error) {
	if r.isLost() {
		r.cancel()
		return
	}
	if why := r.stopReason(); why != nil {
		r.fail(why)
		a.rid(r)
		return
	}
	why := a.judge(r, err)
	if !why.broken {
		r.fail(&why.Refusal)
		a.rid(r)
		return
	}
	a.settle(r)
}

// settle lets a heartbeat tell a crash from a broken connection before r is
// answered, since blame needs all that ran at the crash.
func (a *Agent) settle(r *run) {
	a.step(func(c *grant.Core, now time.Duration) { c.Broken(now, r.key) })
	a.probeNow()
	t := time.NewTimer(settleLimit)
	defer t.Stop()
	for {
		p := r.watch(0)
		if p.ended {
			return
		}
		if why := r.stopReason(); why != nil {
			r.fail(why)
			a.rid(r)
			return
		}
		select {
		case <-p.changed:
		case <-time.After(firstBackoff):
		case <-t.C:
			r.fail(lostRefusal())
			a.rid(r)
			return
		}
	}
}

// lostRefusal is for a server of which nothing is known: it neither answers nor
// has provably crashed, so nobody is blamed.
func lostRefusal() *grant.Refusal {
	return &grant.Refusal{Reason: pb.Reason_REASON_SERVER_DOWN, Verdict: pb.Verdict_VERDICT_MAY_HAVE_RUN}
}

// rid frees r once the engine confirms that it holds nothing of it. A server
// that goes down meanwhile has lost r, which ends the work as well.
func (a *Agent) rid(r *run) {
	r.cancel()
	if a.engine != nil && r.sent.Load() {
		a.cancelRun(r)
	}
	a.done(r, 0)
}

func (a *Agent) cancelRun(r *run) {
	ctx, cancel := context.WithCancel(context.WithoutCancel(r.ctx))
	defer cancel()
	backoff := firstBackoff
	for !r.isLost() && a.current(r) {
		if a.cancelOnce(ctx, engineAttempt(r.key)) {
			return
		}
		if a.life.Err() != nil {
			return
		}
		time.Sleep(backoff)
		backoff = min(2*backoff, maxBackoff)
	}
}

// current reports whether r still has its grant.
func (a *Agent) current(r *run) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.runs[r.key] == r
}

func (a *Agent) cancelOnce(ctx context.Context, at engine.Attempt) bool {
	ctx, cancel := context.WithTimeout(ctx, cancelTimeout)
	defer cancel()
	countCancel()
	return a.engine.Cancel(ctx, at) == nil
}

// cancelDropped repeats a cancel until the engine confirms it. If the agent
// gives up, the audit finds what is left. An engine knows an attempt in all
// its phases by one name, so a KV cache isn't cancelled while the attempt has
// a grant to decode on the same engine; it expires by itself.
func (a *Agent) cancelDropped(at engine.Attempt) {
	const tries = 8
	backoff := firstBackoff
	for range tries {
		if a.owned(at) || a.cancelOnce(a.life, at) {
			return
		}
		select {
		case <-a.life.Done():
			return
		case <-time.After(backoff):
		}
		backoff = min(2*backoff, maxBackoff)
	}
}

// owned reports whether a grant stands for the attempt at.
func (a *Agent) owned(at engine.Attempt) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.core.HasGrant(grant.Attempt{Request: at.Request, Number: at.Number})
}

// cancelEach cancels once each, side by side: a cancel that hangs must not hold
// up the heartbeats for longer than its own timeout.
func (a *Agent) cancelEach(list []engine.Attempt) {
	const atOnce = 16
	var group errgroup.Group
	group.SetLimit(atOnce)
	for _, at := range list {
		countOrphan()
		group.Go(func() error {
			a.cancelOnce(a.life, at)
			return nil
		})
	}
	_ = group.Wait()
}

// judgement is a refusal, and whether the connection broke, so that it is open
// whether the engine crashed.
type judgement struct {
	grant.Refusal
	broken bool
}

// judge gives the verdict on a failed run. Only the engine's own word that
// nothing ran, before any token, counts as not run.
func (a *Agent) judge(r *run, err error) judgement {
	j := judgement{Refusal: grant.Refusal{Verdict: pb.Verdict_VERDICT_NOT_RUN}}
	switch {
	case err == nil:
		j.Reason = pb.Reason_REASON_CANCELLED
	case errors.Is(err, engine.ErrBusy):
		j.Reason = pb.Reason_REASON_FULL
	case errors.Is(err, engine.ErrKVGone):
		j.Reason = pb.Reason_REASON_KV_GONE
	case errors.Is(err, engine.ErrInvalid):
		j.Reason = pb.Reason_REASON_INVALID
	case errors.Is(err, engine.ErrUnreachable):
		j.Reason = pb.Reason_REASON_SERVER_DOWN
		a.probeNow()
	default:
		j.Verdict = pb.Verdict_VERDICT_MAY_HAVE_RUN
		j.Reason, j.broken = brokenReason(r, err)
	}
	if r.begun() {
		j.Verdict = pb.Verdict_VERDICT_MAY_HAVE_RUN
	}
	if err != nil {
		j.Detail = err.Error()
	}
	return j
}

func brokenReason(r *run, err error) (pb.Reason, bool) {
	switch {
	case errors.Is(r.ctx.Err(), context.DeadlineExceeded):
		return pb.Reason_REASON_DEADLINE, false
	case errors.Is(err, engine.ErrCancelled):
		return pb.Reason_REASON_CANCELLED, false
	case errors.Is(err, errStalled), errors.Is(err, engine.ErrTransfer):
		return pb.Reason_REASON_TRANSFER, false
	case errors.Is(err, errSilent), errors.Is(err, errIdle):
		return pb.Reason_REASON_CONNECTION_LOST, false
	}
	return pb.Reason_REASON_SERVER_LOST, true
}
