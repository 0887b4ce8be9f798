package gateway

import (
	"math"
	"testing"

	"gotest.tools/v3/assert"

	"jayford.example/jayford/internal/catalog"
)

// Guards against weights whose sum isn't finite, or of which some are negative: all requests
// would go to the last service, also to one of weight 0.
func TestOddWeightsKeepTheirProportion(t *testing.T) {
	for _, weights := range [][]float64{
		{1, 3, 0},
		{1e300, 3e300, 0},
		{math.MaxFloat64 / 3, math.MaxFloat64, 0},
		{1, 3, -5},
		{-1e300, 1, 3, 0},
		{1e-300, 3e-300, 0},
	} {
		targets := make([]catalog.Target, len(weights))
		drawn := map[float64]int{}
		for i, w := range weights {
			targets[i] = catalog.Target{Service: string(rune('a' + i)), Weight: w}
		}
		const draws = 20_000
		for range draws {
			drawn[weights[chooseTarget(targets)[0]-'a']]++
		}
		sum := 0.0
		for _, w := range weights {
			sum += max(0, w) / 4
		}
		for w, n := range drawn {
			assert.Check(t, w > 0 && math.Abs(float64(n)/draws-w/4/sum) < 0.05, "%v of %v: %d", w, weights, n)
		}
	}
}

func TestTargetsWithoutWeightAreDrawn(t *testing.T) {
	assert.Equal(t, chooseTarget(nil), "")
	assert.Equal(t, chooseTarget([]catalog.Target{{Service: "a"}, {Service: "b"}}), "b")
}
