package test

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	// oneWayDuration exceeds the lifetime of grants and the heartbeat timeout.
	oneWayDuration = 4 * time.Second
	// reuseBound is how soon a server is used after the cut; by then its probes
	// are up to 10 s apart.
	reuseBound = 12 * time.Second
	// oneWayAnswerBound bounds the answer of an idempotent request that is hit by a cut.
	oneWayAnswerBound = 6 * time.Second
)

// oneWayCuts are cuts of one direction: the receiver gets nothing, while its own
// messages still arrive.
var oneWayCuts = []struct {
	name     string
	engines  bool
	toServer bool
}{
	{"entry to agent", false, true},
	{"agent to entry", false, false},
	{"agent to engine", true, true},
	{"engine to agent", true, false},
}

// One direction between entries and a third of the agents, or between these agents
// and their backend servers, drops all bytes for a while, on new connections too.
// Requests in that direction never arrive; if answers are lost instead, the request
// has run all the same. Idempotent requests must be answered whole in bounded time,
// others run at most once, no request that ran may be refused as "not run", and all
// memory must become free.
func TestOneWayCuts(t *testing.T) {
	for _, cut := range oneWayCuts {
		t.Run(cut.name, func(t *testing.T) {
			t.Parallel()
			runOneWayCut(t, cut.engines, cut.toServer)
		})
	}
}

func runOneWayCut(t *testing.T, engines, toServer bool) {
	c := newCluster(t, topology{entries: 2, prefill: 2, decode: 3, services: 3, links: true})
	completions, calls := &history{}, &history{}
	done := make(chan struct{})
	var wg sync.WaitGroup
	wg.Go(func() {
		for i := 0; ; i++ {
			select {
			case <-done:
				return
			case <-time.After(60 * time.Millisecond):
			}
			headers := map[string]string{headerDeadline: faultDeadline.String()}
			method := http.MethodGet
			if i%3 == 0 {
				headers[headerIdempotent] = "false"
				method = http.MethodPost
			}
			wg.Go(func() {
				a := request{entry: c.entries[i%2], prompt: prompt(fmt.Sprint("one way ", i), i*37%400), maxTokens: 5 + i%25, stream: i%2 == 0, headers: headers}
				completions.add(complete(context.Background(), a))
			})
			wg.Go(func() {
				a := request{entry: c.entries[i%2], headers: headers, timeout: 20 * time.Second}
				calls.add(exchange(context.Background(), a, method, fmt.Sprint("/cut/", i), nil))
			})
		}
	})
	time.Sleep(time.Second)
	var links []*link
	for _, n := range []*node{c.prefill[0], c.decode[0], c.services[0]} {
		l := n.agentLink
		if engines {
			l = n.backendLink
		}
		l.cutOneWay(toServer, !toServer)
		links = append(links, l)
	}
	time.Sleep(oneWayDuration)
	for _, l := range links {
		l.heal()
	}
	healed := time.Now()
	used := make(map[string]time.Duration)
	for _, n := range []*node{c.decode[0], c.services[0]} {
		eventually(t, reuseBound, n.id+" is used again", func() error {
			if !c.usedSince(n, healed) {
				return errorf("no work began on it")
			}
			return nil
		})
		used[n.id] = time.Since(healed).Round(time.Millisecond)
	}
	time.Sleep(max(0, 3*time.Second-time.Since(healed)))
	close(done)
	wg.Wait()
	free := c.waitFree(lostBound)
	report(t, "used again after the cut: %v", used)
	idempotent := func(a *answer) bool { return a.request.headers[headerIdempotent] == "" }
	nonIdempotent := func(a *answer) bool { return !idempotent(a) }
	for what, h := range map[string]*history{"completions": completions, "calls": calls} {
		report(t, "%s: idempotent %s, %s; others %s; %.3f attempts; free %s after the last", what,
			h.filter(idempotent).outcomes(), h.filter(idempotent).latencies(), h.filter(nonIdempotent).outcomes(), h.attempts(), free.Round(time.Millisecond))
		for _, a := range h.filter(idempotent).all() {
			assert.Check(t, a.whole, "request %s: %d %s %s %v", a.requestID, a.status, a.code, a.verdict, a.err)
			assert.Check(t, a.took <= oneWayAnswerBound, "request %s took %s", a.requestID, a.took)
		}
		c.checkDeadlines(h)
	}
	c.checkHistory(completions)
	c.checkRunsAtMostOnce(completions)
	c.checkCalls(calls)
}

// checkCalls checks by the services' records that each non-idempotent call ran at
// most once, and that no call refused as "not run" has run.
func (c *cluster) checkCalls(h *history) {
	c.t.Helper()
	_, byRequest := c.runs()
	for _, a := range h.all() {
		n := byRequest[a.requestID]
		if a.request.headers[headerIdempotent] != "" {
			assert.Check(c.t, n <= 1, "request %s is not idempotent and ran %d times", a.requestID, n)
		}
		assert.Check(c.t, a.verdict != "not-run" || n == 0, "request %s was refused as not run (%s), but ran", a.requestID, a.code)
		assert.Check(c.t, a.whole || a.status == 0 || a.verdict != "", "status %d without a verdict: %s", a.status, a.text)
	}
}

// usedSince reports whether the backend server beside n began work after at.
func (c *cluster) usedSince(n *node, at time.Time) bool {
	if n.role == "agent" && len(c.services) > 0 && n == c.services[0] {
		return len(n.callsSince("cut", at)) > 0
	}
	for _, e := range n.record().Entries {
		if e.Kind == "start" && e.At.After(at) {
			return true
		}
	}
	return false
}
