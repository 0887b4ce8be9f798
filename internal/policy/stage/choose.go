package stage

import (
	"cmp"
	"math"
	"slices"

	"jayford.example/jayford/internal/catalog"
)

// speedStep is the difference in speed below which engines count as equally fast. Estimates vary by
// some tenths, and the balance of zones comes before such differences.
const speedStep = 0.25

// Choose is like Decide, but chooses engines by speed: the fastest are taken for prefill and the
// slowest for decode. Each availability zone with two engines or more keeps or gets one of each
// stage first, where want allows it. Engines of unknown speed count as average.
func Choose(engines []Engine, want, limit int) []Change {
	now := slices.Clone(engines)
	var out []Change
	for len(out) < limit {
		have := CountPrefill(now)
		from, to := catalog.Prefill, catalog.Decode
		switch {
		case have < want:
			from, to = catalog.Decode, catalog.Prefill
		case have == want:
			return out
		}
		i := pickBySpeed(now, from, to)
		if i < 0 {
			return out
		}
		now[i].Stage = to
		out = append(out, Change{now[i].ID, to})
	}
	return out
}

// zoneCount has the engines of a zone by what a change would do to them.
type zoneCount struct{ from, to int }

// floorRank ranks a change in a zone: 0 if it gives the zone its first engine of the new stage,
// 2 if it takes its last one of the old stage although others are left, 1 otherwise.
func (z zoneCount) floorRank() int {
	switch {
	case z.from >= 2 && z.to == 0:
		return 0
	case z.from == 1 && z.to > 0:
		return 2
	}
	return 1
}

// pickBySpeed returns the index of the engine to move between two stages, or -1.
func pickBySpeed(engines []Engine, from, to catalog.Stage) int {
	zones := map[string]zoneCount{}
	for _, e := range engines {
		z := zones[e.AvailabilityZone]
		switch e.Stage {
		case from:
			z.from++
		case to:
			z.to++
		}
		zones[e.AvailabilityZone] = z
	}
	best := -1
	for i, e := range engines {
		if e.Stage != from || e.Unavailable {
			continue
		}
		if best < 0 || compareForMove(e, engines[best], zones, to) < 0 {
			best = i
		}
	}
	return best
}

// compareForMove orders engines by which is moved first.
func compareForMove(a, b Engine, zones map[string]zoneCount, to catalog.Stage) int {
	za, zb := zones[a.AvailabilityZone], zones[b.AvailabilityZone]
	bySpeed := cmp.Compare(speedClass(a), speedClass(b))
	if to == catalog.Prefill {
		bySpeed = -bySpeed
	}
	return cmp.Or(
		cmp.Compare(za.floorRank(), zb.floorRank()), bySpeed, cmp.Compare(zb.from, za.from), cmp.Compare(a.ID, b.ID),
	)
}

func speedClass(e Engine) float64 {
	if e.Speed <= 0 {
		return math.Round(1 / speedStep)
	}
	return math.Round(e.Speed / speedStep)
}
