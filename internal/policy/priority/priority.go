// Package priority decides which of several competing requests goes first.
//
// It answers the load pattern of callers who together ask for more than a quota or the
// engines allow, while their requests differ in value. Routes and organisations declare
// priorities; a request's rank follows from both.
//
// The package guarantees:
//   - A rank depends on the configuration alone, so all gateways agree on it.
//   - Where no two requests can differ in rank, a Scheme says so, and they are served as if
//     there were no ranks.
package priority

import "jayford.example/jayford/internal/catalog"

// The most and the least urgent rank. Engines know no others.
const (
	First = 0
	Last  = 9
)

// Rank returns the rank of a request; 0 is the most urgent. The organisation's priority
// takes precedence over the route's. organisation is nil if the route needs no key.
func Rank(route *catalog.Route, organisation *catalog.Organisation) int {
	p := route.Priority
	if organisation != nil && organisation.HasPriority {
		p = organisation.Priority
	}
	return max(First, min(p, Last))
}

// Scheme says where the requests of one configuration differ in rank. The zero value is for
// a configuration in which none do.
type Scheme struct {
	services map[string]bool
	differ   bool
}

// rankSet is a set of ranks, one bit for each.
type rankSet uint16

func (s rankSet) differ() bool { return s&(s-1) != 0 }

// NewScheme returns the Scheme of a configuration.
func NewScheme(c *catalog.Config) Scheme {
	ofService := map[string]rankSet{}
	all := rankSet(0)
	for i := range c.Routes {
		ranks := ranksOf(&c.Routes[i], c.Organisations)
		all |= ranks
		for _, t := range c.Routes[i].Targets {
			ofService[t.Service] |= ranks
		}
	}
	out := Scheme{services: map[string]bool{}, differ: all.differ()}
	for name, ranks := range ofService {
		if ranks.differ() {
			out.services[name] = true
		}
	}
	return out
}

// ranksOf returns the ranks that requests of a route can have.
func ranksOf(r *catalog.Route, organisations *catalog.Organisations) rankSet {
	if r.Open || organisations == nil {
		return 1 << Rank(r, nil)
	}
	out := rankSet(0)
	for _, o := range organisations.All() {
		out |= 1 << Rank(r, o)
	}
	return out
}

// Applies reports whether requests of a service differ in rank.
func (s Scheme) Applies(service string) bool { return s.services[service] }

// Differ reports whether any requests differ in rank. Requests of several services share
// their organisation's quota.
func (s Scheme) Differ() bool { return s.differ }
