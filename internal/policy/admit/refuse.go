package admit

import (
	"math"
	"time"

	"jayford.example/jayford/internal/verdict"
)

const (
	// newcomerPart is the part of a request's time that the queue may take up when
	// it comes. A predicted wait is never exact; what was let in up to the last
	// moment was found late after that time, when it could only be refused.
	// The rest is for callers that come back at the time they were told.
	newcomerPart = 0.4
	// keptFraction of MaxTotal is kept for these at most.
	keptFraction = 8
	// minRetryAfter and maxRetryAfter bound what callers are told.
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 5 * time.Minute
	// retryJitter is the greatest part by which RetryAfter is drawn out, so
	// that callers refused together don't come back together.
	retryJitter = 0.5
)

// refuse returns why it can't be queued, or nil.
func (q *Queue) refuse(now time.Time, it *Item) *verdict.Error {
	if _, ok := q.items[it.ID]; ok {
		return verdict.New(verdict.NotRun, verdict.Duplicate, "A request with this id waits already.")
	}
	if q.Len() >= q.opts.MaxTotal-q.kept(it) {
		wait := q.drainTime(now, q.cost/2, 1)
		return verdict.New(verdict.NotRun, verdict.Overloaded, "The queue is full.").After(q.retryAfter(now, it, wait))
	}
	if err := q.refuseOverShare(now, it); err != nil {
		return err
	}
	return q.refuseDeadline(now, it)
}

// kept is the part of the queue that it may not have, as it is kept for callers
// that were told to come back.
func (q *Queue) kept(it *Item) int {
	if it.booked {
		return 0
	}
	return min(len(q.bookings.byOwner), q.opts.MaxTotal/keptFraction)
}

// refuseOverShare bounds an organisation's part of a queue that is more than
// half full. The bound falls as more organisations wait, so that one which
// comes late still finds room.
func (q *Queue) refuseOverShare(now time.Time, it *Item) *verdict.Error {
	o := q.orgs[it.Organisation]
	if o == nil || o.len() == 0 || 2*q.Len() <= q.opts.MaxTotal {
		return nil
	}
	fair := int(boundedPart * float64(q.opts.MaxTotal) * o.share / q.weight)
	bound := max(1, min(fair, q.opts.MaxPerOrganisation))
	over := o.len() + 1 - bound
	if over <= 0 {
		return nil
	}
	excess := o.cost() * float64(over) / float64(o.len())
	wait := q.drainTime(now, excess, o.share/q.weight)
	return verdict.New(verdict.NotRun, verdict.OverShare, "The organisation's part of the queue is full.").After(q.retryAfter(now, it, wait))
}

// refuseDeadline refuses what would only be found late after it had waited.
// RetryAfter is when the queue will have drained enough, or 0 if the request
// would be late on an empty queue too.
func (q *Queue) refuseDeadline(now time.Time, it *Item) *verdict.Error {
	if it.Deadline.IsZero() {
		return nil
	}
	left := it.Deadline.Sub(now) - it.Predicted
	room := left
	if !it.booked {
		room = time.Duration(newcomerPart * float64(left))
	}
	wait := q.predictWait(now, it)
	if left > 0 && wait <= room {
		return nil
	}
	err := verdict.New(verdict.NotRun, verdict.Deadline, "The deadline can't be met.")
	if left <= 0 {
		return err
	}
	return err.After(q.retryAfter(now, it, wait-room))
}

// predictWait predicts the least time that it would wait: its organisation's
// part ahead of it drains at the organisation's share, but no longer than all
// ahead of it takes. What is out to ask servers is ahead too: under overload that
// is most of what isn't served yet. Interactive work is taken to pass all batch:
// agents keep slots for it, and batch that finds none says nothing of these. While
// the pool isn't full, and before a drain rate is measured, it predicts nothing.
func (q *Queue) predictWait(now time.Time, it *Item) time.Duration {
	if !q.drain.full(now) || !q.drain.measured(now) {
		return 0
	}
	own, others, weight := q.ahead(it)
	if own+others == 0 {
		return 0
	}
	share := q.shareOf(it.Organisation)
	// A stall just after a server was lost says nothing of the rate: counted, it
	// refused callers who would have been in time.
	at := now
	if now.Before(q.lostUntil) {
		at = now.Add(-q.drain.idle(now))
	}
	mine := q.drainTime(at, own+it.Cost, share/(weight+share))
	return min(mine, q.drainTime(at, own+others+it.Cost, 1))
}

// ahead returns the cost of what waits or is out and goes no later than it: of its
// own organisation, and of others with the sum of their shares.
func (q *Queue) ahead(it *Item) (own, others, weight float64) {
	add := func(o *org) {
		cost := o.interactive.cost + o.interactive.out
		if !it.Interactive {
			cost += o.batch.cost + o.batch.out
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
	for o := range q.asking {
		if o.len() == 0 {
			add(o)
		}
	}
	return own, others, weight
}

// part is the organisation's part of the drain rate beside what is ahead of it.
func (q *Queue) part(it *Item) float64 {
	_, _, weight := q.ahead(it)
	share := q.shareOf(it.Organisation)
	return share / (weight + share)
}

// drainTime is how long cost takes to drain at a part of the measured rate.
func (q *Queue) drainTime(now time.Time, cost, part float64) time.Duration {
	seconds := cost / (part * q.drain.rate(now, q.cost))
	return clampSeconds(seconds)
}

// RetryAfter is when the caller of an item that was found late should come back.
func (q *Queue) RetryAfter(now time.Time, it Item) time.Duration {
	return q.retryAfter(now, &it, q.predictWait(now, &it))
}

// retryAfter books room for the caller, no sooner than after wait. Where none can
// be promised, since the request can't be known again, no rate is measured, or all
// is promised, it is told the wait, or the longest time.
func (q *Queue) retryAfter(now time.Time, it *Item, wait time.Duration) time.Duration {
	if it.Fingerprint == 0 || !q.drain.measured(now) {
		return q.jittered(wait)
	}
	steady := q.drain.steady()
	slower := q.drain.rate(now, q.cost) / steady
	wait = time.Duration(float64(wait) * min(1, slower))
	after, ok := q.bookings.book(now, it.caller(), it.Cost, steady*q.part(it), wait)
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
