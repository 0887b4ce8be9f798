package gateway

import (
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"jayford.example/jayford/internal/catalog"
	"jayford.example/jayford/internal/policy/late"
	"jayford.example/jayford/internal/verdict"
)

// twoRanks makes a gateway's requests for /stream/ less urgent than those for /urgent/.
func twoRanks(t *testing.T, g *Gateway) {
	t.Helper()
	c := testConfig()
	c.Version = 11
	for i := range c.Routes {
		if r := &c.Routes[i]; r.PathPrefix == "/stream/" {
			urgent := *r
			urgent.Name, urgent.PathPrefix = "urgent", "/urgent/"
			r.Priority = 2
			c.Routes = append(c.Routes, urgent)
			break
		}
	}
	assert.Assert(t, g.SetConfig(c))
}

// Guards against less urgent requests that take the memory which more urgent ones fail to
// find, and against memory that they leave when nobody lacks any.
func TestLessUrgentRequestsLeaveHeadroomInAShortage(t *testing.T) {
	f := &fakeBackend{reserve: func(s catalog.Server, _ int) (string, *verdict.Error) { return "hold-" + s.ID, nil }}
	g := newGateway(t, f)
	twoRanks(t, g)
	plan := func(path string) *job {
		j, err := g.plan(generation(path))
		assert.Assert(t, err == nil)
		return j
	}
	load := peerLoad{}
	g.Join(load)
	reserve := func(j *job) bool {
		x, ok := g.reserveOnce(t.Context(), j, g.sizeReservation(j, 0))
		if ok {
			x.end()
		}
		return ok
	}
	fill := func(tokens int) {
		for _, id := range []string{"d1", "d2", "d3"} {
			load[id+"#0"] = tokens
		}
	}
	// The engines have room for one request and for no headroom.
	tokens := 10_000
	for fill(tokens); !g.fits(plan("/stream/"), "d1#0", g.sizeReservation(plan("/stream/"), 0), 0); fill(tokens) {
		tokens -= 10
	}
	assert.Assert(t, reserve(plan("/stream/")))
	g.shortages.record(plan("/urgent/"))
	assert.Assert(t, reserve(plan("/stream/")), "only a failed first round counts")

	fill(10_000)
	assert.Assert(t, !reserve(plan("/urgent/")))
	fill(tokens)
	assert.Assert(t, !reserve(plan("/stream/")))
	assert.Assert(t, reserve(plan("/urgent/")))
	time.Sleep(plan("/urgent/").route.LatencyObjective)
	assert.Assert(t, reserve(plan("/stream/")))
}

// Guards against late requests that are served in the order of their arrival alone, and
// against those that wait though their turn can't come in time.
func TestLateRequestsTakeTurnsByRank(t *testing.T) {
	m := &engineMemory{free: map[string]int{}}
	g := newGateway(t, &fakeBackend{
		reserve: m.reserve, send: func(catalog.Server, Call) (*Answer, *verdict.Error) { return answer(text("")), nil },
	})
	twoRanks(t, g)
	var mu sync.Mutex
	var served []string
	var refused []time.Duration
	var wg sync.WaitGroup
	begin := func(path string) {
		began := time.Now()
		wg.Go(func() {
			r := callerRetry()
			r.Path, r.URI = path+"x", path+"x"
			reply, err := g.Serve(t.Context(), r)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				refused = append(refused, time.Since(began))
				assert.Check(t, err.Verdict == verdict.NotRun && err.RetryAfter > 0)
				return
			}
			reply.discard()
			served = append(served, path)
		})
		time.Sleep(20 * time.Millisecond)
	}
	begin("/stream/")
	begin("/stream/")
	begin("/urgent/")
	m.mu.Lock()
	for _, id := range []string{"d1", "d2", "d3"} {
		m.free[id] = 5000
	}
	m.mu.Unlock()
	wg.Wait()
	assert.DeepEqual(t, served, []string{"/stream/", "/urgent/", "/stream/"})

	// Turns take seconds, so only the next one can come in time. The last request is refused
	// at once.
	m.mu.Lock()
	clear(m.free)
	m.mu.Unlock()
	g.turns.queue = slowTurns(4 * time.Second)
	for range 3 {
		begin("/stream/")
	}
	wg.Wait()
	assert.Equal(t, len(refused), 3)
	assert.Assert(t, refused[0] < time.Second/2 && refused[1] > time.Second && refused[2] > time.Second, "%v", refused)
	assert.Equal(t, g.turns.queue.Waiting(), 0)
}

// slowTurns returns a queue in which a turn takes d on average.
func slowTurns(d time.Duration) late.Queue {
	var q late.Queue
	now := time.Now()
	x := &late.Ticket{}
	q.Enter(now, x)
	q.Leave(now.Add(d), x)
	return q
}
