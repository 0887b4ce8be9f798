package admit

import (
	"math"
	"time"

	"jayford.example/jayford/internal/verdict"
)

const (
	// newcomerFraction of the time left before a new request's deadline may be spent in
	// the queue. The predicted wait is inexact, and requests admitted up to the last
	// moment expired in the queue. The rest is for callers that return at the time they
	// were given.
	newcomerFraction = 0.4
	// returningDivisor limits the places reserved for returning callers to
	// MaxTotal/returningDivisor.
	returningDivisor = 8
	// minRetryAfter and maxRetryAfter bound RetryAfter.
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 5 * time.Minute
	// retryJitter is the greatest fraction by which RetryAfter is extended, so that
	// callers refused together don't return together.
	retryJitter = 0.5
)

// refuse returns the reason why it can't be queued, or nil.
func (q *Queue) refuse(now time.Time, it *Item) *verdict.Error {
	if _, ok := q.items[it.ID]; ok {
		return verdict.New(verdict.NotRun, verdict.Duplicate, "A request with this id waits already.")
	}
	if q.Len() >= q.opts.MaxTotal-q.reservedPlaces(it) {
		wait := q.drainTime(now, q.cost/2, 1)
		return verdict.New(verdict.NotRun, verdict.Overloaded, "The queue is full.").WithRetryAfter(q.retryAfter(now, it, wait))
	}
	if err := q.refuseOverShare(now, it); err != nil {
		return err
	}
	return q.refuseDeadline(now, it)
}

// reservedPlaces is the number of places that are not available to it, as they are reserved
// for returning callers.
func (q *Queue) reservedPlaces(it *Item) int {
	if it.booked {
		return 0
	}
	return min(len(q.bookings.byCaller), q.opts.MaxTotal/returningDivisor)
}

// refuseOverShare bounds an organisation's items once the queue is more than half full.
// The bound falls as more organisations wait, so that one which arrives late still
// finds room.
func (q *Queue) refuseOverShare(now time.Time, it *Item) *verdict.Error {
	o := q.orgs[it.Organisation]
	if o == nil || o.len() == 0 || 2*q.Len() <= q.opts.MaxTotal {
		return nil
	}
	fair := int(boundedFraction * float64(q.opts.MaxTotal) * o.share / q.activeWeight)
	bound := max(1, min(fair, q.opts.MaxPerOrganisation))
	over := o.len() + 1 - bound
	if over <= 0 {
		return nil
	}
	excess := o.cost() * float64(over) / float64(o.len())
	wait := q.drainTime(now, excess, o.share/q.activeWeight)
	return verdict.New(verdict.NotRun, verdict.OverShare, "The organisation's part of the queue is full.").WithRetryAfter(q.retryAfter(now, it, wait))
}

// refuseDeadline refuses a request that would miss its deadline in the queue.
// RetryAfter is when the queue will have drained enough, or 0 if the deadline couldn't
// be met with an empty queue either.
func (q *Queue) refuseDeadline(now time.Time, it *Item) *verdict.Error {
	if it.Deadline.IsZero() {
		return nil
	}
	left := it.Deadline.Sub(now) - it.Predicted
	room := left
	if !it.booked {
		room = time.Duration(newcomerFraction * float64(left))
	}
	wait := q.predictWait(now, it)
	if left > 0 && wait <= room {
		return nil
	}
	err := verdict.New(verdict.NotRun, verdict.Deadline, "The deadline can't be met.")
	if left <= 0 {
		return err
	}
	return err.WithRetryAfter(q.retryAfter(now, it, wait-room))
}

// predictWait predicts the minimum time that it would wait: the cost ahead of it in its
// own organisation drains at the organisation's share, but takes no longer than all
// cost ahead of it. Outstanding items count as ahead, since under overload they are
// most of what isn't served yet. Interactive requests are assumed to pass all batch:
// agents reserve slots for them, so batch that finds no slot says nothing about these.
// The prediction is 0 while the pool isn't full and until a drain rate has been
// measured.
func (q *Queue) predictWait(now time.Time, it *Item) time.Duration {
	if !q.drain.full(now) || !q.drain.measured(now) {
		return 0
	}
	own, others, weight := q.ahead(it)
	if own+others == 0 {
		return 0
	}
	share := q.shareOf(it.Organisation)
	mine := q.drainTime(now, own+it.Cost, share/(weight+share))
	return min(mine, q.drainTime(now, own+others+it.Cost, 1))
}

// ahead returns the cost of waiting and outstanding items that go before it: of its own
// organisation, and of others together with the sum of their shares.
func (q *Queue) ahead(it *Item) (own, others, weight float64) {
	add := func(o *org) {
		cost := o.interactive.cost + o.interactive.outstandingCost
		if !it.Interactive {
			cost += o.batch.cost + o.batch.outstandingCost
		}
		switch {
		case o.name == it.Organisation:
			own += cost
		case cost > 0:
			others += cost
			weight += o.share
		}
	}
	for _, o := range q.active {
		add(o)
	}
	for o := range q.outstandingOrgs {
		if o.len() == 0 {
			add(o)
		}
	}
	return own, others, weight
}

// drainShare is the organisation's fraction of the drain rate, given the organisations
// ahead of it.
func (q *Queue) drainShare(it *Item) float64 {
	_, _, weight := q.ahead(it)
	share := q.shareOf(it.Organisation)
	return share / (weight + share)
}

// drainTime is the time that cost takes to drain at a fraction of the measured rate.
func (q *Queue) drainTime(now time.Time, cost, part float64) time.Duration {
	return clampSeconds(cost / (part * q.rate(now)))
}

// rate is the cost drained per second, as measured or as expected of the items in
// service. Each is too low for a while: the first while a pool has just become full, the
// second once its items have become few.
func (q *Queue) rate(now time.Time) float64 {
	return max(q.drain.rate(now, q.cost), q.inService.rate(now))
}

// RetryAfter returns when the caller of an expired item should retry.
func (q *Queue) RetryAfter(now time.Time, it Item) time.Duration {
	return q.retryAfter(now, &it, q.predictWait(now, &it))
}

// retryAfter books capacity for the caller, no sooner than after wait. If the request
// has no fingerprint or no rate has been measured, it returns wait with jitter. If all
// capacity is promised, it returns half of maxRetryAfter with jitter.
func (q *Queue) retryAfter(now time.Time, it *Item, wait time.Duration) time.Duration {
	if it.Fingerprint == 0 || !q.drain.measured(now) {
		return q.jittered(wait)
	}
	steady := max(q.drain.busyRate(), q.inService.rate(now))
	slower := q.rate(now) / steady
	wait = time.Duration(float64(wait) * min(1, slower))
	after, ok := q.bookings.book(now, it.caller(), it.Cost, steady*q.drainShare(it), wait)
	if !ok {
		return q.jittered(maxRetryAfter / 2)
	}
	return after
}

func (q *Queue) jittered(wait time.Duration) time.Duration {
	jittered := float64(wait) * (1 + retryJitter*q.rnd.Float64())
	return time.Duration(max(float64(minRetryAfter), min(jittered, float64(maxRetryAfter))))
}

func clampSeconds(s float64) time.Duration {
	if math.IsNaN(s) || s > maxRetryAfter.Seconds() {
		return maxRetryAfter
	}
	return time.Duration(s * float64(time.Second))
}
