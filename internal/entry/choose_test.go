package entry

import (
	"fmt"
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"jayford.example/jayford/internal/policy/place"
	"jayford.example/jayford/internal/settings"
)

// An entry considers the same subset of a large pool at every decision, and
// replaces servers that failed the request by the next ones of its ranking. If
// all entries considered the same subset, the other servers would stay idle.
func TestUsableIsTheHeadOfTheRanking(t *testing.T) {
	const subset = 16
	for _, size := range []int{0, 1, subset, subset + 1, 200} {
		for _, id := range []string{"entry-001", "entry-002"} {
			e := &Entry{settings: settings.DefaultEntry()}
			e.settings.ID, e.settings.Policy.Subset = id, subset
			var all []target
			var ids []string
			for i := range size {
				all = append(all, target{id: fmt.Sprintf("server-%04d", i)})
				ids = append(ids, all[i].id)
			}
			kept := ranking{id, subset}.order(all)
			exclude := make(map[string]bool)
			for range size {
				left := slices.DeleteFunc(slices.Clone(ids), func(id string) bool { return exclude[id] })
				want := place.Subset(id, left, subset)
				got := e.usable(kept, exclude)
				assert.DeepEqual(t, sortedIDs(got), slices.Sorted(slices.Values(want)))
				exclude[got[0].id] = true
			}
			// Every server has failed the request, so all are candidates again.
			assert.DeepEqual(t, sortedIDs(e.usable(kept, exclude)), slices.Sorted(slices.Values(place.Subset(id, ids, subset))))
		}
	}
}

func sortedIDs(list []target) []string {
	var out []string
	for _, t := range list {
		out = append(out, t.id)
	}
	slices.Sort(out)
	return out
}
