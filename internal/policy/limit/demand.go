package limit

import (
	"math"
	"time"
)

const (
	// demandTime is the time over which a Demand is averaged.
	demandTime = 2 * time.Second
	// equalPart is the part of a limit that is divided equally, so that a gateway without
	// requests can serve the first ones. The rest follows the demand.
	equalPart = 0.25
)

// Demand measures a gateway's requests a second. It isn't safe for concurrent use.
type Demand struct {
	rate float64
	at   time.Time
}

// Count counts a request.
func (d *Demand) Count(now time.Time) {
	d.rate = d.Rate(now) + 1/demandTime.Seconds()
	d.at = now
}

// Rate returns the requests a second.
func (d *Demand) Rate(now time.Time) float64 {
	return d.rate * math.Exp(-max(0, now.Sub(d.at).Seconds())/demandTime.Seconds())
}

// DemandPart returns the part of each limit that a gateway gets whose demand is own, while that
// of all gateways is all, 0 if the limits are divided equally.
func DemandPart(own, all float64, gateways int) float64 {
	if all <= 0 || gateways < 1 {
		return 0
	}
	return equalPart/float64(gateways) + (1-equalPart)*own/all
}
