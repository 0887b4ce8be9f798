package entry

import (
	"maps"
	"slices"
	"sort"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"jayford.example/jayford/internal/config"
	"jayford.example/jayford/internal/platform"
	"jayford.example/jayford/internal/policy/place"
	"jayford.example/jayford/internal/policy/route"
	"jayford.example/jayford/internal/verdict"
)

// target is an agent that requests of a pool may be placed on.
type target struct {
	id      string
	address string
	zone    string
}

// poolTargets are the agents of one pool by role. A list longer than the entry's
// subset is ranked for this entry, so that the subset is its head.
type poolTargets struct {
	prefill []target
	decode  []target
	service []target
}

// table is the routing table, built once per configuration snapshot and change of
// the members instead of per request.
type table struct {
	snapshot *config.Snapshot
	// membersVersion is the version of the members it was built from.
	membersVersion uint64
	selectors      []route.Named
	pools          map[string]poolTargets
	models         []string
	shares         *shares
}

// routing caches the table of the current snapshot.
type routing struct {
	store   *config.Store
	members *members
	ranking ranking

	mu sync.Mutex
	// last is guarded by mu.
	last *table
}

func (t *routing) current() *table {
	snap := t.store.Current()
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.last == nil || t.last.snapshot != snap {
		t.members.update(time.Now(), snap.Instances)
	}
	if g := t.members.version.Load(); t.last == nil || t.last.snapshot != snap || t.last.membersVersion != g {
		t.last = newTable(snap, t.members.routable(), g, t.ranking)
	}
	return t.last
}

// ranking orders large pools for one entry.
type ranking struct {
	entry string
	// subset is how many servers a placement decision considers.
	subset int
}

// order ranks the servers of a pool. Pools no larger than the subset keep their
// order.
//
// The ranking is computed when the table is built: for 1,100 servers it takes
// over 0.5 ms and allocates 250 KB, too much for each request.
func (r ranking) order(all []target) []target {
	if len(all) <= r.subset {
		return all
	}
	ids := make([]string, len(all))
	byID := make(map[string]target, len(all))
	for i, t := range all {
		ids[i] = t.id
		byID[t.id] = t
	}
	out := make([]target, len(all))
	for i, id := range place.Subset(r.entry, ids, len(ids)) {
		out[i] = byID[id]
	}
	return out
}

func newTable(snap *config.Snapshot, agents map[string]platform.Instance, membersVersion uint64, r ranking) *table {
	t := &table{snapshot: snap, membersVersion: membersVersion, pools: make(map[string]poolTargets), shares: &shares{make(map[string]float64)}}
	for name, o := range snap.Organisations {
		t.shares.byOrganisation[name] = o.Share
	}
	for _, s := range snap.Selectors {
		t.selectors = append(t.selectors, route.Named(s))
	}
	live := withoutDrained(snap, agents)
	models := make(map[string]bool)
	for name, p := range snap.Pools {
		t.pools[name] = poolTargets{
			prefill: r.order(selectTargets(snap, live, p.Prefill)),
			decode:  r.order(selectTargets(snap, live, p.Decode)),
			service: r.order(selectTargets(snap, live, p.Service)),
		}
		if p.Model != "" {
			models[p.Model] = true
		}
	}
	for m := range models {
		t.models = append(t.models, m)
	}
	sort.Strings(t.models)
	return t
}

// withoutDrained returns the agents without those drained by an intent. The
// configuration may lag behind, but agents that are leaving also refuse requests
// themselves.
func withoutDrained(snap *config.Snapshot, agents map[string]platform.Instance) map[string]platform.Instance {
	live := maps.Clone(agents)
	for _, in := range snap.Intents {
		if in.Drain {
			delete(live, in.Server)
		}
	}
	return live
}

func selectTargets(snap *config.Snapshot, live map[string]platform.Instance, want map[string]string) []target {
	if len(want) == 0 {
		return nil
	}
	var out []target
	for _, id := range route.Servers(snap.Servers, want) {
		in, ok := live[id]
		if ok {
			out = append(out, target{id: id, address: in.Address, zone: in.AvailabilityZone})
		}
	}
	return out
}

// destination is the pool that a request is routed to.
type destination struct {
	choice  route.Choice
	targets poolTargets
}

// routeRequest finds the pool of a request.
func (e *Entry) routeRequest(r *request) (destination, *verdict.Error) {
	if !e.isReady() {
		// Without a configuration no selector matches any request, and the
		// refusal would look permanent to callers though waiting resolves it.
		return destination{}, verdict.New(verdict.NotRun, verdict.NoServer, "This entry has no configuration yet.").WithRetryAfter(time.Second)
	}
	t := e.routing.current()
	if r.model != "" && !t.hasModel(r.model) {
		return destination{}, verdict.New(verdict.NotRun, verdict.NoRoute, "There is no model %q.", r.model)
	}
	req := route.Request{
		Model: r.model, Organisation: r.organisation, Priority: r.priority,
		Method: r.method, Path: r.path, Group: r.group, AvailabilityZone: e.settings.AvailabilityZone,
	}
	c, ok := route.Pick(t.selectors, req, stickyFraction(r))
	if !ok {
		return destination{}, verdict.New(verdict.NotRun, verdict.NoRoute, "No selector takes this request.")
	}
	targets, ok := t.pools[c.Pool]
	if !ok {
		return destination{}, verdict.New(verdict.NotRun, verdict.NoRoute, "Selector %s names pool %s, which isn't declared.", c.Selector, c.Pool)
	}
	return destination{choice: c, targets: targets}, nil
}

func (t *table) hasModel(m string) bool {
	i := sort.SearchStrings(t.models, m)
	return i < len(t.models) && t.models[i] == m
}

// stickyFraction maps a request to [0,1). Requests with the same idempotency key
// get the same value, so that a repeat stays on the same side of a canary split.
func stickyFraction(r *request) float64 {
	key := r.key
	if key == "" {
		key = r.id
	}
	const bits = 53
	return float64(xxhash.Sum64String(r.organisation+"\x00"+key)>>(64-bits)) / (1 << bits)
}

// canGenerate reports whether the pool has servers for both phases.
func (p *poolTargets) canGenerate() bool { return len(p.prefill) > 0 && len(p.decode) > 0 }

// generates reports whether the server takes part in the pool's generations.
func (p *poolTargets) generates(id string) bool {
	is := func(t target) bool { return t.id == id }
	return slices.ContainsFunc(p.decode, is) || slices.ContainsFunc(p.prefill, is)
}

// revision returns the revision of the configuration used for routing.
func (e *Entry) revision() uint64 { return e.routing.current().snapshot.Revision }
