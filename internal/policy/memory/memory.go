// Package memory predicts how much KV cache memory generations will need on an engine,
// and decides whether one more fits.
//
// A generation grows with each token that it writes and releases all of its memory at
// its end. Reserving each one's greatest size from its start leaves a third of an
// engine unused. Adding up what all need at each of several future times doesn't, since
// some end while others grow.
//
// The package holds no clock, random source or lock; all values are passed in.
package memory

import (
	"math"
	"time"
)

// HorizonCount is the number of future times for which need is predicted.
const HorizonCount = 8

// Horizons are the times from now for which need is predicted: closely spaced for
// generations that last some tenths of a second, and far enough for some tens of
// seconds. They must be the same in all gateways, which exchange Needs.
var Horizons = [HorizonCount]time.Duration{
	0, 100 * time.Millisecond, 300 * time.Millisecond, 700 * time.Millisecond,
	1300 * time.Millisecond, 2200 * time.Millisecond, 6 * time.Second, 20 * time.Second,
}

// Need is the number of tokens expected to be in use at each of the Horizons.
type Need [HorizonCount]float64

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

// PeakAhead returns the greatest need at the horizons after now.
func (n Need) PeakAhead() float64 {
	n[0] = 0
	return n.Peak()
}

// Peak returns the greatest need at all horizons.
func (n Need) Peak() float64 {
	most := n[0]
	for _, x := range n[1:] {
		most = max(most, x)
	}
	return most
}

// Generation describes a running or requested generation.
type Generation struct {
	// Prompt, Hint and MaxOutput are in tokens. Hint is the caller's estimate of the
	// output, 0 for none.
	Prompt, Hint, MaxOutput int
	// Reserved is the number of tokens reserved for it, whether it uses them or not.
	Reserved int
	// Written is the number of tokens that it has written so far.
	Written int
}

// estimate is a log-normal distribution of a generation's output: mean and standard
// deviation of its logarithm.
type estimate struct{ mean, deviation float64 }

// survival is the probability that the output is longer than the given number of
// tokens.
func (g estimate) survival(tokens float64) float64 {
	if tokens <= 0 {
		return 1
	}
	return math.Erfc((math.Log(tokens)-g.mean)/(g.deviation*math.Sqrt2)) / 2
}

// minSurvival is the probability below which an estimate isn't used any more: a
// generation that has exceeded it is taken to continue or end with even chances.
const minSurvival = 1e-6

// stillRunning is the probability that a generation that has written so many tokens
// still runs after more of them.
func (g estimate) stillRunning(written, more float64) float64 {
	so := g.survival(written)
	switch {
	case more == 0:
		return 1
	case so < minSurvival:
		return 0.5
	}
	return g.survival(written+more) / so
}

// Need predicts what x needs. pace is the number of tokens that a generation writes per
// second.
func (l *Lengths) Need(x Generation, pace float64) Need {
	g := l.estimate(x)
	written := float64(x.Written)
	var n Need
	for i, d := range Horizons {
		more := pace * d.Seconds()
		if i > 0 && x.MaxOutput > 0 && written+more > float64(x.MaxOutput) {
			break
		}
		size := math.Max(float64(x.Reserved), float64(x.Prompt)+written+more)
		n[i] = size * g.stillRunning(written, more)
	}
	return n
}

// Expected is the expected output of a generation, in tokens.
func (l *Lengths) Expected(x Generation) int {
	g := l.estimate(x)
	out := math.Exp(g.mean)
	if x.MaxOutput > 0 {
		out = math.Min(out, float64(x.MaxOutput))
	}
	return int(out)
}

// Fits reports whether x fits beside the expected need of the others on an engine of
// the given capacity in tokens.
//
// risk is the number of standard deviations kept free, since some generations write
// more than expected, some end later, and those started in the last moments aren't
// known to other gateways yet. The need with its margin is taken to be at most what is
// needed if each writes twice the median output beyond what it uses now. An idle engine
// fits any generation, as the engine itself refuses one that exceeds its capacity; with
// a margin a large generation would never fit anywhere.
func (l *Lengths) Fits(capacity int, others, x Need, risk float64) bool {
	if others == (Need{}) {
		return true
	}
	sum := others.Plus(x)
	size := math.Max(l.weightedMeanSize(), x.Peak())
	longest := sum[0] * (1 + 2*l.medianOutput()/size)
	for _, mean := range sum {
		if math.Min(longest, mean+risk*deviation(mean, size)) > float64(capacity) {
			return false
		}
	}
	return true
}

// needSpread is the standard deviation of one generation's need at a horizon, as a
// fraction of its size: it either runs or has ended.
const needSpread = 0.4

// deviation is the standard deviation of the summed need of generations of a given
// size.
func deviation(mean, size float64) float64 { return needSpread * math.Sqrt(mean*size) }
