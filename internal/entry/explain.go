package entry

import (
	"net/url"

	"github.com/rotisserie/eris"

	"jayford.example/jayford/internal/policy/route"
)

// Explain returns how a request with the given properties would be routed. The
// query keys are model, organisation, priority, method, path, group and zone.
func (e *Entry) Explain(q url.Values) (any, error) {
	known := map[string]bool{"model": true, "organisation": true, "priority": true, "method": true, "path": true, "group": true, "zone": true}
	for k := range q {
		if !known[k] {
			return nil, eris.Errorf("unknown key %q", k)
		}
	}
	r := route.Request{
		Model: q.Get("model"), Organisation: q.Get("organisation"), Priority: q.Get("priority"),
		Method: q.Get("method"), Path: q.Get("path"), Group: q.Get("group"), AvailabilityZone: q.Get("zone"),
	}
	if r.Priority == "" {
		r.Priority = Interactive
	}
	if r.AvailabilityZone == "" {
		r.AvailabilityZone = e.settings.AvailabilityZone
	}
	t := e.routing.current()
	out := route.Explain(t.selectors, t.snapshot.Pools, t.snapshot.Servers, r, 0)
	out.MarkUnused(e.unusedReasons(t))
	return out, nil
}

// unusedReasons returns the reason for each configured server that isn't used
// now.
func (e *Entry) unusedReasons(t *table) map[string]route.Reason {
	listed := e.members.routable()
	live := withoutDrained(t.snapshot, listed)
	out := make(map[string]route.Reason)
	for id := range t.snapshot.Servers {
		_, isListed := listed[id]
		_, isLive := live[id]
		switch {
		case !isListed:
			out[id] = route.Unlisted
		case !isLive:
			out[id] = route.Drained
		case e.members.unavailable(id):
			out[id] = route.Doubted
		}
	}
	return out
}
