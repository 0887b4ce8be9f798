package limit

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// Guards against a gateway that gets nearly all requests and a fifth of each limit.
func TestSharesFollowTheDemand(t *testing.T) {
	now := time.Unix(0, 0)
	var busy, idle Demand
	for range 400 {
		now = now.Add(20 * time.Millisecond)
		busy.Count(now)
	}
	assert.Assert(t, busy.Rate(now) > 40 && busy.Rate(now) < 60, "%f", busy.Rate(now))
	assert.Assert(t, busy.Rate(now.Add(10*demandTime)) < 0.01)
	served := 0
	var s Share
	s.Set(now, 50, Position{Gateways: 5, Part: DemandPart(busy.Rate(now), busy.Rate(now)+4*idle.Rate(now), 5)})
	for range 500 {
		now = now.Add(20 * time.Millisecond)
		if s.Take(now) {
			served++
		}
	}
	assert.Assert(t, served >= 300, "%d of 500 served at a limit of 50 a second, 10 s", served)
}

// Guards against shares that add up to more than the limit, or to none for an idle gateway.
func TestSharesByDemandAddUpToTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		demands := rapid.SliceOfN(rapid.Float64Range(0, 100), 1, 40).Draw(t, "demands")
		limit := rapid.Float64Range(0.1, 500).Draw(t, "limit")
		all, rate, capacity := 0.0, 0.0, 0.0
		for _, d := range demands {
			all += d
		}
		for i, d := range demands {
			var s Share
			s.Set(time.Unix(1, 0), limit, Position{Gateways: len(demands), Rank: i, Part: DemandPart(d, all, len(demands))})
			rate += s.perSecond
			capacity += s.capacity
			if burstSize(limit) >= float64(len(demands)) {
				assert.Assert(t, s.capacity >= 1, "a gateway can never send")
			}
		}
		assert.Assert(t, rate <= limit*(1+1e-9) && capacity <= burstSize(limit)*(1+1e-9), "%f of %f, %f of %f", rate, limit, capacity, burstSize(limit))
	})
}
