package retry

// Arrivals tracks the arrivals of one request at servers and the retries that were taken
// from the budget for them. The first arrival needs none. For each further one a retry is
// taken before the request is sent, as afterwards it would count whatever the budget says.
//
// A prompt that a prefill engine reads is no arrival the first time; later it is, and
// so is a prompt that was refused, or whose answer was lost, as the engine may have refused it.
// What certainly didn't reach a server isn't recorded.
//
// The zero value is a request that hasn't been sent. It isn't safe for concurrent use.
type Arrivals struct {
	// counted is the number of arrivals, taken that of retries from the budget.
	counted, taken int
	// prefilled is set once an engine has read the prompt.
	prefilled bool
}

// OwedForRun returns how many retries have to be taken before the request is sent to a
// server that runs it.
func (a *Arrivals) OwedForRun() int { return max(0, a.counted-a.taken) }

// OwedForPrefill returns how many retries have to be taken before the prompt is sent to a
// prefill engine. With mustRun they suffice for the run behind it, whatever becomes of the
// prefill; otherwise only if the engine reads the prompt.
func (a *Arrivals) OwedForPrefill(mustRun bool) int {
	needed := a.counted
	if mustRun || a.prefilled {
		needed++
	}
	return max(0, needed-a.taken)
}

// Took records a retry that was taken from the budget.
func (a *Arrivals) Took() { a.taken++ }

// Ran records that the request reached, or may have reached, a server that runs it or
// refuses it.
func (a *Arrivals) Ran() { a.counted++ }

// PromptRead records that a prefill engine read the prompt.
func (a *Arrivals) PromptRead() {
	if a.prefilled {
		a.counted++
	}
	a.prefilled = true
}

// PromptUnread records that a prefill engine refused the prompt, or that its answer was
// lost.
func (a *Arrivals) PromptUnread() { a.counted++ }

// Unasked returns the number of arrivals beyond the first for which no retry was taken.
func (a *Arrivals) Unasked() int { return max(0, a.counted-1-a.taken) }
