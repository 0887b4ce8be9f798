package priority

import (
	"testing"

	"gotest.tools/v3/assert"

	"jayford.example/jayford/internal/catalog"
)

func route(priority int, service string) catalog.Route {
	return catalog.Route{Priority: priority, Targets: []catalog.Target{{Service: service, Weight: 1}}}
}

// Guards against a route's priority that hides its organisation's, and against ranks that
// engines don't know.
func TestRank(t *testing.T) {
	r := route(2, "s")
	assert.Equal(t, Rank(&r, nil), 2)
	assert.Equal(t, Rank(&r, &catalog.Organisation{}), 2)
	assert.Equal(t, Rank(&r, &catalog.Organisation{HasPriority: true}), 0)
	assert.Equal(t, Rank(&r, &catalog.Organisation{HasPriority: true, Priority: 40}), Last)
	r.Priority = -3
	assert.Equal(t, Rank(&r, nil), First)
}

// Guards against ranks in deployments whose requests don't differ, which must be served as
// before.
func TestSchemeAppliesWhereRanksDiffer(t *testing.T) {
	c := &catalog.Config{Routes: []catalog.Route{route(0, "a"), route(2, "a"), route(2, "b"), route(2, "b")}}
	s := NewScheme(c)
	assert.Assert(t, s.Applies("a") && !s.Applies("b") && !s.Applies("c") && s.Differ())

	c.Routes = c.Routes[2:]
	s = NewScheme(c)
	assert.Assert(t, !s.Applies("b") && !s.Differ())

	c.Organisations = catalog.NewOrganisations()
	c.Organisations.Add(catalog.Organisation{Name: "one", HasPriority: true, Priority: 2})
	c.Organisations.Add(catalog.Organisation{Name: "two"})
	assert.Assert(t, !NewScheme(c).Applies("b"))
	c.Organisations.Add(catalog.Organisation{Name: "three", HasPriority: true, Priority: 1})
	assert.Assert(t, NewScheme(c).Applies("b"))
	// Requests of open routes have no organisation.
	c.Routes[0].Open, c.Routes[1].Open = true, true
	assert.Assert(t, !NewScheme(c).Applies("b"))
	assert.Assert(t, !Scheme{}.Applies("b"))
}
