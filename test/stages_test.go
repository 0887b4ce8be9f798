package test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	enginestandin "jayford.example/jayford/internal/standin/engine"
)

const (
	headerDeadline   = "Jayford-Deadline"
	headerIdempotent = "Jayford-Idempotent"
	// faultDeadline is the deadline of requests in tests of faults.
	faultDeadline = 10 * time.Second
	// freezeDuration is how long a process is frozen: longer than the lapse time of
	// grants and the heartbeat timeout.
	freezeDuration = 4 * time.Second
	// lostBound is how soon engine memory must be free after an agent or engine has
	// come back.
	lostBound = 5 * time.Second
)

// stage is the stage of the requests at the time of the fault.
type stage struct {
	name  string
	words int
	// tokens of each answer, and the interval between requests.
	tokens  int
	every   time.Duration
	after   time.Duration
	prefill bool
	// stall delays the transfers, so that the fault hits them.
	stall time.Duration
}

var stages = []stage{
	{name: "prefill", words: 1500, tokens: 10, every: 20 * time.Millisecond, after: 300 * time.Millisecond, prefill: true},
	{name: "transfer, its source", words: 200, tokens: 10, every: 10 * time.Millisecond, after: 400 * time.Millisecond, prefill: true, stall: 1500 * time.Millisecond},
	{name: "transfer, its end", words: 200, tokens: 10, every: 10 * time.Millisecond, after: 400 * time.Millisecond, stall: 1500 * time.Millisecond},
	{name: "decode", words: 10, tokens: 40, every: 20 * time.Millisecond, after: 700 * time.Millisecond},
	{name: "last token", words: 10, tokens: 3, every: 15 * time.Millisecond, after: 200 * time.Millisecond},
}

// fault is a failure of one process, and how it is undone.
type fault struct {
	name   string
	engine bool
	do     func(p *process)
	undo   func(p *process)
}

var faults = []fault{
	{"agent killed", false, (*process).kill, restartLater},
	{"agent frozen", false, (*process).freeze, thawLater},
	{"engine killed", true, (*process).kill, restartLater},
	{"engine frozen", true, (*process).freeze, thawLater},
}

func restartLater(p *process) {
	time.Sleep(time.Second)
	p.start()
}

func thawLater(p *process) {
	time.Sleep(freezeDuration)
	p.thaw()
}

// An agent or an engine is killed, or frozen for longer than the lifetime of a
// grant, while requests are at one stage. Half of them are non-idempotent. Callers
// must get whole answers or a truthful refusal in time; non-idempotent requests run
// at most once; a process that comes back neither continues nor begins abandoned
// work, and the engines' memory is free soon after.
func TestLostAtEachStage(t *testing.T) {
	for _, f := range faults {
		t.Run(f.name, func(t *testing.T) {
			t.Parallel()
			c := newCluster(t, topology{entries: 2, prefill: 2, decode: 2, engine: enginestandin.Options{PrefillPerThousand: 200 * time.Millisecond}})
			for _, s := range stages {
				c.injectAt(s, f)
			}
		})
	}
}

func (c *cluster) injectAt(s stage, f fault) {
	c.t.Helper()
	for _, n := range c.prefill {
		n.control(enginestandin.Control{StallLinkMs: int(s.stall.Milliseconds())})
	}
	h := &history{}
	const n = 16
	wg := c.load(h, n, s.every, func(i int) request {
		headers := map[string]string{headerDeadline: faultDeadline.String()}
		if i%4 < 2 {
			headers[headerIdempotent] = "false"
		}
		return request{prompt: prompt(fmt.Sprintf("%s %s %d", f.name, s.name, i), s.words), maxTokens: s.tokens, stream: i%2 == 0, headers: headers}
	})
	time.Sleep(s.after)
	victim := busiest(c.decode)
	if s.prefill {
		victim = busiest(c.prefill)
	}
	p := victim.process
	if f.engine {
		p = victim.backend
	}
	f.do(p)
	f.undo(p)
	back := time.Now()
	wg.Wait()
	eventually(c.t, lostBound, victim.id+"'s engine listens", func() error {
		return getJSON(victim.backendAddress, enginestandin.PathRecord, new(enginestandin.Record))
	})
	free := c.waitFree(max(0, lostBound-time.Since(back)))
	for _, node := range c.nodes() {
		eventually(c.t, lostBound, node.id+" up", node.backendUp)
	}
	idempotent := h.filter(func(a *answer) bool { return a.request.headers[headerIdempotent] == "" })
	report(c.t, "%s in %s, %s: idempotent %s; all %s; %s; engines free %s later", f.name, s.name, victim.id, idempotent.describe(), h.describe(), h.latencies(), free.Round(time.Millisecond))
	c.checkHistory(h)
	c.checkDeadlines(h)
	c.checkRunsAtMostOnce(h)
	if f.name != "engine frozen" {
		// Requests in the socket buffers of a frozen engine are begun when it
		// resumes, and then cancelled by its agent: waitFree has checked that none
		// is left.
		c.checkNoLateStarts(h)
	}
	assert.Check(c.t, idempotent.tally() == tally{whole: n / 2}, "%s in %s: idempotent %s", f.name, s.name, idempotent.describe())
}

// busiest returns the node whose engine holds the most attempts.
func busiest(nodes []*node) *node {
	best, most := nodes[0], -1
	for _, n := range nodes {
		if held := len(n.record().Held); held > most {
			best, most = n, held
		}
	}
	return best
}

// filter returns the answers for which keep returns true.
func (h *history) filter(keep func(a *answer) bool) *history {
	out := &history{}
	for _, a := range h.all() {
		if keep(&a) {
			out.add(a)
		}
	}
	return out
}
