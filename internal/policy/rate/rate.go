// Package rate measures how often something happens. It has no clock.
package rate

import (
	"math"
	"time"
)

// Average is an exponentially weighted moving average of events per second. The zero value has
// seen none. All calls on it must give the same time constant. It isn't safe for concurrent use.
type Average struct {
	// perSecond is the average as of at.
	perSecond float64
	at        time.Time
}

// Count counts an event.
func (a *Average) Count(now time.Time, timeConstant time.Duration) {
	a.perSecond = a.PerSecond(now, timeConstant) + 1/timeConstant.Seconds()
	a.at = now
}

// PerSecond returns the average.
func (a *Average) PerSecond(now time.Time, timeConstant time.Duration) float64 {
	return a.perSecond * math.Exp(-max(0, now.Sub(a.at).Seconds())/timeConstant.Seconds())
}
