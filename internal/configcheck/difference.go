package configcheck

import (
	"fmt"
	"slices"
	"strconv"
	"strings"

	"jayford.example/jayford/internal/catalog"
)

// Compare returns what differs in a draft from the version in force, and whether gateways
// would take its version. Of keys it tells only how many differ.
func Compare(now, before Draft) []Finding {
	var out []Finding
	out = append(out, compareVersions(now, before)...)
	out = append(out, compareEntries(routeEntries(now), routeEntries(before))...)
	out = append(out, compareEntries(serviceEntries(now), serviceEntries(before))...)
	out = append(out, compareLimits(now, before)...)
	out = append(out, compareOrganisations(now, before)...)
	for _, d := range []Draft{now, before} {
		if n := Count(d.Faults, Error); n > 0 {
			out = append(out, Finding{
				File: d.File, Severity: Note, Code: Incomplete,
				Text: fmt.Sprintf("%d fields can't be decoded, so the difference may be incomplete", n),
			})
		}
	}
	return out
}

func compareVersions(now, before Draft) []Finding {
	place := Place{Field: Version}
	if now.Places.Faulty(place) || before.Places.Faulty(place) || now.Config.Version > before.Config.Version {
		return nil
	}
	return []Finding{now.at(place, Error, VersionNotHigher, "the version %d isn't above %d in %s, so gateways ignore this configuration",
		now.Config.Version, before.Config.Version, before.File)}
}

// value is a field of an entry as text.
type value struct{ name, text string }

func newValue(name string, x any) value { return value{name, fmt.Sprint(x)} }

func newNumber(name string, x float64) value { return value{name, number(x)} }

// number returns x without an exponent.
func number(x float64) string { return strconv.FormatFloat(x, 'f', -1, 64) }

// entry is a named entry of a draft with its fields.
type entry struct {
	draft  Draft
	place  Place
	what   string
	name   string
	values []value
	// keys are an organisation's.
	keys map[catalog.KeyDigest]bool
}

func (e entry) difference(text string, args ...any) Finding {
	return e.draft.at(e.place, Note, Difference, "%s %q %s", e.what, e.name, fmt.Sprintf(text, args...))
}

// compareEntries returns the entries that were added, removed or changed. Entries without a
// name or with a repeated one are left out, as Check reports them.
func compareEntries(now, before []entry) []Finding {
	var out []Finding
	now, before = firstOfNames(now), firstOfNames(before)
	old := byName(before)
	for _, e := range now {
		b, ok := old[e.name]
		if !ok {
			out = append(out, e.difference("is added"))
			continue
		}
		if changes := changesOf(e, b); len(changes) > 0 {
			out = append(out, e.difference("changes: %s", strings.Join(changes, "; ")))
		}
	}
	current := byName(now)
	for _, b := range before {
		if _, ok := current[b.name]; !ok {
			out = append(out, b.difference("is removed"))
		}
	}
	return out
}

// firstOfNames returns the first entry of each name, without those that have none.
func firstOfNames(list []entry) []entry {
	seen := map[string]bool{"": true}
	return slices.DeleteFunc(slices.Clone(list), func(e entry) bool {
		repeated := seen[e.name]
		seen[e.name] = true
		return repeated
	})
}

func byName(list []entry) map[string]entry {
	out := make(map[string]entry, len(list))
	for _, e := range list {
		out[e.name] = e
	}
	return out
}

// changesOf describes the fields that differ. Both entries are of the same kind.
func changesOf(now, before entry) []string {
	out := changedValues(now.values, before.values)
	added, removed := countMissing(now.keys, before.keys), countMissing(before.keys, now.keys)
	if added > 0 || removed > 0 {
		out = append(out, fmt.Sprintf("%d keys added, %d removed", added, removed))
	}
	return out
}

func changedValues(now, before []value) []string {
	var out []string
	for i, v := range now {
		if old := before[i]; old != v {
			out = append(out, fmt.Sprintf("%s from %s to %s", v.name, old.text, v.text))
		}
	}
	return out
}

// countMissing returns how many elements of a set another lacks.
func countMissing(set, other map[catalog.KeyDigest]bool) int {
	n := 0
	for key := range set {
		if !other[key] {
			n++
		}
	}
	return n
}

func routeEntries(d Draft) []entry {
	out := make([]entry, 0, len(d.Config.Routes))
	for i, r := range d.Config.Routes {
		out = append(out, entry{draft: d, place: Place{Part: Route, Index: i}, what: "route", name: r.Name, values: []value{
			newValue("host", r.Host), newValue("prefix", r.PathPrefix), newValue("kind", r.Kind), newValue("timeout", r.Timeout),
			newValue("objective", r.LatencyObjective), newValue("gap between events", r.MaxEventGap), newValue("priority", r.Priority),
			newValue("services", describeTargets(r.Targets)), newValue("attempts", r.MaxAttempts),
			newValue("resumption", r.Resume), newValue("open without a key", r.Open),
		}})
	}
	return out
}

func describeTargets(list []catalog.Target) string {
	out := make([]string, len(list))
	for i, t := range list {
		out[i] = fmt.Sprintf("%s (weight %s)", t.Service, number(t.Weight))
	}
	return strings.Join(out, ", ")
}

func serviceEntries(d Draft) []entry {
	out := make([]entry, 0, len(d.Services))
	for i, s := range d.Services {
		e := catalog.Engine{}
		if s.Engine != nil {
			e = *s.Engine
		}
		out = append(out, entry{draft: d, place: Place{Part: Service, Index: i}, what: "service", name: s.Name, values: []value{
			newValue("connections", s.MaxConnections), newValue("health path", s.HealthPath), newValue("engines", s.Engine != nil),
			newValue("slots", e.Slots), newValue("KV cache", e.KVTokens), newValue("tokens per event", e.EventTokens),
			newValue("life of prefill results", e.PrefillResultTTL), newValue("time of a stage change", e.SwitchTime),
			newValue("life of reservations", e.ReservationTTL),
		}})
	}
	return out
}

func compareLimits(now, before Draft) []Finding {
	values := func(l catalog.Limits) []value {
		return []value{newValue("header bytes", l.HeaderBytes), newValue("body bytes", l.BodyBytes), newValue("idle timeout", l.IdleTimeout)}
	}
	changes := changedValues(values(now.Config.Limits), values(before.Config.Limits))
	if len(changes) == 0 {
		return nil
	}
	return []Finding{now.at(Place{Part: Limits}, Note, Difference, "limits change: %s", strings.Join(changes, "; "))}
}

func compareOrganisations(now, before Draft) []Finding {
	var out []Finding
	place := Place{Field: Organisations}
	needed, neededBefore := now.Config.Organisations != nil, before.Config.Organisations != nil
	switch {
	case needed && !neededBefore:
		out = append(out, now.at(place, Note, Difference, "requests need keys, which they didn't before"))
	case !needed && neededBefore:
		out = append(out, now.at(place, Note, Difference, "requests need no keys any more"))
	}
	return append(out, compareEntries(organisationEntries(now), organisationEntries(before))...)
}

func organisationEntries(d Draft) []entry {
	out := make([]entry, 0, len(d.Organisations))
	for i, o := range d.Organisations {
		priority := "the route's"
		if o.HasPriority {
			priority = fmt.Sprint(o.Priority)
		}
		keys := make(map[catalog.KeyDigest]bool, len(o.Keys))
		for _, key := range o.Keys {
			if key != (catalog.KeyDigest{}) {
				keys[key] = true
			}
		}
		out = append(out, entry{
			draft: d, place: Place{Part: Organisation, Index: i}, what: "organisation", name: o.Name, keys: keys,
			values: []value{
				newValue("priority", priority), newNumber("rate", o.Quota.PerSecond), newNumber("burst", o.Quota.Burst),
				newValue("counts tokens", o.Quota.InTokens), newNumber("cost of a plain request", o.Quota.PlainCost),
			},
		})
	}
	return out
}
