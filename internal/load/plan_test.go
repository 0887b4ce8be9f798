package load

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"jayford.example/jayford/internal/settings"
)

func planOptions(d time.Duration) PlanOptions {
	return PlanOptions{Seed: 5, Duration: d, Rate: 1, TimeScale: 1, MaxRequests: 1 << 20}
}

func TestPlanRepeats(t *testing.T) {
	w := testWorkload(50)
	o := planOptions(10 * time.Second)
	assert.DeepEqual(t, Plan(w, o), Plan(w, o))
	a := Plan(w, o)[0]
	shared := NewSharedTexts(w.SharedPrompt)
	assert.Equal(t, BuildRequest(w, a, shared, 1), BuildRequest(w, a, shared, 1))

	// Changing one class doesn't affect the arrivals of the other.
	only := func(list []Arrival, class int) (out []Arrival) {
		for _, a := range list {
			if a.Class == class {
				out = append(out, a)
			}
		}
		return out
	}
	before := only(Plan(w, o), 1)
	w.Classes[0].Rate = 3
	assert.DeepEqual(t, only(Plan(w, o), 1), before)
}

func TestPlanKeepsRates(t *testing.T) {
	near := func(got int, want float64) {
		t.Helper()
		// Five standard deviations of a Poisson count.
		assert.Assert(t, math.Abs(float64(got)-want) < 5*math.Sqrt(want), "%d, want %.0f", got, want)
	}
	w := testWorkload(100)
	w.Classes = w.Classes[:1]
	o := planOptions(20 * time.Second)
	near(len(Plan(w, o)), 2000)
	o.TimeScale = 0.5
	near(len(Plan(w, o)), 4000)
	o.TimeScale = 1

	w.Classes[0].Swing = &Swing{Low: 0, High: 2, Period: settings.Duration(20 * time.Second)}
	swung := Plan(w, o)
	near(len(swung), 2000)
	middle := 0
	for _, a := range swung {
		if a.At > 5*time.Second && a.At < 15*time.Second {
			middle++
		}
	}
	assert.Assert(t, middle > len(swung)*3/4, "%d of %d", middle, len(swung))

	w.Classes[0].Swing = nil
	w.Classes[0].Burst = &Burst{Size: 10}
	burst := Plan(w, o)
	assert.Equal(t, len(burst)%10, 0)
	for i, a := range burst {
		assert.Equal(t, a.Organisation, burst[i/10*10].Organisation)
	}
	o.MaxRequests = 7
	assert.Equal(t, len(Plan(w, o)), 7)
}

func TestShareRatiosAreMaxMin(t *testing.T) {
	list := []OrganisationReport{
		{Name: "small", Share: 1, Demand: 10, Served: 10},
		{Name: "half", Share: 1, Demand: 100, Served: 20},
		{Name: "greedy", Share: 1, Demand: 500, Served: 70},
		{Name: "idle", Share: 1},
	}
	// 100 tokens were served: "small" demands 10, the two others are entitled to
	// 45 each.
	assert.Equal(t, shareRatios(list), 20.0/45)
	assert.Equal(t, list[0].ShareRatio, 1.0)
	assert.Equal(t, list[3].ShareRatio, 1.0)
}

// With 200 texts and a Zipf exponent of 1, the first text is drawn about 10 times
// as often as the tenth, and nearly all texts are drawn.
func TestSharedTextsFollowZipf(t *testing.T) {
	s := NewSharedTexts(SharedPrompt{Words: 20, Seed: 1, Count: 200, Zipf: 1})
	r := rand.New(rand.NewPCG(1, 1))
	met := map[string]int{}
	for range 20_000 {
		met[s.draw(r)]++
	}
	harmonic := s.cumulativeWeights[199]
	for _, k := range []int{1, 10} {
		want := 20_000 / harmonic / float64(k)
		got := float64(met[s.texts[k-1]])
		assert.Assert(t, math.Abs(got-want) < 5*math.Sqrt(want), "%d: %.0f, want %.0f", k, got, want)
	}
	assert.Assert(t, len(met) > 190, "%d", len(met))
}
