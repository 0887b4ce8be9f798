package test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	enginestandin "jayford.example/jayford/internal/standin/engine"
)

// Both decode engines send tokens late, twice, not at all, or mixed with tokens of
// another attempt. Unnoticed, a caller would get another caller's words, a repeated
// word or an answer with a gap. Every whole answer must be correct token for token;
// a fault that can't be repaired costs another attempt.
func TestTokenFaults(t *testing.T) {
	t.Parallel()
	c := newCluster(t, topology{entries: 2, prefill: 1, decode: 2})
	for _, kind := range []string{enginestandin.FaultLate, enginestandin.FaultDuplicate, enginestandin.FaultCross, enginestandin.FaultDrop} {
		h := &history{}
		const n = 24
		wg := c.load(h, n, 20*time.Millisecond, func(i int) request {
			return request{prompt: fmt.Sprintf("%s %d", kind, i), maxTokens: 20, stream: i%2 == 0, headers: map[string]string{headerDeadline: faultDeadline.String()}}
		})
		// A request has three attempts; two rounds of faults leave it one.
		const each, rounds = 4, 2
		for range rounds {
			time.Sleep(200 * time.Millisecond)
			for _, d := range c.decode {
				d.control(enginestandin.Control{TokenFault: kind, TokenFaults: each})
			}
		}
		wg.Wait()
		report(t, "%d tokens %s: %s; %s", rounds*each*len(c.decode), kind, h.describe(), h.latencies())
		c.checkHistory(h)
		c.checkDeadlines(h)
		assert.Check(t, h.tally() == tally{whole: n}, "%s: %s", kind, h.describe())
	}
	c.waitFree(freeBound)
}
