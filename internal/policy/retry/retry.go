package retry

import (
	"math/rand/v2"
	"time"

	"jayford.example/jayford/internal/verdict"
)

const (
	// MaxAttempts bounds the failed attempts of a request, including the first.
	// When half of the servers die at once, one request can lose its decode
	// server, find its prefill server dead, and hold a grant at a third that
	// dies; with 3 it was aborted though the others had room. The budgets, not
	// this, prevent retry storms.
	MaxAttempts = 5
	// MaxRefusals bounds the attempts that agents refused as full or leaving.
	MaxRefusals = 8
	// refusalsWithoutBackoff is how many refusals are followed by the next attempt
	// without backoff. After more, the whole pool is assumed to be full.
	refusalsWithoutBackoff = 3
)

const (
	baseBackoff = 20 * time.Millisecond
	maxBackoff  = time.Second
)

// Attempt is the state of a request when one of its attempts has failed.
type Attempt struct {
	Organisation, Target string
	// Idempotent: the request may run more than once.
	Idempotent bool
	// Attempts is the number of failed attempts, including this one and without
	// Refusals.
	Attempts int
	// Refusals is the number of attempts refused as full or leaving, including
	// this one.
	Refusals int
	// MayHaveRun: an earlier attempt ran or may have run.
	MayHaveRun bool
	// Delivered: part of the response has reached the caller, and another attempt
	// can't resume after it.
	Delivered bool
	Now       time.Time
	// Deadline is zero if there is none.
	Deadline time.Time
}

// Decision is what to do after a failed attempt.
type Decision struct {
	// Retry is false if the request has failed; Final is then the error for the
	// caller.
	Retry bool
	Final *verdict.Error
	// Delay is the delay before the next attempt.
	Delay time.Duration
	// Exclude: the next attempt must use another server.
	Exclude bool
}

// Refused reports whether err is a refusal as full or leaving rather than a failure.
// A refusal proves that nothing ran, is no sign of an unhealthy server and costs no
// budget. Overloaded stands for an agent's REASON_FULL, Leaving for REASON_LEAVING.
func Refused(err *verdict.Error) bool {
	return err.Verdict == verdict.NotRun && (err.Code == verdict.Overloaded || err.Code == verdict.Leaving)
}

// Decide decides whether the request is retried after err. A request that isn't
// idempotent is retried only if no attempt can have run. Failures are bounded by
// MaxAttempts and by budget, refusals by MaxRefusals. No attempt starts after the
// deadline. The final verdict covers all attempts, not only the last one.
func Decide(err *verdict.Error, t Attempt, budget *Budget, rnd *rand.Rand) Decision {
	if !permitted(err, &t) {
		return fail(err, &t)
	}
	refused := Refused(err)
	if refused && t.Refusals >= MaxRefusals || !refused && t.Attempts >= MaxAttempts {
		return fail(err, &t)
	}
	after := backoff(err, &t, refused, rnd)
	if !t.Deadline.IsZero() && !t.Now.Add(after).Before(t.Deadline) {
		return fail(verdict.Wrap(err, err.Verdict, verdict.Deadline, "The deadline passed before another try."), &t)
	}
	if !refused && !spend(budget, &t) {
		return fail(err, &t)
	}
	return Decision{Retry: true, Delay: after, Exclude: true}
}

// permitted reports whether another attempt is safe and may succeed.
func permitted(err *verdict.Error, t *Attempt) bool {
	if !t.Idempotent && (err.Verdict != verdict.NotRun || t.MayHaveRun) {
		return false
	}
	return !t.Delivered && Retryable(err.Code)
}

// Retryable reports whether another server may succeed after an error with this code.
func Retryable(code verdict.Code) bool {
	switch code {
	case verdict.Overloaded, verdict.Leaving, verdict.ServerLost, verdict.Transfer,
		verdict.Unreachable, verdict.ServerRefused, verdict.Internal:
		return true
	}
	return false
}

func spend(budget *Budget, t *Attempt) bool {
	budget.Advance(t.Now)
	return budget.Allow(t.Organisation, t.Target)
}

// backoff returns an exponential backoff with full jitter, or 0 for the first refusals.
func backoff(err *verdict.Error, t *Attempt, refused bool, rnd *rand.Rand) time.Duration {
	n := t.Attempts
	if refused {
		if t.Refusals <= refusalsWithoutBackoff {
			return 0
		}
		n = t.Refusals - refusalsWithoutBackoff
	}
	limit := baseBackoff << min(max(0, n-1), 10)
	limit = min(max(limit, err.RetryAfter), maxBackoff)
	return time.Duration(rnd.Float64() * float64(limit))
}

// fail fails the request. The verdict is NotRun only if no attempt can have run.
func fail(err *verdict.Error, t *Attempt) Decision {
	final := *err
	if final.Verdict == verdict.NotRun && (t.MayHaveRun || t.Delivered) {
		final.Verdict = verdict.MayHaveRun
	}
	return Decision{Final: &final}
}
