package test

import (
	"context"
	"fmt"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"jayford.example/jayford/internal/settings"
	enginestandin "jayford.example/jayford/internal/standin/engine"
)

// memory returns the resident memory of a process in KB.
func (p *process) memory() int {
	p.mu.Lock()
	pid := p.cmd.Process.Pid
	p.mu.Unlock()
	text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	for line := range strings.Lines(string(text)) {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			n, _ := strconv.Atoi(strings.Fields(rest)[0])
			return n
		}
	}
	return 0
}

// sendAndRetry sends a completion and, if it is refused with a Retry-After, sends it once
// more after that time. second is nil if it was not sent again.
func (c *cluster) sendAndRetry(a request) (first answer, second *answer) {
	first = complete(context.Background(), a)
	if first.whole || first.retryAfter == "" {
		return first, nil
	}
	seconds, _ := strconv.Atoi(first.retryAfter)
	time.Sleep(time.Duration(seconds) * time.Second)
	again := complete(context.Background(), a)
	return first, &again
}

// overload has the results of a run at three times the capacity.
type overload struct {
	// firsts are the answers to the first attempts, seconds those to the retries
	// after a Retry-After.
	firsts, seconds history
	// refused are the latencies of the first refusals, sorted.
	refused []time.Duration
	// before, peak and after are the entry's memory in KB.
	before, peak, after int
}

const (
	overloadTokens = 20
	// overloadCapacity is how many requests one decode engine of 4 slots serves in a
	// second.
	overloadCapacity = 9
	overloadDuration = 10 * time.Second
)

// runOverload sends completions at three times the capacity. Callers retry once
// after the time in Retry-After.
func runOverload(t *testing.T) *overload {
	t.Helper()
	c := newCluster(t, topology{
		entries: 1, prefill: 1, decode: 1,
		engine: enginestandin.Options{TokenTime: 20 * time.Millisecond},
		agent:  func(a *settings.Agent) { a.Slots = 4 },
	})
	o := &overload{before: c.entries[0].memory()}
	var wg sync.WaitGroup
	n := int(overloadDuration.Seconds()) * 3 * overloadCapacity
	for i := range n {
		wg.Go(func() {
			first, second := c.sendAndRetry(request{entry: c.entries[0], prompt: fmt.Sprint("over ", i), maxTokens: overloadTokens, timeout: 20 * time.Second})
			o.firsts.add(first)
			if second != nil {
				o.seconds.add(*second)
			}
		})
		o.peak = max(o.peak, c.entries[0].memory())
		time.Sleep(overloadDuration / time.Duration(n))
	}
	wg.Wait()
	time.Sleep(time.Second)
	o.after = c.entries[0].memory()
	for _, a := range o.firsts.all() {
		if a.retryAfter != "" {
			o.refused = append(o.refused, a.took)
		}
	}
	slices.Sort(o.refused)
	c.checkHistory(&o.firsts)
	c.checkHistory(&o.seconds)
	report(t, "3 times overload, %d requests: first %s; after their Retry-After %s", n, o.firsts.outcomes(), o.seconds.outcomes())
	return o
}

// For 10 s three times as many completions arrive as the engines can serve. Each
// must be answered whole or refused as not run with a Retry-After, and the entry's
// memory stays bounded.
func TestOverloadIsBounded(t *testing.T) {
	t.Parallel()
	o := runOverload(t)
	report(t, "entry's memory: %d KB before, %d KB at most, %d KB after", o.before, o.peak, o.after)
	assert.Check(t, o.peak < o.before+64<<10, "the entry grew by %d KB", o.peak-o.before)
	for _, a := range o.firsts.all() {
		assert.Check(t, a.whole || a.verdict == "not-run" && a.retryAfter != "", "%d %s %s %v", a.status, a.code, a.verdict, a.err)
	}
	assert.Check(t, len(o.refused) > 0)
}

// Under the same overload, requests that can't be served in time must be refused at
// once rather than after a wait in the queue, and most callers that follow a
// Retry-After must be served.
func TestOverloadRefusesAtOnceAndRetryAfterIsHonoured(t *testing.T) {
	o := runOverload(t)
	assert.Assert(t, len(o.refused) > 0)
	late := o.refused[len(o.refused)*95/100]
	report(t, "refusals took %s in the median, %s at 95%%", o.refused[len(o.refused)/2], late)
	assert.Check(t, late <= 100*time.Millisecond, "refusals take %s at 95%%", late)
	got := o.seconds.tally()
	assert.Check(t, got.whole > got.refused, "Retry-After was honoured for %d and not for %d", got.whole, got.refused)
}

// Callers send long prompts faster than they are served. Each is well below the body
// limit, and their number is below the queue's limit, but together they would take
// gigabytes. Requests beyond the entry's limit on held bytes must be refused at once
// as not run, and the others answered.
func TestLongPromptsAreBoundedTogether(t *testing.T) {
	t.Parallel()
	c := newCluster(t, topology{
		entries: 1, prefill: 1, decode: 1, engine: enginestandin.Options{DecodeSlots: 2, PrefillPerThousand: time.Millisecond},
		agent: func(a *settings.Agent) { a.Slots = 2 },
		entry: func(e *settings.Entry) { e.Limits.MaxHeldBytes = 8 << 20 },
	})
	h := &history{}
	wg := c.load(h, 120, 10*time.Millisecond, func(i int) request {
		return request{prompt: prompt(fmt.Sprint("long ", i), 50_000), maxTokens: 10, headers: map[string]string{"Jayford-Priority": "batch"}}
	})
	most := 0
	for range 15 {
		time.Sleep(100 * time.Millisecond)
		most = max(most, c.entries[0].memory())
	}
	wg.Wait()
	c.checkHistory(h)
	report(t, "120 prompts of 250 KB: %s; entry at most %d MB", h.describe(), most>>10)
	got := h.tally()
	assert.Assert(t, got.whole >= 25 && got.refused > 0 && got.whole+got.refused == 120, "%s", h.describe())
	for _, a := range h.all() {
		assert.Assert(t, a.whole || (a.verdict == "not-run" && a.retryAfter != ""), "%+v", a)
	}
}

// Two entries get three times the load that one decode engine serves, and callers
// retry after their Retry-After at the other entry, which has reserved nothing for
// them. Refusals must still come at once and be truthful, and most callers that
// follow a Retry-After must be served.
func TestOverloadWithCallersWhoComeBackElsewhere(t *testing.T) {
	c := newCluster(t, topology{
		entries: 2, prefill: 1, decode: 1,
		engine: enginestandin.Options{TokenTime: 20 * time.Millisecond},
		agent:  func(a *settings.Agent) { a.Slots = 4 },
	})
	var firsts, seconds history
	var wg sync.WaitGroup
	n := int(overloadDuration.Seconds()) * 3 * overloadCapacity
	for i := range n {
		wg.Go(func() {
			a := request{entry: c.entries[i%2], prompt: fmt.Sprint("over ", i), maxTokens: overloadTokens, timeout: 20 * time.Second}
			first := complete(context.Background(), a)
			firsts.add(first)
			if first.whole || first.retryAfter == "" {
				return
			}
			wait, _ := strconv.Atoi(first.retryAfter)
			time.Sleep(time.Duration(wait) * time.Second)
			a.entry = c.entries[(i+1)%2]
			seconds.add(complete(context.Background(), a))
		})
		time.Sleep(overloadDuration / time.Duration(n))
	}
	wg.Wait()
	c.checkHistory(&firsts)
	c.checkHistory(&seconds)
	var refused []time.Duration
	for _, a := range firsts.all() {
		assert.Check(t, a.whole || a.verdict == "not-run" && a.retryAfter != "", "%d %s %s %v", a.status, a.code, a.verdict, a.err)
		if !a.whole {
			refused = append(refused, a.took)
		}
	}
	slices.Sort(refused)
	assert.Assert(t, len(refused) > 0)
	late := refused[len(refused)*95/100]
	report(t, "two entries, %d requests: first %s; at the other entry %s; refusals took %s at 95%%", n, firsts.outcomes(), seconds.outcomes(), late)
	assert.Check(t, late <= 100*time.Millisecond, "refusals take %s at 95%%", late)
	got := seconds.tally()
	assert.Check(t, got.whole > got.refused, "Retry-After was honoured for %d and not for %d", got.whole, got.refused)
}
