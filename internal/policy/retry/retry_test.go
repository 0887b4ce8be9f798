package retry

import (
	"fmt"
	"math/rand/v2"
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
			b.RecordFirst("org")
			b.RecordFirst("pool")
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
	assert.Assert(t, b.Allow("c", "other"), "an organisation without retries was refused")
	assert.Assert(t, b.Allow("d", "other"))
	assert.Assert(t, !b.Allow("e", "other"))
	for i := range 2 * maxKeys {
		b.RecordFirst(fmt.Sprint(i))
	}
	assert.Assert(t, b.Len() <= maxKeys)
	assert.Assert(t, !b.Allow("f", "pool"), "the sweep evicted an empty bucket")
}

// Guards against a non-idempotent request that runs twice, or is reported as not run
// though it ran. Attempts fail in any order, some of them after the request may have
// run. Only if none ran another is permitted, and the final verdict covers all attempts.
func TestNonIdempotentIsRetriedOnlyIfNoAttemptRan(t *testing.T) {
	codes := []verdict.Code{verdict.Overloaded, verdict.Leaving, verdict.ServerLost, verdict.Invalid, verdict.Internal, verdict.Transfer}
	rapid.Check(t, func(t *rapid.T) {
		b := NewBudget(Options{Burst: 100})
		try := Attempt{Idempotent: rapid.Bool().Draw(t, "idempotent"), Now: start, Deadline: start.Add(time.Minute)}
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
			assert.Assert(t, d.Delay <= maxBackoff && try.Attempts < MaxAttempts && try.Refusals < MaxRefusals)
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
	try := Attempt{Idempotent: true, Now: start, Attempts: 1}
	d := Decide(crashed, try, b, random())
	assert.Assert(t, d.Retry && d.Exclude)
	assert.Assert(t, Decide(alone, try, NewBudget(Options{}), random()).Retry, "a single crash is no proof against the request")
	assert.Assert(t, !Decide(lost, try, b, random()).Retry, "the budget is spent")
	try.Attempts, try.Refusals = 0, 1
	d = Decide(full, try, b, random())
	assert.Assert(t, d.Retry && d.Delay == 0, "a refusal costs no budget")
	try.Refusals, try.Deadline = 6, start
	d = Decide(full, try, b, random())
	assert.Equal(t, d.Final.Code, verdict.Deadline)
	assert.Equal(t, d.Final.Verdict, verdict.NotRun)
	try = Attempt{Now: start, Refusals: 1, MayHaveRun: true}
	d = Decide(full, try, b, random())
	assert.Assert(t, !d.Retry, "an earlier attempt may have run")
	assert.Equal(t, d.Final.Verdict, verdict.MayHaveRun)
}
