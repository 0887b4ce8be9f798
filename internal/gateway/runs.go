package gateway

import (
	"cmp"
	"sync"
	"time"

	"jayford.example/jayford/internal/catalog"
	"jayford.example/jayford/internal/gossip"
	"jayford.example/jayford/internal/policy/memory"
)

const (
	// initialTokensPerSecond is assumed before the first measurement.
	initialTokensPerSecond = 1000
	// outputSpeedWeight is the weight of one interval between events in the average.
	outputSpeedWeight = 0.005
)

// runs has this gateway's generations on engines, and the statistics learned from
// them: the output speed, and how output lengths compare with the callers' estimates.
type runs struct {
	mu sync.Mutex
	// All below is guarded by mu.
	engines map[string]*engineRuns
	lengths memory.Lengths
	// tokensPerSecond is the average output speed of one generation.
	tokensPerSecond float64
	// lastRevision counts the generations that began and ended.
	lastRevision uint64
}

// engineRuns has the generations on one incarnation of an engine.
type engineRuns struct {
	// revision is the value of lastRevision at the last change.
	revision uint64
	list     map[*run]bool
	// tokensPerSecond is the engine's own output speed, 0 if unknown.
	tokensPerSecond float64
}

// run is one generation on an engine. Its fields are guarded by runs.mu.
type run struct {
	of  *runs
	key string
	memory.Generation
	// paced are the tokens that were written in the time pauses.
	paced  int
	pauses time.Duration
	// onEnd is called when the run has ended.
	onEnd func()
}

func newRuns() *runs {
	return &runs{engines: map[string]*engineRuns{}, tokensPerSecond: initialTokensPerSecond}
}

// begin books a generation.
func (r *runs) begin(key string, x memory.Generation, changed func()) *run {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.engines[key]
	if e == nil {
		e = &engineRuns{list: map[*run]bool{}}
		r.engines[key] = e
	}
	r.lastRevision++
	e.revision = r.lastRevision
	out := &run{of: r, key: key, Generation: x, onEnd: changed}
	e.list[out] = true
	return out
}

// setSpeed sets the output speed of an engine with generations, 0 if it has none of its own.
func (r *runs) setSpeed(key string, tokensPerSecond float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if e := r.engines[key]; e != nil {
		e.tokensPerSecond = tokensPerSecond
	}
}

// end removes the run. It may be called twice: a stream is ended by its failure and by
// its close.
func (x *run) end() {
	if x.of.remove(x) {
		x.onEnd()
	}
}

func (r *runs) remove(x *run) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.engines[x.key]
	if e == nil || !e.list[x] {
		return false
	}
	delete(e.list, x)
	r.lastRevision++
	e.revision = r.lastRevision
	if len(e.list) == 0 {
		delete(r.engines, x.key)
	}
	return true
}

// recordOutput records that the generation has written so many tokens, the last step
// of them after a pause; pause is 0 for the first ones.
func (x *run) recordOutput(tokens, step int, pause time.Duration) {
	x.of.mu.Lock()
	defer x.of.mu.Unlock()
	x.Written = max(x.Written, tokens)
	if pause > 0 {
		x.paced += step
		x.pauses += pause
		x.of.tokensPerSecond += outputSpeedWeight * (float64(step)/pause.Seconds() - x.of.tokensPerSecond)
	}
}

// minPacedTokens is the number of tokens from which on a stream shows its engine's speed.
const minPacedTokens = 16

// outputPace returns the mean time between two tokens of the generation, 0 if it is too short.
func (x *run) outputPace() time.Duration {
	x.of.mu.Lock()
	defer x.of.mu.Unlock()
	if x.paced < minPacedTokens {
		return 0
	}
	return x.pauses / time.Duration(x.paced)
}

// eventInterval is the average time between two events of so many tokens.
func (r *runs) eventInterval(tokens int) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return time.Duration(float64(tokens) / r.tokensPerSecond * float64(time.Second))
}

// completed records that the generation reached its end.
func (x *run) completed() {
	x.of.mu.Lock()
	defer x.of.mu.Unlock()
	x.of.lengths.Finished(x.Generation)
}

// need forecasts the memory that the generations on an engine need.
func (r *runs) need(key string) memory.Need {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.needLocked(r.engines[key])
}

func (r *runs) needLocked(e *engineRuns) memory.Need {
	var n memory.Need
	if e == nil {
		return n
	}
	for x := range e.list {
		n = n.Plus(r.lengths.Need(x.Generation, cmp.Or(e.tokensPerSecond, r.tokensPerSecond)))
	}
	return n
}

// fits reports whether x is expected to fit beside others on an engine with a capacity
// in tokens and an output speed of its own, 0 if it is unknown.
func (r *runs) fits(capacity int, others memory.Need, x memory.Generation, tokensPerSecond float64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lengths.Fits(capacity, others, r.lengths.Need(x, cmp.Or(tokensPerSecond, r.tokensPerSecond)), capacityRisk)
}

// expected returns the output that a generation is expected to write, in tokens.
func (r *runs) expected(x memory.Generation) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lengths.Expected(x)
}

// all returns the memory that this gateway's generations need, by server key.
func (r *runs) all() map[string]gossip.Load {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make(map[string]gossip.Load, len(r.engines))
	for key, e := range r.engines {
		out[key] = gossip.Load{Need: r.needLocked(e), Revision: e.revision}
	}
	return out
}

// generation describes the job's generation, of which the events up to after have been
// delivered.
func (j *job) generation(after int) memory.Generation {
	x := j.r.Generation
	return memory.Generation{Prompt: x.Prompt, Hint: x.Hint, MaxOutput: x.MaxOutput, Written: after * eventTokens(j.service.Engine)}
}

// eventTokens is how many tokens an event carries.
func eventTokens(e *catalog.Engine) int { return max(1, e.EventTokens) }
