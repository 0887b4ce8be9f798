// Package prefill decides what to do with a prompt after a prefill engine failed to
// read it: retry on another prefill engine, leave it to the decode engine, or refuse
// the request.
//
// A decode engine that reads a prompt stalls the streams that it writes, so that one
// late request makes several others late.
//
// The package holds no clock, random source or lock; all values are passed in.
package prefill

const (
	// maxUnsent bounds the engines that can't be reached. Each costs the time until the
	// connection fails.
	maxUnsent = 6
	// maxRefused bounds the engines that refuse a prompt.
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
	// Send sends the prompt to a prefill engine that hasn't failed it, if the retry budget
	// allows it. Otherwise the step is WithoutBudget.
	Send Step = iota
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
type Attempts struct{ unsent, refused, lost int }

// Failed records that an engine hasn't read the prompt.
func (r *Attempts) Failed(f Failure) {
	switch f {
	case Unreachable:
		r.unsent++
	case Refused:
		r.refused++
	case Lost:
		r.lost++
	}
}

// Done records that the prompt was read. If it has to be read again, its engine or the one
// that was to run the request was lost.
func (r *Attempts) Done() { r.Failed(Lost) }

// Next returns the next step.
func (r *Attempts) Next(p Prompt) Step {
	switch {
	case r.unsent >= maxUnsent || r.refused >= maxRefused || r.lost >= maxLost:
		return r.WithoutBudget(p)
	case r.lost == 0:
		return Send
	case p.MayHaveRun && p.InTime, p.StallsStreams && !p.DecodeIdle:
		return Send
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
