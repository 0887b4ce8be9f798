package backlog

import (
	"time"

	"jayford.example/jayford/internal/policy/speed"
)

const (
	// busyShare of the objective is the shortest expected prefill above which prefill is taken
	// to be what requests wait for.
	busyShare = 1.0 / 8
	// modeHold is for how long a mode lasts after its reason has gone: a wave's trough doesn't
	// end it.
	modeHold = 15 * time.Second
)

// Mode decides whether a service's prefill engines are compared by expected time instead of
// booked tokens. The zero value compares by tokens.
type Mode struct {
	byTime bool
	// reasonAt is when there was last a reason to compare by time.
	reasonAt time.Time
}

// Conditions are what the decision rests on.
type Conditions struct {
	// Shortest is the shortest expected prefill at any engine of the service.
	Shortest, Objective time.Duration
	// Spread is the ratio of the slowest to the fastest engine, 1 if unknown.
	Spread float64
}

// Update returns whether engines are compared by time now, and whether this has changed.
func (m *Mode) Update(now time.Time, c Conditions) (byTime, changed bool) {
	if c.Spread >= speed.UnevenSpread || c.Objective > 0 && float64(c.Shortest) > busyShare*float64(c.Objective) {
		m.reasonAt = now
	}
	before := m.byTime
	m.byTime = !m.reasonAt.IsZero() && now.Sub(m.reasonAt) < modeHold
	return m.byTime, m.byTime != before
}
