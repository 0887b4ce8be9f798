package quota

import (
	"context"
	"math/rand/v2"
	"time"

	"jayford.example/jayford/internal/boottime"
	policy "jayford.example/jayford/internal/policy/quota"
	"jayford.example/jayford/internal/verdict"
)

const (
	// askAgainAfter is how long a request waits for an answer until it asks again.
	askAgainAfter = 40 * time.Millisecond
	// retrySpread is the mean jitter of a Retry-After: callers that return together would
	// find the quota used up again. maxRetryAfter bounds it, as quotas change.
	retrySpread   = 250 * time.Millisecond
	maxRetryAfter = 10 * time.Second
)

// Receipt is what a request has taken from its organisation's quota.
type Receipt struct {
	organisation string
	taken        policy.Taken
}

// claim is a request that takes its cost.
type claim struct {
	organisation string
	cost         float64
	// until is when the request is refused, askAt when it asks other gateways next.
	until, askAt time.Duration
}

// Take takes a request's cost from the organisation's quota. It waits at most for
// patience if other gateways have to be asked. An error means that the request is refused.
func (x *Exchange) Take(ctx context.Context, organisation string, cost float64, patience time.Duration) (Receipt, *verdict.Error) {
	began := boottime.Now()
	c := &claim{organisation: organisation, cost: cost, until: began + patience}
	for {
		r := x.try(c)
		switch {
		case r.outcome == policy.Granted:
			waitTime.Update((boottime.Now() - began).Seconds())
			return Receipt{organisation, r.taken}, nil
		case r.refused:
			return Receipt{}, r.refusal(cost)
		case !waitFor(ctx, r.arrived, r.pause):
			return Receipt{}, verdict.Wrap(ctx.Err(), verdict.NotRun, verdict.Cancelled, "The caller left.")
		}
	}
}

// result is the result of one try to take a claim's cost.
type result struct {
	outcome policy.Outcome
	taken   policy.Taken
	// refused: the claim fails. later is when another may succeed.
	refused bool
	later   time.Duration
	// Otherwise the next try is after pause, or when arrived is closed.
	pause   time.Duration
	arrived <-chan struct{}
}

// try tries to take the cost, and asks other gateways for what lacks if that is due.
func (x *Exchange) try(c *claim) result {
	x.mu.Lock()
	now := boottime.Now()
	r := result{arrived: x.arrived}
	r.taken, r.outcome, r.later = x.machine.Take(now, c.organisation, c.cost)
	isDenied := r.outcome == policy.Denied
	r.refused = r.outcome == policy.Impossible || now >= c.until || isDenied && now+r.later >= c.until
	if r.outcome == policy.Granted || r.refused {
		x.countLocked(c.organisation, c.cost, r.outcome == policy.Granted)
		x.mu.Unlock()
		return r
	}
	if isDenied {
		c.askAt = max(c.askAt, now+r.later)
	}
	var asks []policy.Envelope
	if now >= c.askAt {
		asks = x.machine.Ask(now, c.organisation, c.cost)
		c.askAt = now + askAgainAfter
	}
	x.mu.Unlock()
	x.send(asks)
	r.pause = min(c.until, c.askAt) - now
	return r
}

// refusal returns the error of a claim that failed.
func (r result) refusal(cost float64) *verdict.Error {
	if r.outcome == policy.Impossible {
		return verdict.New(verdict.NotRun, verdict.OverQuota, "The request costs %.0f, more than the organisation's quota ever allows at once.", cost)
	}
	retryAfter := min(maxRetryAfter, r.later) + time.Duration((0.5+rand.Float64())*float64(retrySpread))
	return verdict.New(verdict.NotRun, verdict.OverQuota, "The organisation has used up its quota.").WithRetryAfter(retryAfter)
}

// waitFor waits until c is closed, for d at most. It returns false if ctx ends.
func waitFor(ctx context.Context, c <-chan struct{}, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
	case <-c:
	}
	return true
}
