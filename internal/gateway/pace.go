package gateway

import (
	"sync"
	"time"
)

// prefillSpeed is a moving average of the prefill time for each token that is queued
// at the server. Where the peers' load is unknown, their tokens in the queue are
// included in the time.
type prefillSpeed struct {
	mu sync.Mutex
	// timePerToken is guarded by mu.
	timePerToken time.Duration
}

const (
	// initialTimePerToken is assumed before the first measurement: about the time that
	// large engines take.
	initialTimePerToken = 20 * time.Microsecond
	// prefillSpeedWeight is the weight of one measurement in the average.
	prefillSpeedWeight = 0.1
)

func newPrefillSpeed() *prefillSpeed { return &prefillSpeed{timePerToken: initialTimePerToken} }

// record adds a prefill that took d behind so many queued tokens, its own included.
func (p *prefillSpeed) record(tokens int, d time.Duration) {
	if tokens <= 0 {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	one := d / time.Duration(tokens)
	p.timePerToken += time.Duration(prefillSpeedWeight * float64(one-p.timePerToken))
}

// estimate returns the expected prefill time of so many queued tokens.
func (p *prefillSpeed) estimate(tokens int) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return time.Duration(tokens) * p.timePerToken
}
