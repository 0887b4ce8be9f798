package gateway

import (
	"context"
	"reflect"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"jayford.example/jayford/internal/catalog"
	"jayford.example/jayford/internal/gossip"
	"jayford.example/jayford/internal/policy/blame"
	"jayford.example/jayford/internal/verdict"
)

// Guards against exchanges of any kind with a server that has asked for a pause: sends,
// probes, orders, reports and what releases reservations.
func TestPausingServerGetsNoExchange(t *testing.T) {
	exchanges := map[string]func(ctx context.Context, b Backend, s catalog.Server) error{
		"Send": func(ctx context.Context, b Backend, s catalog.Server) error {
			if _, err := b.Send(ctx, s, Call{Request: call("/once/x")}); err != nil {
				return err
			}
			return nil
		},
		"Prefill": func(ctx context.Context, b Backend, s catalog.Server) error {
			if _, err := b.Prefill(ctx, s, Call{Request: generation("/stream/")}); err != nil {
				return err
			}
			return nil
		},
		"Reserve": func(ctx context.Context, b Backend, s catalog.Server) error {
			if _, err := b.Reserve(ctx, s, Reservation{}); err != nil {
				return err
			}
			return nil
		},
		"Release": func(ctx context.Context, b Backend, s catalog.Server) error { return b.Release(ctx, s, "h") },
		"Discard": func(ctx context.Context, b Backend, s catalog.Server) error { return b.Discard(ctx, s, "r") },
		"Report": func(ctx context.Context, b Backend, s catalog.Server) error {
			_, err := b.Report(ctx, s)
			return err
		},
		"Order": func(ctx context.Context, b Backend, s catalog.Server) error { return b.Order(ctx, s, StageOrder{}) },
		"Probe": func(ctx context.Context, b Backend, s catalog.Server) error { return b.Probe(ctx, s, "/health") },
	}
	local := map[string]bool{"OnSignals": true, "CloseConnections": true}
	for method := range reflect.TypeFor[Backend]().Methods() {
		assert.Assert(t, local[method.Name] || exchanges[method.Name] != nil, "%s isn't tested", method.Name)
	}
	f := &fakeBackend{send: func(catalog.Server, Call) (*Answer, *verdict.Error) { return answer(text("x")), nil }}
	g := newGateway(t, f)
	s := testServers()[0]
	restarted := s
	restarted.Incarnation++
	f.signal(s, Signals{Pause: time.Minute})
	f.signal(s, Signals{Pause: time.Second})
	for name, exchange := range exchanges {
		assert.ErrorIs(t, exchange(t.Context(), g.backend, s), errPausing, name)
		assert.NilError(t, exchange(t.Context(), g.backend, restarted), name)
	}
	// Only the other incarnation has got any.
	assert.Equal(t, len(f.sends()), 1)
	assert.Equal(t, len(f.prefills)+len(f.released)+len(f.discarded)+len(f.orders)+len(f.probes), 5)
}

// Guards against a pause that ends with a later, shorter one, or never.
func TestPausesEnd(t *testing.T) {
	g := newGateway(t, &fakeBackend{})
	s, now := testServers()[0], time.Now()
	g.pauses.update(s, 3*time.Second, now)
	g.pauses.update(s, time.Second, now)
	key := serverKey(s)
	assert.Equal(t, g.pauses.remaining(key, now.Add(time.Second)), 2*time.Second)
	assert.Equal(t, g.pauses.remaining(key, now.Add(3*time.Second)), time.Duration(0))
	g.pauses.update(testServers()[1], time.Second, now.Add(3*time.Second))
	assert.Equal(t, len(g.pauses.until), 1)
}

// Guards against refusing a request as if all servers paused while one doesn't, and against
// callers that are told to come back while the rest of the servers are at their rate limits.
func TestSoonestPause(t *testing.T) {
	g := newGateway(t, &fakeBackend{})
	now := time.Now()
	list := g.view.list().usable(plainService, catalog.NoStage)
	assert.Assert(t, g.allPausingError(list) == nil)
	g.pauses.update(list[0].Server, 3*time.Second, now)
	g.pauses.update(list[1].Server, 2*time.Second, now)
	assert.Assert(t, g.allPausingError(list) == nil)
	assert.Assert(t, g.allPausingError(nil) == nil)

	g.limits.update(list[2].Server, RateLimit{Present: true, PerSecond: 0, RequestedAt: now}, now)
	err := g.allPausingError(list)
	assert.Assert(t, err.RetryAfter > time.Second && err.RetryAfter <= 2*time.Second, "%s", err.RetryAfter)

	g.pauses.update(list[2].Server, time.Minute, now)
	err = g.allPausingError(list)
	assert.Assert(t, err.RetryAfter > time.Second && err.RetryAfter <= 2*time.Second, "%s", err.RetryAfter)
}

// Guards against taking a request that wasn't sent for an answer: it would absolve the
// request under which the server was lost.
func TestUnsentRequestIsNoAnswer(t *testing.T) {
	f := &fakeBackend{connectedAt: time.Now().Add(-time.Hour)}
	g := newGateway(t, f)
	s := testServers()[0]
	for i := range uint64(2) {
		lost := time.Now().Add(-time.Duration(10-i) * time.Second)
		g.RecordPeerLoss(blame.Loss{Request: 1, Server: i, Began: lost, Lost: lost})
	}
	lost := time.Now().Add(-time.Second)
	g.RecordPeerLoss(blame.Loss{Request: 1, Server: gossip.ServerKey(serverKey(s)), Began: lost, Lost: lost})
	g.pauses.update(s, time.Minute, time.Now())
	_, err := g.backend.Reserve(t.Context(), s, Reservation{})
	assert.Assert(t, err != nil)
	assert.Assert(t, g.crashes.judge(1, nil).Convicted)
	_, err = f.Reserve(t.Context(), s, Reservation{})
	assert.Assert(t, err == nil, "%v", err)
	assert.Assert(t, !g.crashes.judge(1, nil).Convicted)
}
