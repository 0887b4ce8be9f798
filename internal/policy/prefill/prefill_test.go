package prefill

import (
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

const long = 6000

// fleet simulates prefill engines that fail some of the prompts, and counts the
// results.
type fleet struct {
	rnd *rand.Rand
	// dead is the fraction of engines that refuse connections, lossy that of responses
	// that are lost.
	dead, lossy float64
	// budget is the number of retries left.
	budget int

	read, left, heldUp, givenUp, arrivals int
}

// prompt has one prompt of the given number of tokens read while other streams run.
func (f *fleet) prompt(tokens int) {
	var r Attempts
	p := Prompt{StallsStreams: tokens >= long}
	for {
		step := r.Next(p)
		if step == RetryOnBudget {
			if f.budget == 0 {
				step = r.WithoutBudget(p)
			} else {
				f.budget--
				r.Charged()
			}
		}
		switch step {
		case Refuse:
			f.givenUp++
			return
		case FallBack:
			f.left++
			if p.StallsStreams {
				f.heldUp++
			}
			return
		case Send, RetryOnBudget:
		}
		if f.rnd.Float64() < f.dead {
			r.Failed(Unreachable)
			continue
		}
		f.arrivals++
		if f.rnd.Float64() < f.lossy {
			r.Failed(Lost)
			continue
		}
		f.read++
		return
	}
}

func newFleet() *fleet { return &fleet{rnd: rand.New(rand.NewPCG(1, 2))} }

// burst has the given number of prompts read, two in five of them long.
func (f *fleet) burst(prompts int) {
	for range prompts {
		f.prompt(1000 + int(f.rnd.Float64()*8000))
	}
}

// A quarter of the prefill engines fails during a burst, and each of many gateways
// detects it by itself. Guards against leaving a prompt to the decode engine at the
// first refused connection, which stalled streams for a quarter of all prompts.
func TestBurstWithAQuarterOfTheEnginesLost(t *testing.T) {
	f := newFleet()
	f.dead = 0.25
	f.burst(1000)
	assert.Equal(t, f.arrivals, f.read, "a prompt that didn't reach an engine counts as a retry")
	assert.Assert(t, f.read >= 990, "%d of 1000 prompts read", f.read)
	assert.Equal(t, f.heldUp, 0)
}

// Responses of prefill engines are lost during a burst, and the retry budget is too
// small for all prompts. It must be spent on long ones. Long prompts without budget
// must not stall other streams, and short ones must not wait for the budget.
func TestTheBudgetGoesToLongPrompts(t *testing.T) {
	f := newFleet()
	f.lossy, f.budget = 0.1, 25
	f.burst(1000)
	assert.Equal(t, f.heldUp, 0)
	assert.Equal(t, f.budget, 0)
	assert.Assert(t, f.givenUp > 0 && f.givenUp < 25, "%d refused", f.givenUp)
	assert.Assert(t, f.left > 40, "%d short prompts left to decode engines", f.left)
}

// An engine that changes its stage refuses prompts for seconds. Each refusal counts as
// a retry, so the refusals of one prompt are bounded.
func TestRefusalsAreBounded(t *testing.T) {
	var r Attempts
	for range maxRefused {
		assert.Equal(t, r.Next(Prompt{}), Send)
		r.Failed(Refused)
	}
	assert.Equal(t, r.Next(Prompt{}), FallBack)
}

// An engine crashes while it writes streams, and their prompts are read again. The
// callers wait in the middle of an answer. They may use the retry budget if the prompt
// will be read in time or would stall other streams; otherwise it is left to the decode
// engine and doesn't queue before new requests that can still be in time. Without
// budget the answer continues all the same.
func TestPromptsOfStartedAnswers(t *testing.T) {
	for _, c := range []struct {
		p    Prompt
		want Step
	}{
		{Prompt{MayHaveRun: true, InTime: true}, RetryOnBudget},
		{Prompt{MayHaveRun: true, InTime: true, DecodeIdle: true}, RetryOnBudget},
		{Prompt{MayHaveRun: true}, FallBack},
		{Prompt{MayHaveRun: true, StallsStreams: true}, RetryOnBudget},
		{Prompt{MayHaveRun: true, StallsStreams: true, DecodeIdle: true}, FallBack},
	} {
		var r Attempts
		r.Done()
		assert.Equal(t, r.Next(c.p), c.want, "%+v", c.p)
		assert.Equal(t, r.WithoutBudget(c.p), FallBack)
	}
}

// Whatever fails: a request that may have run is never refused, nor is one whose prompt
// stalls no stream, and the number of attempts is bounded.
func TestAttemptsAreBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := Prompt{
			StallsStreams: rapid.Bool().Draw(t, "holds up"), DecodeIdle: rapid.Bool().Draw(t, "alone"), MayHaveRun: rapid.Bool().Draw(t, "begun"),
		}
		var r Attempts
		repeats := 0
		for range maxUnsent + maxRefused + 4 {
			step := r.Next(p)
			if step == RetryOnBudget {
				repeats++
				r.Charged()
				assert.Assert(t, repeats < maxLost+maxRefused-1, "too many retries")
			}
			switch step {
			case FallBack:
				return
			case Refuse:
				assert.Assert(t, p.StallsStreams && !p.DecodeIdle && !p.MayHaveRun)
				return
			case Send, RetryOnBudget:
				r.Failed(rapid.SampledFrom([]Failure{Unreachable, Refused, Lost}).Draw(t, "failure"))
			}
		}
		t.Fatal("too many attempts")
	})
}

// Guards against attempts on lost engines that aren't charged to the budget though no
// engine read the prompt, and against charging one twice.
func TestUnreadPromptIsChargedOnce(t *testing.T) {
	for _, c := range []struct {
		name string
		way  func(r *Attempts) (owed int)
		want int
	}{
		{"nothing arrived", func(r *Attempts) int { return owes(r.Failed(Unreachable)) }, 0},
		{"lost", func(r *Attempts) int { return owes(r.Failed(Lost)) }, 1},
		{"refused", func(r *Attempts) int { return owes(r.Failed(Refused)) }, 1},
		{"lost, and lost again on a charged retry", func(r *Attempts) int {
			n := owes(r.Failed(Lost))
			r.Charged()
			return n + owes(r.Failed(Lost))
		}, 1},
		{"lost, and read on a charged retry", func(r *Attempts) int {
			n := owes(r.Failed(Lost))
			r.Charged()
			r.Done()
			return n
		}, 0},
		{"read", func(r *Attempts) int {
			r.Done()
			return 0
		}, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			var r Attempts
			n := c.way(&r)
			n += owes(r.Abandoned())
			assert.Equal(t, n, c.want)
			assert.Assert(t, !r.Abandoned(), "charged twice")
		})
	}
}

func owes(owed bool) int {
	if owed {
		return 1
	}
	return 0
}
