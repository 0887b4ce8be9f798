package entry

import (
	"context"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	pb "jayford.example/jayford/api/jayfordv1"
	"jayford.example/jayford/internal/verdict"
)

// get runs one idempotent call.
func get(t *testing.T, e *Entry, p poolTargets) (*pb.CallReply, *verdict.Error) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	r := &request{id: e.nextID(), organisation: "o", method: http.MethodGet, uri: "/face", idempotent: true, deadline: time.Now().Add(10 * time.Second)}
	return newServiceCall(e, r, destination{targets: p}).run(ctx)
}

// Guards against hedging ever more calls while all servers are slow: tries that were
// overtaken by their hedge were missing from the latencies, so the hedge delay stayed
// as short as that of the fastest answers.
func TestOvertakenTriesCountAsLatencies(t *testing.T) {
	t.Parallel()
	const slow = 300 * time.Millisecond
	a, b := &fakeAgent{takes: slow}, &fakeAgent{}
	l, m := listen(t), listen(t)
	a.serve(t, l)
	b.serve(t, m)
	e, p := serviceEntry(map[string]string{"slow": l.Addr().String(), "fast": m.Addr().String()})
	calls := int64(0)
	for a.ended.Load() == 0 {
		assert.Assert(t, calls < 100, "no call was hedged")
		calls++
		_, failed := get(t, e, p)
		assert.Assert(t, failed == nil, "%v", failed)
		time.Sleep(10 * time.Millisecond)
	}
	e.latency.mu.Lock()
	defer e.latency.mu.Unlock()
	h := e.latency.current
	assert.Assert(t, h.TotalCount() > calls, "the overtaken try is missing")
	assert.Assert(t, h.Max() >= hedgeDefaultDelay.Microseconds(), "%d us", h.Max())
}

// Guards against a stampede of hedges when all servers become slow at once, as behind a
// partition: each of several entries with a few calls a second spent a burst of its own.
func TestHedgesOfSeveralEntriesStayFew(t *testing.T) {
	const (
		entries     = 4
		interval    = 280 * time.Millisecond // between the calls at one entry
		calm, slow  = 10 * time.Second, 4 * time.Second
		maxAttempts = 1.2
	)
	calls, hedges := 0, 0
	for range entries {
		b := newHedgeBudget()
		now := time.Now()
		for at := time.Duration(0); at < calm+slow; at += interval {
			b.Advance(now.Add(at))
			b.RecordFirst("pool")
			if at < calm {
				continue
			}
			calls++
			if b.Allow("pool", "pool") {
				hedges++
			}
		}
	}
	assert.Assert(t, float64(calls+hedges) <= maxAttempts*float64(calls), "%d hedges of %d calls", hedges, calls)
}
