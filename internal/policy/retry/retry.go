package retry

import (
	"math/rand/v2"
	"time"

	"jayford.example/jayford/internal/verdict"
)

const (
	// MaxAttempts bounds the tries of a request that failed, the first
	// included. When half of the servers die at once, one request can lose its
	// decode server, find its prefill server dead, and hold a grant at a third
	// that dies; with 3 it was cut though the others had room. The budgets, not
	// this, keep retries from adding up to a storm.
	MaxAttempts = 5
	// MaxRefusals bounds the tries that an agent refused as full or leaving.
	MaxRefusals = 8
	// quickRefusals are followed by the next server at once; those behind
	// them wait, as the whole pool looks full.
	quickRefusals = 3
)

const (
	baseWait = 20 * time.Millisecond
	maxWait  = time.Second
)

// Try is what is known of a request when one of its tries has failed.
type Try struct {
	Organisation, Target string
	// Idempotent: it may run more than once.
	Idempotent bool
	// Attempts is the number of tries that failed, this one included; those
	// which count as Refusals are not in it.
	Attempts int
	// Refusals is the number of tries refused as full or leaving, this one
	// included.
	Refusals int
	// MayHaveRun: an earlier try may have run, or did.
	MayHaveRun bool
	// Delivered: a part of the answer has reached the caller, and the next
	// try can't go on behind it.
	Delivered bool
	Now       time.Time
	// Deadline is zero if there is none.
	Deadline time.Time
}

// Decision is what to do after a failed try.
type Decision struct {
	// Retry is false if the request is given up; Final is then the error for
	// the caller.
	Retry bool
	Final *verdict.Error
	// After is how long to wait before the next try.
	After time.Duration
	// Exclude: the next try goes to another server.
	Exclude bool
}

// Refused tells a refusal as full or leaving from a failure. It is proof that
// nothing ran, says nothing against the server and costs no budget: Overloaded
// stands for an agent's REASON_FULL, Leaving for REASON_LEAVING.
func Refused(err *verdict.Error) bool {
	return err.Verdict == verdict.NotRun && (err.Code == verdict.Overloaded || err.Code == verdict.Leaving)
}

// Decide says whether the request is tried again after err. A request that
// isn't idempotent is only after NotRun. Failures are bounded by MaxAttempts
// and by budget, refusals by MaxRefusals. Nothing is tried that would begin
// after the deadline. The final verdict covers all tries, not only the last.
func Decide(err *verdict.Error, t Try, budget *Budget, rnd *rand.Rand) Decision {
	if !permitted(err, &t) {
		return giveUp(err, &t)
	}
	refused := Refused(err)
	if refused && t.Refusals >= MaxRefusals || !refused && t.Attempts >= MaxAttempts {
		return giveUp(err, &t)
	}
	after := wait(err, &t, refused, rnd)
	if !t.Deadline.IsZero() && !t.Now.Add(after).Before(t.Deadline) {
		return giveUp(verdict.Wrap(err, err.Verdict, verdict.Deadline, "The deadline passed before another try."), &t)
	}
	if !refused && !spend(budget, &t) {
		return giveUp(err, &t)
	}
	return Decision{Retry: true, After: after, Exclude: true}
}

// permitted says whether another try is right and may succeed at all.
func permitted(err *verdict.Error, t *Try) bool {
	if !t.Idempotent && (err.Verdict != verdict.NotRun || t.MayHaveRun) {
		return false
	}
	return !t.Delivered && curable(err.Code)
}

// curable says whether another server may do better.
func curable(code verdict.Code) bool {
	switch code {
	case verdict.Overloaded, verdict.Leaving, verdict.ServerLost, verdict.Transfer,
		verdict.Unreachable, verdict.ServerRefused, verdict.Internal:
		return true
	}
	return false
}

func spend(budget *Budget, t *Try) bool {
	budget.Advance(t.Now)
	return budget.Allow(t.Organisation, t.Target)
}

// wait is a full-jitter exponential backoff. The first refusals don't wait.
func wait(err *verdict.Error, t *Try, refused bool, rnd *rand.Rand) time.Duration {
	n := t.Attempts
	if refused {
		if t.Refusals <= quickRefusals {
			return 0
		}
		n = t.Refusals - quickRefusals
	}
	limit := baseWait << min(max(0, n-1), 10)
	limit = min(max(limit, err.RetryAfter), maxWait)
	return time.Duration(rnd.Float64() * float64(limit))
}

// giveUp ends the request. NotRun is said only if it holds for every try.
func giveUp(err *verdict.Error, t *Try) Decision {
	final := *err
	if final.Verdict == verdict.NotRun && (t.MayHaveRun || t.Delivered) {
		final.Verdict = verdict.MayHaveRun
	}
	return Decision{Final: &final}
}
