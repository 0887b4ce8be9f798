// Package route decides which pool a request is routed to, by the operators'
// selectors, and which backend servers belong to a pool, by their labels. It
// has no state.
package route

import (
	"maps"
	"slices"
	"strings"

	"jayford.example/jayford/internal/object"
)

// Request holds what selectors can match on.
type Request struct {
	Model, Organisation, Priority, Method, Path, Group, AvailabilityZone string
}

// Named is a selector with its object name.
type Named struct {
	Name string
	object.Selector
}

// Choice is the routing decision for a request.
type Choice struct {
	// Selector is the name of the selector that decided.
	Selector string
	Pool     string
	// Priority is that of the selector, or of the request if the selector has none.
	Priority string
}

// Pick returns the pool for r. Of the selectors that match, the one with the
// lowest order decides; ties are broken by name. Requests are split among its
// targets by weight: u in [0,1) selects one, so a u hashed from the request's key
// keeps a canary sticky. It returns false if no selector matches, or if the deciding
// one has no target with a positive weight; Choice.Selector is empty in the former
// case.
func Pick(selectors []Named, r Request, u float64) (Choice, bool) {
	i := decidingSelector(selectors, &r)
	if i < 0 {
		return Choice{}, false
	}
	s := &selectors[i]
	c := Choice{Selector: s.Name, Priority: s.Priority}
	if c.Priority == "" {
		c.Priority = r.Priority
	}
	var ok bool
	c.Pool, ok = pickTarget(s.Targets, u)
	return c, ok
}

// decidingSelector returns the index of the deciding selector, or -1 if none matches.
func decidingSelector(selectors []Named, r *Request) int {
	best := -1
	for i := range selectors {
		if best >= 0 && !precedes(&selectors[i], &selectors[best]) {
			continue
		}
		if mismatch(&selectors[i].Match, r) == "" {
			best = i
		}
	}
	return best
}

func precedes(a, b *Named) bool {
	if a.Order != b.Order {
		return a.Order < b.Order
	}
	return a.Name < b.Name
}

// pickTarget picks a target by weight. Targets with a weight below 1 get no requests.
func pickTarget(targets []object.Target, u float64) (string, bool) {
	total := 0
	for i := range targets {
		total += max(0, targets[i].Weight)
	}
	if total == 0 {
		return "", false
	}
	at := u * float64(total)
	last := ""
	for i := range targets {
		w := targets[i].Weight
		if w < 1 {
			continue
		}
		last = targets[i].Pool
		if at < float64(w) {
			return last, true
		}
		at -= float64(w)
	}
	return last, true
}

// Field is the name of a field of object.Match.
type Field string

// The fields of object.Match.
const (
	FieldModel            Field = "model"
	FieldOrganisation     Field = "organisation"
	FieldPriority         Field = "priority"
	FieldMethod           Field = "method"
	FieldPath             Field = "path"
	FieldAvailabilityZone Field = "availabilityZone"
	FieldGroup            Field = "group"
)

// mismatch returns the first field that doesn't match, or "".
func mismatch(m *object.Match, r *Request) Field {
	switch {
	case !matches(m.Models, r.Model):
		return FieldModel
	case !matches(m.Organisations, r.Organisation):
		return FieldOrganisation
	case !matches(m.Priorities, r.Priority):
		return FieldPriority
	case !matches(m.Methods, r.Method):
		return FieldMethod
	case !matchesPath(m.PathPrefixes, r.Path):
		return FieldPath
	case !matches(m.AvailabilityZones, r.AvailabilityZone):
		return FieldAvailabilityZone
	case !matches(m.Groups, r.Group):
		return FieldGroup
	}
	return ""
}

func matches(list []string, v string) bool {
	return len(list) == 0 || slices.Contains(list, v)
}

func matchesPath(prefixes []string, path string) bool {
	if len(prefixes) == 0 {
		return true
	}
	for _, p := range prefixes {
		if hasPathPrefix(p, path) {
			return true
		}
	}
	return false
}

// hasPathPrefix compares whole path segments, so that "/book" doesn't match
// "/bookmarks".
func hasPathPrefix(prefix, path string) bool {
	rest, ok := strings.CutPrefix(path, prefix)
	if !ok {
		return false
	}
	return rest == "" || strings.HasSuffix(prefix, "/") || rest[0] == '/'
}

// Servers returns the sorted names of the servers whose labels include all of
// want. An empty want selects none, so that a pool without a role doesn't get the
// servers of all others. The cost grows with the fleet: call it when the
// configuration changes and keep the result.
func Servers(labels map[string]object.Server, want map[string]string) []string {
	var names []string
	if len(want) == 0 {
		return nil
	}
	for name, s := range labels {
		if _, bad := labelMismatch(s.Labels, want); !bad {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// labelMismatch returns the first key, by name, whose value differs.
func labelMismatch(labels, want map[string]string) (string, bool) {
	key, bad := "", false
	for k, v := range want {
		if got, ok := labels[k]; ok && got == v {
			continue
		}
		if !bad || k < key {
			key, bad = k, true
		}
	}
	return key, bad
}

// sortedKeys returns the keys of m in order.
func sortedKeys[V any](m map[string]V) []string {
	return slices.Sorted(maps.Keys(m))
}
