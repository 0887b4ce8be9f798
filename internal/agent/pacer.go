package agent

import (
	"sync"
	"time"
)

// pacer serialises KV cache transfers on the link from each source availability
// zone: a transfer starts when the previous ones should be complete. Rate 0
// disables it.
type pacer struct {
	// rate is in bytes per second.
	rate int64

	mu sync.Mutex
	// free is when the link of each zone becomes free. It is guarded by mu.
	free map[string]time.Duration
}

func newPacer(rate int64) *pacer {
	return &pacer{rate: rate, free: make(map[string]time.Duration)}
}

// cost returns the time that a transfer of size bytes takes on an idle link.
func (p *pacer) cost(size int64) time.Duration {
	if p.rate <= 0 {
		return 0
	}
	return time.Duration(float64(size) / float64(p.rate) * float64(time.Second))
}

// reserve reserves the link for size bytes and returns the wait before they may
// be sent. It reserves nothing and returns -1 if the wait would exceed longest.
func (p *pacer) reserve(zone string, size int64, now, longest time.Duration) time.Duration {
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
