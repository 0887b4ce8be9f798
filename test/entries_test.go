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
	// ttftTarget and tokenTarget are those of goodput.
	ttftTarget  = 1700 * time.Millisecond
	tokenTarget = 62 * time.Millisecond
	// goodputWindow is the time over which goodput is counted.
	goodputWindow = time.Second
	// goodputPart of what it was before is as good as before.
	goodputPart = 0.95
	// recoveredWithin is how soon goodput is back once processes and platform are.
	recoveredWithin = 6 * time.Second
	// saidAtOnce bounds a refusal that needs no server.
	saidAtOnce = 500 * time.Millisecond
)

// isGood reports whether a streamed answer meets both targets of goodput.
func (o *answer) isGood() bool {
	if !o.whole || o.first > ttftTarget {
		return false
	}
	n := max(1, o.ask.maxTokens-1)
	return (o.took-o.first)/time.Duration(n) <= tokenTarget
}

// goodput returns the part of the requests sent from at on, within one window,
// that met the targets; false if none was sent.
func (h *history) goodput(at time.Time) (float64, bool) {
	sent, good := 0, 0
	for _, a := range h.all() {
		if d := a.sent.Sub(at); d < 0 || d >= goodputWindow {
			continue
		}
		sent++
		if a.isGood() {
			good++
		}
	}
	return float64(good) / float64(max(1, sent)), sent > 0
}

// recovered returns how long after at goodput was back for good to its part of
// what it was before the fault. It is false if that never was.
func (h *history) recovered(before float64, at, end time.Time) (time.Duration, bool) {
	const step = 50 * time.Millisecond
	back, ok := time.Duration(0), false
	for t := at; t.Add(goodputWindow).Before(end); t = t.Add(step) {
		g, sent := h.goodput(t)
		switch {
		case sent && g < goodputPart*before:
			ok = false
		case !ok:
			back, ok = t.Sub(at), true
		}
	}
	return back, ok
}

// readyEntry is the balancer: it returns the next entry in turn that is ready.
func (c *cluster) readyEntry(i int) *node {
	for k := range c.entries {
		if e := c.entries[(i+k)%len(c.entries)]; isReady(e) {
			return e
		}
	}
	return c.entries[i%len(c.entries)]
}

// streams sends streamed completions through the balancer until done closes.
func (c *cluster) streams(tag string, every time.Duration, done <-chan struct{}) (*history, *sync.WaitGroup) {
	h, wg := &history{}, &sync.WaitGroup{}
	wg.Go(func() {
		for i := 0; ; i++ {
			select {
			case <-done:
				return
			case <-time.After(every):
			}
			wg.Go(func() {
				a := ask{entry: c.readyEntry(i), prompt: fmt.Sprint(tag, " ", i), maxTokens: 15, stream: true}
				h.add(complete(context.Background(), a))
			})
		}
	})
	return h, wg
}

// held returns the requests that hold engine memory now.
func (c *cluster) held() map[string]bool {
	out := make(map[string]bool)
	for _, n := range c.engines() {
		for _, x := range n.record().Held {
			out[x.Attempt.Request] = true
		}
	}
	return out
}

// waitFreeOf waits until engines hold nothing of the given requests.
func (c *cluster) waitFreeOf(lost map[string]bool) time.Duration {
	c.t.Helper()
	begin := time.Now()
	eventually(c.t, freeBound, "free of what the dead entries ran", func() error {
		for request := range c.held() {
			if lost[request] {
				return errorf("%s is held", request)
			}
		}
		return nil
	})
	return time.Since(begin)
}

// checkUnready checks what an entry without a configuration says: it isn't
// ready, its status says so, and who asks it nevertheless is refused at once as
// not run, with a time to come back.
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
		complete(context.Background(), ask{entry: e, prompt: "too early", maxTokens: 3}),
		exchange(context.Background(), ask{entry: e}, http.MethodPost, "/early/1", nil),
	} {
		assert.Check(c.t, a.status == http.StatusServiceUnavailable && a.verdict == "not-run" && a.retry != "",
			"status %d, verdict %q, Retry-After %q: %s", a.status, a.verdict, a.retry, a.text)
		assert.Check(c.t, a.took < saidAtOnce, "the refusal took %s", a.took)
	}
}

// All entries are killed at once under load, and start again at once. Callers
// on them lose their connection; the agents must free what the dead entries ran,
// and from some moment on all requests must be served as before. If the platform
// is down as well, the newcomers have only newcomers to ask: they must say that
// they aren't ready, and serve soon after the platform is back.
func TestAllEntriesRestartAtOnce(t *testing.T) {
	for _, outage := range []string{"", platformstandin.OutageRefuse, platformstandin.OutageHang} {
		t.Run("platform "+outage, func(t *testing.T) {
			t.Parallel()
			runEntriesRestart(t, outage)
		})
	}
}

func runEntriesRestart(t *testing.T, outage string) {
	c := newCluster(t, shape{entries: 3, prefill: 2, decode: 3, services: 1})
	s := c.watchStatus()
	done := make(chan struct{})
	h, wg := c.streams("restart", 40*time.Millisecond, done)
	time.Sleep(2 * time.Second)
	c.platformControl(platformstandin.Control{Outage: outage})
	// Answers that last longer than the bound, so that they don't just end.
	long := &history{}
	longs := c.load(long, 6, 10*time.Millisecond, func(i int) ask {
		return ask{prompt: fmt.Sprint("long ", i), maxTokens: 400, stream: i%2 == 0}
	})
	time.Sleep(700 * time.Millisecond)
	for _, e := range c.entries {
		e.kill()
	}
	back := time.Now()
	lost := c.held()
	for _, e := range c.entries {
		s.start(e)
	}
	free := c.waitFreeOf(lost)
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
	time.Sleep(recoveredWithin)
	calls = c.platformCalls() - calls
	end := time.Now()
	close(done)
	wg.Wait()
	longs.Wait()
	s.end()
	s.checkRising(t, nil)
	for id, list := range s.samples {
		for _, x := range list {
			assert.Check(t, !x.ready || x.revision > 0, "%s was ready without a configuration", id)
		}
	}
	before, _ := h.goodput(s.begun.Add(500 * time.Millisecond))
	took, ok := h.recovered(before, back, end)
	report(t, "platform %q, all 3 entries killed with %d requests on engines: free after %s; goodput %.0f%% before, back after %s; %d platform calls in %s; %s",
		outage, len(lost), free.Round(time.Millisecond), 100*before, took.Round(time.Millisecond), calls, recoveredWithin, h.describe())
	c.checkHistory(h)
	c.checkHistory(long)
	assert.Check(t, len(lost) >= 6, "little ran when the entries were killed")
	assert.Check(t, before > 0.9)
	assert.Check(t, ok, "goodput isn't back within %s", recoveredWithin)
	c.waitFree(freeBound)
}

// platformCalls returns how many calls the platform has metered.
func (c *cluster) platformCalls() uint64 {
	c.t.Helper()
	var m platformstandin.Meter
	assert.NilError(c.t, getJSON(c.platformAddress, "/meter", &m))
	return m.Get + m.List + m.Watch + m.Put + m.Delete + m.Instances + m.Fetch
}
