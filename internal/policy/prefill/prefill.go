// Package prefill decides what to do with a prompt after a prefill engine failed to
// read it: retry on another prefill engine, leave it to the decode engine, or refuse
// the request.
//
// A decode engine that reads a prompt stalls the streams that it writes, so that one
// late request makes several others late. A retry of a prompt that may have reached an
// engine draws on the retry budget. When engines fail during a burst that budget is
// short, and is spent on the prompts that would stall streams the most.
//
// The package holds no clock, random source or lock; all values are passed in.
package prefill

const (
	// maxUnsent bounds the engines that can't be reached. Each costs the time until the
	// connection fails.
	maxUnsent = 6
	// maxRefused bounds the engines that refuse a prompt. Each refusal counts as a
	// retry.
	maxRefused = 2
	// maxLost bounds the engines that may have read a prompt whose result was lost.
	maxLost = 3
)

// Failure is the reason why an engine hasn't read a prompt.
type Failure int

const (
	// Unsent means that the prompt didn't reach the engine.
	Unsent Failure = iota
	// Refused means that the engine received the prompt and refused it unread.
	Refused
	// Lost means that the engine may have read the prompt, but its response was lost.
	Lost
)

// Step is the next action for a prompt.
type Step int

const (
	// Ask sends the prompt to a prefill engine that hasn't failed it.
	Ask Step = iota
	// AskOnBudget is the same if the retry budget allows it. Otherwise the step is
	// WithoutBudget.
	AskOnBudget
	// Leave leaves the prompt to the decode engine.
	Leave
	// GiveUp refuses the request: it hasn't run, and may be retried by the caller.
	GiveUp
)

// Prompt describes a prompt that is about to be read.
type Prompt struct {
	// HoldsUp is set if a decode engine that reads it would stall streams for longer
	// than their callers allow.
	HoldsUp bool
	// Alone is set if the decode engine runs nothing else.
	Alone bool
	// Begun is set if the request may have run, so that it can't be refused as not run.
	Begun bool
	// Soon is set if a prefill engine is expected to read it before its caller
	// considers the stream stalled.
	Soon bool
}

// Reading tracks the attempts to have one prompt read. The zero value is a prompt
// without attempts.
type Reading struct {
	unsent, refused, lost int
	// charged is set if a retry was taken from the budget for an attempt that hasn't
	// reached an engine yet.
	charged bool
	// uncharged is set if an engine was lost with an attempt for which no retry was
	// charged. It becomes a retry unless an engine reads the prompt, as the attempt
	// that is read is free.
	uncharged bool
}

// Paid records that a retry was taken from the budget.
func (r *Reading) Paid() { r.charged = true }

// Failed records that an engine hasn't read the prompt. It reports whether a retry is
// to be charged to the budget: a refused attempt has reached an engine and isn't the
// one that is free, so it counts as a retry unless it was charged already.
func (r *Reading) Failed(f Failure) (owed bool) {
	switch f {
	case Unsent:
		r.unsent++
		return false
	case Refused:
		r.refused++
		owed = !r.charged
	case Lost:
		r.lost++
		r.uncharged = r.uncharged || !r.charged
	}
	r.charged = false
	return owed
}

// Read records that the prompt was read. If it has to be read again because its engine
// was lost before the answer ended, that is a retry.
func (r *Reading) Read() {
	r.Failed(Lost)
	r.uncharged = false
}

// Unread records that no further engine is tried, and reports whether a retry is to be
// charged to the budget.
func (r *Reading) Unread() (owed bool) {
	owed = r.uncharged
	r.uncharged = false
	return owed
}

// Next returns the next step.
func (r *Reading) Next(p Prompt) Step {
	switch {
	case r.unsent >= maxUnsent || r.refused >= maxRefused || r.lost >= maxLost:
		return r.WithoutBudget(p)
	case r.lost == 0 || r.charged:
		return Ask
	case p.Begun && p.Soon, p.HoldsUp && !p.Alone:
		return AskOnBudget
	}
	return Leave
}

// WithoutBudget returns the step if no further engine may be tried.
func (r *Reading) WithoutBudget(p Prompt) Step {
	if p.HoldsUp && !p.Alone && !p.Begun {
		return GiveUp
	}
	return Leave
}
