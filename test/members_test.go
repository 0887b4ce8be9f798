package test

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	enginestandin "jayford.example/jayford/internal/standin/engine"
	servicestandin "jayford.example/jayford/internal/standin/service"
)

// sendGets sends n plain idempotent calls at the given interval to the entries in
// round-robin order, each to its own path below the tag, and returns when all have
// ended.
func (c *cluster) sendGets(tag string, n int, every time.Duration) *history {
	h := &history{}
	var wg sync.WaitGroup
	begin := time.Now()
	for i := range n {
		time.Sleep(time.Until(begin.Add(time.Duration(i) * every)))
		wg.Go(func() {
			a := request{entry: c.entries[i%len(c.entries)], timeout: 20 * time.Second}
			h.add(exchange(context.Background(), a, http.MethodGet, fmt.Sprintf("/%s/%d", tag, i), nil))
		})
	}
	wg.Wait()
	return h
}

// p99 returns the 99th percentile of the latency of whole answers.
func (h *history) p99() time.Duration {
	var list []time.Duration
	for _, a := range h.all() {
		if a.whole {
			list = append(list, a.took)
		}
	}
	if len(list) == 0 {
		return 0
	}
	slices.Sort(list)
	return list[(len(list)-1)*99/100]
}

// attempts returns the mean of the header Jayford-Attempts.
func (h *history) attempts() float64 {
	sum, n := 0, 0
	for _, a := range h.all() {
		if k, err := strconv.Atoi(a.attempts); err == nil {
			sum += k
			n++
		}
	}
	return float64(sum) / float64(max(n, 1))
}

// callsOf counts the calls with the tag in the services' records.
func (c *cluster) callsOf(tag string) int {
	n := 0
	for _, s := range c.services {
		n += len(s.callsSince(tag, time.Time{}))
	}
	return n
}

// callsSince returns the calls with the tag that the service began after at.
func (n *node) callsSince(tag string, at time.Time) []servicestandin.Call {
	var out []servicestandin.Call
	for _, call := range n.calls() {
		if strings.HasPrefix(call.URI, "/"+tag+"/") && call.Start.After(at) {
			out = append(out, call)
		}
	}
	return out
}

// The platform's instance list is wrong in both directions: it shows a killed agent
// as live for the whole test, and lacks a live one. Callers must not be affected:
// the killed agent is suspected after its first refused connection, and the unlisted
// one keeps serving, since successful calls show that it is live.
func TestListIsWrongInBothDirections(t *testing.T) {
	t.Parallel()
	c := newCluster(t, topology{entries: 2, services: 4})
	c.sendGets("before", 100, 5*time.Millisecond)
	c.services[0].kill()
	c.services[1].unlisted = true
	c.publishInstances()
	at := time.Now()
	h := c.sendGets("wrong", 600, 10*time.Millisecond)
	lost := len(c.services[1].callsSince("wrong", at.Add(3*time.Second)))
	report(t, "list wrong both ways: %s; %.3f attempts a request; the unlisted server got %d of the last 300 calls", h.outcomes(), h.attempts(), lost)
	assert.Equal(t, h.tally(), tally{whole: 600}, "%s", h.describe())
	// Hedges of calls above the 95th percentile alone may be 8%.
	assert.Check(t, h.attempts() <= 1.1)
	assert.Check(t, lost >= 50, "a live server that the list lacks was dropped")
}

// One of three services freezes with its connections open, then one of the agents:
// connections are not refused, but no answers come. Plain idempotent calls must all
// succeed with little delay and few extra calls, by hedging at first and then
// because the frozen server is suspected.
func TestFrozenAmongThree(t *testing.T) {
	c := newCluster(t, topology{entries: 2, services: 3, service: servicestandin.Options{Delay: 20 * time.Millisecond}})
	const n, every = 600, 8 * time.Millisecond
	c.sendGets("warm", 300, every)
	calm := c.sendGets("calm", n, every)
	check := func(tag string, p *process) {
		p.freeze()
		h := c.sendGets(tag, n, every)
		p.thaw()
		time.Sleep(time.Second)
		calls := c.callsOf(tag)
		report(t, "%s frozen: %s; 99%% took %s, %s undisturbed; %.3f attempts a request, %.3f calls by the services' records",
			tag, h.outcomes(), h.p99().Round(time.Millisecond), calm.p99().Round(time.Millisecond), h.attempts(), float64(calls)/n)
		assert.Equal(t, h.tally(), tally{whole: n}, "%s", h.describe())
		assert.Check(t, h.p99() <= 2*calm.p99())
		assert.Check(t, h.attempts() <= 1.1)
		assert.Check(t, calls <= n*11/10, "%d calls", calls)
	}
	check("service", c.services[0].backend)
	// Wait until the server is no longer suspected and its slow start is over.
	time.Sleep(6 * time.Second)
	check("agent", c.services[1].process)
}

// All agents of one availability zone are cut off for 10 s: all bytes are dropped,
// on new connections too. When the zone returns, all entries could send to it at
// once. Neither the cut nor the return may cause more than some delay, and the
// return must not cause extra attempts.
func TestZoneCutReturnsWithoutStampede(t *testing.T) {
	t.Parallel()
	c := newCluster(t, topology{entries: 3, services: 6, links: true, service: servicestandin.Options{Delay: 10 * time.Millisecond}})
	var zone []*node
	for _, s := range c.services {
		if s.zone == "a-zone" {
			zone = append(zone, s)
		}
	}
	c.sendGets("before", 200, 10*time.Millisecond)
	for _, s := range zone {
		s.agentLink.cut()
	}
	during := c.sendGets("during", 1000, 10*time.Millisecond)
	for _, s := range zone {
		s.agentLink.heal()
	}
	after := c.sendGets("after", 500, 10*time.Millisecond)
	back := c.timeToShare(zone)
	report(t, "zone cut for 10 s: during %.3f attempts a request, 99%% took %s; 5 s after %.3f, 99%% took %s; the zone had its share again %s after its return",
		during.attempts(), during.p99().Round(time.Millisecond), after.attempts(), after.p99().Round(time.Millisecond), (5*time.Second + back).Round(time.Second))
	assert.Equal(t, during.tally(), tally{whole: 1000}, "%s", during.describe())
	assert.Equal(t, after.tally(), tally{whole: 500}, "%s", after.describe())
	assert.Check(t, during.attempts() <= 1.1)
	assert.Check(t, after.attempts() <= 1.1)
}

// timeToShare waits until the nodes, a third of all services, serve a quarter of the
// calls in a second.
func (c *cluster) timeToShare(nodes []*node) time.Duration {
	c.t.Helper()
	begin := time.Now()
	for i := range 10 {
		tag := fmt.Sprint("share", i)
		c.sendGets(tag, 100, 10*time.Millisecond)
		served := 0
		for _, n := range nodes {
			served += len(n.callsSince(tag, time.Time{}))
		}
		if served >= 25 {
			return time.Since(begin)
		}
	}
	c.t.Errorf("the zone isn't used again after %s", time.Since(begin))
	return time.Since(begin)
}

// leavingBound is how long a leaving server may still get new work.
const leavingBound = 3 * time.Second

// Engines leave under load in three ways: an operator drains one, the agent of
// another gets SIGTERM, and a third is only marked as leaving in the platform's
// list. By the engine's own record no decode may begin there after the bound, and no
// answer may be truncated.
func TestLeavingServerGetsNoNewWork(t *testing.T) {
	t.Parallel()
	c := newCluster(t, topology{entries: 2, prefill: 2, decode: 5, engine: enginestandin.Options{TokenTime: 10 * time.Millisecond}})
	h := &history{}
	const n = 300
	wg := c.load(h, n, 30*time.Millisecond, func(i int) request {
		return request{prompt: fmt.Sprint("leaving ", i), maxTokens: 10 + i%10, stream: i%2 == 0}
	})
	ways := []struct {
		name  string
		leave func(n *node)
	}{
		{"drain", func(n *node) {
			_, code := c.jayfordctl("drain", n.id)
			assert.Check(t, code == 0, "jayfordctl drain: exit code %d", code)
		}},
		{"SIGTERM", func(n *node) { assert.Check(t, n.terminate(10*time.Second)) }},
		{"list", func(n *node) { n.leaving = true; c.publishInstances() }},
	}
	left := make([]time.Time, len(ways))
	gone := make([]*node, len(ways))
	for i, way := range ways {
		time.Sleep(time.Second)
		gone[i] = c.busiest(gone)
		left[i] = time.Now()
		way.leave(gone[i])
	}
	wg.Wait()
	for i, way := range ways {
		before, worst := 0, time.Duration(0)
		for _, at := range gone[i].starts() {
			if d := at.Sub(left[i]); d > -time.Second && d < 0 {
				before++
			} else {
				worst = max(worst, d)
			}
		}
		report(t, "leaving by %s: %d decodes began in the second before, the last one %s after", way.name, before, worst.Round(time.Millisecond))
		assert.Check(t, before >= 3, "%s had too little work before it left", gone[i].id)
		assert.Check(t, worst <= leavingBound)
	}
	c.checkHistory(h)
	assert.Equal(t, h.tally(), tally{whole: n}, "%s", h.describe())
	decodes, _ := c.startCounts()
	for _, a := range h.all() {
		assert.Check(t, decodes[a.requestID] == 1, "request %s was decoded %d times, though no server was lost", a.requestID, decodes[a.requestID])
	}
}

// starts returns the times at which the engine began attempts.
func (n *node) starts() []time.Time {
	var out []time.Time
	for _, e := range n.record().Entries {
		if e.Kind == enginestandin.EntryStart {
			out = append(out, e.At)
		}
	}
	return out
}

// busiest returns the decode server with the most attempts in the last second,
// except those given.
func (c *cluster) busiest(except []*node) *node {
	var best *node
	most := -1
	for _, n := range c.decode {
		recent := 0
		for _, at := range n.starts() {
			if time.Since(at) < time.Second {
				recent++
			}
		}
		if !slices.Contains(except, n) && recent > most {
			best, most = n, recent
		}
	}
	return best
}
