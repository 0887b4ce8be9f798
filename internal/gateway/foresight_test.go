package gateway

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"jayford.example/jayford/internal/catalog"
	"jayford.example/jayford/internal/policy/memory"
	"jayford.example/jayford/internal/verdict"
)

// peerNeeds has what other gateways' generations need.
type peerNeeds struct {
	needs map[string]memory.Need
	// partly: not all of them are known.
	incomplete bool
}

func (peerNeeds) Changed() {}

func (peerNeeds) Lost(uint64, string) {}

func (p peerNeeds) Need(start string) memory.Need { return p.needs[start] }

func (p peerNeeds) Complete() bool                  { return !p.incomplete }
func (peerNeeds) PlatformSince(time.Time) time.Time { return time.Time{} }

// flat is a need that stays as it is.
func constantNeed(tokens float64) memory.Need {
	var n memory.Need
	for i := range n {
		n[i] = tokens
	}
	return n
}

// Other gateways' generations have just begun on one engine: it has room now and will
// be full in a second. Another has more on it, of which all ends soon. What comes must
// go to the second, or it would be preempted in the middle of its stream.
func TestEnginesAreChosenByForecastMemory(t *testing.T) {
	f := &fakeBackend{send: func(catalog.Server, Call) (*Answer, *verdict.Error) { return answer(text("")), nil }}
	g := newGateway(t, f)
	growing, ending := constantNeed(9900), constantNeed(0)
	growing[0] = 3000
	ending[0] = 4000
	g.Join(peerNeeds{needs: map[string]memory.Need{"d1#0": growing, "d2#0": ending, "d3#0": constantNeed(9990)}})
	for range 5 {
		reply, err := g.Serve(t.Context(), generation("/stream/"))
		assert.Assert(t, err == nil, "%v", err)
		reply.discard()
	}
	for _, s := range f.sends() {
		assert.Equal(t, s.server, "d2")
	}
}

// All engines will be full. A caller is told so and when to come back, and no engine
// is asked: it would give the room.
func TestNoRoomIsForeseen(t *testing.T) {
	m := &engineMemory{free: map[string]int{"d1": 10_000, "d2": 10_000, "d3": 10_000}}
	send := func(catalog.Server, Call) (*Answer, *verdict.Error) { return answer(text("")), nil }
	g := newGateway(t, &fakeBackend{reserve: m.reserve, send: send})
	g.Join(peerNeeds{needs: map[string]memory.Need{"d1#0": constantNeed(9990), "d2#0": constantNeed(9990), "d3#0": constantNeed(9990)}})
	_, err := g.Serve(t.Context(), generation("/stream/"))
	assert.Assert(t, err != nil, "it was served")
	assert.Equal(t, err.Code, verdict.Overloaded)
	assert.Equal(t, err.Verdict, verdict.NotRun)
	assert.Assert(t, err.RetryAfter > 0)
	assert.Equal(t, m.maxOpen, 0)
}

// A gateway in a large fleet hears some of the others only. It can't foresee what an
// engine will need and reserves the whole, so that nothing of it is preempted.
func TestWhoDoesNotKnowAllReservesTheWhole(t *testing.T) {
	g := newGateway(t, &fakeBackend{})
	whole := maxExpectedTokens(generation("/stream/").Generation)
	assert.Assert(t, reservedTokens(t, g, generation("/stream/")) < whole)
	g.Join(peerNeeds{incomplete: true})
	assert.Equal(t, reservedTokens(t, g, generation("/stream/")), whole)
}

// Generations begin, write and end in any order, some ended twice: by a failure and by
// their caller. What is booked must be those that run, and nothing once all ended.
func TestNothingStaysBooked(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := newRuns()
		var running, ended []*run
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			switch step := rapid.SampledFrom([]string{"begin", "write", "end", "end again"}).Draw(t, "step"); {
			case step == "begin":
				start := rapid.SampledFrom([]string{"e1", "e2"}).Draw(t, "start")
				running = append(running, r.begin(start, memory.Generation{Prompt: 100, Held: 150, Hint: 90}, func() {}))
			case step == "write" && len(running) > 0:
				x := rapid.SampledFrom(running).Draw(t, "run")
				x.recordOutput(x.Written+64, 64, 50*time.Millisecond)
			case step == "end" && len(running) > 0:
				i := rapid.IntRange(0, len(running)-1).Draw(t, "which")
				running[i].completed()
				running[i].end()
				ended = append(ended, running[i])
				running = append(running[:i], running[i+1:]...)
			case step == "end again" && len(ended) > 0:
				rapid.SampledFrom(ended).Draw(t, "run").end()
			}
			sum := 0
			for _, x := range running {
				sum += max(x.Held, x.Prompt+x.Written)
			}
			assert.Equal(t, int(r.need("e1")[0]+r.need("e2")[0]+0.5), sum)
		}
		for _, x := range running {
			x.end()
		}
		assert.Equal(t, len(r.all()), 0)
	})
}
