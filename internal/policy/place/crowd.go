package place

import (
	"math"
	"time"
)

const (
	// crowdMemory is the time over which the own rate is averaged.
	crowdMemory = 5 * time.Second
	// newsDelay is how long a placement is unknown to the other gateways: the server's
	// answer, the time for which changes are gathered, and the way.
	newsDelay = 15 * time.Millisecond
)

// Crowd estimates how many requests other gateways place that this one hasn't heard of
// yet. All that choose in the same moment take the same server for the emptiest; where
// that are several, each is to look at a part of the servers only, drawn anew each time.
//
// The others' rate is taken to be like the own. It isn't safe for concurrent use.
type Crowd struct {
	// rate is of placements a second, as of at.
	rate float64
	at   time.Time
}

// Placed notes that this gateway places a request.
func (c *Crowd) Placed(now time.Time) {
	c.rate = c.rateAt(now) + 1/crowdMemory.Seconds()
	c.at = now
}

func (c *Crowd) rateAt(now time.Time) float64 {
	return c.rate * math.Exp(-now.Sub(c.at).Seconds()/crowdMemory.Seconds())
}

// Part returns which part of the servers to look at beside so many other gateways: with
// n unknown placements on the way, one in n+1.
func (c *Crowd) Part(others int, now time.Time) float64 {
	return 1 / (1 + float64(max(0, others))*c.rateAt(now)*newsDelay.Seconds())
}
