package priority

import (
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"jayford.example/jayford/internal/catalog"
)

func route(priority int, service string) catalog.Route {
	return catalog.Route{Priority: priority, Targets: []catalog.Target{{Service: service, Weight: 1}}}
}

// organisations returns organisations with priorities, none for -1.
func organisations(priorities ...int) *catalog.Organisations {
	out := catalog.NewOrganisations()
	for i, p := range priorities {
		out.Add(catalog.Organisation{Name: string(rune('a' + i)), HasPriority: p >= 0, Priority: max(0, p)})
	}
	return out
}

func organisation(priority int) *catalog.Organisation {
	return &catalog.Organisation{HasPriority: priority >= 0, Priority: max(0, priority)}
}

// Guards against organisations of one priority that hide the priorities of their routes, and
// against a route's priority that goes before its organisation's.
func TestOrganisationGoesBeforeRoute(t *testing.T) {
	c := &catalog.Config{Routes: []catalog.Route{route(0, "s"), route(1, "s"), route(2, "s")}, Organisations: organisations(1, 1)}
	s := NewScheme(c)
	for i := range c.Routes {
		rank, differ := s.Rank("s", &c.Routes[i], organisation(1))
		assert.Assert(t, differ)
		assert.Equal(t, rank, i)
	}
	c.Organisations = organisations(1, 3)
	s = NewScheme(c)
	before, _ := s.Rank("s", &c.Routes[2], organisation(1))
	after, _ := s.Rank("s", &c.Routes[0], organisation(3))
	assert.Assert(t, before < after, "%d %d", before, after)
}

// Guards against ranks in deployments whose requests don't differ, which must be served as
// before, and against open routes that make others differ.
func TestRanksOnlyWhereRequestsDiffer(t *testing.T) {
	c := &catalog.Config{Routes: []catalog.Route{route(0, "a"), route(2, "a"), route(2, "b"), route(2, "b")}}
	differs := func(service string) bool {
		_, differ := NewScheme(c).Rank(service, &c.Routes[0], nil)
		return differ
	}
	assert.Assert(t, differs("a") && !differs("b") && !differs("c"))
	c.Organisations = organisations(1, 1)
	assert.Assert(t, differs("a") && !differs("b"))
	c.Organisations = organisations(1, -1)
	assert.Assert(t, differs("b"), "one organisation has no priority, its routes' stands for it")
	c.Organisations = organisations(1)
	open := route(0, "b")
	open.Open = true
	c.Routes = append(c.Routes, open)
	assert.Assert(t, !differs("b"))
	_, differ := Scheme{}.Rank("a", &c.Routes[0], nil)
	assert.Assert(t, !differ)
}

// Guards against ranks that engines don't know, and against an order of ranks that isn't that of
// the priorities.
func TestRanksFollowPriorities(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		priorities := rapid.SliceOfN(rapid.IntRange(-2, 40), 1, 12)
		c := &catalog.Config{Organisations: organisations(rapid.SliceOfN(rapid.IntRange(-1, 20), 1, 5).Draw(t, "organisations")...)}
		for _, p := range priorities.Draw(t, "routes") {
			c.Routes = append(c.Routes, route(p, "s"))
		}
		s := NewScheme(c)
		type ranked struct {
			urgency
			rank int
		}
		var all []ranked
		for i := range c.Routes {
			for _, o := range c.Organisations.All() {
				rank, _ := s.Rank("s", &c.Routes[i], o)
				assert.Assert(t, rank >= First && rank <= Last)
				all = append(all, ranked{urgencyOf(&c.Routes[i], o), rank})
			}
		}
		for _, x := range all {
			for _, y := range all {
				if x.compare(y.urgency) < 0 {
					assert.Assert(t, x.rank <= y.rank, "%+v %+v", x, y)
					assert.Assert(t, x.rank < y.rank || y.rank == Last, "%+v %+v", x, y)
				}
			}
		}
	})
}
