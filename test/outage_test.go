package test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	platformstandin "jayford.example/jayford/internal/standin/platform"
)

// The platform hangs for several seconds, and an entry is restarted during the
// outage. Requests need no call to the platform, so callers must not be affected;
// the restarted entry gets the configuration from its peer.
func TestServesThroughPlatformOutage(t *testing.T) {
	c := newCluster(t, topology{entries: 2, prefill: 1, decode: 1})
	c.platformControl(platformstandin.Control{Outage: platformstandin.OutageHang})
	h := &history{}
	wg := c.load(h, 60, 50*time.Millisecond, func(i int) request {
		return request{entry: c.entries[0], prompt: fmt.Sprint("outage ", i), maxTokens: 10}
	})
	c.entries[1].restart()
	begin := time.Now()
	c.waitReady(c.entries[1])
	report(t, "an entry restarted in an outage is ready after %s", time.Since(begin).Round(time.Millisecond))
	got := complete(context.Background(), request{entry: c.entries[1], prompt: "from the newcomer", maxTokens: 10})
	assert.Assert(t, got.whole, "%+v", got)
	wg.Wait()
	c.checkHistory(h)
	assert.Equal(t, h.tally(), tally{whole: 60}, "%s", h.describe())
}

// All traffic between the entry and one of two decode agents is dropped for a while,
// with streams in progress. The streams must continue on the other server after the
// tokens that their callers have, new requests avoid the cut server, and it is used
// again after the cut.
func TestCutBetweenEntryAndAgent(t *testing.T) {
	c := newCluster(t, topology{entries: 1, prefill: 1, decode: 2, links: true})
	h := &history{}
	wg := c.load(h, 120, 50*time.Millisecond, func(i int) request {
		return request{prompt: fmt.Sprint("cut ", i), maxTokens: 20, stream: i%2 == 0}
	})
	time.Sleep(time.Second)
	c.decode[0].agentLink.cut()
	time.Sleep(2 * time.Second)
	c.decode[0].agentLink.heal()
	healed := len(c.decode[0].record().Entries)
	wg.Wait()
	report(t, "%s; %s", h.describe(), h.latencies())
	c.checkHistory(h)
	assert.Equal(t, h.tally(), tally{whole: 120}, "%s", h.describe())
	assert.Assert(t, len(c.decode[0].record().Entries) > healed, "the server isn't used after the cut")
	c.waitFree(freeBound)
}
