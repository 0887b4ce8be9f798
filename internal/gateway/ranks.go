package gateway

import (
	"sync/atomic"

	"jayford.example/jayford/internal/catalog"
	"jayford.example/jayford/internal/policy/priority"
)

// ranks has where requests differ in rank, for the configuration in force.
type ranks struct{ current atomic.Pointer[configRanks] }

type configRanks struct {
	config *catalog.Config
	scheme priority.Scheme
}

// of returns the scheme of a configuration, which it computes once.
func (r *ranks) of(c *catalog.Config) priority.Scheme {
	if x := r.current.Load(); x != nil && x.config == c {
		return x.scheme
	}
	x := &configRanks{config: c, scheme: priority.NewScheme(c)}
	r.current.Store(x)
	return x.scheme
}

// setRank sets the rank of the job, 0 where requests of its service don't differ in rank: such
// a request competes for nothing but its organisation's quota, of which a plain call takes a
// twentieth of what a generation takes.
func (g *Gateway) setRank(j *job, c *catalog.Config) {
	j.rank, j.isRanked = g.ranks.of(c).Rank(j.service.Name, j.route, j.organisation)
}
