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
	// minPrefills is how many prefills count, maxPrefills how many are kept. Engines that are
	// slow for a moment are a seventh of them, which a median isn't moved by.
	minPrefills = 3
	maxPrefills = 24
	// minDifference is the least difference in tokens of two prefills that tells the time for a
	// token, minPairs how many such pairs count.
	minDifference = 1000
	minPairs      = 8
	// minTokenTime and maxTokenTime bound the plausible time for a token: an engine as slow as
	// the latter would read a prompt of 1,000 tokens in 10 s.
	minTokenTime = time.Microsecond
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
	prefills []prefill
	recent   []finished
}

// finished is a prefill that ended at a time.
type finished struct {
	at   time.Time
	took time.Duration
}

// prefill is one that was alone at its engine.
type prefill struct {
	tokens int
	took   time.Duration
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

const (
	// recentWindow is how long a prefill counts as recent, minRecent how many tell something.
	recentWindow = 5 * time.Second
	minRecent    = 3
)

// RecordPrefill records how long a prefill took, its queue included.
func (d *Demand) RecordPrefill(now time.Time, took time.Duration) {
	d.recent = slices.DeleteFunc(d.recent, func(f finished) bool { return now.Sub(f.at) >= recentWindow })
	d.recent = append(d.recent, finished{now, took})
}

// Recent returns how long recent prefills took on average, 0 if there were too few.
func (d *Demand) Recent(now time.Time) time.Duration {
	sum, n := time.Duration(0), 0
	for _, f := range d.recent {
		if now.Sub(f.at) < recentWindow {
			sum, n = sum+f.took, n+1
		}
	}
	if n < minRecent {
		return 0
	}
	return sum / time.Duration(n)
}

// RecordAlone records how long the prefill of so many tokens took at an engine that had no
// other known prompt.
func (d *Demand) RecordAlone(tokens int, took time.Duration) {
	if tokens <= 0 || took <= 0 || took/time.Duration(tokens) > maxTokenTime {
		return
	}
	if len(d.prefills) == maxPrefills {
		d.prefills = slices.Delete(d.prefills, 0, 1)
	}
	d.prefills = append(d.prefills, prefill{tokens, took})
}

// Times returns the time for each token of a prefill that is alone at an engine, and the latency
// that doesn't depend on its tokens, such as that of the network and of an engine's first step.
// A prefill's whole duration divided by its tokens would count that latency as work.
func (d *Demand) Times() (perToken, latency time.Duration) {
	perToken = d.slope()
	if len(d.prefills) < minPrefills {
		return perToken, 0
	}
	rest := make([]time.Duration, 0, len(d.prefills))
	for _, p := range d.prefills {
		rest = append(rest, max(0, p.took-time.Duration(p.tokens)*perToken))
	}
	return perToken, median(rest)
}

// slope returns the median over all pairs of prefills of the time that more tokens take.
func (d *Demand) slope() time.Duration {
	var slopes []time.Duration
	for i, a := range d.prefills {
		for _, b := range d.prefills[:i] {
			if n := a.tokens - b.tokens; n >= minDifference || n <= -minDifference {
				slopes = append(slopes, (a.took-b.took)/time.Duration(n))
			}
		}
	}
	if len(slopes) < minPairs {
		return defaultTokenTime
	}
	return min(max(minTokenTime, median(slopes)), maxTokenTime)
}

func median(list []time.Duration) time.Duration {
	slices.Sort(list)
	return list[len(list)/2]
}
