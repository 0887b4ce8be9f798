package place

import (
	"math"
	"time"
)

const (
	// rateTimeConstant is the time constant of the moving average of this gateway's
	// placement rate.
	rateTimeConstant = 5 * time.Second
	// propagationDelay is how long it takes until the other gateways see a placement: the
	// server's response, the batching of updates and the network latency.
	propagationDelay = 15 * time.Millisecond
)

// Crowd estimates how many placements of other gateways this one has not seen yet.
// Gateways that choose at the same time all find the same server least loaded, so each
// should consider only a random fraction of the servers, drawn anew for each request.
//
// The other gateways are assumed to place at the rate of this one. It isn't safe for
// concurrent use.
type Crowd struct {
	// rate is the number of placements per second, as of at.
	rate float64
	at   time.Time
}

// Placed records a placement by this gateway.
func (c *Crowd) Placed(now time.Time) {
	c.rate = c.rateAt(now) + 1/rateTimeConstant.Seconds()
	c.at = now
}

func (c *Crowd) rateAt(now time.Time) float64 {
	return c.rate * math.Exp(-now.Sub(c.at).Seconds()/rateTimeConstant.Seconds())
}

// Part returns the fraction of the servers to consider, given the number of other
// gateways: 1/(n+1) for n estimated unseen placements.
func (c *Crowd) Part(others int, now time.Time) float64 {
	return 1 / (1 + float64(max(0, others))*c.rateAt(now)*propagationDelay.Seconds())
}
