package test

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"jayford.example/jayford/internal/operator"
	platformstandin "jayford.example/jayford/internal/standin/platform"
)

const (
	// ttftTarget and tokenTarget are the latency targets of goodput.
	ttftTarget  = 1700 * time.Millisecond
	tokenTarget = 62 * time.Millisecond
	// goodputWindow is the window over which goodput is counted.
	goodputWindow = time.Second
	// goodputFraction is the fraction of the earlier goodput that counts as recovered.
	goodputFraction = 0.95
	// recoveryBound bounds the recovery of goodput after processes and platform
	// are back.
	recoveryBound = 6 * time.Second
	// refusalBound bounds the latency of a refusal that needs no server.
	refusalBound = 500 * time.Millisecond
)

// meetsTargets reports whether a streamed answer meets both targets of goodput.
func (o *answer) meetsTargets() bool {
	if !o.whole || o.ttft > ttftTarget {
		return false
	}
	n := max(1, o.request.maxTokens-1)
	return (o.took-o.ttft)/time.Duration(n) <= tokenTarget
}

// goodput returns the fraction of the requests sent within one window from at that
// met the targets; false if none was sent.
func (h *history) goodput(at time.Time) (float64, bool) {
	sent, good := 0, 0
	for _, a := range h.all() {
		if d := a.sent.Sub(at); d < 0 || d >= goodputWindow {
			continue
		}
		sent++
		if a.meetsTargets() {
			good++
		}
	}
	return float64(good) / float64(max(1, sent)), sent > 0
}

// recovered returns how long after at goodput had permanently returned to its
// fraction of the value before the fault; false if it never did.
func (h *history) recovered(before float64, at, end time.Time) (time.Duration, bool) {
	const step = 50 * time.Millisecond
	back, ok := time.Duration(0), false
	for t := at; t.Add(goodputWindow).Before(end); t = t.Add(step) {
		g, sent := h.goodput(t)
		switch {
		case sent && g < goodputFraction*before:
			ok = false
		case !ok:
			back, ok = t.Sub(at), true
		}
	}
	return back, ok
}

// readyEntry acts as the load balancer: it returns the next ready entry in
// round-robin order.
func (c *cluster) readyEntry(i int) *node {
	for k := range c.entries {
		if e := c.entries[(i+k)%len(c.entries)]; isReady(e) {
			return e
		}
	}
	return c.entries[i%len(c.entries)]
}

// streamLoad sends streamed completions through readyEntry until done is closed.
func (c *cluster) streamLoad(tag string, every time.Duration, done <-chan struct{}) (*history, *sync.WaitGroup) {
	h, wg := &history{}, &sync.WaitGroup{}
	wg.Go(func() {
		for i := 0; ; i++ {
			select {
			case <-done:
				return
			case <-time.After(every):
			}
			wg.Go(func() {
				a := request{entry: c.readyEntry(i), prompt: fmt.Sprint(tag, " ", i), maxTokens: 15, stream: true}
				h.add(complete(context.Background(), a))
			})
		}
	})
	return h, wg
}

// heldRequests returns the requests that currently hold engine memory.
func (c *cluster) heldRequests() map[string]bool {
	out := make(map[string]bool)
	for _, n := range c.engines() {
		for _, x := range n.record().Held {
			out[x.Attempt.Request] = true
		}
	}
	return out
}

// waitReleased waits until no engine holds memory for the given requests.
func (c *cluster) waitReleased(lost map[string]bool) time.Duration {
	c.t.Helper()
	begin := time.Now()
	eventually(c.t, freeBound, "free of what the dead entries ran", func() error {
		for request := range c.heldRequests() {
			if lost[request] {
				return errorf("%s is held", request)
			}
		}
		return nil
	})
	return time.Since(begin)
}

// checkUnready checks an entry without a configuration: it is not ready, its status
// says so, and requests sent to it are refused at once as not run, with Retry-After.
func (c *cluster) checkUnready(e *node) {
	c.t.Helper()
	eventually(c.t, 5*time.Second, e.id+" answers", func() error {
		resp, err := http.Get("http://" + e.listen + "/livez")
		if err == nil {
			resp.Body.Close()
		}
		return err
	})
	var st operator.Status
	assert.NilError(c.t, getJSON(e.operator, operator.PathStatus, &st))
	assert.Check(c.t, !st.Ready && !isReady(e), "%s is ready without a configuration: %+v", e.id, st)
	for _, a := range []answer{
		complete(context.Background(), request{entry: e, prompt: "too early", maxTokens: 3}),
		exchange(context.Background(), request{entry: e}, http.MethodPost, "/early/1", nil),
	} {
		assert.Check(c.t, a.status == http.StatusServiceUnavailable && a.verdict == "not-run" && a.retryAfter != "",
			"status %d, verdict %q, Retry-After %q: %s", a.status, a.verdict, a.retryAfter, a.text)
		assert.Check(c.t, a.took < refusalBound, "the refusal took %s", a.took)
	}
}

// All entries are killed under load and restart at once. Their callers lose their
// connections; the agents must free what the dead entries ran, and goodput must
// recover. If the platform is down as well, the new entries can only ask each other:
// they must report that they are not ready, and serve soon after the platform is
// back.
func TestAllEntriesRestartAtOnce(t *testing.T) {
	for _, outage := range []string{"", platformstandin.OutageRefuse, platformstandin.OutageHang} {
		t.Run("platform "+outage, func(t *testing.T) {
			t.Parallel()
			runEntriesRestart(t, outage)
		})
	}
}

func runEntriesRestart(t *testing.T, outage string) {
	c := newCluster(t, topology{entries: 3, prefill: 2, decode: 3, services: 1})
	s := c.watchStatus()
	done := make(chan struct{})
	h, wg := c.streamLoad("restart", 40*time.Millisecond, done)
	time.Sleep(2 * time.Second)
	c.platformControl(platformstandin.Control{Outage: outage})
	// Answers that take longer than the bound, so that the engines aren't freed just
	// because they end.
	long := &history{}
	longs := c.load(long, 6, 10*time.Millisecond, func(i int) request {
		return request{prompt: fmt.Sprint("long ", i), maxTokens: 400, stream: i%2 == 0}
	})
	time.Sleep(700 * time.Millisecond)
	for _, e := range c.entries {
		e.kill()
	}
	back := time.Now()
	lost := c.heldRequests()
	for _, e := range c.entries {
		s.start(e)
	}
	free := c.waitReleased(lost)
	calls := uint64(0)
	if outage != "" {
		for _, e := range c.entries {
			c.checkUnready(e)
		}
		for _, n := range c.agents() {
			assert.NilError(t, n.isConfigured(), n.id)
		}
		time.Sleep(time.Until(back.Add(3 * time.Second)))
		calls = c.platformCalls()
		back = time.Now()
		c.platformControl(platformstandin.Control{})
	}
	time.Sleep(recoveryBound)
	calls = c.platformCalls() - calls
	end := time.Now()
	close(done)
	wg.Wait()
	longs.Wait()
	s.end()
	s.checkMonotonic(t, nil)
	for id, list := range s.samples {
		for _, x := range list {
			assert.Check(t, !x.ready || x.revision > 0, "%s was ready without a configuration", id)
		}
	}
	before, _ := h.goodput(s.begun.Add(500 * time.Millisecond))
	took, ok := h.recovered(before, back, end)
	report(t, "platform %q, all 3 entries killed with %d requests on engines: free after %s; goodput %.0f%% before, back after %s; %d platform calls in %s; %s",
		outage, len(lost), free.Round(time.Millisecond), 100*before, took.Round(time.Millisecond), calls, recoveryBound, h.describe())
	c.checkHistory(h)
	c.checkHistory(long)
	assert.Check(t, len(lost) >= 6, "too few requests ran when the entries were killed")
	assert.Check(t, before > 0.9)
	assert.Check(t, ok, "goodput isn't back within %s", recoveryBound)
	c.waitFree(freeBound)
}

// platformCalls returns the number of calls that the platform has counted.
func (c *cluster) platformCalls() uint64 {
	c.t.Helper()
	var m platformstandin.Meter
	assert.NilError(c.t, getJSON(c.platformAddress, "/meter", &m))
	return m.Get + m.List + m.Watch + m.Put + m.Delete + m.Instances + m.Fetch
}
