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
	// Unreachable means that the prompt didn't reach the engine.
	Unreachable Failure = iota
	// Refused means that the engine received the prompt and refused it unread.
	Refused
	// Lost means that the engine may have read the prompt, but its response was lost.
	Lost
)

// Step is the next action for a prompt.
type Step int

const (
	// Send sends the prompt to a prefill engine that hasn't failed it.
	Send Step = iota
	// RetryOnBudget is the same if the retry budget allows it. Otherwise the step is
	// WithoutBudget.
	RetryOnBudget
	// FallBack leaves the prompt to the decode engine.
	FallBack
	// Refuse refuses the request: it hasn't run, and may be retried by the caller.
	Refuse
)

// Prompt describes a prompt that is about to be read.
type Prompt struct {
	// StallsStreams is set if a decode engine that reads it would stall streams for longer
	// than their callers allow.
	StallsStreams bool
	// DecodeIdle is set if the decode engine runs nothing else.
	DecodeIdle bool
	// MayHaveRun is set if the request may have run, so that it can't be refused as not run.
	MayHaveRun bool
	// InTime is set if a prefill engine is expected to read it before its caller
	// considers the stream stalled.
	InTime bool
}

// Attempts tracks the attempts to have one prompt read. The zero value is a prompt
// without attempts.
type Attempts struct {
	unsent, refused, lost int
	// charged is set if a retry was taken from the budget for an attempt that hasn't
	// reached an engine yet.
	charged bool
	// uncharged is set if an engine was lost with an attempt for which no retry was
	// charged. It becomes a retry unless an engine reads the prompt, as the attempt
	// that is read is free.
	uncharged bool
}

// Charged records that a retry was taken from the budget.
func (r *Attempts) Charged() { r.charged = true }

// Failed records that an engine hasn't read the prompt. It reports whether a retry is
// to be charged to the budget: a refused attempt has reached an engine and isn't the
// one that is free, so it counts as a retry unless it was charged already.
func (r *Attempts) Failed(f Failure) (owed bool) {
	switch f {
	case Unreachable:
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

// Done records that the prompt was read. If it has to be read again because its engine
// was lost before the answer ended, that is a retry.
func (r *Attempts) Done() {
	r.Failed(Lost)
	r.uncharged = false
}

// Abandoned records that no further engine is tried, and reports whether a retry is to be
// charged to the budget.
func (r *Attempts) Abandoned() (owed bool) {
	owed = r.uncharged
	r.uncharged = false
	return owed
}

// Next returns the next step.
func (r *Attempts) Next(p Prompt) Step {
	switch {
	case r.unsent >= maxUnsent || r.refused >= maxRefused || r.lost >= maxLost:
		return r.WithoutBudget(p)
	case r.lost == 0 || r.charged:
		return Send
	case p.MayHaveRun && p.InTime, p.StallsStreams && !p.DecodeIdle:
		return RetryOnBudget
	}
	return FallBack
}

// WithoutBudget returns the step if no further engine may be tried.
func (r *Attempts) WithoutBudget(p Prompt) Step {
	if p.StallsStreams && !p.DecodeIdle && !p.MayHaveRun {
		return Refuse
	}
	return FallBack
}
