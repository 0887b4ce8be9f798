package gateway

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"jayford.example/jayford/internal/catalog"
	"jayford.example/jayford/internal/gossip"
	"jayford.example/jayford/internal/policy/speed"
)

func prefillEngine(id string) catalog.Server {
	return catalog.Server{ID: id, Service: modelService, Address: "10.0.0.3:" + id, AvailabilityZone: "a", Stage: catalog.Prefill, Software: "v1"}
}

// prefillGateway returns a gateway with four idle prefill engines, f1 to f4, and a job.
func prefillGateway(t *testing.T) (*Gateway, *job) {
	t.Helper()
	g := newGateway(t, &fakeBackend{})
	g.SetServers(append(testServers(), prefillEngine("f2"), prefillEngine("f3"), prefillEngine("f4")))
	j, err := g.plan(longPrompt())
	assert.Assert(t, err == nil, "%v", err)
	return g, j
}

// report returns a peer's report of an engine's prefill speed.
func report(id string, pace time.Duration) speed.Report {
	r := speed.Report{Engine: gossip.ServerKey(id + "#0")}
	r.Values[speed.Prefill] = speed.Value{Pace: pace, Weight: 10}
	return r
}

// Guards against prompts that wait at a slow engine as its queue has fewer tokens, and against
// an unknown engine that gets none.
func TestFasterEngineGetsThePrompt(t *testing.T) {
	g, j := prefillGateway(t)
	g.Join(peerLoad{"f1#0": 6000, "f2#0": 4000, "f3#0": 9000, "f4#0": 20_000})
	s, ok := g.pickPrefill(j)
	assert.Assert(t, ok)
	assert.Equal(t, s.ID, "f2", "no speed is known, and nobody waits for long")
	g.RecordPeerSpeeds("a", []speed.Report{report("f1", 12*time.Microsecond), report("f2", 33*time.Microsecond), report("f3", 20*time.Microsecond)})
	time.Sleep(fleetInterval)
	s, ok = g.pickPrefill(j)
	assert.Assert(t, ok)
	assert.Equal(t, s.ID, "f1")
	assert.Assert(t, g.queues.byTime(modelService))
	expected := g.expectedPrefill(j, prefillEngine("f2"))
	assert.Assert(t, expected > 180*time.Millisecond && expected < 340*time.Millisecond, "%v", expected)
	relative := g.EngineSpeed(prefillEngine("f1"))
	assert.Assert(t, relative > 1.8 && relative < 1.82, "%v", relative)
	assert.Equal(t, g.EngineSpeed(prefillEngine("f4")), 0.0)
	assert.Equal(t, g.queues.dump().(map[string]engineSpeed)["f2#0"].Prefill, 33.0)
}

// Guards against a change for deployments with engines of one speed and short queues: these are
// compared by tokens, and the time is estimated as before.
func TestEvenEnginesAreComparedByTokens(t *testing.T) {
	g, j := prefillGateway(t)
	j.r.Generation.Prompt = 5000
	g.RecordPeerSpeeds("a", []speed.Report{report("f1", 16*time.Microsecond), report("f2", 22*time.Microsecond), report("f3", 18*time.Microsecond)})
	end := g.loads.begin(prefillEngine("f1"), 100)
	seen := map[string]bool{}
	for range 100 {
		s, ok := g.pickPrefill(j)
		assert.Assert(t, ok)
		seen[s.ID] = true
	}
	assert.DeepEqual(t, seen, map[string]bool{"f2": true, "f3": true, "f4": true})
	assert.Equal(t, g.expectedPrefill(j, prefillEngine("f1")), g.prefillSpeed.estimate(5100))
	end()
}

// Guards against queues that are thought to be unread, or read, as a peer's prompts were noticed
// only at the next choice.
func TestPeersPromptsAreReadFromTheirBooking(t *testing.T) {
	g, j := prefillGateway(t)
	peers := peerLoad{"f1#0": 50_000, "f2#0": 60_000, "f3#0": 60_000, "f4#0": 60_000, "d1#0": 5000}
	g.Join(peers)
	var engines []uint64
	for _, id := range []string{"f1#0", "f2#0", "f3#0", "f4#0", "d1#0"} {
		engines = append(engines, gossip.ServerKey(id))
	}
	booked := time.Now()
	g.RecordPeerLoad(engines)
	assert.Equal(t, g.queues.unread("d1#0"), 0)
	time.Sleep(100 * time.Millisecond)
	s, ok := g.pickPrefill(j)
	assert.Assert(t, ok)
	assert.Equal(t, s.ID, "f1")
	unread, read := g.queues.unread("f1#0"), int(time.Since(booked)/initialTimePerToken)
	assert.Assert(t, unread <= 45_000 && unread >= 50_000-read-1, "%d, at most %d read", unread, read)
	clear(peers)
	g.RecordPeerLoad(engines)
	assert.Equal(t, g.queues.unread("f1#0"), 0)
}

// Guards against speeds that nobody measures, or that a queue distorts.
func TestGatewayMeasuresItsPrefillsAndStreams(t *testing.T) {
	g, _ := prefillGateway(t)
	for range 5 {
		g.queues.recordPrefill("f1#0", 5000, 100*time.Millisecond)
		x := g.loads.run("d1#0", (&job{r: longPrompt(), service: catalog.Service{Engine: &catalog.Engine{}}}).generation(0), 0)
		x.recordOutput(8, 8, 0)
		x.recordOutput(16, 8, 10*time.Millisecond)
		assert.Equal(t, x.outputPace(), time.Duration(0))
		x.recordOutput(24, 8, 6*time.Millisecond)
		g.queues.recordOutput("d1#0", x.outputPace())
		x.end()
	}
	got := map[uint64]speed.Report{}
	for _, r := range g.SpeedReports(10) {
		got[r.Engine] = r
	}
	assert.Equal(t, got[gossip.ServerKey("f1#0")].Values[speed.Prefill].Pace, 20*time.Microsecond)
	assert.Equal(t, got[gossip.ServerKey("d1#0")].Values[speed.Output].Pace, time.Millisecond)
	assert.Equal(t, len(got), 2)
}

// Guards against forecasts that let a generation at a slow engine end too early, and against those
// that change where engines are about as fast as each other.
func TestForecastsUseTheEnginesOwnSpeed(t *testing.T) {
	g, j := prefillGateway(t)
	output := func(id string, pace time.Duration) speed.Report {
		r := speed.Report{Engine: gossip.ServerKey(id + "#0")}
		r.Values[speed.Output] = speed.Value{Pace: pace, Weight: 10}
		return r
	}
	g.RecordPeerSpeeds("a", []speed.Report{output("d1", time.Millisecond), output("d2", 1300*time.Microsecond)})
	assert.Equal(t, g.queues.tokensPerSecond(modelService, "d2#0"), 0.0)
	g.RecordPeerSpeeds("a", []speed.Report{output("d1", time.Millisecond), output("d2", 2*time.Millisecond)})
	time.Sleep(fleetInterval)
	own := g.queues.tokensPerSecond(modelService, "d2#0")
	assert.Assert(t, own > 499 && own < 501, "%v", own)
	assert.Equal(t, g.queues.tokensPerSecond(modelService, "d3#0"), 0.0)
	x := j.generation(0)
	x.Hint, x.MaxOutput = 400, 4000
	fast, slow := g.loads.run("d1#0", x, 1000), g.loads.run("d2#0", x, 500)
	// In 700 ms, the slow one is likelier to write still.
	assert.Assert(t, g.loads.runs.need("d2#0")[3] > 1.2*g.loads.runs.need("d1#0")[3])
	fast.end()
	slow.end()
}

// Guards against a peer's impossible report that counts, or isn't counted.
func TestImpossibleSpeedsAreCounted(t *testing.T) {
	g, _ := prefillGateway(t)
	before := speedsDropped.Get()
	g.RecordPeerSpeeds("a", []speed.Report{report("f1", time.Second)})
	assert.Equal(t, speedsDropped.Get(), before+1)
	assert.Equal(t, g.EngineSpeed(prefillEngine("f1")), 0.0)
}

// BenchmarkChoosePrefill chooses among 440 prefill engines, by tokens and by expected time.
func BenchmarkChoosePrefill(b *testing.B) {
	for _, byTime := range []bool{false, true} {
		b.Run(fmt.Sprint("byTime=", byTime), func(b *testing.B) {
			g := fleetGateway(b)
			var list []catalog.Server
			var reports []speed.Report
			for i := range 440 {
				list = append(list, prefillEngine(fmt.Sprint("f", i)))
				pace := 20 * time.Microsecond
				if byTime && i%2 == 0 {
					pace = 30 * time.Microsecond
				}
				reports = append(reports, report(list[i].ID, pace))
			}
			g.SetServers(list)
			for _, peer := range []string{"a", "b", "c", "d", "e", "f", "g", "h"} {
				g.RecordPeerSpeeds(peer, reports)
			}
			j, err := g.plan(longPrompt())
			if err != nil {
				b.Fatal(err)
			}
			j.r.Generation.Prompt = 4000
			b.ReportAllocs()
			for b.Loop() {
				if _, ok := g.pickPrefill(j); !ok || g.queues.byTime(modelService) != byTime {
					b.Fatal(ok)
				}
			}
		})
	}
}
