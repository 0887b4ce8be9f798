package entry

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"jayford.example/jayford/internal/policy/retry"
)

const (
	// hedgeRatio bounds hedges to a fraction of the calls. Without a bound an
	// overloaded, slow service would get twice its load.
	hedgeRatio = 0.06
	// hedgeMinPerSecond refills the burst of a pool that gets few calls.
	hedgeMinPerSecond = 0.03
	// hedgeBurst is enough to doubt a frozen server, which takes two overtaken tries. The
	// bursts of all entries add up when all servers become slow at once.
	hedgeBurst        = 2
	hedgeMinDelay     = 5 * time.Millisecond
	hedgeDefaultDelay = 50 * time.Millisecond
	hedgePercentile   = 95
	// latencyWindow is the number of calls after which a new histogram starts.
	latencyWindow     = 1000
	latencyMinSamples = 20
)

func newHedgeBudget() *retry.Budget {
	return retry.NewBudget(retry.Options{Ratio: hedgeRatio, MinPerSecond: hedgeMinPerSecond, Burst: hedgeBurst})
}

// latencies tracks call latencies in two histograms, the current window and the
// one before.
type latencies struct {
	mu sync.Mutex
	// All below is guarded by mu.
	current  *hdrhistogram.Histogram
	previous *hdrhistogram.Histogram
}

func newLatencies() *latencies {
	h := func() *hdrhistogram.Histogram {
		return hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 2)
	}
	return &latencies{current: h(), previous: h()}
}

func (l *latencies) add(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	_ = l.current.RecordValue(d.Microseconds())
	if l.current.TotalCount() >= latencyWindow {
		l.current, l.previous = l.previous, l.current
		l.current.Reset()
	}
}

// hedgeDelay returns how long to wait for an answer before sending a hedge.
func (l *latencies) hedgeDelay() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	h := l.previous
	if h.TotalCount() == 0 {
		h = l.current
	}
	if h.TotalCount() < latencyMinSamples {
		return hedgeDefaultDelay
	}
	d := time.Duration(h.ValueAtPercentile(hedgePercentile)) * time.Microsecond
	return max(d, hedgeMinDelay)
}
