package gateway

import (
	"sync"
	"time"
)

// pace learns how long a prefill takes for each token that is queued at its
// server, this gateway's own. What other gateways queue there is in it too.
type pace struct {
	mu sync.Mutex
	// perToken is guarded by mu.
	perToken time.Duration
}

const (
	// firstPace is assumed before anything was measured: 20 microseconds a
	// token, about what large engines need.
	firstPace = 20 * time.Microsecond
	// paceWeight is the weight of one measurement.
	paceWeight = 0.1
)

func newPace() *pace { return &pace{perToken: firstPace} }

// took notes that a prefill behind so many tokens, its own included, took d.
func (p *pace) took(tokens int, d time.Duration) {
	if tokens <= 0 {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	one := d / time.Duration(tokens)
	p.perToken += time.Duration(paceWeight * float64(one-p.perToken))
}

// wait returns the time that so many queued tokens take.
func (p *pace) wait(tokens int) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return time.Duration(tokens) * p.perToken
}
