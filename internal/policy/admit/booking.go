package admit

import (
	"encoding/binary"
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// slotWidth is the granularity of bookings. Retry-After is sent in whole seconds.
	slotWidth = time.Second
	slotCount = int(maxRetryAfter / slotWidth)
	// bookableFraction of the drain rate is promised to bookings. The rest compensates
	// for a rate that was measured too high, and leaves room for new requests.
	bookableFraction = 0.8
	// maxBooked bounds the bookings held.
	maxBooked = 4096
	// earlyTolerance and bookingGrace are how long before and after its time a booking can
	// be used.
	earlyTolerance = 100 * time.Millisecond
	bookingGrace   = 3 * time.Second
	// usedWeight is the weight of one more booking in the moving average usedFraction,
	// and minUsedFraction its lower bound.
	usedWeight      = 0.05
	minUsedFraction = 0.1
	// retryPeriodSeconds is the period in which each caller has one second for retries.
	retryPeriodSeconds = 10
	// returnLatency is how far into the next second a caller may arrive late.
	returnLatency = 500 * time.Millisecond
	// maxUnmatched bounds bookings.unmatched.
	maxUnmatched = 64
)

// caller identifies the holder of a booking. A retried request is recognised by its
// content. Callers with identical requests share a booking, which the first one to
// return uses.
type caller struct {
	organisation string
	fingerprint  uint64
}

// booking is capacity that was promised to a caller.
type booking struct {
	due  time.Time
	slot int
	cost float64
}

// bookings tracks the callers that were given a Retry-After.
//
// A Retry-After derived from the queue alone is the same for all callers refused at a
// time: they return together, to a queue that new requests have filled again, and most
// are refused once more. Instead each caller gets a time of its own, and no more is
// promised than the organisation's part of the drain rate.
//
// Unused bookings must not delay later ones, or a caller would be sent away for minutes
// while the pool is free. They lapse, and promised cost is weighted by the fraction of
// bookings that were used recently.
type bookings struct {
	origin    time.Time
	lastSweep int
	byCaller  map[caller]booking
	ledgers   map[string]*ledger
	// usedFraction is the moving average of the fraction of bookings that are used.
	usedFraction float64
	// unmatched counts callers that returned in their second without a booking here. Each
	// offsets one booking that lapses here, as it was probably used at another entry.
	unmatched int
}

// ledger is a ring of the cost promised to one organisation's callers, by slot.
type ledger struct {
	cost [slotCount]float64
	// first is the current slot, before which the ring is cleared; live counts
	// bookings.
	first, live int
}

func newBookings() *bookings {
	return &bookings{byCaller: map[caller]booking{}, ledgers: map[string]*ledger{}, usedFraction: 1}
}

func (b *bookings) slotOf(at time.Time) int { return int(at.Sub(b.origin) / slotWidth) }

// advance removes expired bookings, at most once a slot.
func (b *bookings) advance(now time.Time) {
	if b.origin.IsZero() {
		b.origin = now
	}
	slot := b.slotOf(now)
	if slot <= b.lastSweep {
		return
	}
	b.lastSweep = slot
	for who, k := range b.byCaller {
		if now.Sub(k.due) <= bookingGrace {
			continue
		}
		b.remove(who)
		if b.unmatched > 0 {
			b.unmatched--
			continue
		}
		b.recordOutcome(0)
	}
}

// returnsOnTime reports whether a caller returns at the time that this entry or another
// one gave it, and ends its booking here.
//
// A load balancer may send a returning caller to any entry. An entry without its
// booking would treat it as a new request and often refuse it again. Its booking would
// lapse at the first entry, lowering usedFraction there until far more was promised
// than is served. So a caller is only given seconds that all entries can derive from
// its identity. A caller that arrives in such a second counts as returning, including
// some new requests by chance; one without a booking here offsets one of ours that was
// used at another entry.
func (b *bookings) returnsOnTime(now time.Time, who caller) bool {
	if b.take(now, who) {
		return true
	}
	if !who.isRetrySecond(now) {
		return false
	}
	b.unmatched = min(b.unmatched+1, maxUnmatched)
	b.recordOutcome(1)
	return true
}

// isRetrySecond reports whether the current second is the caller's, or was until
// returnLatency ago: the response and the retry take some of the time that was given.
func (w caller) isRetrySecond(now time.Time) bool {
	t := w.retryOffset()
	return t.matches(now.Unix()) || t.matches(now.Add(-returnLatency).Unix())
}

// retryOffset determines which second of each retry period is a caller's own.
type retryOffset uint64

// retryOffset derives the caller's offset from a hash of its identity. One second in
// each period is the caller's, which bounds the extra wait to a period.
func (w caller) retryOffset() retryOffset {
	d := xxhash.New()
	_, _ = d.WriteString(w.organisation)
	_, _ = d.Write(binary.LittleEndian.AppendUint64(nil, w.fingerprint))
	return retryOffset(d.Sum64() % retryPeriodSeconds)
}

// matches reports whether a second of Unix time, which all entries share, is the
// caller's own.
func (t retryOffset) matches(second int64) bool {
	return (uint64(t)+uint64(second))%retryPeriodSeconds == 0
}

// recordOutcome updates usedFraction with a booking that was used (1) or lapsed (0).
func (b *bookings) recordOutcome(used float64) {
	b.usedFraction = max(minUsedFraction, b.usedFraction+usedWeight*(used-b.usedFraction))
}

// take ends the caller's booking if its time has come, and reports whether it had one.
func (b *bookings) take(now time.Time, who caller) bool {
	b.advance(now)
	k, ok := b.byCaller[who]
	if !ok || now.Add(earlyTolerance).Before(k.due) {
		return false
	}
	b.remove(who)
	b.recordOutcome(1)
	return true
}

// remove deletes the caller's booking, if any, and frees its capacity.
func (b *bookings) remove(who caller) {
	k, ok := b.byCaller[who]
	if !ok {
		return
	}
	delete(b.byCaller, who)
	l := b.ledgers[who.organisation]
	l.add(k.slot, -k.cost)
	l.live--
	if l.live == 0 {
		delete(b.ledgers, who.organisation)
	}
}

// book promises capacity for cost, no sooner than after wait. rate is the cost per
// second that the organisation is served at. It returns the delay after which the
// caller should return, in whole slots, or false if nothing can be promised. A caller
// that already has a booking gets the time left until it.
func (b *bookings) book(now time.Time, who caller, cost, rate float64, wait time.Duration) (time.Duration, bool) {
	b.advance(now)
	if k, ok := b.byCaller[who]; ok {
		return wholeSlots(k.due.Sub(now)), true
	}
	if len(b.byCaller) >= maxBooked {
		return 0, false
	}
	l := b.ledgers[who.organisation]
	if l == nil {
		l = &ledger{first: b.slotOf(now)}
	}
	l.clear(b.slotOf(now))
	offset := who.retryOffset()
	after := l.room(cost*b.usedFraction, bookableFraction*rate*slotWidth.Seconds(), b.usedFraction, func(i int) bool {
		return time.Duration(i)*slotWidth >= wait && offset.matches(now.Unix()+int64(i))
	})
	if after == 0 {
		return 0, false
	}
	slot := b.slotOf(now) + after
	b.ledgers[who.organisation] = l
	l.add(slot, cost)
	l.live++
	d := time.Duration(after) * slotWidth
	b.byCaller[who] = booking{due: now.Add(d), slot: slot, cost: cost}
	return d, true
}

// room returns the number of slots after which an allowed slot has capacity for cost,
// or 0 for none. Each slot provides perSlot. Unused capacity carries over to the next
// slot, up to cost, so that a low rate has room in some slot. A deficit carries over
// too, since the rate may have fallen after capacity was promised. Capacity that later
// slots depend on stays reserved.
func (l *ledger) room(cost, perSlot, usedFraction float64, allowed func(slot int) bool) int {
	var reserved [slotCount]float64
	for i := slotCount - 2; i > 0; i-- {
		reserved[i] = max(0, reserved[i+1]+l.at(l.first+i+1)*usedFraction-perSlot)
	}
	left := 0.0
	for i := 1; i < slotCount; i++ {
		left += perSlot - l.at(l.first+i)*usedFraction
		if left-reserved[i] >= cost && allowed(i) {
			return i
		}
		left = min(left, cost)
	}
	return 0
}

func (l *ledger) at(slot int) float64 { return l.cost[slot%slotCount] }

// add changes the cost promised for a slot. Slots before first are ignored, as their
// place in the ring may hold another slot.
func (l *ledger) add(slot int, cost float64) {
	if slot >= l.first {
		l.cost[slot%slotCount] = max(0, l.cost[slot%slotCount]+cost)
	}
}

// clear empties the slots before first.
func (l *ledger) clear(first int) {
	for i := 0; l.first < first && i < slotCount; i++ {
		l.cost[l.first%slotCount] = 0
		l.first++
	}
	l.first = max(l.first, first)
}

func wholeSlots(d time.Duration) time.Duration {
	n := math.Ceil(float64(d) / float64(slotWidth))
	return time.Duration(max(1, n)) * slotWidth
}
