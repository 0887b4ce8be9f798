package place

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// placement is a request on a server.
type placement struct {
	gateway, server int
	at, end         time.Duration
}

// crowded plays gateways that place requests on servers, each by what it has placed
// itself and what it has heard of the others, and returns which part of the placements
// came to a server within newsDelay of another, and the most requests that a server had.
func crowded(seed uint64, gateways, servers int, perSecond float64, aware bool) (together float64, most int) {
	const (
		lasts = 20 * time.Second
		runs  = 3700 * time.Millisecond
	)
	rnd := rand.New(rand.NewPCG(seed, 1))
	crowds := make([]Crowd, gateways)
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
			if p.gateway == own || p.at+newsDelay <= at {
				known[p.server]++
			}
		}
		now := time.Unix(0, 0).Add(at)
		part := 1.0
		if aware {
			part = crowds[own].Part(gateways-1, now)
		}
		s := emptiest(rnd, known, part)
		crowds[own].Placed(now)
		live = append(live, placement{own, s, at, at + time.Duration(rnd.ExpFloat64()*float64(runs))})
		if at < lasts/4 {
			continue
		}
		n++
		if at-last[s] < newsDelay {
			near++
		}
		last[s] = at
		most = max(most, all[s]+1)
	}
	return float64(near) / float64(n), most
}

// emptiest returns the server with the least load of a drawn part, or of all.
func emptiest(rnd *rand.Rand, load []int, part float64) int {
	best, bestAside := -1, false
	for _, i := range rnd.Perm(len(load)) {
		aside := rnd.Float64() >= part
		if best < 0 || bestAside && !aside || aside == bestAside && load[i] < load[best] {
			best, bestAside = i, aside
		}
	}
	return best
}

// Dozens of gateways place a hundred requests a second, and hear of each other's some
// milliseconds later. All take the server on which a request has just ended, five at once,
// and it preempts some of them beside others with room. Each is to look at a part of the
// servers. A few gateways that know nearly all lose nothing by it.
func TestGatewaysThatChooseAtOnceDoNotCrowd(t *testing.T) {
	for seed := range uint64(3) {
		together, most := crowded(seed, 68, 61, 130, false)
		apart, fewer := crowded(seed, 68, 61, 130, true)
		t.Logf("68 gateways: %.2f come together, %d at most; %.2f and %d with a part each", together, most, apart, fewer)
		assert.Check(t, apart < 0.6*together)
		assert.Check(t, fewer <= most)
		_, most = crowded(seed, 4, 14, 20, false)
		_, fewer = crowded(seed, 4, 14, 20, true)
		assert.Check(t, fewer <= most+1, "4 gateways: %d at most, %d with a part each", most, fewer)
	}
}

// The own rate is forgotten when nothing comes, and a gateway alone looks at all.
func TestCrowdIsForgotten(t *testing.T) {
	var c Crowd
	now := time.Unix(0, 0)
	assert.Equal(t, c.Part(67, now), 1.0)
	for range 20 {
		c.Placed(now)
	}
	assert.Equal(t, c.Part(0, now), 1.0)
	assert.Assert(t, c.Part(67, now) < 0.5)
	assert.Assert(t, c.Part(67, now.Add(time.Minute)) > 0.99)
}
