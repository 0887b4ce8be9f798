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
	rank         int
	// until is when the request is refused, askAt when it asks other gateways next.
	until, askAt time.Duration
	// end is nil until the claim is granted or refused. done is closed then if the claim
	// waits; it is nil before.
	end  *end
	done chan struct{}
}

// end is how a claim ended.
type end struct {
	outcome policy.Outcome
	taken   policy.Taken
	// later is when a refused request may succeed.
	later time.Duration
}

// Take takes a request's cost from the organisation's quota. It waits at most for
// patience if other gateways have to be asked, and more urgent requests go first. An error
// means that the request is refused.
func (x *Exchange) Take(ctx context.Context, organisation string, cost float64, rank int, patience time.Duration) (Receipt, *verdict.Error) {
	began := boottime.Now()
	c := &claim{organisation: organisation, cost: cost, rank: rank, until: began + patience}
	for {
		e, pause := x.try(c)
		switch {
		case e != nil && e.outcome == policy.Granted:
			waitTime.Update((boottime.Now() - began).Seconds())
			return Receipt{organisation, e.taken}, nil
		case e != nil:
			return Receipt{}, e.refusal(cost)
		case !waitFor(ctx, c.done, pause):
			x.abandon(c)
			return Receipt{}, verdict.Wrap(ctx.Err(), verdict.NotRun, verdict.Cancelled, "The caller left.")
		}
	}
}

// try tries to take the cost, and asks other gateways for what lacks if that is due. It
// returns how the claim ended, or nil and the time until the next try.
func (x *Exchange) try(c *claim) (*end, time.Duration) {
	x.mu.Lock()
	if c.end != nil {
		x.mu.Unlock()
		return c.end, 0
	}
	now := boottime.Now()
	x.takeLocked(now, c)
	if c.end != nil {
		if c.done != nil {
			x.stopWaitingLocked(c)
			x.serveWaitingLocked(now, c.organisation)
		}
		x.mu.Unlock()
		return c.end, 0
	}
	x.waitLocked(c)
	var asks []policy.Envelope
	if now >= c.askAt {
		asks = x.machine.Ask(now, c.organisation, c.cost, c.rank)
		c.askAt = now + askAgainAfter
	}
	x.mu.Unlock()
	x.send(asks)
	return nil, min(c.until, c.askAt) - now
}

// takeLocked ends the claim if it is granted or refused.
func (x *Exchange) takeLocked(now time.Duration, c *claim) {
	var e end
	if first := x.waiting[c.organisation]; len(first) > 0 && first[0].rank < c.rank {
		e.outcome, e.later = policy.Short, x.machine.Wait(now, c.organisation, c.cost, c.rank)
	} else {
		e.taken, e.outcome, e.later = x.machine.Take(now, c.organisation, c.cost, c.rank)
	}
	isDenied := e.outcome == policy.Denied
	isRefused := e.outcome == policy.Impossible || now >= c.until || isDenied && now+e.later >= c.until
	switch {
	case e.outcome == policy.Granted || isRefused:
		c.end = &e
		x.countLocked(c, e.outcome == policy.Granted)
	case isDenied:
		c.askAt = max(c.askAt, now+e.later)
	}
}

// refusal returns the error of a claim that was refused.
func (r *end) refusal(cost float64) *verdict.Error {
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
