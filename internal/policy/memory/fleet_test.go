package memory

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// engines is a set of engines with callers waiting for room.
type engines struct {
	fleet
	lengths Lengths
	running [][]trueGeneration
	// needs are the sums over running, as of the start of a step plus what was placed
	// since.
	needs []Need
}

const (
	testRisk = 1.65
	testHeld = 0.5
	// testTimeout is how long a caller waits for room.
	testTimeout = 500 * time.Millisecond
)

// place starts x on the least loaded engine where it fits, if there is one.
func (e *engines) place(x trueGeneration) bool {
	x.Reserved = x.Prompt + int(testHeld*float64(e.lengths.Expected(x.Generation)))
	need := e.lengths.Need(x.Generation, testPace)
	best := -1
	for i, others := range e.needs {
		if (best < 0 || others.Peak() < e.needs[best].Peak()) && e.lengths.Fits(e.capacity, others, need, testRisk) {
			best = i
		}
	}
	if best < 0 || used(append(slices.Clone(e.running[best]), x)) > e.capacity {
		return false
	}
	e.running[best] = append(e.running[best], x)
	e.needs[best] = e.needs[best].Plus(need)
	return true
}

// step advances all engines by testStep, and returns how many generations were
// preempted.
func (e *engines) step() (preempted int) {
	for i, running := range e.running {
		kept := running[:0]
		for _, x := range running {
			x.Written += int(testPace * testStep.Seconds())
			if x.Written >= x.output {
				x.Written = x.output
				e.lengths.Finished(x.Generation)
				continue
			}
			kept = append(kept, x)
		}
		for used(kept) > e.capacity {
			n := newestUncovered(kept)
			kept = append(kept[:n], kept[n+1:]...)
			preempted++
		}
		e.running[i] = kept
		e.needs[i] = Need{}
		for _, x := range kept {
			e.needs[i] = e.needs[i].Plus(e.lengths.Need(x.Generation, testPace))
		}
	}
	return preempted
}

// served counts the results of all generations and of the largest tenth.
type served struct{ all, allInTime, large, largeInTime, preempted int }

// serve simulates a steady load that uses a fraction of the memory of n engines on
// average.
func (e *engines) serve(seed uint64, n int, part float64, lasts time.Duration) served {
	rnd := rand.New(rand.NewPCG(seed, 7))
	e.running, e.needs = make([][]trueGeneration, n), make([]Need, n)
	sizes, seconds := make([]int, 500), 0.0
	for i := range sizes {
		x := e.draw(rnd)
		sizes[i] = x.Prompt + x.output
		seconds += (float64(x.Prompt) + float64(x.output)/2) * float64(x.output) / testPace / float64(len(sizes))
	}
	slices.Sort(sizes)
	large := sizes[len(sizes)*9/10]
	each := part * float64(n*e.capacity) / seconds * testStep.Seconds()
	type waiting struct {
		trueGeneration
		until time.Duration
	}
	var queue []waiting
	var out served
	credit := 0.0
	for now := time.Duration(0); now < lasts; now += testStep {
		for credit += each; credit >= 1; credit-- {
			queue = append(queue, waiting{e.draw(rnd), now + testTimeout})
		}
		rest := queue[:0]
		for _, w := range queue {
			inTime := e.place(w.trueGeneration)
			if !inTime && now < w.until {
				rest = append(rest, w)
				continue
			}
			out.count(inTime, w.Prompt+w.output >= large)
		}
		queue = rest
		out.preempted += e.step()
	}
	return out
}

func (s *served) count(inTime, large bool) {
	s.all++
	if large {
		s.large++
	}
	if inTime {
		s.allInTime++
	}
	if inTime && large {
		s.largeInTime++
	}
}

// Random fleets of two to forty engines, each for six to forty generations, with
// prompts and outputs of some hundred to many thousand tokens, biased hints, and a
// third to two thirds of all memory in use on average. Large generations must not
// starve: the largest tenth is served in time at least half as often as all. The margin
// must hold: few generations are preempted.
func TestLargeGenerationsDontStarve(t *testing.T) {
	const fleets = 20
	rnd := rand.New(rand.NewPCG(3, 4))
	between := func(a, b float64) float64 { return a + (b-a)*rnd.Float64() }
	begun, preempted := 0, 0
	for i := range uint64(fleets) {
		f := fleet{
			prompt: between(200, 20_000), output: between(200, 4000), spread: between(0.1, 0.7),
			guesses: between(0.1, 0.7), bias: between(0.5, 2),
		}
		f.capacity = int(between(6, 40) * (f.prompt + f.output))
		part, n := between(0.33, 0.67), int(between(2, 40))
		lasts := time.Duration(8 * f.output / testPace * float64(time.Second))
		got := (&engines{fleet: f}).serve(i, n, part, lasts)
		begun += got.allInTime
		preempted += got.preempted
		all, large := float64(got.allInTime)/float64(got.all), float64(got.largeInTime)/float64(max(1, got.large))
		assert.Check(t, large >= all/2, "%d engines, %.2f used, %+v: %.2f of all in time, %.2f of the largest tenth", n, part, f, all, large)
		assert.Check(t, got.preempted <= got.allInTime/4, "%d engines, %.2f used, %+v: %+v", n, part, f, got)
	}
	t.Logf("%d began, %.1f%% preempted", begun, 100*float64(preempted)/float64(begun))
	assert.Check(t, preempted <= begun/20)
}
