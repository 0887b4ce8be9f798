package test

import (
	"context"
	"fmt"
	"net/http"
	"regexp"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"jayford.example/jayford/internal/ctl"
)

// instanceID matches the instance id that each of the system's processes sends in
// its first message on a connection.
var instanceID = regexp.MustCompile(`(entry|prefill|decode|service)-[0-9]+`)

// identify records the source of a connection, and makes the connection silent if
// that source is cut off.
func (l *link) identify(c *linkConn, b []byte) {
	l.mu.Lock()
	isCut := l.isCut
	l.mu.Unlock()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.source == "" {
		c.source = string(instanceID.Find(b))
	}
	if isCut != nil && c.source != "" && isCut(c.source) {
		c.silentToA, c.silentToB = true, true
	}
}

// cutSources makes the connections of the matching sources silent, new ones too, until
// rejoin; after that new ones work. It returns the number of existing connections
// that it cut.
func (l *link) cutSources(isCut func(source string) bool) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.isCut = isCut
	n := 0
	for c := range l.conns {
		c.mu.Lock()
		if c.source != "" && isCut(c.source) {
			c.silentToA, c.silentToB = true, true
			n++
		}
		c.mu.Unlock()
	}
	return n
}

func (l *link) rejoin() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.isCut = nil
}

// cutRegions cuts the far region off from the other one and from the platform. It
// returns how many connections between the regions there were.
func (c *cluster) cutRegions() int {
	far := make(map[string]bool)
	for _, n := range c.nodes() {
		far[n.id] = c.isFar(n.zone)
	}
	across := 0
	for _, n := range c.nodes() {
		across += n.agentLink.cutSources(func(source string) bool { return far[source] != far[n.id] })
	}
	c.farPlatform.cut()
	return across
}

func (c *cluster) rejoinRegions() {
	for _, n := range c.nodes() {
		n.agentLink.rejoin()
	}
	c.farPlatform.heal()
}

// regionTraffic sends completions and calls to the entries of one region until done
// is closed. Every third is non-idempotent.
func (c *cluster) regionTraffic(tag string, entries []*node, done <-chan struct{}, wg *sync.WaitGroup) (completions, calls *history) {
	completions, calls = &history{}, &history{}
	wg.Go(func() {
		for i := 0; ; i++ {
			select {
			case <-done:
				return
			case <-time.After(70 * time.Millisecond):
			}
			headers := map[string]string{headerDeadline: faultDeadline.String()}
			method := http.MethodGet
			if i%3 == 0 {
				headers[headerIdempotent] = "false"
				method = http.MethodPost
			}
			e := entries[i%len(entries)]
			wg.Go(func() {
				completions.add(complete(context.Background(), request{entry: e, prompt: fmt.Sprint(tag, " ", i), maxTokens: 15, stream: true, headers: headers}))
			})
			wg.Go(func() {
				calls.add(exchange(context.Background(), request{entry: e, headers: headers, timeout: 20 * time.Second}, method, fmt.Sprintf("/cut/%s/%d", tag, i), nil))
			})
		}
	})
	return completions, calls
}

// Two regions are partitioned, and the far one is also cut off from the platform.
// Each must serve by itself: idempotent requests are answered whole in bounded time,
// nothing runs twice, no "not run" is false, and keyed calls in the far region are
// refused as not run. A change that an operator makes meanwhile must be in force in
// the near region within the bound, and in the far one within the bound after the
// partition heals, without a thundering herd of calls to the platform or the other
// region.
func TestRegionsCutFromEachOther(t *testing.T) {
	t.Parallel()
	c := newCluster(t, topology{entries: 6, prefill: 3, decode: 3, services: 3, links: true, far: func(zone string) bool { return zone != "a-zone" }})
	regions := map[string][]*node{}
	for _, e := range c.entries {
		regions[c.region(e.zone)] = append(regions[c.region(e.zone)], e)
	}
	s := c.watchStatus()
	done := make(chan struct{})
	meter := c.watchMeter(done)
	var wg sync.WaitGroup
	completions, calls := make(map[string]*history), make(map[string]*history)
	for region, entries := range regions {
		completions[region], calls[region] = c.regionTraffic(region, entries, done, &wg)
	}
	time.Sleep(2 * time.Second)
	across := c.cutRegions()
	assert.Check(t, across > 0, "there were no connections between the regions")
	cut := time.Now()
	time.Sleep(time.Second)
	_, code := c.jayfordctl("label", contendedServer, labelSerial+"=apart")
	assert.Check(t, code == ctl.ExitOK, "exit code %d", code)
	near := c.waitSerialIn("apart", func(n *node) bool { return !c.isFar(n.zone) })
	keyed := &history{}
	for _, e := range regions["far-region"] {
		wg.Go(func() { c.book(keyed, e, "/book/"+e.id, e.id) })
	}
	time.Sleep(max(0, 6*time.Second-time.Since(cut)))
	for _, n := range c.nodes() {
		if c.isFar(n.zone) {
			assert.Check(t, n.serial() == "", "%s has a change that can't have reached it", n.id)
		}
	}
	c.rejoinRegions()
	back := time.Now()
	far := c.waitSerialIn("apart", func(n *node) bool { return c.isFar(n.zone) })
	time.Sleep(max(0, 4*time.Second-time.Since(back)))
	end := time.Now()
	close(done)
	wg.Wait()
	s.end()
	s.checkMonotonic(t, nil)
	samples := meter()
	during, after := peak(samples, cut, back), peak(samples, back, end)
	report(t, "regions apart for %s, %d connections cut: change in force in the near one after %s, in the far one %s after the return; keys in the far one: %s; calls to the platform in the busiest second, feed and others: %d and %d while apart, %d and %d after",
		back.Sub(cut).Round(time.Millisecond), across, near.Round(10*time.Millisecond), far.Round(10*time.Millisecond), keyed.outcomes(), during.feed, during.others, after.feed, after.others)
	for region := range regions {
		c.checkRegion(region, completions[region], calls[region], back)
	}
	for _, a := range keyed.all() {
		assert.Check(t, a.verdict == "not-run" && a.retryAfter != "" && a.took <= keyRefusalBound, "%d %s %s after %s", a.status, a.code, a.verdict, a.took)
	}
	assert.Check(t, after.feed <= 2*uint64(len(c.nodes())), "too many calls to the platform after the partition")
	c.waitFree(lostBound)
}

// checkRegion checks the answers to the callers of one region.
func (c *cluster) checkRegion(region string, completions, calls *history, back time.Time) {
	c.t.Helper()
	idempotent := func(a *answer) bool { return a.request.headers[headerIdempotent] == "" }
	returned := func(a *answer) bool { return a.sent.After(back) }
	for what, h := range map[string]*history{"completions": completions, "calls": calls} {
		report(c.t, "%s, %s: idempotent %s, %s; others %s; %.3f attempts, %.3f after the return", region, what, h.filter(idempotent).outcomes(),
			h.filter(idempotent).latencies(), h.filter(func(a *answer) bool { return !idempotent(a) }).outcomes(), h.attempts(), h.filter(returned).attempts())
		for _, a := range h.filter(idempotent).all() {
			assert.Check(c.t, a.whole && a.took <= oneWayAnswerBound, "request %s: %d %s %s %v after %s", a.requestID, a.status, a.code, a.verdict, a.err, a.took)
		}
		assert.Check(c.t, h.filter(returned).attempts() <= 1.2, "too many attempts after the partition")
		c.checkDeadlines(h)
	}
	c.checkHistory(completions)
	c.checkRunsAtMostOnce(completions)
	c.checkCalls(calls)
}

// serial returns the contended label that a process has in force.
func (n *node) serial() string {
	var dump configDump
	if getJSON(n.operator, "/debug/state", &dump) != nil {
		return ""
	}
	return dump.serials().label
}

// waitSerialIn waits until the chosen processes have the serial in force.
func (c *cluster) waitSerialIn(serial string, chosen func(n *node) bool) time.Duration {
	c.t.Helper()
	begin := time.Now()
	for _, n := range c.nodes() {
		if !chosen(n) {
			continue
		}
		eventually(c.t, inForceBound, n.id+" has the change", func() error {
			if got := n.serial(); got != serial {
				return errorf("serial %q", got)
			}
			return nil
		})
	}
	return time.Since(begin)
}
