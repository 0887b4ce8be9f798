package test

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	enginestandin "jayford.example/jayford/internal/standin/engine"
)

// history collects the answers that callers got. The checks use only these and the
// stand-ins' own records.
type history struct {
	mu sync.Mutex
	// answers is guarded by mu.
	answers []answer
}

func (h *history) add(a answer) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.answers = append(h.answers, a)
}

func (h *history) all() []answer {
	h.mu.Lock()
	defer h.mu.Unlock()
	return append([]answer(nil), h.answers...)
}

// tally counts the answers by kind.
type tally struct{ whole, refused, truncated, unanswered int }

func (h *history) tally() tally {
	var n tally
	for _, a := range h.all() {
		switch {
		case a.whole:
			n.whole++
		case a.err != nil:
			n.unanswered++
		case a.status == 200:
			n.truncated++
		default:
			n.refused++
		}
	}
	return n
}

func (n tally) String() string {
	return fmt.Sprintf("%d whole, %d refused, %d cut with an error, %d without an answer", n.whole, n.refused, n.truncated, n.unanswered)
}

// describe returns the tally and details of the answers that are not whole.
func (h *history) describe() string {
	kinds := make(map[string]int)
	for _, a := range h.all() {
		if !a.whole {
			kinds[fmt.Sprintf("%d %s %s %q %v", a.status, a.code, a.verdict, a.message, a.err)]++
		}
	}
	return fmt.Sprintf("%s; %v", h.tally(), kinds)
}

// startCounts returns how often engines began a decode, and how often they began any
// phase, by request id.
func (c *cluster) startCounts() (decodes, any map[string]int) {
	decodes = make(map[string]int)
	any = make(map[string]int)
	for _, n := range c.engines() {
		for _, e := range n.record().Entries {
			if e.Kind != enginestandin.EntryStart {
				continue
			}
			any[e.Attempt.Request]++
			if e.Phase == "decode" {
				decodes[e.Attempt.Request]++
			}
		}
	}
	return decodes, any
}

// checkHistory checks each answer: its text is correct, it ends with an error event
// if truncated, each error has a verdict, and no request refused as "not-run" was
// begun by the engines' records.
func (c *cluster) checkHistory(h *history) {
	c.t.Helper()
	_, began := c.startCounts()
	for _, a := range h.all() {
		assert.NilError(c.t, a.checkAnswer())
		if a.status == 0 || a.whole {
			continue
		}
		if a.verdict == "not-run" && began[a.requestID] > 0 {
			c.t.Errorf("request %s was refused as not run (%s), but engines began it %d times", a.requestID, a.code, began[a.requestID])
		}
		if a.status == 200 && a.err == nil && a.code == "" {
			c.t.Errorf("request %s: an answer was truncated without an error event", a.requestID)
		}
		if a.status != 200 && a.verdict == "" {
			c.t.Errorf("request %s: status %d without a verdict: %s", a.requestID, a.status, a.text)
		}
	}
}

// endSlack is how long after its deadline a request may end.
const endSlack = time.Second

// checkDeadlines checks that each caller got an answer, and that it ended within endSlack
// of the deadline.
func (c *cluster) checkDeadlines(h *history) {
	c.t.Helper()
	for _, a := range h.all() {
		assert.NilError(c.t, a.err, "request %s %.40q", a.requestID, a.request.prompt)
		d, err := time.ParseDuration(a.request.headers[headerDeadline])
		assert.NilError(c.t, err)
		if a.took > d+endSlack {
			c.t.Errorf("request %s ended after %s, its deadline is %s", a.requestID, a.took, d)
		}
	}
}

// checkRunsAtMostOnce checks by the engines' records that each non-idempotent request was
// prefilled and decoded at most once across all engines.
func (c *cluster) checkRunsAtMostOnce(h *history) {
	c.t.Helper()
	runs := c.engineRuns()
	for _, a := range h.all() {
		if a.request.headers[headerIdempotent] != "false" {
			continue
		}
		if n := runs[a.requestID]; n.prefills > 1 || n.decodes > 1 {
			c.t.Errorf("request %s %.40q isn't idempotent and ran %+v", a.requestID, a.request.prompt, n)
		}
	}
}

// checkNoLateStarts checks that no engine began work for a request after its answer
// had ended, when nobody waits for it any more.
func (c *cluster) checkNoLateStarts(h *history) {
	c.t.Helper()
	runs := c.engineRuns()
	for _, a := range h.all() {
		if late := runs[a.requestID].last.Sub(a.sent.Add(a.took)); late > 0 {
			c.t.Errorf("an engine began request %s %.40q %s after its answer had ended", a.requestID, a.request.prompt, late)
		}
	}
}

// engineRuns counts how often engines began each phase of a request, and has the
// time of the last start.
type engineRuns struct {
	prefills, decodes int
	last              time.Time
}

func (c *cluster) engineRuns() map[string]engineRuns {
	out := make(map[string]engineRuns)
	for _, n := range c.engines() {
		for _, e := range n.record().Entries {
			if e.Kind != enginestandin.EntryStart {
				continue
			}
			r := out[e.Attempt.Request]
			if e.Phase == "decode" {
				r.decodes++
			} else {
				r.prefills++
			}
			if e.At.After(r.last) {
				r.last = e.At
			}
			out[e.Attempt.Request] = r
		}
	}
	return out
}

// waitFree waits until no engine holds memory and returns how long that took.
func (c *cluster) waitFree(bound time.Duration) time.Duration {
	c.t.Helper()
	begin := time.Now()
	eventually(c.t, bound, "all engine memory free", func() error {
		for _, n := range c.engines() {
			if held := n.record().Held; len(held) > 0 {
				return errorf("%s holds %+v", n.id, held)
			}
		}
		return nil
	})
	return time.Since(begin)
}

// load sends n requests at the given interval to the entries in round-robin order.
// The returned group is done when all have ended.
func (c *cluster) load(h *history, n int, every time.Duration, make func(i int) request) *sync.WaitGroup {
	var wg sync.WaitGroup
	wg.Add(n)
	go func() {
		for i := range n {
			a := make(i)
			if a.entry == nil {
				a.entry = c.entries[i%len(c.entries)]
			}
			go func() {
				defer wg.Done()
				h.add(complete(context.Background(), a))
			}()
			time.Sleep(every)
		}
	}()
	return &wg
}

// prompt returns a prompt of about n words, unique by its tag.
func prompt(tag string, n int) string {
	return tag + strings.Repeat(" word", n)
}

// report logs a measured figure, which docs/PROOFS.md quotes.
func report(t *testing.T, format string, args ...any) {
	t.Helper()
	t.Logf("figure: "+format, args...)
}
