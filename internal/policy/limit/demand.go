package limit

import (
	"time"

	"jayford.example/jayford/internal/policy/rate"
)

const (
	// demandTime is the time over which a Demand is averaged.
	demandTime = 2 * time.Second
	// equalPart is the part of a limit that is divided equally, so that a gateway without
	// requests can serve the first ones. The rest follows the demand.
	equalPart = 0.25
)

// Demand measures a gateway's requests a second. It isn't safe for concurrent use.
type Demand struct{ requests rate.Average }

// Count counts a request.
func (d *Demand) Count(now time.Time) { d.requests.Count(now, demandTime) }

// Rate returns the requests a second.
func (d *Demand) Rate(now time.Time) float64 { return d.requests.PerSecond(now, demandTime) }

// DemandPart returns the part of each limit that a gateway gets whose demand is own, while that
// of all gateways is all, 0 if the limits are divided equally.
func DemandPart(own, all float64, gateways int) float64 {
	if all <= 0 || gateways < 1 {
		return 0
	}
	return equalPart/float64(gateways) + (1-equalPart)*own/all
}
