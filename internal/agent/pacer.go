package agent

import (
	"sync"
	"time"
)

// pacer shares the link of each source availability zone: a transfer begins
// when those before it are through. A pacer of rate 0 lets all pass.
type pacer struct {
	// rate is in bytes a second.
	rate int64

	mu sync.Mutex
	// free is when each zone's link is free. It is guarded by mu.
	free map[string]time.Duration
}

func newPacer(rate int64) *pacer {
	return &pacer{rate: rate, free: make(map[string]time.Duration)}
}

// cost is the time that a transfer of size bytes takes on an empty link.
func (p *pacer) cost(size int64) time.Duration {
	if p.rate <= 0 {
		return 0
	}
	return time.Duration(float64(size) / float64(p.rate) * float64(time.Second))
}

// take books the link for size bytes and returns the wait before they may be
// sent. It books nothing and returns -1 if the wait were above longest.
func (p *pacer) take(zone string, size int64, now, longest time.Duration) time.Duration {
	if p.rate <= 0 {
		return 0
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	begin := max(now, p.free[zone])
	if begin-now > longest {
		return -1
	}
	p.free[zone] = begin + p.cost(size)
	return begin - now
}
