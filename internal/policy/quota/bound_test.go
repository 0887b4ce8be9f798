package quota

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// chaos draws the faults of a simulated fleet while it is under load.
type chaos struct {
	t *rapid.T
	f *fleet
}

// step draws one fault and its end.
func (c chaos) step() {
	f, n := c.f, len(c.f.machines)
	switch rapid.IntRange(0, 6).Draw(c.t, "fault") {
	case 0:
		f.restart(rapid.IntRange(0, n-1).Draw(c.t, "restarted"))
	case 1:
		for i := range n {
			f.restart(i)
		}
	case 2:
		// A cut in both directions; each gateway is on one side or on both.
		side := rapid.SliceOfN(rapid.IntRange(1, 3), n, n).Draw(c.t, "sides")
		f.drops = func(from, to int) bool { return side[from]&side[to] == 0 }
	case 3:
		cut := rapid.SliceOfN(rapid.Bool(), n, n).Draw(c.t, "oneWay")
		f.drops = func(from, _ int) bool { return cut[from] }
	case 4:
		f.drops = func(int, int) bool { return false }
	case 5:
		f.loss = rapid.Float64Range(0, 0.6).Draw(c.t, "loss")
		f.repeats = rapid.Float64Range(0, 0.6).Draw(c.t, "repeats")
	case 6:
		f.latency = time.Duration(rapid.IntRange(0, 2000).Draw(c.t, "latencyMs")) * time.Millisecond
	}
}

// No organisation spends more than its limit in any window, summed over all gateways,
// under lost, late and repeated messages, cuts in one or both directions, and restarts of
// some or all gateways. A window has one start credit of each gateway at most.
func TestQuotaHoldsUnderAnySchedule(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := Limit{
			PerSecond: rapid.Float64Range(0.5, 100_000).Draw(t, "perSecond"),
			Burst:     rapid.Float64Range(0, 200_000).Draw(t, "burst"),
			Spare:     rapid.Float64Range(1, 200_000).Draw(t, "spare"),
		}
		f := newFleet(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(1, 12).Draw(t, "gateways"), l)
		f.run(time.Duration(rapid.IntRange(0, 12).Draw(t, "idle")) * time.Second)
		cost := min(l.Capacity(), l.PerSecond) / float64(rapid.IntRange(1, 20).Draw(t, "costs"))
		demand := min(200, rapid.Float64Range(0.5, 6).Draw(t, "demand")*l.PerSecond/cost)
		active := rapid.IntRange(1, len(f.machines)).Draw(t, "active")
		f.returned = rapid.Float64Range(0, 0.6).Draw(t, "returned")
		f.credit = rapid.Float64Range(0, 20_000).Draw(t, "credit")
		f.ranks = rapid.IntRange(1, ranks).Draw(t, "ranks")
		c := chaos{t, f}
		f.repeats = rapid.SampledFrom([]float64{0, 0.5, 1}).Draw(t, "alwaysRepeated")
		for range rapid.IntRange(1, 12).Draw(t, "steps") {
			c.step()
			lasts := time.Duration(rapid.IntRange(50, 2500).Draw(t, "lastsMs")) * time.Millisecond
			f.load(demand, lasts, func() float64 { return cost * (0.2 + f.rnd.Float64()) }, func() int { return f.rnd.IntN(active) })
		}
		for _, w := range []time.Duration{100 * time.Millisecond, time.Second, simWindow} {
			allowed := l.PerSecond*w.Seconds() + l.Capacity() + f.credit*float64(len(f.machines))
			assert.Assert(t, f.worstWindow(w) <= allowed*1.0001, "%v: %.0f of %.0f", w, f.worstWindow(w), allowed)
		}
	})
}

// A lower limit binds from its change on: what was held under the higher one counts as far
// as the lower one allows it.
func TestLowerLimitBindsAtOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		high := Limit{PerSecond: 50_000, Burst: rapid.Float64Range(0, 200_000).Draw(t, "burst"), Spare: 10_000}
		low := Limit{PerSecond: rapid.Float64Range(500, 50_000).Draw(t, "low"), Burst: rapid.Float64Range(0, high.Burst).Draw(t, "lowBurst"), Spare: 10_000}
		f := newFleet(rapid.Uint64().Draw(t, "seed"), 6, high)
		f.returned = rapid.Float64Range(0, 0.9).Draw(t, "returned")
		f.ranks = rapid.IntRange(1, ranks).Draw(t, "ranks")
		f.load(40, 5*time.Second, func() float64 { return 1500 }, func() int { return f.rnd.IntN(6) })
		f.run(time.Duration(rapid.IntRange(0, 5000).Draw(t, "idleMs")) * time.Millisecond)
		for i := range f.machines {
			f.setLimit(i, low)
		}
		f.spent = nil
		f.load(40, 10*time.Second, func() float64 { return 1500 }, func() int { return f.rnd.IntN(6) })
		for _, w := range []time.Duration{time.Second, 8 * time.Second} {
			allowed := low.PerSecond*w.Seconds() + low.Capacity()
			assert.Assert(t, f.worstWindow(w) <= allowed*1.0001, "%v: %.0f of %.0f", w, f.worstWindow(w), allowed)
		}
	})
}

// Guards against an answer that counts twice, for an ask of an earlier process, or for
// another gateway's ask.
func TestAnswersCountOnce(t *testing.T) {
	l := Limit{PerSecond: 1000, Burst: 10_000}
	now := 100 * time.Second
	m := NewMachine("g0")
	m.SetLimits(now, map[string]Limit{"org": l})
	m.SetListed([]string{"g0", "g1", "g2"}, now, now)
	var asked Envelope
	for _, e := range append(m.Ask(now, "org", 500, 0), m.Tick(now)...) {
		if len(e.Parts) > 0 {
			asked = e
		}
	}
	answer := Message{ID: asked.ID, Answer: true, Parts: []Part{{Account: KeyOf("org", l), Lots: []Lot{{Tokens: 500, Life: 5 * time.Second}}}}}
	other := "g1"
	if asked.To == other {
		other = "g2"
	}
	m.Receive(now, other, answer)
	assert.Equal(t, m.Balance(now, "org"), 0.0)
	m.Receive(now, asked.To, Message{ID: 7, Answer: true, Parts: answer.Parts})
	assert.Equal(t, m.Balance(now, "org"), 0.0)
	m.Receive(now, asked.To, answer)
	assert.Equal(t, m.Balance(now, "org"), 500.0)
	m.Receive(now, asked.To, answer)
	assert.Equal(t, m.Balance(now, "org"), 500.0)
	// Its life counts from the ask, however late it arrives.
	assert.Equal(t, m.Balance(now+5*time.Second, "org"), 0.0)
}

func TestRequestsBeyondTheCapacityAreImpossible(t *testing.T) {
	m := NewMachine("g0")
	m.SetLimits(0, map[string]Limit{"org": {PerSecond: 1000, Burst: 2000}})
	_, o, _ := m.Take(0, "org", 2001, 0)
	assert.Equal(t, o, Impossible)
	_, o, _ = m.Take(0, "org", 2000, 0)
	assert.Equal(t, o, Short)
	_, o, _ = m.Take(0, "another", 1e9, 0)
	assert.Equal(t, o, Granted)
}

// What hasn't run is given back, and expires when it would have.
func TestReturnedTokensKeepTheirLife(t *testing.T) {
	a := NewAccount(Limit{PerSecond: 1000, Burst: 1000}, 0)
	a.Create(0, 1)
	a.Create(500*time.Millisecond, 1)
	now := 600 * time.Millisecond
	taken, ok := a.Take(now, 400)
	assert.Assert(t, ok)
	assert.Equal(t, a.Balance(now), 100.0)
	a.Return(now, taken)
	assert.Equal(t, a.Balance(now), 500.0)
	// What was taken and returned has expired, the newer tokens that weren't taken haven't.
	assert.Equal(t, a.Balance(time.Second), 100.0)
	assert.Equal(t, a.Balance(1500*time.Millisecond), 0.0)
}

// The fractions of all gateways sum to 1.1 at most while gateways start, leave, are killed
// and can't read the list, as long as the fleet at most doubles meanwhile.
func TestFractionsSumToOne(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newShareFleet(t, rapid.IntRange(1, 20).Draw(t, "first"))
		for range rapid.IntRange(5, 60).Draw(t, "steps") {
			s.step()
			sum := s.sum()
			assert.Assert(t, sum <= 1.1+1e-9, "sum of the fractions is %.3f", sum)
		}
	})
}

// Guards against a credit at each of several restarts within one window.
func TestRestartsInQuickSuccessionGainNothing(t *testing.T) {
	l := Limit{PerSecond: 1000, Burst: 1000, Spare: 1000}
	f := newFleet(1, 6, l)
	f.credit = 10_000
	f.run(simWindow + CreditLife)
	for range 5 {
		for i := range f.machines {
			f.restart(i)
		}
		f.load(40, time.Second, func() float64 { return 1000 }, func() int { return f.rnd.IntN(6) })
	}
	allowed := l.PerSecond*simWindow.Seconds() + l.Capacity() + 6*f.credit
	assert.Assert(t, f.worstWindow(simWindow) > 2*f.credit, f.worstWindow(simWindow))
	assert.Assert(t, f.worstWindow(simWindow) <= allowed, "%.0f of %.0f", f.worstWindow(simWindow), allowed)
}

// Guards against tokens of a higher limit that are given back after it was lowered.
func TestTokensOfAnotherLimitAreNotReturned(t *testing.T) {
	now := 100 * time.Second
	m := NewMachine("g0")
	m.SetListed([]string{"g0"}, now, now)
	m.SetLimits(now, map[string]Limit{"org": {PerSecond: 10_000, Burst: 80_000}})
	_, _, _ = m.Take(now, "org", 1, 0)
	now += 5 * time.Second
	taken, o, _ := m.Take(now, "org", 40_000, 0)
	assert.Equal(t, o, Granted)
	m.SetLimits(now, map[string]Limit{"org": {PerSecond: 100, Burst: 1000}})
	m.Return(now, "org", taken)
	assert.Assert(t, m.Balance(now, "org") <= 1000, m.Balance(now, "org"))
}

// Guards against small requests that are refused because a larger one was, though what they
// lack may be had.
func TestDenialHoldsForWhatIsLacking(t *testing.T) {
	now := 100 * time.Second
	l := Limit{PerSecond: 1000, Burst: 10_000}
	m := NewMachine("g0")
	m.SetLimits(now, map[string]Limit{"org": l})
	m.SetListed([]string{"g0", "g1", "g2", "g3"}, now, now)
	a := m.byName["org"]
	a.insert(lot{tokens: 900, expires: now + time.Second})
	a.denied[0] = denial{need: 500, before: now + time.Second, expires: now + maxDenied}
	_, o, _ := m.Take(now, "org", 1000, 0)
	assert.Equal(t, o, Short)
	_, o, _ = m.Take(now, "org", 1500, 0)
	assert.Equal(t, o, Denied)
}
