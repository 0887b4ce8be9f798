package test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// orphanBound is how soon a restarted agent has freed its engine of the work that
// its predecessor began.
const orphanBound = 1500 * time.Millisecond

// The agent beside a decode engine is killed under load and restarts at once. The
// engine continues the dead agent's attempts, though their requests have been moved
// to other servers. The new agent must cancel all of these before it admits any
// work, and then serve again.
func TestAgentRestartFreesOrphans(t *testing.T) {
	t.Parallel()
	c := newCluster(t, topology{entries: 2, prefill: 2, decode: 2})
	d := c.decode[0]
	for round := range 3 {
		h := &history{}
		const n = 40
		wg := c.load(h, n, 50*time.Millisecond, func(i int) request {
			// Some run for longer than the bound, so that the engine isn't freed
			// just because they end.
			tokens := 25
			if i%4 == 0 {
				tokens = 120
			}
			return request{prompt: fmt.Sprintf("restart %d %d", round, i), maxTokens: tokens, stream: i%2 == 0, headers: map[string]string{headerDeadline: faultDeadline.String()}}
		})
		time.Sleep(700 * time.Millisecond)
		orphans := make(map[string]bool)
		d.kill()
		for _, held := range d.record().Held {
			orphans[held.Attempt.Request] = true
		}
		assert.Assert(t, len(orphans) > 0, "nothing ran on the engine")
		begin := time.Now()
		d.start()
		eventually(t, orphanBound, "orphans are gone", func() error {
			for _, held := range d.record().Held {
				if orphans[held.Attempt.Request] && held.Since.Before(begin) {
					return errorf("%s is held", held.Attempt.Request)
				}
			}
			return nil
		})
		free := time.Since(begin)
		eventually(t, freeBound, "the agent serves", d.backendUp)
		up := time.Since(begin)
		eventually(t, lostBound, "new work on the engine", func() error {
			for _, held := range d.record().Held {
				if held.Since.After(begin) {
					return nil
				}
			}
			// The load may have ended: send one more request.
			got := complete(context.Background(), request{entry: c.entries[0], prompt: fmt.Sprintf("again %d %s", round, time.Now()), maxTokens: 10})
			for _, e := range d.record().Entries {
				if got.whole && e.Kind == "start" && e.At.After(begin) {
					return nil
				}
			}
			return errorf("none")
		})
		work := time.Since(begin)
		wg.Wait()
		report(t, "agent restarted beside %d orphans: engine free of them after %s, agent up after %s, new work after %s; %s; %s",
			len(orphans), free.Round(time.Millisecond), up.Round(time.Millisecond), work.Round(time.Millisecond), h.describe(), h.latencies())
		c.checkHistory(h)
		c.checkDeadlines(h)
		assert.Equal(t, h.tally(), tally{whole: n}, "%s", h.describe())
	}
	c.waitFree(freeBound)
}
