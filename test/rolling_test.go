package test

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"jayford.example/jayford/internal/ctl"
	"jayford.example/jayford/internal/object"
	platformstandin "jayford.example/jayford/internal/standin/platform"
)

// stopBound is how long a graceful stop under load may take.
const stopBound = 6 * time.Second

// traffic sends completions and plain calls through the balancer until done
// closes. Every other plain call may run but once.
func (c *cluster) traffic(tag string, every time.Duration, done <-chan struct{}) (completions, calls *history, wg *sync.WaitGroup) {
	completions, calls, wg = &history{}, &history{}, &sync.WaitGroup{}
	wg.Go(func() {
		for i := 0; ; i++ {
			select {
			case <-done:
				return
			case <-time.After(every):
			}
			wg.Go(func() {
				a := ask{entry: c.readyEntry(i), prompt: fmt.Sprint(tag, " ", i), maxTokens: 5 + i%25, stream: i%2 == 0}
				completions.add(complete(context.Background(), a))
			})
			wg.Go(func() {
				method := http.MethodGet
				if i%2 == 0 {
					method = http.MethodPost
				}
				a := ask{entry: c.readyEntry(i), timeout: 20 * time.Second}
				calls.add(exchange(context.Background(), a, method, fmt.Sprintf("/%s/%d", tag, i), nil))
			})
		}
	})
	return completions, calls, wg
}

// checkPostsOnce checks by the services' accounts that no call that may run but
// once ran twice.
func (c *cluster) checkPostsOnce(tag string) {
	c.t.Helper()
	runs := make(map[string]int)
	for _, s := range c.services {
		for _, call := range s.callsSince(tag, time.Time{}) {
			if call.Method == http.MethodPost {
				runs[call.URI]++
			}
		}
	}
	for uri, n := range runs {
		assert.Check(c.t, n == 1, "%s ran %d times", uri, n)
	}
	assert.Check(c.t, len(runs) > 0, "no such call ran")
}

// roll stops the nodes one after the other by SIGTERM and starts each again.
func (c *cluster) roll(s *sampler, nodes []*node) (slowest time.Duration) {
	for _, n := range nodes {
		begin := time.Now()
		if !assert.Check(c.t, n.terminate(stopBound), "%s didn't stop", n.id) {
			return slowest
		}
		slowest = max(slowest, time.Since(begin))
		s.start(n)
		eventually(c.t, inForceWithin, n.id+" is back", func() error {
			if n.role == "entry" && !isReady(n) {
				return errorf("not ready")
			}
			if err := n.isConfigured(); err != nil {
				return err
			}
			return n.backendUp()
		})
	}
	return slowest
}

// Everything is replaced in turn, as by a platform that rolls out a new build:
// one entry and beside it one agent get SIGTERM and start again, then the next,
// under load, while an operator goes on changing labels. The backend servers
// stay. No caller may be cut or refused, no call that may run but once may run
// twice, and no process may show an older configuration than it or its
// predecessor had.
func TestRollingRestartCutsNothing(t *testing.T) {
	t.Parallel()
	c := newCluster(t, shape{entries: 3, prefill: 2, decode: 3, services: 2})
	s := c.watchStatus()
	o := &operators{c: c, actions: make(map[ctl.Action]int)}
	done := make(chan struct{})
	completions, calls, wg := c.traffic("rolling", 40*time.Millisecond, done)
	dir := t.TempDir()
	wg.Go(func() {
		for i := 0; ; i++ {
			select {
			case <-done:
				return
			case <-time.After(200 * time.Millisecond):
				o.change(dir, 0, i)
			}
		}
	})
	time.Sleep(500 * time.Millisecond)
	var rolls sync.WaitGroup
	var entries, agents time.Duration
	begin := time.Now()
	rolls.Go(func() { entries = c.roll(s, c.entries) })
	rolls.Go(func() { agents = c.roll(s, c.agents()) })
	rolls.Wait()
	took := time.Since(begin)
	time.Sleep(500 * time.Millisecond)
	close(done)
	wg.Wait()
	var writes []platformstandin.Accepted
	assert.NilError(t, getJSON(c.platformAddress, "/record", &writes))
	c.waitSame(writes)
	s.end()
	s.checkRising(t, writes)
	versions := 0
	for _, w := range writes {
		if object.IsConfiguration(w.Kind) && w.Time.After(s.begun) {
			versions++
		}
	}
	report(t, "%d processes replaced in %s, slowest stop of an entry %s, of an agent %s, %d versions meanwhile: completions %s, %.3f attempts; calls %s, %.3f attempts; %s",
		len(c.nodes()), took.Round(time.Millisecond), entries.Round(time.Millisecond), agents.Round(time.Millisecond), versions,
		completions.describe(), completions.attempts(), calls.kinds(), calls.attempts(), completions.times())
	c.checkHistory(completions)
	c.checkPostsOnce("rolling")
	assert.Check(t, versions >= 20, "the configuration hardly changed: %v", o.actions)
	assert.Equal(t, completions.tally(), tally{whole: len(completions.all())}, "%s", completions.describe())
	assert.Equal(t, calls.tally(), tally{whole: len(calls.all())}, "%s", calls.describe())
	c.waitFree(freeBound)
}
