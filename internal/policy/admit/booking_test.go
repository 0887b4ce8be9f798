package admit

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"jayford.example/jayford/internal/verdict"
)

// Guards against promising more capacity than the rate provides when callers are
// refused again and again, and against unused bookings that add up or whose capacity is
// lost.
func TestBookingsDontExceedTheRate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := newBookings()
		now, id := start, 0
		rate := rapid.Float64Range(1, 500).Draw(t, "rate")
		maxCost := rapid.Float64Range(1, 100).Draw(t, "cost")
		t.Repeat(map[string]func(*rapid.T){
			"book": func(t *rapid.T) {
				id++
				b.usedFraction = 1
				who := caller{"o", uint64(id)}
				cost := rapid.Float64Range(0.1, 1).Draw(t, "part") * maxCost
				wait := time.Duration(rapid.IntRange(0, 20_000).Draw(t, "wait")) * time.Millisecond
				after, ok := b.book(now, who, cost, rate, wait)
				assert.Assert(t, !ok || after >= wait && after >= slotWidth && after < maxRetryAfter, "%s", after)
				now = now.Add(400 * time.Millisecond)
				again, known := b.book(now, who, cost, rate, wait)
				assert.Assert(t, !ok || known && again <= after, "%s, then %s", after, again)
			},
			"come": func(t *rapid.T) {
				who := caller{"o", rapid.Uint64Range(1, uint64(id)+1).Draw(t, "who")}
				k, had := b.byCaller[who]
				due := had && !now.Add(earlyTolerance).Before(k.due) && now.Sub(k.due) <= bookingGrace
				assert.Assert(t, !due || b.take(now, who))
			},
			"wait": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 5000).Draw(t, "ms")) * time.Millisecond)
				b.advance(now)
			},
			"": func(t *rapid.T) {
				if b.origin.IsZero() {
					return
				}
				sum := map[int]float64{}
				for _, k := range b.byCaller {
					assert.Assert(t, now.Sub(k.due) <= bookingGrace+slotWidth)
					sum[k.slot] += k.cost
				}
				promised, l := 0.0, b.ledgers["o"]
				if l == nil {
					assert.Equal(t, len(b.byCaller), 0)
					return
				}
				assert.Equal(t, l.live, len(b.byCaller))
				l.clear(b.slotOf(now))
				for i := 1; i < slotCount; i++ {
					assert.Assert(t, l.at(l.first+i) > sum[l.first+i]-1e-6 && l.at(l.first+i) < sum[l.first+i]+1e-6)
					promised += sum[l.first+i]
					// maxCost: one item may use the capacity left over before it.
					assert.Assert(t, promised <= bookableFraction*rate*float64(i)+maxCost+1e-6, "%.0f within %d s at %.0f", promised, i, rate)
				}
			},
		})
	})
}

// Guards against a Retry-After of minutes from a free pool because all capacity is
// promised to callers that never return. Unused bookings must count less, and be
// deleted.
func TestUnusedBookingsDecay(t *testing.T) {
	b := newBookings()
	now, worst, id := start, time.Duration(0), uint64(0)
	for range 120 {
		now = now.Add(time.Second)
		for range 20 { // Twice the rate.
			id++
			after, ok := b.book(now, caller{"o", id}, 1, 10, time.Second)
			assert.Assert(t, ok)
			if now.Sub(start) > time.Minute {
				worst = max(worst, after)
			}
		}
	}
	// Each caller gets its first own second, which comes once in a period.
	assert.Assert(t, worst <= retryPeriodSeconds*time.Second, "Retry-After %s", worst)
	now = now.Add(time.Minute)
	b.advance(now)
	assert.Equal(t, len(b.byCaller)+len(b.ledgers), 0)
}

// Guards against unbounded memory under a flood of refusals of distinct callers.
func TestBookingsAreBounded(t *testing.T) {
	b := newBookings()
	for i := range 3 * maxBooked {
		b.book(start, caller{fmt.Sprint(i % 5000), uint64(i + 1)}, 1, 1e6, 0)
	}
	assert.Equal(t, len(b.byCaller), maxBooked)
	assert.Assert(t, len(b.ledgers) <= maxBooked)
}

// simulateReturns sends three times as many requests as are served, for ten seconds, to
// queues that serve ten a second each. Refused callers return once, to the queue that
// choose picks. It returns how many were served at once, how many when they returned,
// and how many were refused again or expired.
func simulateReturns(t *testing.T, queues int, choose func(first int) int) (first, second, not int) {
	const tick, serve = 10 * time.Millisecond, 100 * time.Millisecond
	type coming struct {
		it Item
		to int
	}
	qs := make([]*Queue, queues)
	for i := range qs {
		qs[i] = newQueue(Options{})
	}
	later := map[time.Duration][]coming{}
	id := 0
	arrive := func(at time.Duration, c coming, again bool) {
		now := start.Add(at)
		c.it.Deadline = now.Add(1700 * time.Millisecond)
		err := qs[c.to].Push(now, c.it)
		switch {
		case err != nil && again:
			not++
		case err != nil:
			assert.Equal(t, err.Code, verdict.Deadline)
			back := (at + wholeSlots(err.RetryAfter)).Truncate(tick)
			c.to = choose(c.to)
			c.it.ID += " again"
			later[back] = append(later[back], c)
		}
	}
	for at := time.Duration(0); at < time.Minute; at += tick {
		now := start.Add(at)
		for _, c := range later[at] {
			arrive(at, c, true)
		}
		for i := range qs {
			if at%(3*tick) == 0 && at < 10*time.Second {
				id++
				arrive(at, coming{Item{ID: fmt.Sprint(id), Organisation: "o", Interactive: true, Cost: 20, Fingerprint: uint64(id)}, i}, false)
			}
			not += len(qs[i].Expire(now))
			if at%serve != 0 {
				continue
			}
			it, ok := qs[i].Pop(now)
			qs[i].Served(now, it.ID)
			switch {
			case !ok:
			case len(it.ID) > len(" again") && it.ID[len(it.ID)-6:] == " again":
				second++
			default:
				first++
			}
		}
	}
	return first, second, not
}

// Guards against callers being refused again when they return at the time they were
// given. That happened when all were given nearly the same time and new requests had
// filled the queue before it.
func TestReturningCallersAreServed(t *testing.T) {
	first, second, not := simulateReturns(t, 1, func(int) int { return 0 })
	t.Logf("figure: %d served at once, %d after they came back, %d not", first, second, not)
	assert.Assert(t, second > 9*not)
}

// The same with three entries behind a load balancer: a returning caller has a booking
// at one of them only. The others must recognise it by the second in which it arrives.
func TestReturningCallersAreServedByOtherEntries(t *testing.T) {
	rnd := rand.New(rand.NewPCG(1, 2))
	first, second, not := simulateReturns(t, 3, func(int) int { return rnd.IntN(3) })
	t.Logf("figure: %d served at once, %d after they came back, %d not", first, second, not)
	assert.Assert(t, second > 9*not)
}

// A caller returns in its own second, or a little later, to an entry without its
// booking, and must count as returning. Of callers that arrive at random times, no more
// may count than the second and returnLatency imply.
func TestRetrySecondIsRecognisedWithoutABooking(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := start.Add(time.Duration(rapid.IntRange(0, 100_000).Draw(t, "ms")) * time.Millisecond)
		who := caller{"o", rapid.Uint64().Draw(t, "content")}
		after, ok := newBookings().book(now, who, 1, 100, 0)
		assert.Assert(t, ok && after <= retryPeriodSeconds*time.Second, "%s", after)
		late := time.Duration(rapid.IntRange(0, int(returnLatency/time.Millisecond)-1).Draw(t, "late")) * time.Millisecond
		assert.Assert(t, newBookings().returnsOnTime(now.Add(after+late), who))
	})
	chance := 0
	const n = 10_000
	for i := range n {
		if newBookings().returnsOnTime(start.Add(time.Duration(i)*7*time.Millisecond), caller{"o", uint64(i)}) {
			chance++
		}
	}
	assert.Assert(t, chance < n/6, "%d of %d random arrivals count as returning", chance, n)
}

// BenchmarkBook measures the booking of a refused caller, with 220 organisations.
func BenchmarkBook(b *testing.B) {
	k := newBookings()
	names := make([]string, 220)
	for i := range names {
		names[i] = fmt.Sprint("org-", i)
	}
	id := uint64(0)
	b.ReportAllocs()
	for b.Loop() {
		id++
		now := start.Add(time.Duration(id) * time.Millisecond)
		k.book(now, caller{names[id%220], id}, 100, 100, time.Second)
	}
}
