package gateway

import (
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"jayford.example/jayford/internal/catalog"
	"jayford.example/jayford/internal/verdict"
)

// takenUp is a request of a caller who takes up the stream that an attempt began.
func takenUp(first string) *Request {
	r := generation("/stream/x")
	r.CallerTimeout = callerRetry().CallerTimeout
	r.ID, r.Generation.LastEventID, r.Generation.FirstAttemptID = first+"-again", "2", first
	return r
}

// Guards against streams whose engines have room and that wait behind one whose engines have none
// until their callers give up.
func TestResumedStreamsDontWaitForOtherVersions(t *testing.T) {
	f := &fakeBackend{}
	f.send = func(_ catalog.Server, x Call) (*Answer, *verdict.Error) { return twoEvents(x, false), nil }
	g := newGateway(t, f)
	g.SetServers(serversOf("v1", "v2", "v3"))
	open := map[string]bool{}
	f.reserve = func(s catalog.Server, _ int) (string, *verdict.Error) {
		if !open[s.ID] {
			return "", full()
		}
		return "hold", nil
	}
	for n, engine := range []string{"d1", "d2"} {
		clear(open)
		open[engine] = true
		r := generation("/stream/x")
		r.ID = fmt.Sprint("s", n+1)
		reply, err := g.Serve(t.Context(), r)
		assert.Assert(t, err == nil, "%v", err)
		reply.discard()
	}
	waits := make(chan *verdict.Error, 1)
	go func() {
		_, err := g.Serve(t.Context(), takenUp("s1"))
		waits <- err
	}()
	time.Sleep(100 * time.Millisecond)
	began := time.Now()
	reply, err := g.Serve(t.Context(), takenUp("s2"))
	assert.Assert(t, err == nil, "%v", err)
	reply.discard()
	assert.Assert(t, time.Since(began) < lateWait/3, "took %s", time.Since(began))
	err = <-waits
	assert.Assert(t, err != nil && err.Verdict == verdict.NotRun && err.RetryAfter > 0, "%v", err)
}

// Guards against new requests that take the room for which a broken stream waits, though they could
// have it at another version.
func TestNewRequestsLeaveEnginesToWaitingStreams(t *testing.T) {
	f := &fakeBackend{}
	f.send = func(_ catalog.Server, x Call) (*Answer, *verdict.Error) { return twoEvents(x, false), nil }
	g := newGateway(t, f)
	g.SetServers(serversOf("v1", "v2", "v2"))
	var only atomic.Value
	only.Store("d1")
	f.reserve = func(s catalog.Server, _ int) (string, *verdict.Error) {
		if s.ID != only.Load() {
			return "", full()
		}
		return "hold", nil
	}
	r := generation("/stream/x")
	r.ID = "s1"
	reply, err := g.Serve(t.Context(), r)
	assert.Assert(t, err == nil, "%v", err)
	reply.discard()
	only.Store("")
	waits := make(chan *verdict.Error, 1)
	go func() {
		_, err := g.Serve(t.Context(), takenUp("s1"))
		waits <- err
	}()
	time.Sleep(100 * time.Millisecond)
	tried := func() []string {
		j, err := g.plan(generation("/stream/y"))
		assert.Assert(t, err == nil, "%v", err)
		var ids []string
		for _, x := range g.leastLoaded(j) {
			ids = append(ids, x.ID)
		}
		slices.Sort(ids)
		return ids
	}
	assert.DeepEqual(t, tried(), []string{"d2", "d3"})
	err = <-waits
	assert.Assert(t, err != nil && err.Verdict == verdict.NotRun, "%v", err)
	assert.DeepEqual(t, tried(), []string{"d1", "d2", "d3"})
}

// Guards against streams that ask full engines without end, all at once, after a crash has broken
// many.
func TestResumedStreamsAskFullEnginesRarely(t *testing.T) {
	const streams = 100
	f := &fakeBackend{}
	var asked atomic.Int64
	f.reserve = func(catalog.Server, int) (string, *verdict.Error) {
		asked.Add(1)
		time.Sleep(2 * time.Millisecond)
		return "", full()
	}
	g := newGateway(t, f)
	g.SetServers(serversOf("v1", "v1", "v1"))
	var all sync.WaitGroup
	for n := range streams {
		all.Go(func() {
			r := takenUp("")
			r.ID = fmt.Sprint("s", n)
			_, err := g.Serve(t.Context(), r)
			assert.Check(t, err != nil && err.Verdict == verdict.NotRun, "%v", err)
		})
	}
	all.Wait()
	// The streams find out together that an engine is full, and one asks it again after each backoff.
	rounds := int64(lateWait/fullBackoff) + 1
	t.Logf("%d calls", asked.Load())
	assert.Assert(t, asked.Load() < 3*(streams+4*rounds), "%d calls", asked.Load())
}

// Guards against a stream that is refused though its objective can still be met.
func TestResumedStreamWaitsAsLongAsItsObjectiveAllows(t *testing.T) {
	const objective, freeAfter = 4 * time.Second, 1800 * time.Millisecond
	f := &fakeBackend{}
	f.send = func(_ catalog.Server, x Call) (*Answer, *verdict.Error) { return twoEvents(x, false), nil }
	began := time.Now()
	f.reserve = func(catalog.Server, int) (string, *verdict.Error) {
		if time.Since(began) < freeAfter {
			return "", full()
		}
		return "hold", nil
	}
	g := newGateway(t, f)
	c := testConfig()
	c.Version++
	for i := range c.Routes {
		c.Routes[i].LatencyObjective = objective
	}
	assert.Assert(t, g.SetConfig(c))
	r := generation("/stream/x")
	r.Generation.LastEventID, r.CallerTimeout = "2", 0
	reply, err := g.Serve(t.Context(), r)
	assert.Assert(t, err == nil, "%v", err)
	reply.discard()
}

// Guards against a guess where a route leads to several services: each has one version, but not
// the same, and it isn't known which service began the stream.
func TestUnknownStreamOfASplitRouteKeepsItsVersion(t *testing.T) {
	const otherService = "other-model"
	for software, goesOn := range map[string]bool{"v1": true, "v2": false, "no server": true} {
		t.Run(software, func(t *testing.T) {
			f := &fakeBackend{}
			f.send = func(_ catalog.Server, x Call) (*Answer, *verdict.Error) { return twoEvents(x, false), nil }
			g := newGateway(t, f)
			c := testConfig()
			c.Version++
			other := c.Services[modelService]
			other.Name = otherService
			c.Services[otherService] = other
			second := catalog.Target{Service: otherService, Weight: 1}
			if software == "no server" {
				second.Weight = 0
			}
			for i := range c.Routes {
				c.Routes[i].Targets = append(c.Routes[i].Targets, second)
			}
			g.SetConfig(c)
			list := serversOf("v1", "v1", "v1")
			if software != "no server" {
				list = append(list, catalog.Server{ID: "o1", Service: otherService, Address: "10.0.0.4:1", Stage: catalog.Decode, Software: software})
			}
			g.SetServers(list)
			for n := range 10 {
				r := generation("/stream/x")
				r.ID, r.Generation.LastEventID = fmt.Sprint("a", n), "2"
				reply, err := g.Serve(t.Context(), r)
				assert.Equal(t, err == nil, goesOn, "%v", err)
				if err == nil {
					reply.discard()
				}
			}
		})
	}
}
