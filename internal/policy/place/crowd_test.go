package place

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// placement is a request that runs on a server.
type placement struct {
	gateway, server int
	at, end         time.Duration
}

// simulatePlacements simulates gateways that place requests on servers. Each gateway sees
// its own placements at once and those of the others after propagationDelay. It returns
// the fraction of placements that reached a server within propagationDelay of another
// one, and the highest number of concurrent requests on a server.
func simulatePlacements(seed uint64, gateways, servers int, perSecond float64, aware bool) (together float64, most int) {
	const (
		lasts = 20 * time.Second
		runs  = 3700 * time.Millisecond
	)
	rnd := rand.New(rand.NewPCG(seed, 1))
	crowds := make([]PlacementRate, gateways)
	var live []placement
	last := make([]time.Duration, servers)
	for i := range last {
		last[i] = -lasts
	}
	n, near := 0, 0
	for at := time.Duration(0); at < lasts; at += time.Duration(rnd.ExpFloat64() / perSecond * float64(time.Second)) {
		kept := live[:0]
		for _, p := range live {
			if p.end > at {
				kept = append(kept, p)
			}
		}
		live = kept
		own := rnd.IntN(gateways)
		known, all := make([]int, servers), make([]int, servers)
		for _, p := range live {
			all[p.server]++
			if p.gateway == own || p.at+propagationDelay <= at {
				known[p.server]++
			}
		}
		now := time.Unix(0, 0).Add(at)
		part := 1.0
		if aware {
			part = crowds[own].SampleFraction(gateways-1, now)
		}
		s := leastLoadedServer(rnd, known, part)
		crowds[own].Record(now)
		live = append(live, placement{own, s, at, at + time.Duration(rnd.ExpFloat64()*float64(runs))})
		if at < lasts/4 {
			continue
		}
		n++
		if at-last[s] < propagationDelay {
			near++
		}
		last[s] = at
		most = max(most, all[s]+1)
	}
	return float64(near) / float64(n), most
}

// leastLoadedServer returns the least loaded server of a random fraction of the servers, or of all
// servers if the fraction is empty.
func leastLoadedServer(rnd *rand.Rand, load []int, part float64) int {
	best, bestSkipped := -1, false
	for _, i := range rnd.Perm(len(load)) {
		skipped := rnd.Float64() >= part
		if best < 0 || bestSkipped && !skipped || skipped == bestSkipped && load[i] < load[best] {
			best, bestSkipped = i, skipped
		}
	}
	return best
}

// Guards against a thundering herd on the server on which a request has just ended: many
// gateways see each other's placements some milliseconds late and choose it at the same
// time, and it preempts requests while other servers have room. Sampling must not make
// the balance worse for a few gateways, which see nearly all placements in time.
func TestGatewaysThatChooseAtOnceDoNotCrowd(t *testing.T) {
	for seed := range uint64(3) {
		together, most := simulatePlacements(seed, 68, 61, 130, false)
		apart, fewer := simulatePlacements(seed, 68, 61, 130, true)
		t.Logf("68 gateways: fraction placed together %.2f, peak load %d; with sampling %.2f and %d", together, most, apart, fewer)
		assert.Check(t, apart < 0.6*together)
		assert.Check(t, fewer <= most)
		_, most = simulatePlacements(seed, 4, 14, 20, false)
		_, fewer = simulatePlacements(seed, 4, 14, 20, true)
		assert.Check(t, fewer <= most+1, "4 gateways: peak load %d, with sampling %d", most, fewer)
	}
}

// The rate decays while a gateway is idle, and a gateway without peers considers all
// servers.
func TestPlacementRateDecaysWhenIdle(t *testing.T) {
	var c PlacementRate
	now := time.Unix(0, 0)
	assert.Equal(t, c.SampleFraction(67, now), 1.0)
	for range 20 {
		c.Record(now)
	}
	assert.Equal(t, c.SampleFraction(0, now), 1.0)
	assert.Assert(t, c.SampleFraction(67, now) < 0.5)
	assert.Assert(t, c.SampleFraction(67, now.Add(time.Minute)) > 0.99)
}
