package gateway

import (
	"maps"
	"slices"
	"time"

	"jayford.example/jayford/internal/catalog"
)

// departureTTL is how long a server that said it is leaving is remembered after it was last
// listed: an entry that expired in an outage of the platform can return.
const departureTTL = 10 * time.Minute

// departures has the servers that said in an answer that they are leaving, with the time
// at which each was last listed or said so. It isn't safe for concurrent use.
type departures struct{ seen map[string]time.Time }

func newDepartures() *departures { return &departures{seen: map[string]time.Time{}} }

// record adds a server and reports whether it is new.
func (d *departures) record(key string, now time.Time) bool {
	_, known := d.seen[key]
	d.seen[key] = now
	return !known
}

// has reports whether a server is recorded.
func (d *departures) has(key string) bool {
	_, ok := d.seen[key]
	return ok
}

// apply returns the list with the recorded servers marked as leaving.
func (d *departures) apply(list []catalog.Server, now time.Time) []catalog.Server {
	if len(d.seen) == 0 {
		return list
	}
	out := slices.Clone(list)
	for i := range out {
		key := serverKey(out[i])
		if _, ok := d.seen[key]; ok {
			out[i].Leaving = true
			d.seen[key] = now
		}
	}
	maps.DeleteFunc(d.seen, func(_ string, at time.Time) bool { return now.Sub(at) > departureTTL })
	return out
}
