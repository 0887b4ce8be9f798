package feed

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"jayford.example/jayford/internal/platform"
)

// Roles in the platform's list of instances.
const (
	RoleEntry = "entry"
	RoleAgent = "agent"
)

// watchersPerZone is two so that a zone's feed continues while one is replaced.
const watchersPerZone = 2

// score is a rendezvous hash: each pair is scored independently, so that a change
// of the list only moves assignments to or from the changed instance.
func score(key, id string) uint64 {
	return xxhash.Sum64String(key + "/" + id)
}

// sortByScore puts the highest score first.
func sortByScore(key string, list []platform.Instance) {
	slices.SortFunc(list, func(a, b platform.Instance) int {
		return cmp.Or(cmp.Compare(score(key, b.ID), score(key, a.ID)), cmp.Compare(a.ID, b.ID))
	})
}

// Watchers returns the entries of an availability zone that watch the
// platform, the first of which writes the zone's status.
func Watchers(list []platform.Instance, zone string) []platform.Instance {
	var out []platform.Instance
	for _, i := range list {
		if i.Role == RoleEntry && i.State == platform.Live && i.AvailabilityZone == zone {
			out = append(out, i)
		}
	}
	sortByScore(zone, out)
	return out[:min(len(out), watchersPerZone)]
}

// sources returns the addresses that the process self may follow, best first:
// watchers of its availability zone, of its region, then all others. Within
// each group the order depends on the process's id, which spreads the followers.
func sources(list []platform.Instance, self Identity) []string {
	zones := make(map[string][]platform.Instance)
	for _, i := range list {
		if i.Role == RoleEntry {
			zones[i.AvailabilityZone] = append(zones[i.AvailabilityZone], i)
		}
	}
	var near, region, far []platform.Instance
	for zone, entries := range zones {
		for _, w := range Watchers(entries, zone) {
			switch {
			case w.ID == self.ID:
			case w.AvailabilityZone == self.AvailabilityZone:
				near = append(near, w)
			case w.Region == self.Region:
				region = append(region, w)
			default:
				far = append(far, w)
			}
		}
	}
	var out []string
	for _, group := range [][]platform.Instance{near, region, far} {
		sortByScore(self.ID, group)
		for _, i := range group {
			out = append(out, i.Address)
		}
	}
	return out
}
