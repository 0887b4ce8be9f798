package agent

import (
	"context"
	"errors"
	"time"

	"golang.org/x/sync/errgroup"

	pb "jayford.example/jayford/api/jayfordv1"
	"jayford.example/jayford/internal/agent/grant"
	"jayford.example/jayford/internal/engine"
	"jayford.example/jayford/internal/memory"
	"jayford.example/jayford/internal/response"
)

const (
	cancelTimeout = time.Second
	firstBackoff  = 50 * time.Millisecond
	maxBackoff    = time.Second
)

// failRun ends r after it failed with err, or was stopped. The caller is
// answered before the slot is freed: the slot stays taken until the engine no
// longer runs r, otherwise the next attempt would find the engine full.
func (a *Agent) failRun(r *run, err error) {
	if r.isLost() {
		r.cancel()
		return
	}
	if why := r.stopReason(); why != nil {
		r.fail(why)
		a.cleanUp(r)
		return
	}
	why := a.classify(r, err)
	if !why.broken {
		r.fail(&why.Refusal)
		a.cleanUp(r)
		return
	}
	a.awaitDiagnosis(r)
}

// awaitDiagnosis waits for a heartbeat to distinguish a crash from a broken
// connection before r is answered: whether r is to blame depends on all
// attempts that ran at the crash.
func (a *Agent) awaitDiagnosis(r *run) {
	a.step(func(c *grant.Core, now time.Duration) { c.Broken(now, r.key) })
	a.probeNow()
	t := time.NewTimer(diagnosisTimeout)
	defer t.Stop()
	for {
		p := r.watch(0)
		if p.ended {
			return
		}
		if why := r.stopReason(); why != nil {
			r.fail(why)
			a.cleanUp(r)
			return
		}
		select {
		case <-p.changed:
		case <-time.After(firstBackoff):
		case <-t.C:
			r.fail(lostRefusal())
			a.cleanUp(r)
			return
		}
	}
}

// lostRefusal is for a server in an unknown state: it doesn't answer but hasn't
// provably crashed, so nothing is blamed.
func lostRefusal() *grant.Refusal {
	return &grant.Refusal{Reason: pb.Reason_REASON_SERVER_DOWN, Verdict: pb.Verdict_VERDICT_MAY_HAVE_RUN}
}

// cleanUp cancels r at the engine and frees its slot once the engine confirms.
// It also ends if the server goes down, since r is lost then.
func (a *Agent) cleanUp(r *run) {
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
	for !r.isLost() && a.holdsGrant(r) {
		if a.cancelOnce(ctx, engineAttempt(r.key)) {
			return
		}
		if a.workCtx.Err() != nil {
			return
		}
		time.Sleep(backoff)
		backoff = min(2*backoff, maxBackoff)
	}
}

// holdsGrant reports whether r is still the run of its grant.
func (a *Agent) holdsGrant(r *run) bool {
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

// cancelDropped retries a cancel until the engine confirms it. If the retries
// are exhausted, the audit finds the attempt. An engine identifies an attempt
// in all its phases by one name, so a KV cache isn't cancelled while the
// attempt has a grant to decode on the same engine; the cache expires by
// itself.
func (a *Agent) cancelDropped(at engine.Attempt) {
	const tries = 8
	backoff := firstBackoff
	for range tries {
		if a.hasGrant(at) || a.cancelOnce(a.workCtx, at) {
			return
		}
		select {
		case <-a.workCtx.Done():
			return
		case <-time.After(backoff):
		}
		backoff = min(2*backoff, maxBackoff)
	}
}

// hasGrant reports whether attempt at has a grant in any phase.
func (a *Agent) hasGrant(at engine.Attempt) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.core.HasGrant(grant.Attempt{Request: at.Request, Number: at.Number})
}

// cancelEach cancels each attempt once, in parallel, so that a hanging cancel
// delays the heartbeats by no more than its own timeout.
func (a *Agent) cancelEach(list []engine.Attempt) {
	const atOnce = 16
	var group errgroup.Group
	group.SetLimit(atOnce)
	for _, at := range list {
		countOrphan()
		group.Go(func() error {
			a.cancelOnce(a.workCtx, at)
			return nil
		})
	}
	_ = group.Wait()
}

// failure is the refusal for a failed run. broken means that the connection
// broke, so whether the engine crashed is not known yet.
type failure struct {
	grant.Refusal
	broken bool
}

// classify returns the refusal for a failed run. Its verdict is "not run" only
// if the run was not sent, the engine was unreachable or the engine rejected
// it, and no token was received.
func (a *Agent) classify(r *run, err error) failure {
	j := failure{Refusal: grant.Refusal{Verdict: pb.Verdict_VERDICT_NOT_RUN}}
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
	if r.hasTokens() {
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
	case isUnusable(err):
		return pb.Reason_REASON_SERVER_DOWN, false
	}
	return pb.Reason_REASON_SERVER_LOST, true
}

// isUnusable reports whether the server answered, and the answer is malformed or too
// large for this machine. Its request didn't crash it.
func isUnusable(err error) bool {
	return errors.Is(err, response.ErrMalformed) || errors.Is(err, memory.ErrFull) || errors.Is(err, memory.ErrEvicted)
}
