package experiment

import (
	"context"
	"path/filepath"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"jayford.example/jayford/internal/engine"
	"jayford.example/jayford/internal/load"
	"jayford.example/jayford/internal/settings"
)

func example(t *testing.T, name string) load.Workload {
	t.Helper()
	w, err := load.ReadWorkload(filepath.Join("..", "..", "examples", name+".workload.json"))
	assert.NilError(t, err)
	return w
}

func TestSplitUsesAllModelServers(t *testing.T) {
	for _, name := range []string{"zifferblatt", "kavango"} {
		w := example(t, name)
		d := NewDeployment(w, 4, 0.25)
		assert.Equal(t, d.Prefill+d.Decode, w.Fleet.ModelServers)
		for p := 1; p < w.Fleet.ModelServers; p++ {
			other := d
			other.Prefill, other.Decode = p, w.Fleet.ModelServers-p
			assert.Assert(t, other.Capacity() <= d.Capacity())
		}
	}
}

func TestBoundFollowsTheLoad(t *testing.T) {
	d := NewDeployment(example(t, "kavango"), 4, 0.25)
	plan := func(factor float64) []load.Arrival {
		return load.Plan(d.scaledTo(factor*d.Capacity()), load.PlanOptions{
			Seed: 1, Duration: 15 * time.Second, Rate: 1, TimeScale: 0.25, MaxRequests: load.DefaultMaxRequests,
		})
	}
	assert.Equal(t, d.Bound(plan(0.5), 15*time.Second), 1.0)
	three := d.Bound(plan(3), 15*time.Second)
	assert.Assert(t, three > 0.28 && three < 0.39, "bound %v", three)
}

func TestVariants(t *testing.T) {
	p, err := ParseVariant("policy:late:2.5")
	assert.NilError(t, err)
	assert.Equal(t, p.Reserve, settings.ReserveLate)
	assert.Equal(t, p.WastedPrefillWeight, 2.5)
	for _, bad := range []string{"", "best", "policy:soon", "policy:late:x", "policy:late:1:1"} {
		_, err := ParseVariant(bad)
		assert.Assert(t, err != nil, bad)
	}
}

func TestRatioIsSeedBySeed(t *testing.T) {
	rows := Summarise([]Result{
		{Variant: "a", Load: 1, Seed: 1, GoodShare: 0.2},
		{Variant: "a", Load: 1, Seed: 2, GoodShare: 0.4},
		{Variant: "b", Load: 1, Seed: 1, GoodShare: 0.4},
		{Variant: "b", Load: 1, Seed: 2, GoodShare: 0.4},
	})
	assert.Equal(t, rows[1].Ratio, Spread{Mean: 1.5, Min: 1, Max: 2})
}

// Far below capacity, every answer must be whole, the engines' records must show
// the prefills, and none may be wasted. Otherwise the experiment itself is faulty.
func TestRunBelowCapacity(t *testing.T) {
	w := example(t, "kavango")
	w.Fleet.ModelServers, w.Fleet.Services = 2, 1
	w.SharedPrompt.Words = 2 * engine.CacheBlock
	d := NewDeployment(w, 8, 0.2)
	r, err := Run(context.Background(), Options{
		Deployment: d, Policy: settings.DefaultEntry().Policy, Load: 0.2, Seed: 1, Duration: 2 * time.Second,
	})
	assert.NilError(t, err)
	assert.Assert(t, r.Report.Total.Sent > 0)
	assert.Equal(t, r.Report.Total.Whole, r.Report.Total.Sent, "%v", r.Report.Faults)
	assert.Assert(t, r.Waste.Tokens > 0)
	assert.Equal(t, r.Waste.Wasted, 0.0)
}

// Calls alternate between the stand-in itself and an entry. All must be answered,
// or the two distributions would compare different work.
func TestOverheadComparesLikeWithLike(t *testing.T) {
	for _, completion := range []bool{false, true} {
		o, err := MeasureOverhead(context.Background(), 100, 2*time.Second, completion)
		assert.NilError(t, err)
		assert.Equal(t, o.Direct.Calls, o.Entry.Calls)
		assert.Assert(t, o.Direct.Calls > 0 && o.Direct.P50 > 0 && o.Entry.P50 > 0)
	}
}
