package test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"path"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"jayford.example/jayford/internal/settings"
	enginestandin "jayford.example/jayford/internal/standin/engine"
	servicestandin "jayford.example/jayford/internal/standin/service"
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

// keptConnection returns a client with one idle connection to an entry.
func keptConnection(t *testing.T, n *node) *http.Client {
	t.Helper()
	client := &http.Client{Transport: &http.Transport{MaxConnsPerHost: 1}}
	t.Cleanup(client.CloseIdleConnections)
	resp, err := client.Get("http://" + n.listen + "/livez")
	assert.NilError(t, err)
	_, err = io.Copy(io.Discard, resp.Body)
	assert.NilError(t, err)
	assert.NilError(t, resp.Body.Close())
	return client
}

// Guards against a stopping entry that takes requests so late that they can't end before its
// process does, and cuts them off without an answer: callers go on to use the connections that they
// have, and some of their requests may not be repeated.
func TestEntryStopAnswersLateRequests(t *testing.T) {
	const (
		within = 6 * time.Second
		pause  = 50 * time.Millisecond
		late   = time.Second // how late the end of the process may be noticed
	)
	c := newCluster(t, topology{
		entries: 2, prefill: 1, decode: 2, services: 2,
		engine:  enginestandin.Options{TokenTime: 80 * time.Millisecond},
		service: servicestandin.Options{Delay: 2 * time.Second},
		entry:   func(e *settings.Entry) { e.StopWithin = settings.Duration(within) },
	})
	stopping := c.entries[0]
	var clients []*http.Client
	for range 2 * within / pause {
		clients = append(clients, keptConnection(t, stopping))
	}
	completions, calls := &history{}, &history{}
	var wg sync.WaitGroup
	var ended atomic.Bool
	// These take longer than the stop.
	for _, stream := range []bool{true, false} {
		wg.Go(func() {
			a := complete(context.Background(), request{entry: stopping, prompt: fmt.Sprint("long ", stream), maxTokens: 200, stream: stream})
			assert.Check(t, a.verdict == "may-have-run" && a.code == "server-lost", "%d %s %s: %v", a.status, a.verdict, a.code, a.err)
			completions.add(a)
		})
	}
	time.Sleep(time.Second)
	began := time.Now()
	wg.Go(func() {
		assert.Check(t, stopping.terminate(2*within), "the entry didn't stop")
		ended.Store(true)
	})
	for i := 0; !ended.Load() && i < len(clients); i++ {
		a := request{entry: stopping, client: clients[i], prompt: fmt.Sprint("late ", i), maxTokens: 30, stream: i%4 < 2, headers: map[string]string{headerIdempotent: strconv.FormatBool(i%8 < 4)}}
		wg.Go(func() {
			if i%2 == 0 {
				completions.add(complete(context.Background(), a))
				return
			}
			if i%4 == 1 {
				a.headers[headerDeadline] = "2.5s"
			}
			calls.add(exchange(context.Background(), a, http.MethodPost, fmt.Sprint("/late/", i), nil))
		})
		time.Sleep(pause)
	}
	wg.Wait()
	took := time.Since(began)
	report(t, "entry stopped after %s; completions: %v, calls: %v", took.Round(time.Millisecond), completions.tally(), calls.tally())
	assert.Check(t, took <= within+late, "%s", took)
	c.checkHistory(completions)
	passedOn := c.passedOn(completions)
	unanswered := 0
	for _, a := range append(completions.all(), calls.all()...) {
		sent := a.sent.Sub(began)
		// A connection that closes as a request arrives there may be reset. Its caller can't tell, but
		// nothing ran.
		crossed := errors.Is(a.err, syscall.ECONNRESET) && sent > within-pause && !passedOn[a.request.prompt]
		if errors.Is(a.err, syscall.ECONNREFUSED) || crossed {
			continue
		}
		if a.err != nil || a.status == http.StatusOK && !a.whole && a.code == "" {
			unanswered++
			t.Errorf("sent after %s: no answer after %s: %v", sent, a.took, a.err)
		}
		// What can't end is refused at once.
		if !a.whole && a.verdict == "not-run" && a.code == "leaving" {
			assert.Check(t, a.took < time.Second, "sent after %s: refused after %s", sent, a.took)
		}
	}
	assert.Equal(t, unanswered, 0)
}

// passedOn returns the calls that services got, by the names "late N", and checks that each generation
// that engines began has an answer among the completions.
func (c *cluster) passedOn(completions *history) map[string]bool {
	c.t.Helper()
	out := map[string]bool{}
	for _, n := range c.services {
		for _, call := range n.callsSince("late", time.Time{}) {
			out["late "+path.Base(call.URI)] = true
		}
	}
	answered := map[string]bool{}
	for _, a := range completions.all() {
		answered[a.requestID] = true
	}
	_, began := c.startCounts()
	for id := range began {
		assert.Check(c.t, answered[id], "%s was begun and has no answer", id)
	}
	return out
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
