package retry

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"jayford.example/jayford/internal/verdict"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func random() *rand.Rand { return rand.New(rand.NewPCG(1, 2)) }

func TestBudgetHoldsRetriesToTheRatio(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ratio := rapid.Float64Range(0.01, 0.5).Draw(t, "ratio")
		b := NewBudget(Options{Ratio: ratio, MinPerSecond: 1, Burst: 5})
		now, firsts, retries := start, 0, 0
		for range rapid.IntRange(1, 500).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 100).Draw(t, "ms")) * time.Millisecond)
			b.Advance(now)
			b.First("org")
			b.First("pool")
			firsts++
			for b.Allow("org", "pool") {
				retries++
			}
		}
		bound := 5 + ratio*float64(firsts) + now.Sub(start).Seconds() + 1e-6
		assert.Assert(t, float64(retries) <= bound, "%d > %f", retries, bound)
		now = now.Add(10 * time.Second)
		b.Advance(now)
		assert.Assert(t, b.Allow("org", "pool"))
	})
}

func TestBudgetOfTheTargetCountsForAll(t *testing.T) {
	b := NewBudget(Options{Burst: 2})
	b.Advance(start)
	assert.Assert(t, b.Allow("a", "pool") && b.Allow("b", "pool"))
	assert.Assert(t, !b.Allow("c", "pool"))
	assert.Assert(t, b.Allow("c", "other"), "an organisation that hasn't retried was refused")
	assert.Assert(t, b.Allow("d", "other"))
	assert.Assert(t, !b.Allow("e", "other"))
	for i := range 2 * maxKeys {
		b.First(fmt.Sprint(i))
	}
	assert.Assert(t, b.Len() <= maxKeys)
	assert.Assert(t, !b.Allow("f", "pool"), "the sweep forgave an empty bucket")
}

// A caller's booking is made twice, or is called "not run" though it ran. Tries
// of a request fail in any order, some of them after the request may have run.
// Only proof that none ran permits another, and the last verdict covers all.
func TestNonIdempotentIsRetriedOnlyIfNoTryRan(t *testing.T) {
	codes := []verdict.Code{verdict.Overloaded, verdict.Leaving, verdict.ServerLost, verdict.Invalid, verdict.Internal, verdict.Transfer}
	rapid.Check(t, func(t *rapid.T) {
		b := NewBudget(Options{Burst: 100})
		try := Try{Idempotent: rapid.Bool().Draw(t, "idempotent"), Now: start, Deadline: start.Add(time.Minute)}
		rnd := random()
		for {
			err := verdict.New(verdict.Verdict(rapid.IntRange(0, 2).Draw(t, "verdict")), rapid.SampledFrom(codes).Draw(t, "code"), "x")
			if Refused(err) {
				try.Refusals++
			} else {
				try.Attempts++
			}
			d := Decide(err, try, b, rnd)
			try.MayHaveRun = try.MayHaveRun || err.Verdict != verdict.NotRun
			if !d.Retry {
				assert.Equal(t, d.Final.Verdict == verdict.NotRun, !try.MayHaveRun)
				return
			}
			assert.Assert(t, try.Idempotent || !try.MayHaveRun)
			assert.Assert(t, d.After <= maxWait && try.Attempts < MaxAttempts && try.Refusals < MaxRefusals)
		}
	})
}

func TestDecide(t *testing.T) {
	lost := verdict.New(verdict.MayHaveRun, verdict.ServerLost, "x")
	full := verdict.New(verdict.NotRun, verdict.Overloaded, "x")
	crashed := verdict.New(verdict.MayHaveRun, verdict.ServerLost, "x")
	crashed.Crashed = true
	alone := verdict.New(verdict.MayHaveRun, verdict.ServerLost, "x")
	alone.CrashedAlone = true
	b := NewBudget(Options{Burst: 1})
	b.Advance(start)
	try := Try{Idempotent: true, Now: start, Attempts: 1}
	d := Decide(crashed, try, b, random())
	assert.Assert(t, d.Retry && d.Exclude)
	assert.Assert(t, Decide(alone, try, NewBudget(Options{}), random()).Retry, "one crash alone is no proof")
	assert.Assert(t, !Decide(lost, try, b, random()).Retry, "the budget is spent")
	try.Attempts, try.Refusals = 0, 1
	d = Decide(full, try, b, random())
	assert.Assert(t, d.Retry && d.After == 0, "a refusal costs no budget")
	try.Refusals, try.Deadline = 6, start
	d = Decide(full, try, b, random())
	assert.Equal(t, d.Final.Code, verdict.Deadline)
	assert.Equal(t, d.Final.Verdict, verdict.NotRun)
	try = Try{Now: start, Refusals: 1, MayHaveRun: true}
	d = Decide(full, try, b, random())
	assert.Assert(t, !d.Retry, "an earlier try may have run")
	assert.Equal(t, d.Final.Verdict, verdict.MayHaveRun)
}

// Several processes share a slack of 40 repeats in any ten seconds, half of it
// saved up and half earned by time. However each spends its share, no window may
// see more than the slack and the part of its first tries.
func TestSlackHoldsInAnyWindow(t *testing.T) {
	const (
		slack, processes, ratio = 40.0, 4, 0.1
		window                  = 10 * time.Second
	)
	start := time.Unix(0, 0)
	var repeats []time.Time
	for range processes {
		b := NewBudget(Options{Ratio: ratio, Burst: 1, MinPerSecond: 1e-6})
		share := slack / processes / 2
		b.SetSlack(share, share/window.Seconds())
		for at := time.Duration(0); at < 60*time.Second; at += 50 * time.Millisecond {
			now := start.Add(at)
			b.Advance(now)
			if at%time.Second == 0 {
				b.First("s")
			}
			if b.Allow("s", "s") {
				repeats = append(repeats, now)
			}
		}
	}
	slices.SortFunc(repeats, time.Time.Compare)
	most := 0
	for i, first := range repeats {
		n := 0
		for _, r := range repeats[i:] {
			if r.Sub(first) < window {
				n++
			}
		}
		most = max(most, n)
	}
	firsts := processes * int(window/time.Second)
	assert.Assert(t, float64(most) <= slack+ratio*float64(firsts), "%d repeats", most)
	assert.Assert(t, len(repeats) > 2*int(slack), "the slack isn't earned again: %d", len(repeats))
}

// Hundreds of processes share a slack of 82 repeats, a fifth of one each. A server
// that all of them use fails when they have been quiet, and at once each has some
// requests to repeat. All together must stay within the slack and the part of the
// first tries; and they must not be left without any repeat.
func TestSlackHoldsOverHundredsOfProcesses(t *testing.T) {
	const (
		slack, processes, ratio = 82.0, 370, 0.2
		window                  = 10 * time.Second
		requests                = 3
	)
	rnd := rand.New(rand.NewPCG(1, 1))
	sum, firsts := 0, 0
	for range processes {
		b := NewBudget(Options{Ratio: ratio, Burst: 1, MinPerSecond: 1e-6, Draw: rnd.Float64, Window: window})
		share := slack / processes / 2
		b.SetSlack(share, share/window.Seconds())
		b.Advance(time.Unix(0, 0))
		b.First("s")
		b.Advance(time.Unix(600, 0))
		for range requests {
			b.First("s")
			firsts++
			if b.Allow("s", "s") {
				sum++
			}
		}
	}
	most := slack + ratio*float64(firsts)
	assert.Assert(t, float64(sum) <= most, "%d repeats, %.0f allowed", sum, most)
	assert.Assert(t, float64(sum) > most/2, "%d repeats of %.0f", sum, most)
}
