package test

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	enginestandin "jayford.example/jayford/internal/standin/engine"
)

const (
	// envSeed replays a run, envMixSeconds sets its duration in seconds.
	envSeed       = "JAYFORD_TEST_SEED"
	envMixSeconds = "JAYFORD_TEST_MIX_SECONDS"
	defaultSeed   = 20261202
	defaultMix    = 10 * time.Second
)

// mixKind is a kind of fault in the random mix.
type mixKind int

const (
	mixKill mixKind = iota
	mixFreeze
	mixSilenceAgent
	mixSilenceEngine
	mixTokens
	mixKinds
)

var mixNames = [...]string{"kill", "freeze", "silence agent", "silence engine", "token faults"}

// mixEvent is one fault: its time from the beginning, its duration, and the node
// whose agent or engine it hits.
type mixEvent struct {
	at, during time.Duration
	node       int
	engine     bool
	kind       mixKind
	tokens     string
}

// planMix draws the faults at random. No process gets a fault while it is still down
// from an earlier one.
func planMix(rnd *rand.Rand, nodes int, length time.Duration) []mixEvent {
	type target struct {
		node   int
		engine bool
	}
	busy := make(map[target]time.Duration)
	var out []mixEvent
	tokens := [...]string{enginestandin.FaultLate, enginestandin.FaultDuplicate, enginestandin.FaultCross, enginestandin.FaultDrop}
	for at := 500 * time.Millisecond; at < length; at += time.Duration(300+rnd.IntN(900)) * time.Millisecond {
		e := mixEvent{
			at: at, during: time.Duration(200+rnd.IntN(4000)) * time.Millisecond, node: rnd.IntN(nodes),
			engine: rnd.IntN(2) == 0, kind: mixKind(rnd.IntN(int(mixKinds))), tokens: tokens[rnd.IntN(len(tokens))],
		}
		h := target{e.node, e.engine || e.kind == mixTokens}
		if at < busy[h] {
			continue
		}
		if e.kind == mixKill || e.kind == mixFreeze {
			busy[h] = at + e.during + 500*time.Millisecond
		}
		out = append(out, e)
	}
	return out
}

func (c *cluster) inject(e mixEvent, undone *sync.WaitGroup) {
	n := c.engines()[e.node]
	p := n.process
	if e.engine {
		p = n.backend
	}
	later := func(undo func()) {
		undone.Go(func() {
			time.Sleep(e.during)
			undo()
		})
	}
	switch e.kind {
	case mixKill:
		p.kill()
		later(p.start)
	case mixFreeze:
		p.freeze()
		later(p.thaw)
	case mixSilenceAgent:
		n.agentLink.silence()
	case mixSilenceEngine:
		n.backendLink.silence()
	case mixTokens, mixKinds:
		// The engine may be down and miss the fault.
		undone.Go(func() {
			_ = tryPost(n.backendAddress, enginestandin.PathControl, enginestandin.Control{TokenFault: e.tokens, TokenFaults: 3})
		})
	}
}

// Agents and engines are killed or frozen, lose their connections or send wrong
// tokens at random, under load from two entries. No caller may get a wrong answer, a
// truncated one without an error event, a false "not run" or no answer in time;
// non-idempotent requests run at most once; after the faults all memory becomes free
// and all requests are answered again.
func TestRandomMix(t *testing.T) {
	t.Parallel()
	seed := uint64(envNumber(envSeed, defaultSeed))
	length := time.Duration(envNumber(envMixSeconds, int(defaultMix/time.Second))) * time.Second
	t.Logf("%s=%d", envSeed, seed)
	rnd := rand.New(rand.NewPCG(seed, 0))
	c := newCluster(t, topology{entries: 2, prefill: 2, decode: 3, links: true})
	plan := planMix(rnd, len(c.engines()), length)
	h := &history{}
	const every = 50 * time.Millisecond
	begin := time.Now()
	wg := c.load(h, int(length/every), every, func(i int) request {
		headers := map[string]string{headerDeadline: faultDeadline.String()}
		if i%4 < 2 {
			headers[headerIdempotent] = "false"
		}
		return request{prompt: prompt(fmt.Sprintf("mix %d", i), i*37%600), maxTokens: 5 + i%25, stream: i%2 == 0, headers: headers}
	})
	var undone sync.WaitGroup
	for _, e := range plan {
		time.Sleep(time.Until(begin.Add(e.at)))
		c.inject(e, &undone)
	}
	undone.Wait()
	wg.Wait()
	for _, n := range c.engines() {
		eventually(t, lostBound, n.id+" up", func() error {
			if err := getJSON(n.backendAddress, enginestandin.PathRecord, new(enginestandin.Record)); err != nil {
				return err
			}
			return n.backendUp()
		})
	}
	free := c.waitFree(lostBound)
	idempotent := h.filter(func(a *answer) bool { return a.request.headers[headerIdempotent] == "" })
	report(t, "seed %d, %d faults in %s: idempotent %s; all %s; %s; engines free after %s", seed, len(plan), length, idempotent.describe(), h.describe(), h.latencies(), free.Round(time.Millisecond))
	c.checkHistory(h)
	c.checkDeadlines(h)
	c.checkRunsAtMostOnce(h)
	after := &history{}
	const few = 20
	c.load(after, few, every, func(i int) request {
		return request{prompt: fmt.Sprintf("after the mix %d", i), maxTokens: 10}
	}).Wait()
	assert.Equal(t, after.tally(), tally{whole: few}, "%s", after.describe())
	if t.Failed() {
		for _, e := range plan {
			t.Logf("%s %s of %s (engine %t) for %s", e.at, mixNames[e.kind], c.engines()[e.node].id, e.engine, e.during)
		}
	}
}

func envNumber(name string, fallback int) int {
	if n, err := strconv.Atoi(os.Getenv(name)); err == nil {
		return n
	}
	return fallback
}
