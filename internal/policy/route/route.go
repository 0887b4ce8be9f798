// Package route decides which pool a request goes to, by the operators'
// selectors, and which backend servers belong to a pool, by their labels.
// All of it is pure functions.
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

// Choice is where a request goes.
type Choice struct {
	// Selector is the name of the selector that decided.
	Selector string
	Pool     string
	// Priority is the selector's, or the request's if the selector has none.
	Priority string
}

// Pick returns the pool for r. Of the selectors that match, the one with the
// lowest order decides, ties go to the lower name. Its targets share requests
// by weight: u in [0,1) picks one, so a u hashed from the request's key keeps a
// canary sticky. It returns false if no selector matches, or if the one that
// decides has no target with a positive weight; Choice.Selector tells which.
func Pick(selectors []Named, r Request, u float64) (Choice, bool) {
	i := decide(selectors, &r)
	if i < 0 {
		return Choice{}, false
	}
	s := &selectors[i]
	c := Choice{Selector: s.Name, Priority: s.Priority}
	if c.Priority == "" {
		c.Priority = r.Priority
	}
	var ok bool
	c.Pool, ok = share(s.Targets, u)
	return c, ok
}

// decide returns the index of the selector that decides, or -1.
func decide(selectors []Named, r *Request) int {
	best := -1
	for i := range selectors {
		if best >= 0 && !before(&selectors[i], &selectors[best]) {
			continue
		}
		if mismatch(&selectors[i].Match, r) == "" {
			best = i
		}
	}
	return best
}

func before(a, b *Named) bool {
	if a.Order != b.Order {
		return a.Order < b.Order
	}
	return a.Name < b.Name
}

// share picks a target by weight. Weights below 1 take nothing.
func share(targets []object.Target, u float64) (string, bool) {
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

// Field names the part of a Match that kept a selector from matching.
type Field string

// The fields of a Match.
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
	case !takes(m.Models, r.Model):
		return FieldModel
	case !takes(m.Organisations, r.Organisation):
		return FieldOrganisation
	case !takes(m.Priorities, r.Priority):
		return FieldPriority
	case !takes(m.Methods, r.Method):
		return FieldMethod
	case !takesPath(m.PathPrefixes, r.Path):
		return FieldPath
	case !takes(m.AvailabilityZones, r.AvailabilityZone):
		return FieldAvailabilityZone
	case !takes(m.Groups, r.Group):
		return FieldGroup
	}
	return ""
}

func takes(list []string, v string) bool {
	return len(list) == 0 || slices.Contains(list, v)
}

func takesPath(prefixes []string, path string) bool {
	if len(prefixes) == 0 {
		return true
	}
	for _, p := range prefixes {
		if underPath(p, path) {
			return true
		}
	}
	return false
}

// underPath compares whole path segments, so that "/book" doesn't take
// "/bookmarks".
func underPath(prefix, path string) bool {
	rest, ok := strings.CutPrefix(path, prefix)
	if !ok {
		return false
	}
	return rest == "" || strings.HasSuffix(prefix, "/") || rest[0] == '/'
}

// Servers returns the sorted names of the servers whose labels hold all of
// want. An empty want selects none, so that a pool without the role gets no
// server of another. The cost grows with the fleet: call it when the
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
