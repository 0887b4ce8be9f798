package entry

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// hedgeRatio bounds the extra calls by hedges: each call earns a part of
	// one. Without a bound a slow service would get twice its load when it can
	// bear it least.
	hedgeRatio     = 0.08
	hedgeLeastRate = 0.2
	hedgeBurst     = 4
	hedgeLeast     = 5 * time.Millisecond
	hedgeDefault   = 50 * time.Millisecond
	hedgePercent   = 95
	// latencyWindow is after how many calls the histogram starts anew.
	latencyWindow = 1000
	latencyFew    = 20
)

// latencies measures how long calls take.
type latencies struct {
	mu sync.Mutex
	// All below is guarded by mu.
	now  *hdrhistogram.Histogram
	last *hdrhistogram.Histogram
}

func newLatencies() *latencies {
	h := func() *hdrhistogram.Histogram {
		return hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 2)
	}
	return &latencies{now: h(), last: h()}
}

func (l *latencies) add(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	_ = l.now.RecordValue(d.Microseconds())
	if l.now.TotalCount() >= latencyWindow {
		l.now, l.last = l.last, l.now
		l.now.Reset()
	}
}

// hedgeAfter returns how long a call may take before another server is asked.
func (l *latencies) hedgeAfter() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	h := l.last
	if h.TotalCount() == 0 {
		h = l.now
	}
	if h.TotalCount() < latencyFew {
		return hedgeDefault
	}
	d := time.Duration(h.ValueAtPercentile(hedgePercent)) * time.Microsecond
	return max(d, hedgeLeast)
}
