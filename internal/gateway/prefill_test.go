package gateway

import (
	"io"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"jayford.example/jayford/internal/catalog"
	"jayford.example/jayford/internal/gossip"
	"jayford.example/jayford/internal/policy/retry"
	"jayford.example/jayford/internal/verdict"
)

func refusedDial() *verdict.Error {
	return verdict.New(verdict.NotRun, verdict.Unreachable, "connection refused")
}

// gatewayWithEmptyBudget returns a gateway with so many prefill engines and an
// exhausted retry budget.
func gatewayWithEmptyBudget(t *testing.T, f *fakeBackend, engines int) *Gateway {
	t.Helper()
	f.send = func(catalog.Server, Call) (*Answer, *verdict.Error) { return answer(text(eventsOf("1"))), nil }
	g := newGateway(t, f)
	config := testConfig()
	config.Version++
	for i := range config.Routes {
		config.Routes[i].MaxEventGap = 200 * time.Millisecond
	}
	config.Services[modelService].Engine.KVTokens = 40_000
	g.SetConfig(config)
	list := testServers()
	for i := range engines - 1 {
		list = append(list, catalog.Server{
			ID: "f" + string(rune('2'+i)), Service: modelService, Address: "10.0.0.3:2", AvailabilityZone: "a", Stage: catalog.Prefill,
		})
	}
	g.SetServers(list)
	g.budget.countRequest(modelService)
	for range 1000 {
		g.budget.chargeRetry(modelService)
	}
	return g
}

func longPrompt() *Request {
	r := generation("/stream/")
	r.Generation.Prompt = 6000
	return r
}

// Three of four prefill engines refuse connections, and the retry budget is exhausted.
// As nothing reached them, the fourth must still be tried: a prefill on the decode
// engine would stall other streams.
func TestPrefillSkipsUnreachableEngines(t *testing.T) {
	for range 20 {
		f := &fakeBackend{prefill: func(s catalog.Server) (Prefilled, *verdict.Error) {
			if s.ID != "f1" {
				return Prefilled{}, refusedDial()
			}
			return Prefilled{Result: "kv"}, nil
		}}
		g := gatewayWithEmptyBudget(t, f, 4)
		reply, err := g.Serve(t.Context(), longPrompt())
		assert.Assert(t, err == nil, "%v", err)
		reply.discard()
		assert.Equal(t, f.sends()[0].call.PrefillResult, "kv")
	}
}

// The answers of prefills are lost and no retry is left for another server. Long prompt or
// short, busy decode engine or idle, the request is refused with a Retry-After and its
// reservation released.
func TestPromptsThatWereLostAreRefusedWithoutBudget(t *testing.T) {
	for _, busy := range []int{4000, 0} {
		for _, r := range []*Request{longPrompt(), generation("/stream/")} {
			f := &fakeBackend{prefill: func(catalog.Server) (Prefilled, *verdict.Error) { return Prefilled{}, lost() }}
			g := gatewayWithEmptyBudget(t, f, 4)
			g.Join(peerLoad{"d1#0": busy, "d2#0": busy, "d3#0": busy})
			_, err := g.Serve(t.Context(), r)
			assert.Equal(t, len(f.prefills), 1)
			assert.Assert(t, err != nil)
			assert.Equal(t, err.Verdict, verdict.NotRun)
			assert.Equal(t, err.RetryAfter, notSentOnRetryAfter)
			assert.Equal(t, len(f.sends()), 0)
			for range 100 {
				f.mu.Lock()
				released := len(f.released)
				f.mu.Unlock()
				if released == 1 {
					break
				}
				time.Sleep(5 * time.Millisecond)
			}
			f.mu.Lock()
			assert.Equal(t, len(f.released), 1)
			f.mu.Unlock()
			assert.Equal(t, len(g.Load()), 0)
		}
	}
}

// The answers of prefills are lost and one retry is left. A long prompt would stall the
// streams of a busy decode engine, so another prefill engine gets it, and the request is
// refused when that is lost too. An idle decode engine reads it.
func TestLastRetryGoesWhereItStallsNoStreams(t *testing.T) {
	for _, busy := range []int{4000, 0} {
		f := &fakeBackend{prefill: func(catalog.Server) (Prefilled, *verdict.Error) { return Prefilled{}, lost() }}
		g := gatewayWithEmptyBudget(t, f, 4)
		g.budget.window = retry.NewWindowBudget(retry.WindowBudgetOptions{Slack: 1, Window: time.Minute}, time.Now().Add(-time.Hour))
		g.Join(peerLoad{"d1#0": busy, "d2#0": busy, "d3#0": busy})
		reply, err := g.Serve(t.Context(), longPrompt())
		if busy == 0 {
			assert.Assert(t, err == nil, "%v", err)
			reply.discard()
			assert.Equal(t, len(f.prefills), 1)
			continue
		}
		assert.Assert(t, err != nil)
		assert.Equal(t, err.Verdict, verdict.NotRun)
		assert.Equal(t, len(f.prefills), 2)
		assert.Equal(t, len(f.sends()), 0)
	}
}

// An engine breaks off a stream that has begun, and one retry is left. The caller already has a
// part of the answer, so it must go on: the retry goes to the run, and the decode engine reads
// the prompt, however long.
func TestStartedStreamGoesOnWithTheLastRetry(t *testing.T) {
	f := &fakeBackend{}
	g := gatewayWithEmptyBudget(t, f, 2)
	g.budget.window = retry.NewWindowBudget(retry.WindowBudgetOptions{Slack: 1, Window: time.Minute}, time.Now().Add(-time.Hour))
	g.Join(peerLoad{"d1#0": 4000, "d2#0": 4000, "d3#0": 4000})
	f.send = func(catalog.Server, Call) (*Answer, *verdict.Error) {
		if len(f.sends()) == 1 {
			return answer(brokenStream()), nil
		}
		return answer(text(eventsOf("3", "4"))), nil
	}
	reply, err := g.Serve(t.Context(), longPrompt())
	assert.Assert(t, err == nil, "%v", err)
	got, readErr := io.ReadAll(reply.Body)
	assert.NilError(t, readErr)
	assert.Equal(t, string(got), eventsOf("1", "2", "3", "4"))
	assert.Equal(t, len(f.prefills), 1)
	assert.Equal(t, len(f.sends()), 2)
}

// Guards against callers who resume a stream and whose prompt is left to a decode engine, or who
// draw on the budget, though nothing has failed since they came back.
func TestCallersResumeNeedsNoRetry(t *testing.T) {
	f := &fakeBackend{}
	g := gatewayWithEmptyBudget(t, f, 1)
	f.send = func(catalog.Server, Call) (*Answer, *verdict.Error) { return answer(text(eventsOf("3"))), nil }
	r := longPrompt()
	r.Generation.LastEventID = "2"
	reply, err := g.Serve(t.Context(), r)
	assert.Assert(t, err == nil, "%v", err)
	reply.discard()
	assert.Equal(t, len(f.prefills), 1)
	assert.Equal(t, f.sends()[0].call.PrefillResult, "kv-f1")
}

// Guards against prefills that are sent to lost engines without a retry from the budget.
func TestFailedPrefillTakesARetry(t *testing.T) {
	f := &fakeBackend{
		send: func(catalog.Server, Call) (*Answer, *verdict.Error) { return answer(text(eventsOf("1"))), nil },
		prefill: func(catalog.Server) (Prefilled, *verdict.Error) {
			return Prefilled{}, verdict.New(verdict.MayHaveRun, verdict.ServerLost, "lost")
		},
	}
	g := gatewayWithEmptyBudget(t, f, 3)
	g.budget.window = retry.NewWindowBudget(retry.WindowBudgetOptions{Slack: 2, Window: time.Minute}, time.Now().Add(-time.Hour))
	_, err := g.Serve(t.Context(), generation("/stream/x"))
	assert.Assert(t, err == nil, "%v", err)
	assert.Equal(t, len(f.prefills), 1)
	assert.Assert(t, g.budget.takeRetry(modelService), "of two retries one is left")
	assert.Assert(t, !g.budget.takeRetry(modelService), "the budget allows more retries than it should")
}

// Guards against gateways that each lose a request to an engine that others have found dead.
func TestPeersDoubtsSpareAnEngine(t *testing.T) {
	engine := func(id string) catalog.Server {
		return catalog.Server{ID: id, Service: modelService, Address: "10.0.0.3:2", AvailabilityZone: "a", Stage: catalog.Prefill}
	}
	f := &fakeBackend{prefill: func(s catalog.Server) (Prefilled, *verdict.Error) {
		if s.ID == "f1" {
			return Prefilled{}, lost()
		}
		return Prefilled{Result: "kv"}, nil
	}}
	f.send = func(catalog.Server, Call) (*Answer, *verdict.Error) { return answer(text(eventsOf("1"))), nil }
	var here, there *Gateway
	newFleetGateway := func() *Gateway {
		g := newGateway(t, f)
		g.SetServers(append(testServers(), engine("f2")))
		return g
	}
	here, there = newFleetGateway(), newFleetGateway()
	dead := gossip.ServerKey("f1#0")
	var told []uint64
	here.ShareDoubts(func(server uint64) {
		told = append(told, server)
		there.RecordPeerDoubt(server, "here", time.Now())
	})
	here.recordFailure(t.Context(), engine("f1"), lost())
	assert.DeepEqual(t, told, []uint64{dead})
	there.RecordPeerDoubt(dead, "third", time.Now())
	f.prefills = nil
	for range 20 {
		reply, err := there.Serve(t.Context(), generation("/stream/"))
		assert.Assert(t, err == nil, "%v", err)
		reply.discard()
	}
	assert.Assert(t, !slices.Contains(f.prefills, "f1"))
}
