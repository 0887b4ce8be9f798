package place

import (
	"time"

	"jayford.example/jayford/internal/policy/rate"
)

const (
	// rateTimeConstant is the time constant of the moving average of this gateway's
	// placement rate.
	rateTimeConstant = 5 * time.Second
	// propagationDelay is how long it takes until the other gateways see a placement: the
	// server's response, the batching of updates and the network latency.
	propagationDelay = 15 * time.Millisecond
)

// PlacementRate estimates how many placements of other gateways this one has not seen yet.
// Gateways that choose at the same time all find the same server least loaded, so each
// should consider only a random fraction of the servers, drawn anew for each request.
//
// The other gateways are assumed to place at the rate of this one. It isn't safe for
// concurrent use.
type PlacementRate struct{ placements rate.Average }

// Record records a placement by this gateway.
func (c *PlacementRate) Record(now time.Time) { c.placements.Count(now, rateTimeConstant) }

// SampleFraction returns the fraction of the servers to consider, given the number of other
// gateways: 1/(n+1) for n estimated unseen placements.
func (c *PlacementRate) SampleFraction(others int, now time.Time) float64 {
	return 1 / (1 + float64(max(0, others))*c.placements.PerSecond(now, rateTimeConstant)*propagationDelay.Seconds())
}
