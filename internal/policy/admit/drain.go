package admit

import (
	"math"
	"time"
)

const (
	// drainWindow is the time over which the drain rate is averaged.
	drainWindow = 10 * time.Second
	// minNonEmpty is how long the queue must have been non-empty before served items
	// count towards the drain rate.
	minNonEmpty = 20 * time.Millisecond
	// linger is how long after it ran empty the queue still counts as non-empty: all
	// its items may be outstanding and about to be requeued.
	linger = 500 * time.Millisecond
	// stallThreshold is the pause between served items above which a lost server is
	// assumed rather than a low rate. If items are served rarely, the threshold is
	// stallFactor times the usual interval.
	stallThreshold = 2 * time.Second
	stallFactor    = 4
	// lostServerGrace is how long a lost server may distort the rate. By then its requests
	// have been retried elsewhere or it is back.
	lostServerGrace = time.Second
	// intervalWeight is the weight of one more interval in the moving average.
	intervalWeight = 0.1
	// minMeasureTime is the least time over which a measured rate is used.
	minMeasureTime = 250 * time.Millisecond
)

// drain measures the cost served per second while the pool is full, which is inferred
// from a queue that stays non-empty. Requests that pass straight through say nothing
// about capacity: counting them would make the rate look unbounded when overload
// begins. Pops aren't counted either, since many items are outstanding at once and most
// are requeued: adding cost at the pop and subtracting it at the requeue gave rates
// near zero or many times too high, and a Retry-After of minutes.
type drain struct {
	cost float64
	busy time.Duration
	// interval is the moving average of the time between served items.
	interval time.Duration
	// fullSince is when the pool became full, busyUntil the time up to which busy
	// counts.
	fullSince, busyUntil time.Time
	// waitingSince is when the queue last became non-empty. requeued is set if an item
	// found all servers full since the queue was last empty.
	waitingSince time.Time
	requeued     bool
	// waiting is set while the queue isn't empty. lastWaiting is when it last was
	// non-empty, and lingerUntil the end of the linger period.
	waiting                  bool
	lastWaiting, lingerUntil time.Time
	// lostUntil is the end of lostServerGrace. Until then neither time nor served cost
	// counts.
	lostUntil time.Time
}

// lost records that a server of the pool was lost, which suspends the measurement: while
// its requests are retried, little is served of a pool that soon serves again.
func (d *drain) lost(now time.Time) { d.lostUntil = now.Add(lostServerGrace) }

// measuredFrom is the start of the time that isn't accounted for in busy yet.
func (d *drain) measuredFrom() time.Time {
	if d.lostUntil.After(d.busyUntil) {
		return d.lostUntil
	}
	return d.busyUntil
}

// observe records whether any item waits.
func (d *drain) observe(now time.Time, waiting bool) {
	switch {
	case waiting && !d.waiting:
		d.waitingSince = now
		if !now.Before(d.lingerUntil) {
			d.fullSince, d.busyUntil = now, now
		}
	case !waiting && d.waiting:
		// Items that pass straight through don't prolong it: steady traffic would keep
		// the pool full for ever.
		if d.requeued || d.lastWaiting.Sub(d.waitingSince) >= minNonEmpty {
			d.lingerUntil = d.lastWaiting.Add(linger)
		}
		d.requeued = false
	}
	d.waiting = waiting
	if waiting {
		d.lastWaiting = now
	}
}

// full reports whether the pool has no capacity, as far as the queue shows it.
func (d *drain) full(now time.Time) bool {
	return (d.waiting || now.Before(d.lingerUntil)) && now.Sub(d.fullSince) >= minNonEmpty
}

func (d *drain) served(now time.Time, cost float64) {
	if !d.full(now) {
		return
	}
	step := max(0, now.Sub(d.measuredFrom()))
	d.busyUntil = now
	if now.Before(d.lostUntil) {
		return
	}
	usual := d.interval
	d.interval += time.Duration(intervalWeight * float64(step-usual))
	// Cap long stalls: counted in full, a stall would leave a rate near zero, and
	// callers would get a Retry-After of minutes from a pool that serves again.
	step = min(step, max(stallThreshold, stallFactor*usual))
	keep := math.Exp(-float64(step) / float64(drainWindow))
	d.cost = d.cost*keep + cost
	d.busy = time.Duration(float64(d.busy)*keep) + step
}

// measureTime is the time over which the rate is measured. It includes the time since
// the last item was served, so that the rate falls while nothing drains.
func (d *drain) measureTime(now time.Time) time.Duration { return d.busy + d.idle(now) }

// idle is the measured time since the last item was served, while the pool is full.
func (d *drain) idle(now time.Time) time.Duration {
	if !d.full(now) {
		return 0
	}
	return max(0, now.Sub(d.measuredFrom()))
}

func (d *drain) measured(now time.Time) bool {
	return d.cost > 0 && d.measureTime(now) >= minMeasureTime
}

// busyRate is the rate without the time since the last item was served. While a server
// is lost, rate falls; derived from it, Retry-After would send callers away for minutes
// from a pool that recovers in seconds.
func (d *drain) busyRate() float64 {
	return d.cost / max(d.busy, minMeasureTime).Seconds()
}

// rate returns the cost served per second. Before anything was served it is bounded by
// the time since the pool became full, in which less than the waiting cost has drained.
func (d *drain) rate(now time.Time, waiting float64) float64 {
	const least = time.Millisecond
	if d.cost > 0 {
		return d.cost / max(d.measureTime(now), least).Seconds()
	}
	full := time.Duration(0)
	if d.full(now) {
		full = now.Sub(d.fullSince)
	}
	return max(waiting, minCost) / max(full, least).Seconds()
}
