package stage

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"jayford.example/jayford/internal/catalog"
)

func engines(prefill, decode int) []Engine {
	var out []Engine
	for i := range prefill + decode {
		s := catalog.Decode
		if i < prefill {
			s = catalog.Prefill
		}
		out = append(out, Engine{ID: fmt.Sprint("e", i), AvailabilityZone: fmt.Sprint("az", i%3), Stage: s})
	}
	return out
}

func TestWantKeepsBothStages(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 2000).Draw(t, "n")
		w := TargetPrefill(n, rapid.Float64Range(0, 1).Draw(t, "share"))
		assert.Assert(t, w >= 1 && w < n)
	})
	assert.Equal(t, TargetPrefill(1, 0.5), 0)
	assert.Equal(t, TargetPrefill(18, 0.2), 4)
}

// All changes must be to another stage, and if no engine is unavailable, want must be reached.
func TestDecideReachesWant(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		es := engines(rapid.IntRange(1, 20).Draw(t, "prefill"), rapid.IntRange(1, 40).Draw(t, "decode"))
		want := TargetPrefill(len(es), rapid.Float64Range(0, 1).Draw(t, "share"))
		changes := Decide(es, want, len(es))
		byID := map[string]int{}
		for i, e := range es {
			byID[e.ID] = i
		}
		for _, c := range changes {
			assert.Assert(t, es[byID[c.ID]].Stage != c.To)
			es[byID[c.ID]].Stage = c.To
		}
		assert.Equal(t, count(es, catalog.Prefill), want)
		assert.Equal(t, len(Decide(es, want, len(es))), 0)
	})
}

func TestDecideSparesUnavailableEngines(t *testing.T) {
	es := engines(3, 1)
	for i := range es[:3] {
		es[i].Unavailable = i != 1
	}
	assert.DeepEqual(t, Decide(es, 1, 4), []Change{{ID: "e1", To: catalog.Decode}})
}

func TestDecideTakesFromTheZoneWithMost(t *testing.T) {
	es := engines(4, 2)
	es[3].AvailabilityZone = "az0"
	assert.DeepEqual(t, Decide(es, 3, 1), []Change{{ID: "e0", To: catalog.Decode}})
}

// An engine crashes and is back after some seconds. Reacting to each such deviation
// would make two further engines unavailable, for the change and its reversal.
func TestOffIgnoresSmallDeviations(t *testing.T) {
	assert.Assert(t, !NeedsChange(4, 4) && !NeedsChange(3, 4) && !NeedsChange(6, 4))
	assert.Assert(t, NeedsChange(2, 4) && NeedsChange(7, 4))
	assert.Assert(t, NeedsChange(1, 2) && !NeedsChange(2, 2) && NeedsChange(0, 1))
}
