package test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	enginestandin "jayford.example/jayford/internal/standin/engine"
)

// Transfers stall for longer than an unused prefill result is kept. The prefill
// engine must keep a result that is being pulled, so that each request continues
// when the link does. If the agent released the result at its expiry, each such
// transfer would fail and its prefill have to be repeated.
func TestSlowTransferIsKept(t *testing.T) {
	t.Parallel()
	c := newCluster(t, topology{entries: 1, prefill: 1, decode: 1, engine: enginestandin.Options{KVTTL: 400 * time.Millisecond}})
	c.prefill[0].control(enginestandin.Control{StallLinkMs: 2000})
	h := &history{}
	const n = 8
	c.load(h, n, 20*time.Millisecond, func(i int) request {
		return request{prompt: fmt.Sprint("slow transfer ", i), maxTokens: 5, headers: map[string]string{headerIdempotent: "false"}}
	}).Wait()
	report(t, "transfers held for 2 s: %s; %s", h.describe(), h.latencies())
	c.checkHistory(h)
	c.checkRunsAtMostOnce(h)
	assert.Equal(t, h.tally(), tally{whole: n}, "%s", h.describe())
	c.waitFree(freeBound)
}
