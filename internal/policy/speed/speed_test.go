package speed

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const engine1 = 7

var start = time.Unix(1_000, 0)

// Guards against estimates that follow spells of slowness: 22 gateways measure an engine 15 times
// a minute each, and for 15% of the time, in spells of 600 ms, it is 2.5 times slower.
func TestSpellsDontChangeTheEstimate(t *testing.T) {
	for seed := range uint64(20) {
		rnd := rand.New(rand.NewPCG(seed, 1))
		own, peers := NewTable(), make([]*Table, 21)
		for i := range peers {
			peers[i] = NewTable()
		}
		slowUntil, now, slow := start, start, 0
		for ms := range 60_000 {
			now = start.Add(time.Duration(ms) * time.Millisecond)
			if now.After(slowUntil) && rnd.Float64() < 0.15/0.85/600 {
				slowUntil = now.Add(600 * time.Millisecond)
			}
			pace := 20 * time.Microsecond
			if now.Before(slowUntil) {
				pace = 50 * time.Microsecond
				slow++
			}
			for i := range 22 {
				switch {
				case rnd.Float64() >= 0.25/1000:
				case i == 21:
					own.Record(now, engine1, Prefill, pace)
				default:
					peers[i].Record(now, engine1, Prefill, pace)
				}
			}
		}
		for i, p := range peers {
			assert.Equal(t, own.Receive(now, string(rune('a'+i)), p.Reports(now, 10)), 0)
		}
		got, known := own.Pace(now, engine1, Prefill)
		assert.Assert(t, known)
		bound := 21 * time.Microsecond
		if slow > 12_000 {
			// Half of the error of a mean.
			bound = 20*time.Microsecond + 15*time.Microsecond*time.Duration(slow)/60_000
		}
		assert.Assert(t, got > 19*time.Microsecond && got < bound, "seed %d, slow for %d ms: %v", seed, slow, got)
	}
}

// Guards against one slow sample that keeps prompts away from an engine.
func TestFewSamplesAreNotUsed(t *testing.T) {
	x := NewTable()
	for i := range 4 {
		x.Record(start, engine1, Prefill, 50*time.Microsecond)
		_, known := x.Pace(start.Add(time.Duration(i)*2*time.Second), engine1, Prefill)
		assert.Assert(t, !known)
	}
}

// Guards against an estimate that outlives its engine's start, or the reports behind it.
func TestEstimatesFade(t *testing.T) {
	x := NewTable()
	report := []Report{{Engine: engine1, Values: [kinds]Value{{20 * time.Microsecond, 10}, {time.Millisecond, 10}}}}
	assert.Equal(t, x.Receive(start, "a", report), 0)
	_, known := x.Pace(start, engine1, Output)
	assert.Assert(t, known)
	_, known = x.Pace(start, engine1+1, Prefill)
	assert.Assert(t, !known, "the engine's next start has another key")
	_, known = x.Pace(start.Add(40*time.Second), engine1, Prefill)
	assert.Assert(t, !known)
	x.Expire(start.Add(59 * time.Second))
	assert.Equal(t, len(x.engines), 1)
	x.Expire(start.Add(time.Minute))
	assert.Equal(t, len(x.engines), 0)
}

// Guards against peers that shift an estimate with impossible values.
func TestImpossibleReportsAreDropped(t *testing.T) {
	x := NewTable()
	for _, v := range []Value{{20 * time.Microsecond, 16}, {1, 10}, {time.Second, 10}, {20 * time.Microsecond, -1}} {
		assert.Equal(t, x.Receive(start, "a", []Report{{Engine: engine1, Values: [kinds]Value{v}}}), 1, "%v", v)
	}
	x.Record(start, engine1, Prefill, 0)
	assert.Equal(t, len(x.engines), 0)
}

// Guards against engines that are never reported as others are always first.
func TestEnginesTakeTurns(t *testing.T) {
	x := NewTable()
	for key := range uint64(10) {
		x.Record(start, key, Prefill, 20*time.Microsecond)
	}
	seen := map[uint64]int{}
	for range 10 {
		for _, r := range x.Reports(start, 3) {
			seen[r.Engine]++
		}
	}
	for key := range uint64(10) {
		assert.Equal(t, seen[key], 3, "engine %d", key)
	}
	assert.Equal(t, len(x.Reports(start, -1)), 0)
}

// Guards against a comparison of engines that counts unknown ones.
func TestFleet(t *testing.T) {
	var f Fleet
	assert.Equal(t, f.Mean(), time.Duration(0))
	assert.Equal(t, f.Spread(), 1.0)
	f.Add(30)
	f.Add(10)
	assert.Equal(t, f.Mean(), time.Duration(20))
	assert.Equal(t, f.Spread(), 3.0)
}
