// Package stage decides which engines run prefill and which decode.
package stage

import (
	"cmp"
	"math"
	"slices"

	"jayford.example/jayford/internal/catalog"
)

// Engine is the known state of one engine.
type Engine struct {
	ID, AvailabilityZone string
	Stage                catalog.Stage
	// Unavailable engines count towards the capacity of their stage, but
	// get no order.
	Unavailable bool
	// Changing engines have been ordered to Stage and may not have carried it out yet; they
	// are Unavailable.
	Changing bool
	// Speed is how fast the engine prefills; 1 is average, 0 unknown.
	Speed float64
}

// Change is the new stage of one engine.
type Change struct {
	ID string
	To catalog.Stage
}

// TargetPrefill returns how many of n engines should run prefill: the given share of them, and
// at least one of each stage. It returns 0 if n is less than two.
func TargetPrefill(n int, share float64) int {
	if n < 2 {
		return 0
	}
	return min(n-1, max(1, int(math.Round(share*float64(n)))))
}

// NeedsChange reports whether the number of prefill engines is far enough from want to change
// stages. A change makes an engine unavailable for seconds, and all gateways learn of
// it from refusals, so small or short deviations aren't worth it. Below two thirds of
// want prompts queue; above one and a half times want decode lacks memory.
func NeedsChange(have, want int) bool { return 3*have < 2*want || 2*have > 3*want }

// CountPrefill counts the engines in the prefill stage.
func CountPrefill(engines []Engine) int { return count(engines, catalog.Prefill) }

// Decide returns at most limit changes that bring the number of prefill engines to
// want. It takes engines from the availability zone with the most engines of the old
// stage, so that each zone keeps some of both, and the one with the lowest ID there, so
// that gateways which decide at the same time agree.
func Decide(engines []Engine, want, limit int) []Change {
	now := slices.Clone(engines)
	var out []Change
	for len(out) < limit {
		have := count(now, catalog.Prefill)
		from, to := catalog.Prefill, catalog.Decode
		switch {
		case have < want:
			from, to = catalog.Decode, catalog.Prefill
		case have == want:
			return out
		}
		i := pick(now, from)
		if i < 0 {
			return out
		}
		now[i].Stage = to
		out = append(out, Change{now[i].ID, to})
	}
	return out
}

func count(engines []Engine, s catalog.Stage) int {
	n := 0
	for _, e := range engines {
		if e.Stage == s {
			n++
		}
	}
	return n
}

// pick returns the index of the engine to take from a stage, or -1.
func pick(engines []Engine, from catalog.Stage) int {
	zones := map[string]int{}
	for _, e := range engines {
		if e.Stage == from {
			zones[e.AvailabilityZone]++
		}
	}
	best := -1
	for i, e := range engines {
		if e.Stage != from || e.Unavailable {
			continue
		}
		if best < 0 || cmp.Or(
			cmp.Compare(zones[engines[best].AvailabilityZone], zones[e.AvailabilityZone]),
			cmp.Compare(e.ID, engines[best].ID),
		) < 0 {
			best = i
		}
	}
	return best
}
