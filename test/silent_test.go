package test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	enginestandin "jayford.example/jayford/internal/standin/engine"
)

// All open connections of one hop go silent for good while new ones work, as
// when something between the two ends forgets them. No side sees a close.
// Streams must go on over new connections, or their requests be answered by
// another try; nobody may wait until a deadline.
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
			c := newCluster(t, shape{entries: 1, prefill: 2, decode: 2, links: true, engine: enginestandin.Options{TokenTime: 30 * time.Millisecond}})
			h := &history{}
			wg := c.load(h, 60, 50*time.Millisecond, func(i int) ask {
				return ask{prompt: prompt(fmt.Sprint("silent ", i), 200), maxTokens: 30, stream: i%2 == 0}
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
			c.waitFree(freeBound)
		})
	}
}
