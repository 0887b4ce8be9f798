package test

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Half of the prefill and decode engines and half of the plain services are killed
// under load and stay down. Requests that ran there are retried elsewhere, and
// others must not repeatedly be sent to the dead servers: the mean of attempts per
// request stays under 1.2, and no answer is truncated.
func TestHalfOfTheServersDie(t *testing.T) {
	t.Parallel()
	c := newCluster(t, topology{entries: 2, prefill: 2, decode: 4, services: 4})
	h := &history{}
	const n = 160
	wg := c.load(h, n, 50*time.Millisecond, func(i int) request {
		return request{prompt: fmt.Sprint("half ", i), maxTokens: 20, stream: i%2 == 0}
	})
	var calls *history
	var plain sync.WaitGroup
	plain.Go(func() { calls = c.sendGets("half", 800, 10*time.Millisecond) })
	time.Sleep(2 * time.Second)
	for _, s := range []*node{c.prefill[0], c.decode[0], c.decode[1], c.services[0], c.services[1]} {
		s.backend.kill()
	}
	wg.Wait()
	plain.Wait()
	report(t, "half of the servers die: completions: %s, %.3f attempts a request; plain calls: %s, %.3f attempts",
		h.outcomes(), h.attempts(), calls.outcomes(), calls.attempts())
	assert.Equal(t, h.tally(), tally{whole: n}, "%s", h.describe())
	assert.Equal(t, calls.tally(), tally{whole: 800}, "%s", calls.describe())
	assert.Check(t, h.attempts() < 1.2)
	assert.Check(t, calls.attempts() < 1.2)
}
