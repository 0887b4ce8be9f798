package gateway

import (
	"slices"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"jayford.example/jayford/internal/catalog"
	"jayford.example/jayford/internal/gossip"
	"jayford.example/jayford/internal/policy/memory"
	"jayford.example/jayford/internal/verdict"
)

// rooms are the engines' memories: each engine has so many tokens free. It counts
// the largest number of questions that were open at once.
type engineMemory struct {
	mu sync.Mutex
	// All below is guarded by mu.
	free          map[string]int
	open, maxOpen int
}

func (m *engineMemory) reserve(s catalog.Server, tokens int) (string, *verdict.Error) {
	m.mu.Lock()
	m.open++
	m.maxOpen = max(m.maxOpen, m.open)
	ok := m.free[s.ID] >= tokens
	m.mu.Unlock()
	time.Sleep(time.Millisecond)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.open--
	if !ok {
		return "", full()
	}
	return "hold-" + s.ID, nil
}

// held is what is reserved for a request.
func reservedTokens(t *testing.T, g *Gateway, r *Request) int {
	t.Helper()
	j, err := g.plan(r)
	assert.Assert(t, err == nil, "%v", err)
	return g.sizeReservation(j, 0).Held
}

// comeBack is a request whose caller was refused before.
func callerRetry() *Request {
	r := generation("/stream/")
	r.Patience = 2 * time.Second
	return r
}

// Memory is short: one engine has room for one request and no more. A caller whose
// objective is lost asks first. If it got the room, the one who comes next would be
// late too, and all after it; so the room is left to whom it is of use.
func TestLateRequestsLeaveTheLastRoom(t *testing.T) {
	m := &engineMemory{free: map[string]int{}}
	f := &fakeBackend{reserve: m.reserve, send: func(catalog.Server, Call) (*Answer, *verdict.Error) { return answer(text("")), nil }}
	g := newGateway(t, f)
	own := reservedTokens(t, g, callerRetry())
	m.free["d1"] = own
	_, err := g.Serve(t.Context(), callerRetry())
	assert.Equal(t, err.Code, verdict.Overloaded)
	assert.Equal(t, err.Verdict, verdict.NotRun)
	assert.Assert(t, err.RetryAfter > 0)
	reply, err := g.Serve(t.Context(), generation("/stream/"))
	assert.Assert(t, err == nil, "%v", err)
	reply.discard()

	// With spare room the late caller is served, and what was taken to see it is
	// given back.
	m.free["d1"] = 2 * own
	reply, err = g.Serve(t.Context(), callerRetry())
	assert.Assert(t, err == nil, "%v", err)
	reply.discard()
	assert.DeepEqual(t, f.released, []string{"hold-d1"})
}

// Twenty callers whose objective is lost wait for room at once. Each asks all
// engines again and again, and the engines would spend their time on refusals; in
// line, one question is open at a time.
func TestLateRequestsAskInLine(t *testing.T) {
	m := &engineMemory{}
	g := newGateway(t, &fakeBackend{reserve: m.reserve})
	var wg sync.WaitGroup
	for range 20 {
		wg.Go(func() {
			_, err := g.Serve(t.Context(), callerRetry())
			assert.Check(t, err != nil && err.Verdict == verdict.NotRun)
		})
	}
	wg.Wait()
	assert.Equal(t, m.maxOpen, 1)
}

// peerLoad has other gateways' bookings.
type peerLoad map[string]int

func (peerLoad) Changed() {}

func (peerLoad) Lost(uint64, string) {}

func (p peerLoad) Need(start string) memory.Need { return memory.Need{float64(p[start])} }

func (peerLoad) Complete() bool                    { return true }
func (peerLoad) PlatformSince(time.Time) time.Time { return time.Time{} }

// Other gateways have prompts queued at one prefill engine and fill a decode engine.
// To this gateway, which knows its own bookings only, all engines look alike, and its
// callers wait behind theirs while the others are idle.
func TestEnginesAreChosenByTheLoadOfAllGateways(t *testing.T) {
	f := &fakeBackend{send: func(catalog.Server, Call) (*Answer, *verdict.Error) { return answer(text("")), nil }}
	g := newGateway(t, f)
	f2 := catalog.Server{ID: "f2", Service: modelService, Address: "10.0.0.3:2", AvailabilityZone: "a", Stage: catalog.Prefill}
	g.SetServers(append(testServers(), f2))
	g.Join(peerLoad{"f1#0": 8000, "d1#0": 9000, "d3#0": 700})
	for range 20 {
		reply, err := g.Serve(t.Context(), generation("/stream/"))
		assert.Assert(t, err == nil, "%v", err)
		reply.discard()
	}
	for _, s := range f.sends() {
		assert.Equal(t, s.server, "d2")
	}
	for _, s := range f.prefills {
		assert.Equal(t, s, "f2")
	}
}

// Two of three engines lose their power. Nobody has anything booked there any more,
// so they look the emptiest and are asked first. A caller must not wait for them
// until the connections are given up: the third engine has room.
func TestUnresponsiveEnginesAreSkipped(t *testing.T) {
	f := &fakeBackend{
		unresponsive: map[string]bool{"d1": true, "d2": true},
		send:         func(catalog.Server, Call) (*Answer, *verdict.Error) { return answer(text("")), nil },
	}
	g := newGateway(t, f)
	g.Join(peerLoad{"d3#0": 5000})
	for _, bound := range []time.Duration{3 * reserveTimeout, reserveTimeout} {
		began := time.Now()
		reply, err := g.Serve(t.Context(), generation("/stream/"))
		assert.Assert(t, err == nil, "%v", err)
		reply.discard()
		assert.Assert(t, time.Since(began) < bound, "took %s", time.Since(began))
	}
}

// Prompts queue at the prefill engines in a burst. Read by a decode engine, a prompt
// stops the streams that run there for longer than their callers' pauses may be, so
// that one caller in time costs six others; it must wait while it can be in time.
func TestPromptsWaitForAPrefillEngine(t *testing.T) {
	f := &fakeBackend{send: func(catalog.Server, Call) (*Answer, *verdict.Error) { return answer(text("")), nil }}
	g := newGateway(t, f)
	objective := testConfig().Routes[2].Objective
	for _, c := range []struct {
		part float64
		read int
	}{{0.6, 1}, {1, 0}} {
		f.prefills = nil
		g.Join(peerLoad{"f1#0": int(c.part * float64(objective/initialTimePerToken))})
		reply, err := g.Serve(t.Context(), generation("/stream/"))
		assert.Assert(t, err == nil, "%v", err)
		reply.discard()
		assert.Equal(t, len(f.prefills), c.read, "a queue of %g objectives", c.part)
	}
}

// The prefill engines are behind by more than a prompt can wait, and the decode engine
// that gave it room writes for others. Reading a long prompt there would stop these
// for longer than their callers allow, so it is late alone; a short one is read there.
func TestLongPromptsDoNotStallStreams(t *testing.T) {
	for _, c := range []struct{ tokens, read int }{{5500, 1}, {2000, 0}} {
		f := &fakeBackend{send: func(catalog.Server, Call) (*Answer, *verdict.Error) { return answer(text("")), nil }}
		g := newGateway(t, f)
		config := testConfig()
		config.Version++
		config.Routes[2].Gap = 200 * time.Millisecond
		g.SetConfig(config)
		behind := int(config.Routes[2].Objective / g.prefillSpeed.estimate(1))
		g.loads.begin(catalog.Server{ID: "f1"}, behind)
		r := generation("/stream/")
		r.Generation.Prompt = c.tokens
		reply, err := g.Serve(t.Context(), r)
		assert.Assert(t, err == nil, "%v", err)
		reply.discard()
		assert.Equal(t, len(f.prefills), c.read, "%d tokens", c.tokens)
	}
}

// peersOf hands the losses of one gateway to another.
type crashForwarder struct{ to *Gateway }

func (crashForwarder) Changed() {}

func (crashForwarder) Need(string) memory.Need { return memory.Need{} }

func (crashForwarder) Complete() bool                    { return true }
func (crashForwarder) PlatformSince(time.Time) time.Time { return time.Time{} }

func (p crashForwarder) Lost(content uint64, start string) { p.to.NoteLoss(content, gossip.Key(start)) }

// A request crashes each engine that begins to run it. Its caller sends it again under
// another id, and comes to another gateway each time. Each gateway sees one or two
// crashes only; together they have seen three, and no further engine may be lost.
func TestCrashingRequestIsConvictedByAllGatewaysTogether(t *testing.T) {
	crash := func(catalog.Server, Call) (*Answer, *verdict.Error) { return nil, lost() }
	f1, f2 := &fakeBackend{send: crash}, &fakeBackend{send: crash}
	g1, g2 := newGateway(t, f1), newGateway(t, f2)
	g1.Join(crashForwarder{g2})
	g2.Join(crashForwarder{g1})
	_, err := g1.Serve(t.Context(), generation("/stream/"))
	assert.Assert(t, err.Verdict != verdict.NotRun)
	first := map[string]bool{}
	for _, s := range f1.sends() {
		first[s.server] = true
	}
	assert.Equal(t, len(first), 2)

	// The last engine that is left to it is the third.
	g2.SetServers(slices.DeleteFunc(testServers(), func(s catalog.Server) bool { return first[s.ID] }))
	_, err = g2.Serve(t.Context(), generation("/stream/"))
	assert.Assert(t, err != nil)
	assert.Equal(t, len(f2.sends()), 1)

	for _, g := range []*Gateway{g1, g2} {
		_, err = g.Serve(t.Context(), generation("/stream/"))
		assert.Equal(t, err.Code, verdict.Crashes)
	}
	assert.Equal(t, len(f1.sends())+len(f2.sends()), 3)
}
