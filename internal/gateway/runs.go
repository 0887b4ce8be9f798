package gateway

import (
	"sync"
	"time"

	"jayford.example/jayford/internal/catalog"
	"jayford.example/jayford/internal/gossip"
	"jayford.example/jayford/internal/policy/memory"
)

const (
	// firstPaceOfOutput is assumed before anything was measured, in tokens a second.
	firstPaceOfOutput = 1000
	// outputPaceWeight is the weight of one pause between events.
	outputPaceWeight = 0.005
)

// runs are the generations that this gateway has on engines, and what they teach:
// how fast engines write, and how long outputs are beside what callers guess.
type runs struct {
	mu sync.Mutex
	// All below is guarded by mu.
	engines map[string]*engineRuns
	lengths memory.Lengths
	// pace is in tokens a second and generation.
	pace float64
	// changes counts begins and ends.
	changes uint64
}

// engineRuns are the generations on one start of an engine.
type engineRuns struct {
	// revision is the number of the last change.
	revision uint64
	list     map[*run]bool
}

// run is one generation on an engine. Its fields are guarded by runs.mu.
type run struct {
	of    *runs
	start string
	memory.Generation
	// changed is called when the run has ended.
	changed func()
}

func newRuns() *runs { return &runs{engines: map[string]*engineRuns{}, pace: firstPaceOfOutput} }

// begin books a generation.
func (r *runs) begin(start string, x memory.Generation, changed func()) *run {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.engines[start]
	if e == nil {
		e = &engineRuns{list: map[*run]bool{}}
		r.engines[start] = e
	}
	r.changes++
	e.revision = r.changes
	out := &run{of: r, start: start, Generation: x, changed: changed}
	e.list[out] = true
	return out
}

// end takes the run off the account. It may be called again: a stream is ended by
// its failure and by its close.
func (x *run) end() {
	if x.of.remove(x) {
		x.changed()
	}
}

func (r *runs) remove(x *run) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.engines[x.start]
	if e == nil || !e.list[x] {
		return false
	}
	delete(e.list, x)
	r.changes++
	e.revision = r.changes
	if len(e.list) == 0 {
		delete(r.engines, x.start)
	}
	return true
}

// wrote notes that so many tokens are written, the last of them after a pause for
// step tokens; pause is 0 for the first ones.
func (x *run) wrote(tokens, step int, pause time.Duration) {
	x.of.mu.Lock()
	defer x.of.mu.Unlock()
	x.Written = max(x.Written, tokens)
	if pause > 0 {
		x.of.pace += outputPaceWeight * (float64(step)/pause.Seconds() - x.of.pace)
	}
}

// between is the usual time between two events of so many tokens.
func (r *runs) between(tokens int) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return time.Duration(float64(tokens) / r.pace * float64(time.Second))
}

// finished notes that the generation ended by itself.
func (x *run) finished() {
	x.of.mu.Lock()
	defer x.of.mu.Unlock()
	x.of.lengths.Finished(x.Generation)
}

// need foresees what the generations on a start need.
func (r *runs) need(start string) memory.Need {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.needLocked(r.engines[start])
}

func (r *runs) needLocked(e *engineRuns) memory.Need {
	var n memory.Need
	if e == nil {
		return n
	}
	for x := range e.list {
		n = n.Plus(r.lengths.Need(x.Generation, r.pace))
	}
	return n
}

// fits reports whether x is expected to fit an engine of so many tokens beside
// others.
func (r *runs) fits(capacity int, others memory.Need, x memory.Generation) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lengths.Fits(capacity, others, r.lengths.Need(x, r.pace), roomRisk)
}

// expected is the output that a generation is expected to write.
func (r *runs) expected(x memory.Generation) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lengths.Expected(x)
}

// all returns what this gateway's generations need, by start.
func (r *runs) all() map[string]gossip.Load {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make(map[string]gossip.Load, len(r.engines))
	for start, e := range r.engines {
		out[start] = gossip.Load{Need: r.needLocked(e), Revision: e.revision}
	}
	return out
}

// generation is what is known of the job's generation while events that were
// delivered before go up to the event after.
func (j *job) generation(after int) memory.Generation {
	x := j.r.Generation
	return memory.Generation{Prompt: x.Prompt, Hint: x.Hint, MaxOutput: x.MaxOutput, Written: after * eventTokens(j.service.Engine)}
}

// eventTokens is how many tokens an event carries.
func eventTokens(e *catalog.Engine) int { return max(1, e.EventTokens) }
