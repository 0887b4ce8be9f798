package feed

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a burst of calls to an unavailable platform from all processes when
// their feeds become stale together.
func TestOutageCausesNoBurstOfCalls(t *testing.T) {
	const (
		lasts = 9 * time.Second
		// mostCalls in a second is one and a half for each process.
		mostCalls = 18
		seeds     = 500
	)
	list := fleet(1, 6, 6)
	for seed := range uint64(seeds) {
		var all []*harness
		for i, id := range list {
			b := started(id.ID, list)
			b.m.rng = rand.New(rand.NewPCG(seed, uint64(i)))
			all = append(all, b)
		}
		begin := all[0].now
		ticks := int(lasts / tickInterval)
		calls := make([]int, ticks)
		for at := range ticks {
			for _, b := range all {
				b.advance(tickInterval, func() { b.event(EventInfo{HasConfig: true, Age: b.now.Sub(begin)}) })
				calls[at] += len(b.calls)
				b.answer(Failed)
			}
		}
		const second = int(time.Second / tickInterval)
		for at := range calls[second:] {
			sum := 0
			for _, n := range calls[at : at+second] {
				sum += n
			}
			assert.Assert(t, sum <= mostCalls, "seed %d: %d calls within the second from %d ms", seed, sum, at*int(tickInterval.Milliseconds()))
		}
	}
}
