package follow

import (
	"sync"
	"time"
)

// MaxAnswerGap is the longest pause between two answers in which no outage can have
// made entries lapse: they lapse after three heartbeats.
const MaxAnswerGap = 3500 * time.Millisecond

// Availability tracks for how long the platform has answered a process without a pause
// longer than MaxAnswerGap and without an outage that the process noticed. Followers may
// share one. The zero value counts as not answered.
type Availability struct {
	mu sync.Mutex
	// The fields below are guarded by mu. failing is when calls began to fail, zero if
	// the last one was answered.
	since, last, failing time.Time
}

// answered records an answer received at now.
func (a *Availability) answered(now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	inOutage := !a.failing.IsZero() && now.Sub(a.failing) >= outageThreshold
	if inOutage || now.Sub(a.last) > MaxAnswerGap {
		a.since = now
	}
	a.last, a.failing = now, time.Time{}
}

// failed records a call that failed at now.
func (a *Availability) failed(now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.failing.IsZero() {
		a.failing = now
	}
}

// AvailableFor returns for how long the platform has been answering at now, or 0 if it isn't.
func (a *Availability) AvailableFor(now time.Time) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.failing.IsZero() || now.Sub(a.last) > MaxAnswerGap {
		return 0
	}
	return now.Sub(a.since)
}
