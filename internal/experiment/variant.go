package experiment

import (
	"strconv"
	"strings"

	"github.com/rotisserie/eris"

	"jayford.example/jayford/internal/settings"
)

// ParseVariant reads a policy from "placement[:reserve[:weight]]", such as
// "policy:late" or "policy:early:3". Omitted parts take their defaults.
func ParseVariant(text string) (settings.Policy, error) {
	p := settings.DefaultEntry().Policy
	parts := strings.Split(text, ":")
	switch parts[0] {
	case settings.PlacementPolicy, settings.PlacementLeastLoaded, settings.PlacementRoundRobin:
		p.Placement = parts[0]
	default:
		return p, eris.Errorf("experiment: variant %q: unknown placement", text)
	}
	if len(parts) > 1 {
		switch parts[1] {
		case settings.ReserveEarly, settings.ReserveLate, settings.ReservePredicted:
			p.Reserve = parts[1]
		default:
			return p, eris.Errorf("experiment: variant %q: unknown reservation", text)
		}
	}
	if len(parts) > 2 {
		w, err := strconv.ParseFloat(parts[2], 64)
		if err != nil || w < 0 {
			return p, eris.Errorf("experiment: variant %q: weight must be a non-negative number", text)
		}
		p.WastedPrefillWeight = w
	}
	if len(parts) > 3 {
		return p, eris.Errorf("experiment: variant %q: too many parts", text)
	}
	return p, nil
}
