// Package memory foresees how much memory generations will need at an engine, and
// says whether one more fits.
//
// A generation grows by each token that it writes and gives all of its memory back
// at its end. Room for each one's greatest size, taken from its begin on, leaves a
// third of an engine unused; room for what all need together at each moment to come
// doesn't, since some end while others grow.
//
// Everything here is computed from values that are handed in: it holds no clock,
// no random source and no lock.
package memory

import (
	"math"
	"time"
)

// Moments is how many moments to come are looked at.
const Moments = 8

// Ahead are the moments, from now: close beside generations that last some tenths of
// a second, and far enough for some tens of seconds. All gateways look at the same.
var Ahead = [Moments]time.Duration{
	0, 100 * time.Millisecond, 300 * time.Millisecond, 700 * time.Millisecond,
	1300 * time.Millisecond, 2200 * time.Millisecond, 6 * time.Second, 20 * time.Second,
}

// Need is how many tokens are expected to be needed at each of the moments Ahead.
type Need [Moments]float64

// Plus returns the sum.
func (n Need) Plus(o Need) Need {
	for i := range n {
		n[i] += o[i]
	}
	return n
}

// Minus returns the difference.
func (n Need) Minus(o Need) Need {
	for i := range n {
		n[i] -= o[i]
	}
	return n
}

// Later is the greatest of the moments to come.
func (n Need) Later() float64 {
	n[0] = 0
	return n.Peak()
}

// Peak is the greatest of the moments.
func (n Need) Peak() float64 {
	most := n[0]
	for _, x := range n[1:] {
		most = max(most, x)
	}
	return most
}

// Generation is what is known of one.
type Generation struct {
	// Prompt, Hint and MaxOutput are in tokens; Hint is the caller's own guess of
	// the output, 0 for none.
	Prompt, Hint, MaxOutput int
	// Held is the memory that is kept for it whether it needs that or not.
	Held int
	// Written is how many tokens it has written so far.
	Written int
}

// guess is what is believed of a generation's output: its logarithm is normal.
type guess struct{ mean, deviation float64 }

// survival is the probability that the output is longer than so many tokens.
func (g guess) survival(tokens float64) float64 {
	if tokens <= 0 {
		return 1
	}
	return math.Erfc((math.Log(tokens)-g.mean)/(g.deviation*math.Sqrt2)) / 2
}

// leastSurvival is where the guess is no guide any more: a generation that has
// outlived it goes on or ends with even chances.
const leastSurvival = 1e-6

// lasts is the probability that it still runs with more tokens written.
func (g guess) lasts(written, more float64) float64 {
	so := g.survival(written)
	switch {
	case more == 0:
		return 1
	case so < leastSurvival:
		return 0.5
	}
	return g.survival(written+more) / so
}

// Need foresees what x needs. pace is how many tokens one writes in a second.
func (l *Lengths) Need(x Generation, pace float64) Need {
	g := l.guess(x)
	written := float64(x.Written)
	var n Need
	for i, d := range Ahead {
		more := pace * d.Seconds()
		if i > 0 && x.MaxOutput > 0 && written+more > float64(x.MaxOutput) {
			break
		}
		size := math.Max(float64(x.Held), float64(x.Prompt)+written+more)
		n[i] = size * g.lasts(written, more)
	}
	return n
}

// Expected is the output that a generation is expected to write, in tokens.
func (l *Lengths) Expected(x Generation) int {
	g := l.guess(x)
	out := math.Exp(g.mean)
	if x.MaxOutput > 0 {
		out = math.Min(out, float64(x.MaxOutput))
	}
	return int(out)
}

// Fits reports whether x has room beside what an engine of so many tokens is
// expected to need. risk is how many standard deviations are kept free: some write
// more than expected, some end later, and of what came in the last moments nobody
// else knows yet. No more is kept than for each to write twice the usual output. An
// engine with nothing on it has room for any that it can hold at all, which it says
// itself: with a margin a large one would find room nowhere and never.
func (l *Lengths) Fits(capacity int, others, x Need, risk float64) bool {
	if others == (Need{}) {
		return true
	}
	sum := others.Plus(x)
	size := math.Max(l.size(), x.Peak())
	longest := sum[0] * (1 + 2*l.usual()/size)
	for _, mean := range sum {
		if math.Min(longest, mean+risk*deviation(mean, size)) > float64(capacity) {
			return false
		}
	}
	return true
}

// spread is the standard deviation of one generation's need at a moment to come, as
// a part of its size: it runs or it has ended.
const spread = 0.4

// deviation is that of the sum of generations of such a size.
func deviation(mean, size float64) float64 { return spread * math.Sqrt(mean*size) }
