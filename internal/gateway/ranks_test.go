package gateway

import (
	"io"
	"testing"

	"gotest.tools/v3/assert"

	"jayford.example/jayford/internal/catalog"
	"jayford.example/jayford/internal/verdict"
)

// rankedConfig is configWithKeys with another route to the engines, of another priority.
func rankedConfig(priority int) *catalog.Config {
	c := configWithKeys(11, secretKey)
	for _, r := range c.Routes {
		if r.PathPrefix == "/stream/" {
			r.Name, r.PathPrefix, r.Priority = "urgent", "/urgent/", priority
			c.Routes = append(c.Routes, r)
			break
		}
	}
	return c
}

// Guards against calls to engines without the rank by which the engines order them, and
// against ranks where requests don't differ: an engine takes a request without one for
// moderately urgent.
func TestCallsCarryTheRankWhereRanksDiffer(t *testing.T) {
	for _, x := range []struct {
		priority int
		isRanked bool
		rank     int
	}{{3, true, 1}, {0, false, 0}} {
		f := &fakeBackend{}
		f.send = func(_ catalog.Server, _ Call) (*Answer, *verdict.Error) { return answer(text(eventsOf("1"))), nil }
		g, _ := keyedGateway(t, f, io.Discard)
		assert.Assert(t, g.SetConfig(rankedConfig(x.priority)))
		reply, err := g.Serve(t.Context(), withKey(generation("/urgent/x"), secretKey))
		assert.Assert(t, err == nil)
		assert.NilError(t, reply.Body.Close())
		calls := f.prefillCalls
		for _, s := range f.sends() {
			calls = append(calls, s.call)
		}
		assert.Assert(t, len(f.prefillCalls) > 0 && len(calls) > len(f.prefillCalls))
		for _, c := range calls {
			assert.Equal(t, c.IsRanked, x.isRanked)
			assert.Equal(t, c.Rank, x.rank)
		}
	}
}

// Guards against requests that compete for their organisation's quota without their rank.
func TestQuotaIsTakenByRank(t *testing.T) {
	f := &fakeBackend{}
	f.send = func(_ catalog.Server, _ Call) (*Answer, *verdict.Error) { return answer(text(eventsOf("1"))), nil }
	g, _ := keyedGateway(t, f, io.Discard)
	q := &fakeQuotas{}
	g.LimitOrganisations(q)
	assert.Assert(t, g.SetConfig(rankedConfig(3)))
	for _, path := range []string{"/urgent/x", "/stream/x"} {
		reply, err := g.Serve(t.Context(), withKey(generation(path), secretKey))
		assert.Assert(t, err == nil)
		assert.NilError(t, reply.Body.Close())
	}
	assert.DeepEqual(t, q.ranks, []int{1, 0})
}
