package follow

import (
	"sync"
	"time"
)

// maxAnswerGap is the longest pause between two answers in which no outage can have
// made entries lapse: they lapse after three heartbeats.
const maxAnswerGap = 3500 * time.Millisecond

// Contact tracks for how long the platform has answered a process without a pause
// longer than maxAnswerGap and without an outage that the process noticed. Followers may
// share one. The zero value counts as not answered.
type Contact struct {
	mu sync.Mutex
	// The fields below are guarded by mu. failing is when calls began to fail, zero if
	// the last one was answered.
	since, last, failing time.Time
}

// answered records an answer received at now.
func (c *Contact) answered(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	inOutage := !c.failing.IsZero() && now.Sub(c.failing) >= outageThreshold
	if inOutage || now.Sub(c.last) > maxAnswerGap {
		c.since = now
	}
	c.last, c.failing = now, time.Time{}
}

// failed records a call that failed at now.
func (c *Contact) failed(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.failing.IsZero() {
		c.failing = now
	}
}

// For returns for how long the platform has been answering at now, or 0 if it isn't.
func (c *Contact) For(now time.Time) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.failing.IsZero() || now.Sub(c.last) > maxAnswerGap {
		return 0
	}
	return now.Sub(c.since)
}
