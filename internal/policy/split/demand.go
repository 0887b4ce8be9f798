package split

import (
	"slices"
	"time"
)

const (
	// rateWindow is the time over which a gateway's rate of prompt tokens is measured.
	rateWindow = time.Second
	// promptWeight is the weight of one prompt in the mean size.
	promptWeight = 0.05
	// defaultTokenTime is assumed before the first measurements: about what large engines
	// take.
	defaultTokenTime = 20 * time.Microsecond
	// minTokenTimes is how many measurements count, maxTokenTimes how many are kept. Engines
	// that are slow for a moment are a seventh of them, which a median isn't moved by.
	minTokenTimes = 3
	maxTokenTimes = 15
	// maxTokenTime is the longest plausible time for a token: an engine as slow would read a
	// prompt of 1,000 tokens in 10 s.
	maxTokenTime = 10 * time.Millisecond
)

type arrival struct {
	at     time.Time
	tokens int
}

// Demand measures a gateway's prompts. The zero value has seen none. It isn't safe for
// concurrent use.
type Demand struct {
	arrivals []arrival
	mean     float64
	times    []time.Duration
}

// Count counts a prompt.
func (d *Demand) Count(now time.Time, tokens int) {
	d.prune(now)
	d.arrivals = append(d.arrivals, arrival{now, tokens})
	if d.mean == 0 {
		d.mean = float64(tokens)
	}
	d.mean += promptWeight * (float64(tokens) - d.mean)
}

func (d *Demand) prune(now time.Time) {
	d.arrivals = slices.DeleteFunc(d.arrivals, func(a arrival) bool { return now.Sub(a.at) >= rateWindow })
}

// Rate returns the prompt tokens a second.
func (d *Demand) Rate(now time.Time) float64 {
	d.prune(now)
	sum := 0
	for _, a := range d.arrivals {
		sum += a.tokens
	}
	return float64(sum) / rateWindow.Seconds()
}

// Prompt returns the mean size of a prompt, 0 if there was none.
func (d *Demand) Prompt() float64 { return d.mean }

// RecordAlone records how long the prefill of so many tokens took at an engine that had no
// other known prompt.
func (d *Demand) RecordAlone(tokens int, took time.Duration) {
	if tokens <= 0 || took <= 0 || took/time.Duration(tokens) > maxTokenTime {
		return
	}
	if len(d.times) == maxTokenTimes {
		d.times = slices.Delete(d.times, 0, 1)
	}
	d.times = append(d.times, took/time.Duration(tokens))
}

// TokenTime returns the time for each token of a prefill that is alone at an engine: the
// median of the last ones.
func (d *Demand) TokenTime() time.Duration {
	if len(d.times) < minTokenTimes {
		return defaultTokenTime
	}
	sorted := slices.Clone(d.times)
	slices.Sort(sorted)
	return sorted[len(sorted)/2]
}
