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
	newcomerPart = 0.5
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
	if q.Len() >= q.opts.MaxTotal {
		wait := q.drainTime(now, q.cost/2, 1)
		return verdict.New(verdict.NotRun, verdict.Overloaded, "The queue is full.").After(q.retryAfter(wait))
	}
	if err := q.refuseOverShare(now, it); err != nil {
		return err
	}
	return q.refuseDeadline(now, it)
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
	return verdict.New(verdict.NotRun, verdict.OverShare, "The organisation's part of the queue is full.").After(q.retryAfter(wait))
}

// refuseDeadline refuses what would only be found late after it had waited.
// RetryAfter is when the queue will have drained enough, or 0 if the request
// would be late on an empty queue too.
func (q *Queue) refuseDeadline(now time.Time, it *Item) *verdict.Error {
	if it.Deadline.IsZero() {
		return nil
	}
	left := it.Deadline.Sub(now) - it.Predicted
	room := time.Duration(newcomerPart * float64(left))
	wait := q.predictWait(now, it)
	if left > 0 && wait <= room {
		return nil
	}
	err := verdict.New(verdict.NotRun, verdict.Deadline, "The deadline can't be met.")
	if left <= 0 {
		return err
	}
	return err.After(q.retryAfter(wait - room))
}

// predictWait predicts the least time that it would wait: its organisation's
// part ahead of it drains at the organisation's share, but no longer than all
// ahead of it takes. What is out to ask servers is ahead too: under overload that
// is most of what isn't served yet. Interactive work is taken to pass all batch
// that waits. While the pool isn't full, and before a drain rate is measured, it
// predicts nothing.
func (q *Queue) predictWait(now time.Time, it *Item) time.Duration {
	if !q.drain.full(now) || !q.drain.measured(now) {
		return 0
	}
	own, ahead := it.Cost, it.Cost+q.outCost
	share, weight := q.shareOf(it.Organisation), 0.0
	if o := q.orgs[it.Organisation]; o != nil {
		own += o.outCost
	}
	for _, o := range q.active {
		cost := o.interactive.cost
		if !it.Interactive {
			cost = o.cost()
		}
		if cost == 0 && o.outs == 0 {
			continue
		}
		ahead += cost
		if o.name == it.Organisation {
			own += cost
			continue
		}
		weight += o.share
	}
	for o := range q.asking {
		if o.len() == 0 && o.name != it.Organisation {
			weight += o.share
		}
	}
	mine := q.drainTime(now, own, share/(weight+share))
	return min(mine, q.drainTime(now, ahead, 1))
}

// drainTime is how long cost takes to drain at a part of the measured rate.
func (q *Queue) drainTime(now time.Time, cost, part float64) time.Duration {
	seconds := cost / (part * q.drain.rate(now, q.cost))
	return clampSeconds(seconds)
}

func (q *Queue) retryAfter(wait time.Duration) time.Duration {
	jittered := float64(wait) * (1 + retryJitter*q.rnd.Float64())
	return time.Duration(max(float64(minRetryAfter), min(jittered, float64(maxRetryAfter))))
}

func clampSeconds(s float64) time.Duration {
	if math.IsNaN(s) || s > maxRetryAfter.Seconds() {
		return maxRetryAfter
	}
	return time.Duration(s * float64(time.Second))
}
