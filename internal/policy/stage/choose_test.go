package stage

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"jayford.example/jayford/internal/catalog"
)

// Guards against prefill on slow engines, where a prompt takes longer than its objective,
// while fast engines decode.
func TestChooseTakesFastEnginesForPrefillAndSlowOnesForDecode(t *testing.T) {
	es := engines(0, 6)
	for i, speed := range []float64{0.6, 1, 1.6, 0, 1.6, 0.6} {
		es[i].AvailabilityZone, es[i].Speed = "az", speed
	}
	assert.DeepEqual(t, Choose(es, 3, 6), []Change{{"e2", catalog.Prefill}, {"e4", catalog.Prefill}, {"e1", catalog.Prefill}})
	for i := range es {
		es[i].Stage = catalog.Prefill
	}
	assert.DeepEqual(t, Choose(es, 4, 6), []Change{{"e0", catalog.Decode}, {"e5", catalog.Decode}})
}

// Guards against a zone without prefill, or without decode, as all fast engines are in another
// one: its requests would cross zones, and be lost with the other zone.
func TestChooseKeepsEachStageInEachZone(t *testing.T) {
	es := engines(0, 9)
	for i := range es {
		if es[i].AvailabilityZone == "az1" {
			es[i].Speed = 1.6
		}
	}
	zones := map[string]int{}
	for _, c := range Choose(es, 4, 9) {
		for _, e := range es {
			if e.ID == c.ID {
				zones[e.AvailabilityZone]++
			}
		}
	}
	assert.DeepEqual(t, zones, map[string]int{"az0": 1, "az1": 2, "az2": 1})
}

// Guards against a choice that follows noise in the measured speeds instead of the balance of
// zones.
func TestChooseIgnoresSmallDifferencesInSpeed(t *testing.T) {
	es := engines(0, 7)
	for i := range es {
		es[i].Speed = 1 + 0.01*float64(i%5)
	}
	first, second := Choose(es, 4, 4), Choose(engines(0, 7), 4, 4)
	assert.DeepEqual(t, first, second)
}

// Any fleet: the wanted number is reached if no engine is unavailable, each zone with two engines
// gets the new stage if there are enough changes, and none loses its last engine of the old stage
// while another zone has two.
func TestChooseOnRandomFleets(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n, zones := rapid.IntRange(2, 78).Draw(t, "n"), rapid.IntRange(1, 4).Draw(t, "zones")
		es := make([]Engine, n)
		for i := range es {
			es[i] = Engine{
				ID: fmt.Sprint("e", i), AvailabilityZone: fmt.Sprint("az", rapid.IntRange(1, zones).Draw(t, "zone")),
				Stage: rapid.SampledFrom([]catalog.Stage{catalog.Prefill, catalog.Decode}).Draw(t, "stage"),
				Speed: rapid.SampledFrom([]float64{0, 0.6, 1, 1.6}).Draw(t, "speed"),
			}
		}
		want := TargetPrefill(n, rapid.Float64Range(0, 1).Draw(t, "share"))
		changes := Choose(es, want, n)
		if len(changes) == 0 {
			assert.Equal(t, CountPrefill(es), want)
			return
		}
		to := changes[0].To
		before := countZones(es, to)
		apply(es, changes)
		assert.Equal(t, CountPrefill(es), want)
		after := countZones(es, to)
		for name, z := range after {
			if z.from+z.to < 2 {
				continue
			}
			assert.Assert(t, z.to > 0 || len(changes) < len(after), "zone %s didn't get %s", name, to)
			if z.from > 0 || before[name].from == 0 {
				continue
			}
			for other, o := range after {
				assert.Assert(t, o.from < 2, "zone %s has lost its last engine, zone %s has %d", name, other, o.from)
			}
		}
	})
}

func apply(es []Engine, changes []Change) {
	for _, c := range changes {
		for i := range es {
			if es[i].ID == c.ID {
				es[i].Stage = c.To
			}
		}
	}
}

// countZones counts the engines of each zone that run a stage, and those that don't.
func countZones(es []Engine, to catalog.Stage) map[string]zoneCount {
	out := map[string]zoneCount{}
	for _, e := range es {
		z := out[e.AvailabilityZone]
		if e.Stage == to {
			z.to++
		} else {
			z.from++
		}
		out[e.AvailabilityZone] = z
	}
	return out
}
