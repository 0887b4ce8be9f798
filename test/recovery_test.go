package test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// A decode engine is killed under load with about a dozen requests on it, and
// restarted a second later; then the next one. The requests are idempotent, so each
// continues on another engine after the tokens that its caller has. No answer may be
// truncated. The reported latencies show whether requests that ran beside a crash
// wait long.
func TestEngineKilledUnderLoad(t *testing.T) {
	t.Parallel()
	c := newCluster(t, topology{entries: 2, prefill: 2, decode: 3})
	h := &history{}
	const n = 200
	wg := c.load(h, n, 50*time.Millisecond, func(i int) request {
		return request{prompt: fmt.Sprint("killed ", i), maxTokens: 30, stream: i%2 == 0}
	})
	for _, d := range c.decode {
		time.Sleep(1500 * time.Millisecond)
		d.backend.kill()
		time.Sleep(time.Second)
		d.backend.start()
	}
	wg.Wait()
	c.checkHistory(h)
	report(t, "3 engines killed: %s; %s", h.describe(), h.latencies())
	assert.Equal(t, h.tally(), tally{whole: n}, "%s", h.describe())
	c.waitFree(freeBound)
}

// latencies describes the latency of whole answers by percentiles.
func (h *history) latencies() string {
	var took []time.Duration
	for _, a := range h.all() {
		if a.whole {
			took = append(took, a.took)
		}
	}
	if len(took) == 0 {
		return "no whole answer"
	}
	slices.Sort(took)
	at := func(part float64) time.Duration {
		return took[int(part*float64(len(took)-1))].Round(time.Millisecond)
	}
	return fmt.Sprintf("answers take %s in the median, %s at 95%%, %s at most", at(0.5), at(0.95), at(1))
}
