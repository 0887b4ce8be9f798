package memory

import "math"

const (
	// firstSpread is the deviation of the logarithm of a guess before outputs were
	// seen: one in three is off by more than 1.6 times, up or down.
	firstSpread = 0.5
	// leastSeen is how many outputs must have been seen before they count.
	leastSeen = 12
	// lengthWeight is the weight of one more output, once many were seen.
	lengthWeight = 0.02
	// leastSpread keeps a guess from being taken for certain.
	leastSpread = 0.1
)

// moments are a running mean and variance.
type moments struct {
	n              int
	mean, variance float64
}

func (m *moments) add(x float64) {
	m.n++
	w := math.Max(lengthWeight, 1/float64(m.n))
	d := x - m.mean
	m.mean += w * d
	m.variance = (1 - w) * (m.variance + w*d*d)
}

// Lengths learns how long outputs are and how far callers' guesses are off. It is
// guarded by its owner.
type Lengths struct {
	// outputs are logarithms of outputs; errors those of hint by output.
	outputs, errors moments
	// sizes are in tokens, prompt and output together.
	sizes moments
}

// size is the mean size of a generation weighted by itself: a few large ones make a
// sum vary more than many small ones.
func (l *Lengths) size() float64 {
	if l.sizes.n == 0 {
		return 0
	}
	return l.sizes.mean + l.sizes.variance/l.sizes.mean
}

// usual is the median output, without bound before any was seen.
func (l *Lengths) usual() float64 {
	if l.outputs.n == 0 {
		return math.Inf(1)
	}
	return math.Exp(l.outputs.mean)
}

// Finished notes that a generation has ended by itself.
func (l *Lengths) Finished(x Generation) {
	if x.Written <= 0 {
		return
	}
	l.sizes.add(float64(x.Prompt + x.Written))
	out := math.Log(float64(x.Written))
	l.outputs.add(out)
	if x.Hint > 0 {
		l.errors.add(math.Log(float64(x.Hint)) - out)
	}
}

// guess joins the caller's guess with what outputs are in general, each by how
// far off it mostly is: a guess of twice the usual is rarely right.
func (l *Lengths) guess(x Generation) guess {
	known := l.outputs.n >= leastSeen
	hinted := x.Hint > 0
	switch {
	case !hinted && !known:
		return guess{math.Log(math.Max(1, float64(x.MaxOutput)/2)), firstSpread}
	case !hinted:
		return guess{l.outputs.mean, math.Max(leastSpread, math.Sqrt(l.outputs.variance))}
	case !known || l.errors.n < leastSeen:
		return guess{math.Log(float64(x.Hint)), firstSpread}
	}
	hint := math.Log(float64(x.Hint)) - l.errors.mean
	vo := math.Max(leastSpread*leastSpread, l.outputs.variance)
	ve := math.Max(leastSpread*leastSpread, l.errors.variance)
	w := vo / (vo + ve)
	return guess{w*hint + (1-w)*l.outputs.mean, math.Sqrt(vo * ve / (vo + ve))}
}
