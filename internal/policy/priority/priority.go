// Package priority decides which of several competing requests goes first.
//
// It answers the load pattern of callers who together ask for more than a quota or the
// engines allow, while their requests differ in value. Routes and organisations declare
// priorities; a request's rank follows from both.
//
// The package guarantees:
//   - A rank depends on the configuration alone, so all gateways agree on it.
//   - Where no two requests of a service's organisations can differ in rank, a Scheme says so,
//     and they are served as if there were no ranks.
package priority

import (
	"cmp"
	"slices"

	"jayford.example/jayford/internal/catalog"
)

// The most and the least urgent rank. Engines know no others.
const (
	First = 0
	Last  = 9
)

// urgency is what a request's rank follows from. The organisation's priority takes precedence,
// and the route's decides among organisations that are as urgent.
type urgency struct{ organisation, route int }

// urgencyOf returns the urgency of a request. Where no organisation declares a priority, the
// route's stands for it; organisation is nil if the route needs no key.
func urgencyOf(route *catalog.Route, organisation *catalog.Organisation) urgency {
	u := urgency{route.Priority, route.Priority}
	if organisation != nil && organisation.HasPriority {
		u.organisation = organisation.Priority
	}
	return u
}

func (u urgency) compare(o urgency) int {
	return cmp.Or(cmp.Compare(u.organisation, o.organisation), cmp.Compare(u.route, o.route))
}

// Scheme has the ranks of one configuration. The zero value is for a configuration in which
// none differ.
type Scheme struct {
	// services has the urgencies of each service's requests, sorted.
	services map[string][]urgency
}

// NewScheme returns the Scheme of a configuration. Requests of open routes have no quota and no
// organisation, so that they don't make those of organisations differ; where these differ, they
// are ranked among them.
func NewScheme(c *catalog.Config) Scheme {
	out := Scheme{services: map[string][]urgency{}}
	for i := range c.Routes {
		r := &c.Routes[i]
		if r.Open && c.Organisations != nil {
			continue
		}
		for _, t := range r.Targets {
			out.services[t.Service] = append(out.services[t.Service], urgenciesOf(r, c.Organisations)...)
		}
	}
	for name, list := range out.services {
		slices.SortFunc(list, urgency.compare)
		out.services[name] = slices.Compact(list)
	}
	return out
}

// urgenciesOf returns the urgencies that requests of a route can have.
func urgenciesOf(r *catalog.Route, organisations *catalog.Organisations) []urgency {
	if organisations == nil {
		return []urgency{urgencyOf(r, nil)}
	}
	var out []urgency
	for _, o := range organisations.All() {
		out = append(out, urgencyOf(r, o))
	}
	return out
}

// Rank returns the rank of a request to a service, 0 for the most urgent, and whether requests
// of the service differ in it. organisation is nil if the route needs no key.
func (s Scheme) Rank(service string, route *catalog.Route, organisation *catalog.Organisation) (rank int, differ bool) {
	list := s.services[service]
	if len(list) < 2 {
		return First, false
	}
	at, _ := slices.BinarySearchFunc(list, urgencyOf(route, organisation), urgency.compare)
	return min(at, Last), true
}
