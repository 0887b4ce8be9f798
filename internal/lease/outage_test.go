package lease

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// The platform doesn't answer for an hour: writes never take effect and reads
// fail. No candidate may hold the lease once its term has passed, the call rate
// must stay bounded, and within a term of the platform's return one candidate
// must hold the lease with a higher fencing token than before.
func TestAnHourWithoutThePlatform(t *testing.T) {
	w := newWorld(Candidates)
	w.run(time.Minute)
	before := w.stored.Version
	begin := w.now
	w.calls = 0
	for w.now.Sub(begin) < time.Hour {
		for i := range w.machines {
			w.tick(i)
			w.lose(i, true)
		}
		w.now = w.now.Add(term / ticksPerTerm)
		if w.now.Sub(begin) > term {
			assert.Equal(t, w.holders(), 0)
		}
	}
	perSecond := float64(w.calls) / time.Hour.Seconds()
	t.Logf("figure: %.2f calls a second for one lease in an outage", perSecond)
	assert.Assert(t, perSecond <= Candidates*retriesPerTerm/term.Seconds())
	w.ghosts = nil
	w.run(term + time.Second)
	assert.Equal(t, w.holders(), 1)
	assert.Assert(t, w.stored.Version > before)
}

func (w *world) holders() int {
	n := 0
	for _, m := range w.machines {
		if _, holds := m.FencingToken(w.now); holds {
			n++
		}
	}
	return n
}
