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

// setRank sets the rank of the job, 0 where ranks don't differ.
func (g *Gateway) setRank(j *job, c *catalog.Config) {
	scheme := g.ranks.of(c)
	if !scheme.Differ() {
		return
	}
	j.rank = priority.Rank(j.route, j.organisation)
	j.isRanked = scheme.Applies(j.service.Name)
}
