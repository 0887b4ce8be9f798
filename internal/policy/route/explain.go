package route

import (
	"cmp"
	"slices"

	"jayford.example/jayford/internal/object"
)

// Reason states why a selector or server was used or not.
type Reason string

// The reasons of an Explanation.
const (
	// Decides: the selector determines the pool of the request.
	Decides Reason = "decides"
	// Shadowed: it matches, but another one with a lower order or name takes
	// precedence.
	Shadowed Reason = "shadowed"
	// Mismatch: a field or label has another value.
	Mismatch Reason = "mismatch"
	// NoTarget: it takes precedence, but none of its targets has a positive weight.
	NoTarget Reason = "no-target"
	// Selected: the server's labels match the pool's, and the entry uses it.
	Selected Reason = "selected"
	// Drained: the labels match, but an operator's intent drains the server.
	Drained Reason = "drained"
	// Unlisted: the labels match, but the server's agent is missing from the
	// platform's list or marked there as leaving.
	Unlisted Reason = "unlisted"
	// Doubted: the labels match, but the entry's own requests show the server as
	// failed or leaving. It is used only as a last resort.
	Doubted Reason = "doubted"
	// NoPool: the chosen pool isn't declared.
	NoPool Reason = "no-pool"
	// NoLabels: the pool has no labels for the role.
	NoLabels Reason = "no-labels"
)

// SelectorReason states why one selector determined the pool or not.
type SelectorReason struct {
	Selector string `json:"selector"`
	Order    int    `json:"order"`
	Reason   Reason `json:"reason"`
	// Field is set with Mismatch.
	Field Field  `json:"field,omitempty"`
	Got   string `json:"got,omitempty"`
}

// ServerReason states why one server belongs to a role of the pool or not.
type ServerReason struct {
	Server string `json:"server"`
	Role   string `json:"role"`
	Reason Reason `json:"reason"`
	// Label is set with Mismatch: the label that differs.
	Label string `json:"label,omitempty"`
	Want  string `json:"want,omitempty"`
	Got   string `json:"got,omitempty"`
}

// TargetReason states which fraction of the requests a target of the deciding
// selector gets, and which servers would serve them.
type TargetReason struct {
	Pool   string `json:"pool"`
	Weight int    `json:"weight"`
	// Share is the fraction of the requests, from 0 to 1.
	Share float64 `json:"share"`
	// Servers are as in Explanation; none if the pool isn't declared.
	Servers []ServerReason `json:"servers"`
}

// Explanation tells an operator how a request is routed.
type Explanation struct {
	Choice Choice `json:"choice"`
	Routed bool   `json:"routed"`
	// Reason is Decides if the request is routed to a declared pool.
	Reason Reason `json:"reason"`
	// Selectors are sorted by precedence.
	Selectors []SelectorReason `json:"selectors"`
	// Servers are sorted by role, then by name, for the roles that the pool has.
	Servers []ServerReason `json:"servers"`
	// Targets are all of the deciding selector's, among which requests are
	// split by weight; Choice names the one of this request.
	Targets []TargetReason `json:"targets"`
}

// Explain routes r as Pick does and returns the reason for each selector and each
// server.
func Explain(selectors []Named, pools map[string]object.Pool, servers map[string]object.Server, r Request, u float64) Explanation {
	var e Explanation
	e.Choice, e.Routed = Pick(selectors, r, u)
	e.Selectors = explainSelectors(selectors, &r, e)
	if i := decidingSelector(selectors, &r); i >= 0 {
		e.Targets = explainTargets(selectors[i].Targets, pools, servers)
	}
	pool, ok := pools[e.Choice.Pool]
	switch {
	case e.Choice.Selector == "":
		e.Reason = Mismatch
	case !e.Routed:
		e.Reason = NoTarget
	case !ok:
		e.Reason = NoPool
	default:
		e.Reason = Decides
		e.Servers = explainPool(&pool, servers)
	}
	return e
}

// MarkUnused replaces Selected for the servers that the entry doesn't use at present by
// the reason.
func (e *Explanation) MarkUnused(unused map[string]Reason) {
	refine := func(servers []ServerReason) {
		for i := range servers {
			why, ok := unused[servers[i].Server]
			if ok && servers[i].Reason == Selected {
				servers[i].Reason = why
			}
		}
	}
	refine(e.Servers)
	for _, t := range e.Targets {
		refine(t.Servers)
	}
}

func explainTargets(targets []object.Target, pools map[string]object.Pool, servers map[string]object.Server) []TargetReason {
	total := 0
	for _, t := range targets {
		total += max(0, t.Weight)
	}
	out := make([]TargetReason, 0, len(targets))
	for _, t := range targets {
		why := TargetReason{Pool: t.Pool, Weight: t.Weight}
		if total > 0 {
			why.Share = float64(max(0, t.Weight)) / float64(total)
		}
		if pool, ok := pools[t.Pool]; ok {
			why.Servers = explainPool(&pool, servers)
		}
		out = append(out, why)
	}
	return out
}

func explainSelectors(selectors []Named, r *Request, e Explanation) []SelectorReason {
	out := make([]SelectorReason, 0, len(selectors))
	for i := range selectors {
		s := &selectors[i]
		why := SelectorReason{Selector: s.Name, Order: s.Order, Reason: Shadowed}
		field := mismatch(&s.Match, r)
		switch {
		case field != "":
			why.Reason, why.Field, why.Got = Mismatch, field, r.value(field)
		case s.Name == e.Choice.Selector && e.Routed:
			why.Reason = Decides
		case s.Name == e.Choice.Selector:
			why.Reason = NoTarget
		}
		out = append(out, why)
	}
	slices.SortFunc(out, func(a, b SelectorReason) int {
		return cmp.Or(cmp.Compare(a.Order, b.Order), cmp.Compare(a.Selector, b.Selector))
	})
	return out
}

func (r *Request) value(f Field) string {
	switch f {
	case FieldModel:
		return r.Model
	case FieldOrganisation:
		return r.Organisation
	case FieldPriority:
		return r.Priority
	case FieldMethod:
		return r.Method
	case FieldPath:
		return r.Path
	case FieldAvailabilityZone:
		return r.AvailabilityZone
	}
	return r.Group
}

func explainPool(p *object.Pool, servers map[string]object.Server) []ServerReason {
	var out []ServerReason
	if len(p.Service) > 0 {
		return explainRole(out, object.RoleService, p.Service, servers)
	}
	out = explainRole(out, object.RolePrefill, p.Prefill, servers)
	return explainRole(out, object.RoleDecode, p.Decode, servers)
}

func explainRole(out []ServerReason, role string, want map[string]string, servers map[string]object.Server) []ServerReason {
	for _, name := range sortedKeys(servers) {
		why := ServerReason{Server: name, Role: role, Reason: Selected}
		labels := servers[name].Labels
		if key, bad := labelMismatch(labels, want); bad {
			why.Reason, why.Label = Mismatch, key
			why.Want, why.Got = want[key], labels[key]
		}
		if len(want) == 0 {
			why.Reason = NoLabels
		}
		out = append(out, why)
	}
	return out
}
