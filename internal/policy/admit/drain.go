package admit

import (
	"math"
	"time"
)

const (
	// drainMemory is the time over which the drain rate is averaged.
	drainMemory = 10 * time.Second
	// passThrough is how long the queue must have been non-empty before what
	// is served counts for the drain rate.
	passThrough = 20 * time.Millisecond
	// linger is for how long after it ran empty the queue counts as non-empty:
	// all that waited may be out to ask servers and about to come back.
	linger = 500 * time.Millisecond
	// stall is how long nothing may be served before it tells of a lost server, not
	// of the rate, unless items are served as seldom: stallFactor times the usual
	// interval.
	stall       = 2 * time.Second
	stallFactor = 4
	// intervalMemory is the weight of one more interval in the usual one.
	intervalMemory = 0.1
	// minMeasured is the least time over which a rate is believed.
	minMeasured = 250 * time.Millisecond
)

// drain measures the cost served per second while the pool is full, which
// shows by a queue that stays non-empty. Requests that pass straight through say
// nothing of capacity: counted, they would make the rate look boundless when
// overload begins. Neither does a pop: many items are out at once, most of them
// come back, and what was counted at the pop and taken off at the return left a
// rate of near zero or of many times the truth (Retry-After of minutes).
type drain struct {
	cost float64
	busy time.Duration
	// interval is the usual time between two that are served.
	interval time.Duration
	// began is when the pool became full, since up to when busy counts.
	began, since time.Time
	// waiting: the queue isn't empty. last is when it was last seen so, and until
	// ends the linger.
	waiting     bool
	last, until time.Time
}

// observe notes whether anything waits.
func (d *drain) observe(now time.Time, waiting bool) {
	switch {
	case waiting && !d.waiting && !now.Before(d.until):
		d.began, d.since = now, now
	case !waiting && d.waiting && d.last.Sub(d.began) >= passThrough:
		d.until = d.last.Add(linger)
	}
	d.waiting = waiting
	if waiting {
		d.last = now
	}
}

// full reports whether the pool has no room, as far as the queue shows it.
func (d *drain) full(now time.Time) bool {
	return (d.waiting || now.Before(d.until)) && now.Sub(d.began) >= passThrough
}

func (d *drain) served(now time.Time, cost float64) {
	if !d.full(now) {
		return
	}
	step := max(0, now.Sub(d.since))
	d.since = now
	usual := d.interval
	d.interval += time.Duration(intervalMemory * float64(step-usual))
	// A stall in full would leave a rate of near zero behind it: callers were
	// told minutes by a pool that serves again.
	step = min(step, max(stall, stallFactor*usual))
	keep := math.Exp(-float64(step) / float64(drainMemory))
	d.cost = d.cost*keep + cost
	d.busy = time.Duration(float64(d.busy)*keep) + step
}

// lasted is the time that the rate is measured over. The time since the last
// item was served counts, so that the rate falls while nothing drains.
func (d *drain) lasted(now time.Time) time.Duration { return d.busy + d.idle(now) }

// idle is the time since the last item was served, while the pool is full.
func (d *drain) idle(now time.Time) time.Duration {
	if !d.full(now) {
		return 0
	}
	return max(0, now.Sub(d.since))
}

func (d *drain) measured(now time.Time) bool { return d.cost > 0 && d.lasted(now) >= minMeasured }

// steady is the rate without the time since the last item was served. While a
// server is lost nobody knows for how long; the rate, which falls meanwhile, would
// send callers away for minutes from a pool that serves again in seconds.
func (d *drain) steady() float64 {
	return d.cost / max(d.busy, minMeasured).Seconds()
}

// rate returns the cost served per second. Before anything was served it is
// bounded by the wait so far, in which less than all that waits drained.
func (d *drain) rate(now time.Time, waiting float64) float64 {
	busy := max(d.lasted(now), time.Millisecond).Seconds()
	if d.cost > 0 {
		return d.cost / busy
	}
	return max(waiting, minCost) / busy
}
