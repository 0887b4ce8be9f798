package admit

import (
	"encoding/binary"
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// slotWidth is the grain of bookings. Retry-After is told in whole seconds.
	slotWidth = time.Second
	slots     = int(maxRetryAfter / slotWidth)
	// bookedPart is the part of the drain rate that is promised. The rest makes
	// up for a rate that was measured too high, and leaves some to newcomers.
	bookedPart = 0.8
	// maxBooked bounds the bookings remembered.
	maxBooked = 4096
	// early and overdue are how long before and after its time a caller may come
	// for its booking.
	early   = 100 * time.Millisecond
	overdue = 3 * time.Second
	// takenMemory is the weight of one more booking in the part that is taken up,
	// and minTaken the least that is reckoned with.
	takenMemory = 0.05
	minTaken    = 0.1
	// drawPeriod is how often, in seconds, a caller's own comes up.
	drawPeriod = 10
	// wayBack is how far into the next second a caller may come late.
	wayBack = 500 * time.Millisecond
	// maxForeign bounds the callers from elsewhere that lapsed bookings are set
	// against.
	maxForeign = 64
)

// caller is who a booking is kept for: the entry knows a request that comes again
// by its content. Two that are the same share a booking; the first to come has it.
type caller struct {
	organisation string
	fingerprint  uint64
}

// booking is room that was promised to a caller.
type booking struct {
	due  time.Time
	slot int
	cost float64
}

// bookings keeps account of the callers that were told when to come back.
//
// Reckoned from the queue alone, Retry-After was the same for all that were
// refused at a time: they came back together, to a queue that newcomers had filled
// again, and most were refused once more. Each is told a time of its own instead,
// for which no more is promised than the organisation's part of the drain rate.
//
// Bookings that nobody comes for must not put off the next ones: a caller would
// be told minutes while the pool stands ready. They lapse, and what is promised
// counts only by the part that was taken up lately.
type bookings struct {
	origin  time.Time
	swept   int
	byOwner map[caller]booking
	ledgers map[string]*ledger
	// taken is the part of bookings that were taken up.
	taken float64
	// foreign counts callers that came at their second without a booking here.
	foreign int
}

// ledger is the cost promised to one organisation's callers, by slot, in a ring.
type ledger struct {
	cost [slots]float64
	// first is the slot up to which the ring is cleared, live counts bookings.
	first, live int
}

func newBookings() *bookings {
	return &bookings{byOwner: map[caller]booking{}, ledgers: map[string]*ledger{}, taken: 1}
}

func (b *bookings) slotOf(at time.Time) int { return int(at.Sub(b.origin) / slotWidth) }

// advance lets bookings lapse, once a slot.
func (b *bookings) advance(now time.Time) {
	if b.origin.IsZero() {
		b.origin = now
	}
	slot := b.slotOf(now)
	if slot <= b.swept {
		return
	}
	b.swept = slot
	for who, k := range b.byOwner {
		if now.Sub(k.due) <= overdue {
			continue
		}
		b.remove(who)
		if b.foreign > 0 {
			b.foreign--
			continue
		}
		b.note(0)
	}
}

// comes reports whether a caller comes when it was told, by this entry or by
// another one, and ends its booking here.
//
// A balancer sends who comes back to any entry. Taken for a newcomer there, it was
// refused again as often as not; and as its booking lapsed where it was told,
// less and less of what was promised was counted, so that far more was promised
// than is served. So callers are told only seconds that are their own by a draw
// which all entries can repeat. Who comes in such a second counts as told, some
// newcomers by chance too; one that has no booking here stands for one of ours
// that came elsewhere.
func (b *bookings) comes(now time.Time, who caller) bool {
	if b.take(now, who) {
		return true
	}
	if !who.isDrawn(now) {
		return false
	}
	b.foreign = min(b.foreign+1, maxForeign)
	b.note(1)
	return true
}

// isDrawn reports whether this second is the caller's own, or the last one was and
// has just passed: an answer and the way back take some of the time that was told.
func (w caller) isDrawn(now time.Time) bool {
	t := w.turn()
	return t.has(now.Unix()) || t.has(now.Add(-wayBack).Unix())
}

// turn is which second of each drawPeriod is a caller's own.
type turn uint64

// turn draws the caller's. Each has one second in a period, so that nobody waits
// longer than that for it.
func (w caller) turn() turn {
	d := xxhash.New()
	_, _ = d.WriteString(w.organisation)
	_, _ = d.Write(binary.LittleEndian.AppendUint64(nil, w.fingerprint))
	return turn(d.Sum64() % drawPeriod)
}

// has reports whether a second, by the clock of all entries, is the turn's.
func (t turn) has(second int64) bool { return (uint64(t)+uint64(second))%drawPeriod == 0 }

// note learns from a booking that was taken up (1) or lapsed (0).
func (b *bookings) note(taken float64) {
	b.taken = max(minTaken, b.taken+takenMemory*(taken-b.taken))
}

// take ends the caller's booking if its time has come, and reports whether it had
// one.
func (b *bookings) take(now time.Time, who caller) bool {
	b.advance(now)
	k, ok := b.byOwner[who]
	if !ok || now.Add(early).Before(k.due) {
		return false
	}
	b.remove(who)
	b.note(1)
	return true
}

// remove forgets the caller's booking, if it has one. Its room is free again.
func (b *bookings) remove(who caller) {
	k, ok := b.byOwner[who]
	if !ok {
		return
	}
	delete(b.byOwner, who)
	l := b.ledgers[who.organisation]
	l.add(k.slot, -k.cost)
	l.live--
	if l.live == 0 {
		delete(b.ledgers, who.organisation)
	}
}

// book promises room for cost, no sooner than after wait, at a rate of cost per
// second that is the organisation's. It returns after how long the caller should
// come, in whole slots, or false if there is no room to promise. A caller that
// comes before its time is told the rest of it.
func (b *bookings) book(now time.Time, who caller, cost, rate float64, wait time.Duration) (time.Duration, bool) {
	b.advance(now)
	if k, ok := b.byOwner[who]; ok {
		return wholeSlots(k.due.Sub(now)), true
	}
	if len(b.byOwner) >= maxBooked {
		return 0, false
	}
	l := b.ledgers[who.organisation]
	if l == nil {
		l = &ledger{first: b.slotOf(now)}
	}
	l.clear(b.slotOf(now))
	turn := who.turn()
	after := l.room(cost*b.taken, bookedPart*rate*slotWidth.Seconds(), b.taken, func(i int) bool {
		return time.Duration(i)*slotWidth >= wait && turn.has(now.Unix()+int64(i))
	})
	if after == 0 {
		return 0, false
	}
	slot := b.slotOf(now) + after
	b.ledgers[who.organisation] = l
	l.add(slot, cost)
	l.live++
	d := time.Duration(after) * slotWidth
	b.byOwner[who] = booking{due: now.Add(d), slot: slot, cost: cost}
	return d, true
}

// room returns after how many slots, of those that may be told, there is room for
// cost, or 0. Each slot gives perSlot. What one doesn't use goes on to the next, up to
// cost, so that a low rate has room in some; what one lacks goes on too, since the
// rate may have fallen after it was promised. What later slots rely on stays.
func (l *ledger) room(cost, perSlot, taken float64, mayTell func(slot int) bool) int {
	var relied [slots]float64
	for i := slots - 2; i > 0; i-- {
		relied[i] = max(0, relied[i+1]+l.at(l.first+i+1)*taken-perSlot)
	}
	left := 0.0
	for i := 1; i < slots; i++ {
		left += perSlot - l.at(l.first+i)*taken
		if left-relied[i] >= cost && mayTell(i) {
			return i
		}
		left = min(left, cost)
	}
	return 0
}

func (l *ledger) at(slot int) float64 { return l.cost[slot%slots] }

// add changes what is promised for a slot. One that has passed is cleared, and
// its place in the ring may be another's.
func (l *ledger) add(slot int, cost float64) {
	if slot >= l.first {
		l.cost[slot%slots] = max(0, l.cost[slot%slots]+cost)
	}
}

// clear empties the slots before first.
func (l *ledger) clear(first int) {
	for i := 0; l.first < first && i < slots; i++ {
		l.cost[l.first%slots] = 0
		l.first++
	}
	l.first = max(l.first, first)
}

func wholeSlots(d time.Duration) time.Duration {
	n := math.Ceil(float64(d) / float64(slotWidth))
	return time.Duration(max(1, n)) * slotWidth
}
