package entry

import (
	"maps"
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

// target is one agent that a pool may use.
type target struct {
	id      string
	address string
	zone    string
}

// poolTargets are the agents of one pool by role. A list longer than the entry's
// subset is ranked for this entry: its subset is the head of the list.
type poolTargets struct {
	prefill []target
	decode  []target
	service []target
}

// table is what routing needs of one configuration snapshot, worked out once
// per snapshot instead of per request.
type table struct {
	snapshot *config.Snapshot
	// generation of the members that it was made from.
	membersVersion uint64
	selectors      []route.Named
	pools          map[string]poolTargets
	models         []string
	shares         *shares
}

// routing keeps the table of the snapshot in force.
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

// ranking orders big pools for one entry.
type ranking struct {
	entry string
	// subset is how many servers one decision looks at.
	subset int
}

// of ranks the servers of a pool. Pools within the subset keep their order.
//
// It is done once a configuration: 1,100 servers ranked at each decision took a
// good half millisecond and a quarter megabyte of each request.
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

// withoutDrained leaves out the agents that an intent drains. The configuration
// lags; agents that leave refuse by themselves.
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

// routed is where a request goes.
type destination struct {
	choice  route.Choice
	targets poolTargets
}

// routeRequest finds the pool of a request.
func (e *Entry) routeRequest(r *request) (destination, *verdict.Error) {
	if !e.isReady() {
		// Without a configuration every request looks as if no selector took
		// it: callers would be told for good what waiting cures.
		return destination{}, verdict.New(verdict.NotRun, verdict.NoServer, "This entry has no configuration yet.").After(time.Second)
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

// sticky maps a request to [0,1), the same for each sending of its key, so that
// a repeat stays in the same part of a canary.
func stickyFraction(r *request) float64 {
	key := r.key
	if key == "" {
		key = r.id
	}
	const bits = 53
	return float64(xxhash.Sum64String(r.organisation+"\x00"+key)>>(64-bits)) / (1 << bits)
}

// generates says whether the pool has servers for both phases.
func (p *poolTargets) canGenerate() bool { return len(p.prefill) > 0 && len(p.decode) > 0 }

// revision returns the configuration's revision that requests are routed by.
func (e *Entry) revision() uint64 { return e.routing.current().snapshot.Revision }
