package memory

import "math"

const (
	// initialDeviation is the standard deviation of the logarithm of a hint until
	// enough outputs were observed: one in three is off by a factor of more than 1.6,
	// up or down.
	initialDeviation = 0.5
	// minSamples is the number of observed outputs from which on they are used.
	minSamples = 12
	// lengthWeight is the weight of one more sample once there are many.
	lengthWeight = 0.02
	// minDeviation keeps an estimate from being treated as certain.
	minDeviation = 0.1
)

// runningMoments holds a running mean and variance.
type runningMoments struct {
	n              int
	mean, variance float64
}

func (m *runningMoments) add(x float64) {
	m.n++
	w := math.Max(lengthWeight, 1/float64(m.n))
	d := x - m.mean
	m.mean += w * d
	m.variance = (1 - w) * (m.variance + w*d*d)
}

// Lengths learns the distribution of output lengths and the error of callers' hints. It
// isn't safe for concurrent use.
type Lengths struct {
	// outputs are the logarithms of output lengths, errors those of the ratio of hint
	// to output.
	outputs, errors runningMoments
	// sizes are in tokens, prompt and output together.
	sizes runningMoments
}

// weightedMeanSize is the mean size of generations, weighted by size: a few large ones
// make a sum vary more than many small ones. It is 0 before any was observed.
func (l *Lengths) weightedMeanSize() float64 {
	if l.sizes.n == 0 {
		return 0
	}
	return l.sizes.mean + l.sizes.variance/l.sizes.mean
}

// medianOutput is the median output, or infinity before any was observed.
func (l *Lengths) medianOutput() float64 {
	if l.outputs.n == 0 {
		return math.Inf(1)
	}
	return math.Exp(l.outputs.mean)
}

// Finished records a generation that ran to its end.
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

// estimate combines the caller's hint, corrected by the mean error of hints, with the
// distribution of outputs. Each is weighted by the inverse of its variance: a hint of
// twice the usual output is rarely right.
func (l *Lengths) estimate(x Generation) estimate {
	known := l.outputs.n >= minSamples
	hinted := x.Hint > 0
	switch {
	case !hinted && !known:
		return estimate{math.Log(math.Max(1, float64(x.MaxOutput)/2)), initialDeviation}
	case !hinted:
		return estimate{l.outputs.mean, math.Max(minDeviation, math.Sqrt(l.outputs.variance))}
	case !known || l.errors.n < minSamples:
		return estimate{math.Log(float64(x.Hint)), initialDeviation}
	}
	hint := math.Log(float64(x.Hint)) - l.errors.mean
	vo := math.Max(minDeviation*minDeviation, l.outputs.variance)
	ve := math.Max(minDeviation*minDeviation, l.errors.variance)
	w := vo / (vo + ve)
	return estimate{w*hint + (1-w)*l.outputs.mean, math.Sqrt(vo * ve / (vo + ve))}
}
