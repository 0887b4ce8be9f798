package quota

import (
	"time"

	"jayford.example/jayford/internal/policy/priority"
)

const (
	// useMemory is the time over which use is averaged.
	useMemory = time.Second
	// keepUse is how long a gateway keeps what it uses itself from a collection.
	keepUse = 500 * time.Millisecond
	// aheadUse is for how long a gateway asks ahead, by its use.
	aheadUse = 300 * time.Millisecond
	// reserveHorizon is for how long less urgent requests leave tokens to more urgent ones.
	// reserveLife bounds it as a part of the tokens' life: with a reserve for the whole
	// life, the tokens that urgent requests leave would expire in it.
	reserveHorizon = time.Second
	reserveLife    = 0.5
	// maxReserve bounds the reserve as a part of the capacity, so that a less urgent
	// request finds what it costs beside it.
	maxReserve = 0.5
	// holdUrgent is how long the pool holds an ask that is more urgent than others: the next
	// collection's tokens go to it first.
	holdUrgent = 100 * time.Millisecond
	// minRateShare is the least part of the rate that a less urgent request is taken to get
	// when it is told when to come back.
	minRateShare = 0.1
	ranks        = priority.Last + 1
)

// use is the use of one organisation's tokens by requests of each rank.
type use struct {
	// perSecond are averages as of at.
	perSecond [ranks]float64
	at        time.Duration
	// last is when each rank was last recorded, 0 if never; largest is its largest request
	// in its present use.
	last    [ranks]time.Duration
	largest [ranks]float64
}

// record adds to the average. tokens are negative if they are given back.
func (u *use) record(now time.Duration, rank int, tokens float64) {
	part := decay(now-u.at, useMemory)
	for r := range u.perSecond {
		u.perSecond[r] *= part
	}
	u.at = now
	u.perSecond[rank] = max(0, u.perSecond[rank]+tokens/useMemory.Seconds())
	if tokens <= 0 {
		return
	}
	if !u.inUse(now, rank) {
		u.largest[rank] = 0
	}
	u.largest[rank] = max(u.largest[rank], tokens)
	u.last[rank] = now
}

func (u *use) inUse(now time.Duration, rank int) bool {
	return u.last[rank] != 0 && now-u.last[rank] < activeFor
}

// mostUrgent returns the most urgent rank in use, the last one if none is.
func (u *use) mostUrgent(now time.Duration) int {
	r := priority.First
	for r < priority.Last && !u.inUse(now, r) {
		r++
	}
	return r
}

// upTo returns the use of all ranks up to the given one in tokens per second.
func (u *use) upTo(now time.Duration, rank int) float64 {
	sum := 0.0
	for r := range rank + 1 {
		sum += u.perSecond[r]
	}
	return sum * decay(now-u.at, useMemory)
}

// of returns the use of a rank in tokens per second, and its largest request.
func (u *use) of(now time.Duration, rank int) (perSecond, largest float64) {
	if !u.inUse(now, rank) {
		return 0, 0
	}
	return u.perSecond[rank] * decay(now-u.at, useMemory), u.largest[rank]
}

// precedes reports whether less urgent ranks than the given one are in use.
func (u *use) precedes(now time.Duration, rank int) bool {
	for r := rank + 1; r < ranks; r++ {
		if u.inUse(now, r) {
			return true
		}
	}
	return false
}

// mostUrgent returns the most urgent rank that is known to be in use at any gateway, the last
// one while nobody is short of tokens: ranks then make no difference.
func (a *account) mostUrgent(now time.Duration) int {
	switch {
	case now < a.shortUntil:
		return min(a.used.mostUrgent(now), a.asks.mostUrgent(now))
	case now < a.toldUntil && a.told < priority.Last:
		return min(a.used.mostUrgent(now), a.told)
	}
	return priority.Last
}

// recordShortage records at the pool that a request got no tokens although all gateways were
// asked for theirs.
func (a *account) recordShortage(now time.Duration) { a.shortUntil = now + activeFor }

// yields reports whether requests of a rank leave tokens to more urgent ones.
func (a *account) yields(now time.Duration, rank int) bool {
	return rank > priority.First && a.mostUrgent(now) < rank
}

// reserve returns the tokens that the pool keeps for requests before a rank: what they are
// expected to use, and one of them, as rare ones come in clumps.
func (a *account) reserve(now time.Duration, rank int) float64 {
	life := a.limit.lifetime().Seconds()
	sum, largest := 0.0, a.limit.Capacity()*maxReserve/2
	for r := range rank {
		own, ownLargest := a.used.of(now, r)
		asked, askedLargest := a.asks.of(now, r)
		horizon := min(reserveHorizon.Seconds(), reserveLife*life)
		sum += horizon*(own+asked) + min(largest, max(ownLargest, askedLargest))
	}
	return min(sum, maxReserve*a.limit.Capacity())
}

// timeToGet returns how long it takes until a request of a rank gets what it lacks: all
// gateways together create at the rate, and more urgent requests go first.
func (a *account) timeToGet(now time.Duration, tokens float64, rank int) time.Duration {
	rate := a.limit.PerSecond
	if rank > priority.First {
		rate -= a.used.upTo(now, rank-1) + a.asks.upTo(now, rank-1)
	}
	rate = max(rate, minRateShare*a.limit.PerSecond)
	return time.Duration(max(0, tokens) / rate * float64(time.Second))
}

// keep returns how many tokens this gateway doesn't give to a collection. Requests that
// yield get theirs from the pool.
func (a *account) keep(now time.Duration) float64 {
	n := a.used.upTo(now, a.mostUrgent(now)) * keepUse.Seconds()
	if now < a.keptUntil {
		n = max(n, a.kept)
	}
	return n
}

// allow lets requests that yield use tokens which the pool has granted for them.
func (a *account) allow(now time.Duration, lots []Lot) {
	if now >= a.allowedUntil {
		a.allowed = 0
	}
	for _, l := range lots {
		a.allowed += l.Tokens
	}
	a.allowedUntil = now + answerTimeout
}

// denial returns the denial that holds for a request of a rank which lacks so many tokens.
// One of a more urgent request holds for it too.
func (a *account) denial(now time.Duration, rank int, lack float64) (denial, bool) {
	for _, d := range a.denied[:rank+1] {
		if d.expires > now && lack >= d.need {
			return d, true
		}
	}
	return denial{}, false
}

// available returns the tokens that a request of a rank may take. The pool keeps a reserve
// for more urgent ones; elsewhere a request that yields takes only what the pool has granted
// for it, as only the pool knows the use of all gateways.
func (m *Machine) available(now time.Duration, a *account, rank int) float64 {
	held := a.Balance(now)
	switch {
	case !a.yields(now, rank):
		return held
	case m.pool(a, now) != m.self:
		if now >= a.allowedUntil {
			return 0
		}
		return min(held, a.allowed)
	case a.holdsMoreUrgent(rank):
		return 0
	}
	return max(0, held-a.reserve(now, rank))
}

// lack returns how many tokens an ask for a request's tokens needs. Tokens that expire
// before the answer arrives don't count.
func (m *Machine) lack(now time.Duration, a *account, tokens float64, rank int) float64 {
	held := a.transferable(now)
	if a.yields(now, rank) {
		held = min(held, m.available(now, a, rank))
	}
	if held >= tokens {
		return 0
	}
	return min(tokens-held+roundingLoss, a.limit.Capacity())
}
