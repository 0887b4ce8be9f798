package test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	enginestandin "jayford.example/jayford/internal/standin/engine"
)

// silentBound is how long an answer of about 1.3 s may take if connections go silent
// under it: a stream timeout of a second, a heartbeat that hangs as well, the second
// check, and another attempt; or the 3 s of a transfer, and another attempt.
const silentBound = 5 * time.Second

// All open connections of one hop go silent permanently while new ones work, as when
// a device between the two ends drops its connection state. Neither side sees a
// close. Streams must continue over new connections, or their requests be answered
// by another attempt; no caller may wait until a deadline. The third decode engine
// has spare slots for those that silent streams hold until they are detected.
func TestSilentConnections(t *testing.T) {
	hops := []struct {
		name    string
		silence func(c *cluster)
	}{
		{"entry to agents", func(c *cluster) {
			for _, n := range c.agents() {
				n.agentLink.silence()
			}
		}},
		{"agents to engines", func(c *cluster) {
			for _, n := range c.agents() {
				n.backendLink.silence()
			}
		}},
		{"to the platform", func(c *cluster) { c.platformLink.silence() }},
	}
	for _, hop := range hops {
		t.Run(hop.name, func(t *testing.T) {
			c := newCluster(t, topology{entries: 1, prefill: 2, decode: 3, links: true, engine: enginestandin.Options{TokenTime: 30 * time.Millisecond}})
			h := &history{}
			wg := c.load(h, 60, 50*time.Millisecond, func(i int) request {
				return request{prompt: prompt(fmt.Sprint("silent ", i), 200), maxTokens: 30, stream: i%2 == 0}
			})
			time.Sleep(1500 * time.Millisecond)
			hop.silence(c)
			wg.Wait()
			worst := time.Duration(0)
			for _, a := range h.all() {
				worst = max(worst, a.took)
			}
			report(t, "%s silent: %s; slowest answer %s", hop.name, h.describe(), worst.Round(time.Millisecond))
			c.checkHistory(h)
			assert.Equal(t, h.tally(), tally{whole: 60}, "%s", h.describe())
			assert.Assert(t, worst < silentBound, "slowest answer %s", worst)
			c.waitFree(freeBound)
		})
	}
}

// All connections of the agents to the engines go silent during prefills that take
// seconds. The answer of a prefill comes in one piece, so its absence can't be
// noticed before it is due. The agents must find by querying the engines that the
// prefill has ended, and the entry must repeat it.
func TestSilentPrefill(t *testing.T) {
	c := newCluster(t, topology{entries: 1, prefill: 2, decode: 1, links: true, engine: enginestandin.Options{PrefillPerThousand: 300 * time.Millisecond}})
	h := &history{}
	const n = 4
	wg := c.load(h, n, 10*time.Millisecond, func(i int) request {
		return request{prompt: prompt(fmt.Sprint("silent prefill ", i), 2000), maxTokens: 5}
	})
	time.Sleep(400 * time.Millisecond)
	for _, p := range c.prefill {
		p.backendLink.silence()
	}
	wg.Wait()
	report(t, "silent in prefill: %s; %s", h.describe(), h.latencies())
	c.checkHistory(h)
	assert.Equal(t, h.tally(), tally{whole: n}, "%s", h.describe())
	for _, a := range h.all() {
		assert.Assert(t, a.took < 8*time.Second, "an answer took %s", a.took)
	}
	c.waitFree(freeBound)
}

// An engine pauses for longer than the stream timeout, but is alive. Its streams are
// idle like silent ones, yet no token is missing. No request may be cancelled and
// started again, which would double the work while the engine is slow.
func TestSlowEngineIsNotSilent(t *testing.T) {
	c := newCluster(t, topology{entries: 1, prefill: 1, decode: 1})
	h := &history{}
	const n = 10
	wg := c.load(h, n, 20*time.Millisecond, func(i int) request {
		return request{prompt: fmt.Sprint("slow ", i), maxTokens: 40, stream: i%2 == 0}
	})
	time.Sleep(500 * time.Millisecond)
	c.decode[0].control(enginestandin.Control{StallMs: 1800})
	wg.Wait()
	report(t, "engine paused for 1.8 s: %s; %s", h.describe(), h.latencies())
	c.checkHistory(h)
	assert.Equal(t, h.tally(), tally{whole: n}, "%s", h.describe())
	decodes, _ := c.startCounts()
	for request, count := range decodes {
		assert.Equal(t, count, 1, "request %s was started again", request)
	}
}
