package gateway

import (
	"context"
	"fmt"
	"io"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"jayford.example/jayford/internal/board"
	"jayford.example/jayford/internal/catalog"
	"jayford.example/jayford/internal/policy/doubt"
	"jayford.example/jayford/internal/verdict"
)

// zeroLimit is a limit of zero in an answer to a call that began at asked.
func zeroLimit(asked time.Time) RateLimit { return RateLimit{Present: true, RequestedAt: asked} }

// limit sets a limit of zero for the servers with the ids.
func (g *Gateway) limit(now time.Time, ids ...string) {
	for _, c := range g.view.list().all {
		for _, id := range ids {
			if c.ID == id {
				g.limits.update(c.Server, zeroLimit(now), now)
			}
		}
	}
}

// Guards against a limit that is lifted by an answer already on its way when the limit
// was set.
func TestEarlierAnswerDoesNotLiftALimit(t *testing.T) {
	l := newGateway(t, &fakeBackend{}).limits
	s := catalog.Server{ID: "p1"}
	now := time.Now()
	l.update(s, zeroLimit(now), now)
	l.update(s, RateLimit{RequestedAt: now.Add(-time.Millisecond)}, now.Add(time.Millisecond))
	assert.Assert(t, !l.allows(serverKey(s), now.Add(time.Second)))
	l.update(s, RateLimit{RequestedAt: now.Add(time.Second)}, now.Add(2*time.Second))
	assert.Assert(t, l.allows(serverKey(s), now.Add(2*time.Second)))
}

// Guards against a limited server that never gets requests again, because without
// requests no answer can lift its limit.
func TestUnconfirmedLimitGetsATrial(t *testing.T) {
	l := newGateway(t, &fakeBackend{}).limits
	s := catalog.Server{ID: "p1"}
	now := time.Now()
	l.update(s, zeroLimit(now), now)
	assert.Assert(t, !l.take(serverKey(s), now.Add(limitTrialAfter)))
	late := now.Add(limitTrialAfter + time.Second)
	assert.Assert(t, l.take(serverKey(s), late))
	assert.Assert(t, !l.take(serverKey(s), late), "one trial at a time")
	assert.Assert(t, l.take(serverKey(s), late.Add(limitTrialAfter+time.Second)))
}

// Guards against gateways that have no share of a small limit and never learn that it
// was lifted, and against all of them sending trial requests at once.
func TestGatewaysWithoutAShareMakeTrialsInTurn(t *testing.T) {
	var ids []string
	for i := range 40 {
		ids = append(ids, fmt.Sprint("g", i))
	}
	s, now := catalog.Server{ID: "p1"}, time.Now()
	var all []*limits
	for _, id := range ids {
		log := logrus.New()
		log.SetOutput(io.Discard)
		l := newLimits(id, board.New(), logrus.NewEntry(log))
		l.setGateways(ids, 0, false)
		l.update(s, zeroLimit(now), now)
		all = append(all, l)
	}
	const round = 40 * 4 * time.Second
	tried := make([]int, len(all))
	for after := limitTrialAfter + time.Second; after < limitTrialAfter+2*round; after += 500 * time.Millisecond {
		together := 0
		for i, l := range all {
			if l.take(serverKey(s), now.Add(after)) {
				tried[i]++
				together++
			}
		}
		assert.Assert(t, together <= 1, "%d trials at once", together)
	}
	for i := range tried {
		assert.Assert(t, tried[i] > 0, "%s made no trial", ids[i])
	}
}

// Guards against limits that accumulate as servers come and go.
func TestLimitsOfRemovedServersAreDropped(t *testing.T) {
	g := newGateway(t, &fakeBackend{})
	g.limit(time.Now(), "p1", "d1")
	assert.Equal(t, len(g.limits.byServer), 2)
	g.SetServers(testServers()[1:])
	assert.Equal(t, len(g.limits.byServer), 1)
}

// Guards against applying a limit to a later incarnation of the server.
func TestLimitIsOfOneIncarnation(t *testing.T) {
	l := newGateway(t, &fakeBackend{}).limits
	now := time.Now()
	l.update(catalog.Server{ID: "p1", Incarnation: 1}, zeroLimit(now), now)
	assert.Assert(t, l.allows(serverKey(catalog.Server{ID: "p1", Incarnation: 2}), now))
}

// Guards against reservations, prefills and streams at engines beyond their limits.
func TestEnginesAtTheirLimitsAreNotUsed(t *testing.T) {
	f := &fakeBackend{
		send: func(catalog.Server, Call) (*Answer, *verdict.Error) { return answer(text(eventsOf("1"))), nil },
	}
	g := newGateway(t, f)
	g.limit(time.Now(), "d1", "d2", "f1")
	for range 10 {
		_, err := g.Serve(t.Context(), generation("/stream/x"))
		assert.Assert(t, err == nil, "%v", err)
	}
	for _, s := range f.sends() {
		assert.Equal(t, s.server, "d3")
	}
	assert.Equal(t, len(f.prefills), 0)
}

// Guards against generations that wait for engines which are all at their limits.
func TestGenerationIsRefusedAtOnceWhereAllEnginesAreAtTheirLimits(t *testing.T) {
	f := &fakeBackend{}
	g := newGateway(t, f)
	g.limit(time.Now(), "d1", "d2", "d3")
	began := time.Now()
	_, err := g.Serve(t.Context(), generation("/stream/x"))
	assert.Equal(t, err.Code, verdict.Overloaded)
	assert.Equal(t, err.Verdict, verdict.NotRun)
	assert.Assert(t, time.Since(began) < 100*time.Millisecond)
	assert.Assert(t, err.RetryAfter <= limitRetryAfter+2*limitSpread)
}

// Guards against health checks of many gateways that exceed a server's limit together:
// each must count like a request.
func TestProbesCountToTheLimit(t *testing.T) {
	f := &fakeBackend{}
	g := newGateway(t, f)
	g.limit(time.Now(), "p1")
	for _, c := range g.view.list().all {
		if c.ID == "p1" || c.ID == "p2" {
			g.view.recordOutcome(c.Server, doubt.ConnectionLost)
		}
	}
	ctx, cancel := context.WithTimeout(t.Context(), 3*healthMinBackoff)
	defer cancel()
	assert.NilError(t, g.probe(ctx))
	f.mu.Lock()
	defer f.mu.Unlock()
	assert.DeepEqual(t, f.probes, []string{"p2"})
}

// Guards against a refusal at servers' limits without a Retry-After or with the wrong
// cause.
func TestRefusalAtLimitsHasRetryAfter(t *testing.T) {
	g := newGateway(t, &fakeBackend{})
	g.limit(time.Now(), "p1", "p2", "p3")
	_, err := g.Serve(t.Context(), call("/once/x"))
	assert.Equal(t, err.Code, verdict.Overloaded)
	assert.Equal(t, err.Verdict, verdict.NotRun)
	assert.Assert(t, err.RetryAfter > 0 && err.RetryAfter <= limitRetryAfter+2*limitSpread)
}
