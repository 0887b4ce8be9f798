package test

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// An entry gets SIGTERM under load, as in a rolling restart. Callers whose requests
// it has accepted must get whole answers: readiness fails first, the balancer sends
// new requests elsewhere, and only then the listener closes.
func TestEntryStopCutsNothing(t *testing.T) {
	c := newCluster(t, topology{entries: 2, prefill: 1, decode: 2})
	h := &history{}
	var stopped atomic.Bool
	wg := c.load(h, 100, 40*time.Millisecond, func(i int) request {
		e := c.entries[i%2]
		// The balancer sends no new requests to an entry that isn't ready.
		if stopped.Load() && !isReady(c.entries[0]) {
			e = c.entries[1]
		}
		return request{entry: e, prompt: fmt.Sprint("stop ", i), maxTokens: 5 + i%20, stream: i%3 == 0}
	})
	time.Sleep(time.Second)
	stopped.Store(true)
	begin := time.Now()
	assert.Assert(t, c.entries[0].terminate(20*time.Second), "the entry didn't stop")
	report(t, "entry stopped after %s", time.Since(begin).Round(time.Millisecond))
	wg.Wait()
	c.checkHistory(h)
	assert.Equal(t, h.tally(), tally{whole: 100}, "%s", h.describe())
}

func isReady(n *node) bool {
	client := http.Client{Timeout: 200 * time.Millisecond}
	resp, err := client.Get("http://" + n.listen + "/readyz")
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// The agents of one prefill server, one decode server and one service get SIGTERM
// under load. They must refuse new work at once and finish running work, and no
// request may be truncated or refused: entries route it to the other server.
func TestAgentStopCutsNothing(t *testing.T) {
	c := newCluster(t, topology{entries: 2, prefill: 2, decode: 2, services: 2})
	h := &history{}
	wg := c.load(h, 100, 40*time.Millisecond, func(i int) request {
		return request{prompt: fmt.Sprint("stop ", i), maxTokens: 5 + i%20, stream: i%3 == 0}
	})
	var calls sync.WaitGroup
	for i := range 100 {
		calls.Go(func() {
			time.Sleep(time.Duration(i) * 40 * time.Millisecond)
			h.add(exchange(context.Background(), request{entry: c.entries[i%2]}, http.MethodPost, fmt.Sprint("/book/", i), nil))
		})
	}
	time.Sleep(time.Second)
	var stops sync.WaitGroup
	for _, n := range []*node{c.prefill[0], c.decode[0], c.services[0]} {
		stops.Go(func() { assert.Check(t, n.terminate(20*time.Second), "%s didn't stop", n.id) })
	}
	stops.Wait()
	wg.Wait()
	calls.Wait()
	for _, a := range h.all() {
		if a.request.prompt != "" {
			assert.NilError(t, a.checkAnswer())
		}
	}
	assert.Equal(t, h.tally(), tally{whole: 200}, "%s", h.describe())
}
