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
	// frozenFor is how long a process stands still: longer than the lapse time
	// of grants and than the heartbeats that count it as lost.
	frozenFor = 4 * time.Second
	// lostBound is how soon engine memory must be free after an agent or engine
	// has come back.
	lostBound = 5 * time.Second
)

// stage is where a request is when the fault comes.
type stage struct {
	name  string
	words int
	// tokens of each answer, and the time between two requests.
	tokens  int
	every   time.Duration
	after   time.Duration
	prefill bool
	// stall holds the transfers, so that the fault meets them.
	stall time.Duration
}

var stages = []stage{
	{name: "prefill", words: 1500, tokens: 10, every: 20 * time.Millisecond, after: 300 * time.Millisecond, prefill: true},
	{name: "transfer, its source", words: 200, tokens: 10, every: 10 * time.Millisecond, after: 400 * time.Millisecond, prefill: true, stall: 1500 * time.Millisecond},
	{name: "transfer, its end", words: 200, tokens: 10, every: 10 * time.Millisecond, after: 400 * time.Millisecond, stall: 1500 * time.Millisecond},
	{name: "decode", words: 10, tokens: 40, every: 20 * time.Millisecond, after: 700 * time.Millisecond},
	{name: "last token", words: 10, tokens: 3, every: 15 * time.Millisecond, after: 200 * time.Millisecond},
}

// fault is what happens to one process, and how it is undone.
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
	time.Sleep(frozenFor)
	p.thaw()
}

// An agent or an engine is killed, or stands still for longer than any grant
// lives, while requests are at one stage. Half of them may run but once. Callers
// get whole answers or a truthful refusal in time; what may run but once does;
// a process that comes back neither goes on with nor begins what was given up,
// and the engines' memory is free soon after.
func TestLostAtEachStage(t *testing.T) {
	for _, f := range faults {
		t.Run(f.name, func(t *testing.T) {
			t.Parallel()
			c := newCluster(t, shape{entries: 2, prefill: 2, decode: 2, engine: enginestandin.Options{PrefillPerThousand: 200 * time.Millisecond}})
			for _, s := range stages {
				c.loseAt(s, f)
			}
		})
	}
}

func (c *cluster) loseAt(s stage, f fault) {
	c.t.Helper()
	for _, n := range c.prefill {
		n.control(enginestandin.Control{StallLinkMs: int(s.stall.Milliseconds())})
	}
	h := &history{}
	const n = 16
	wg := c.load(h, n, s.every, func(i int) ask {
		headers := map[string]string{headerDeadline: faultDeadline.String()}
		if i%4 < 2 {
			headers[headerIdempotent] = "false"
		}
		return ask{prompt: prompt(fmt.Sprintf("%s %s %d", f.name, s.name, i), s.words), maxTokens: s.tokens, stream: i%2 == 0, headers: headers}
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
	idempotent := h.only(func(a *answer) bool { return a.ask.headers[headerIdempotent] == "" })
	report(c.t, "%s in %s, %s: idempotent %s; all %s; %s; engines free %s later", f.name, s.name, victim.id, idempotent.describe(), h.describe(), h.times(), free.Round(time.Millisecond))
	c.checkHistory(h)
	c.checkEnds(h)
	c.checkRunsOnce(h)
	if f.name != "engine frozen" {
		// What lies in the sockets of a frozen engine is begun when it wakes, and
		// swept by its agent: waitFree has seen it gone.
		c.checkNothingLate(h)
	}
	assert.Check(c.t, idempotent.tally() == tally{whole: n / 2}, "%s in %s: idempotent %s", f.name, s.name, idempotent.describe())
}

// busiest returns the node whose engine holds most.
func busiest(nodes []*node) *node {
	best, most := nodes[0], -1
	for _, n := range nodes {
		if held := len(n.record().Held); held > most {
			best, most = n, held
		}
	}
	return best
}

// only returns the answers for which keep says yes.
func (h *history) only(keep func(a *answer) bool) *history {
	out := &history{}
	for _, a := range h.all() {
		if keep(&a) {
			out.add(a)
		}
	}
	return out
}
