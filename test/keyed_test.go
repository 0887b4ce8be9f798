package test

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	platformstandin "jayford.example/jayford/internal/standin/platform"
	servicestandin "jayford.example/jayford/internal/standin/service"
	"jayford.example/jayford/internal/verdict"
)

// outcomes counts the answers by status, code and verdict.
func (h *history) outcomes() string {
	outcomes := make(map[string]int)
	for _, a := range h.all() {
		switch {
		case a.whole:
			outcomes["whole"]++
		case a.err != nil:
			outcomes["no answer"]++
		default:
			outcomes[fmt.Sprintf("%d %s %s", a.status, a.code, a.verdict)]++
		}
	}
	return fmt.Sprint(outcomes)
}

// keyOf returns the key of a call from its path, so that the services' records show
// how often each key ran.
func keyOf(uri string) string { return strings.TrimPrefix(uri, "/book/") }

// book sends one non-idempotent call; key is "" for a call without an idempotency
// key.
func (c *cluster) book(h *history, e *node, path, key string) answer {
	headers := map[string]string{"Jayford-Idempotent": "false", "Jayford-Deadline": "8s"}
	if key != "" {
		headers["Idempotency-Key"] = key
	}
	a := exchange(context.Background(), request{entry: e, headers: headers, timeout: 20 * time.Second}, http.MethodPost, path, nil)
	h.add(a)
	return a
}

// runs counts how often the services began a call, by key and by request id.
func (c *cluster) runs() (byKey, byRequest map[string]int) {
	byKey, byRequest = make(map[string]int), make(map[string]int)
	for _, n := range c.services {
		for _, call := range n.calls() {
			byKey[keyOf(call.URI)]++
			byRequest[call.Request]++
		}
	}
	return byKey, byRequest
}

// checkAtMostOnce checks that no key and no request ran twice, and that no request refused
// as not run has run.
func (c *cluster) checkAtMostOnce(h *history) {
	c.t.Helper()
	byKey, byRequest := c.runs()
	for key, n := range byKey {
		assert.Check(c.t, n == 1, "key %s ran %d times", key, n)
	}
	for _, a := range h.all() {
		if a.verdict == "not-run" {
			assert.Check(c.t, byRequest[a.requestID] == 0, "request %s was refused as not run (%s), but ran", a.requestID, a.code)
		}
		if a.whole {
			assert.Check(c.t, byRequest[a.requestID] == 1, "request %s was answered but ran %d times", a.requestID, byRequest[a.requestID])
		}
		assert.Check(c.t, a.status == 0 || a.whole || a.verdict != "", "status %d without a verdict: %s", a.status, a.text)
	}
}

// Each key's call is sent through three entries at once and once more later, while
// entries are killed, the platform is slow, then down, and replies are lost after
// writes took effect. By the services' records no key may run twice. A caller that
// got not-run sends the key again after the faults; it may get may-have-run only if
// another copy did run or its entry died.
func TestKeyedCallsRunAtMostOnce(t *testing.T) {
	t.Parallel()
	c := newCluster(t, topology{entries: 3, services: 3, service: servicestandin.Options{Delay: 20 * time.Millisecond}})
	h := &history{}
	const keys = 90
	var wg sync.WaitGroup
	for i := range keys {
		key := fmt.Sprint("k", i)
		for s := range 4 {
			// The fourth copy is sent later, through the same entry as the first.
			after := time.Duration(i)*100*time.Millisecond + time.Duration(s/3)*1500*time.Millisecond
			wg.Go(func() {
				time.Sleep(after)
				c.book(h, c.entries[(i+s)%3], "/book/"+key, key)
			})
		}
	}
	faults := []platformstandin.Control{
		{LoseReplies: 12},
		{SlowMilliseconds: 300, LoseReplies: 5},
		{Outage: platformstandin.OutageRefuse},
		{LoseReplies: 8},
		{Outage: platformstandin.OutageHang},
		{},
	}
	for i, f := range faults {
		time.Sleep(900 * time.Millisecond)
		c.platformControl(f)
		if i%2 == 0 {
			c.entries[i/2%3].restart()
		}
	}
	wg.Wait()
	report(t, "keyed calls under faults: %s", h.outcomes())
	c.checkAtMostOnce(h)
	c.checkResent(h, keys)
}

// checkResent sends each key again after the faults. A key that no entry holds a
// claim for must run now.
func (c *cluster) checkResent(h *history, keys int) {
	c.t.Helper()
	for _, e := range c.entries {
		c.waitReady(e)
	}
	byKey, _ := c.runs()
	var mu sync.Mutex
	ran, lost := 0, 0
	var wg sync.WaitGroup
	for i := range keys {
		key := fmt.Sprint("k", i)
		wg.Go(func() {
			// A claim that was abandoned in an outage is released within seconds;
			// one of a killed entry is not.
			expectRun := byKey[key] == 0 && !h.wentUnanswered(key)
			a := c.book(h, c.entries[i%3], "/book/"+key, key)
			for end := time.Now().Add(12 * time.Second); expectRun && !a.whole && time.Now().Before(end); {
				time.Sleep(500 * time.Millisecond)
				a = c.book(h, c.entries[i%3], "/book/"+key, key)
			}
			mu.Lock()
			defer mu.Unlock()
			switch {
			case a.whole:
				ran++
			case byKey[key] == 0:
				lost++
				assert.Check(c.t, h.wentUnanswered(key), "key %s never ran, all its sendings were answered, and it is still refused: %s %s", key, a.code, a.verdict)
			default:
				assert.Check(c.t, a.code == string(verdict.Duplicate) && a.verdict == "may-have-run", "key %s: %s %s", key, a.code, a.verdict)
			}
		})
	}
	wg.Wait()
	report(c.t, "sent again after the faults: %d keys ran now, %d had run, %d stay taken by a killed entry", ran, len(byKey), lost)
	c.checkAtMostOnce(h)
}

// wentUnanswered reports whether a call with the key got no answer at all, as when its
// entry was killed.
func (h *history) wentUnanswered(key string) bool {
	for _, a := range h.all() {
		if a.request.headers["Idempotency-Key"] == key && a.err != nil {
			return true
		}
	}
	return false
}

// Non-idempotent calls without a key are sent once each while services crash in the
// middle of them, agents and entries are killed, and connections go silent. No call
// may run twice, and no call refused as not run may have run.
func TestUnkeyedCallsRunAtMostOnce(t *testing.T) {
	t.Parallel()
	c := newCluster(t, topology{entries: 2, services: 3, links: true, service: servicestandin.Options{
		Delay: 40 * time.Millisecond, RestartAfter: 300 * time.Millisecond, CrashMarker: "crash-me",
	}})
	h := &history{}
	const n = 300
	var wg sync.WaitGroup
	for i := range n {
		wg.Go(func() {
			time.Sleep(time.Duration(i) * 30 * time.Millisecond)
			c.book(h, c.entries[i%2], fmt.Sprint("/book/u", i), "")
		})
	}
	steps := []func(){
		func() { c.book(h, c.entries[0], "/book/crash-me-1", "") },
		func() { c.services[1].restart() },
		func() { c.services[2].agentLink.silence() },
		func() { c.services[0].backendLink.silence() },
		func() { c.entries[0].restart() },
		// Not killed: its record of the calls would be lost.
		func() { c.services[1].backend.freeze() },
		func() { c.services[1].backend.thaw() },
		func() { c.services[2].restart() },
		func() { c.services[0].control(servicestandin.Control{SilenceConnections: true}) },
		func() { c.book(h, c.entries[1], "/book/crash-me-2", "") },
	}
	for _, step := range steps {
		time.Sleep(time.Second)
		step()
	}
	wg.Wait()
	report(t, "unkeyed calls under faults: %s", h.outcomes())
	c.checkAtMostOnce(h)
	got := h.tally()
	assert.Assert(t, got.whole > n*8/10, "%s", h.describe())
}
