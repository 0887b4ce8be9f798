package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"jayford.example/jayford/internal/board"
	"jayford.example/jayford/internal/catalog"
	"jayford.example/jayford/internal/follow"
	"jayford.example/jayford/internal/platform"
	"jayford.example/jayford/internal/policy/stop"
	"jayford.example/jayford/internal/verdict"
)

// A server breaks off before it answers a booking. The booking must not be retried, as
// it could run twice, and the caller must be told that it may have run.
func TestNonIdempotentCallIsNotRetried(t *testing.T) {
	f := &fakeBackend{send: func(catalog.Server, Call) (*Answer, *verdict.Error) { return nil, lost() }}
	g := newGateway(t, f)
	_, err := g.Serve(t.Context(), call("/once/x"))
	assert.Equal(t, err.Verdict, verdict.MayHaveRun)
	assert.Equal(t, len(f.sends()), 1)
}

// A server refuses a booking with proof that it didn't begin it. The booking must be
// retried at another server; if all refuse, the verdict is "not run".
func TestProvenRefusalIsRetriedElsewhere(t *testing.T) {
	refusals := 1
	f := &fakeBackend{}
	f.send = func(catalog.Server, Call) (*Answer, *verdict.Error) {
		if refusals > 0 {
			refusals--
			return nil, full()
		}
		return answer(text("booked")), nil
	}
	g := newGateway(t, f)
	reply, err := g.Serve(t.Context(), call("/once/x"))
	assert.Assert(t, err == nil)
	body, readErr := io.ReadAll(reply.Body)
	assert.NilError(t, readErr)
	assert.Equal(t, string(body), "booked")
	sent := f.sends()
	assert.Equal(t, len(sent), 2)
	assert.Assert(t, sent[0].server != sent[1].server)

	refusals = 99
	_, err = g.Serve(t.Context(), call("/once/x"))
	assert.Equal(t, err.Verdict, verdict.NotRun)
}

// An idempotent call is lost at one server, then refused by another. The verdict must
// not be "not run", as the first server may have run it.
func TestNotRunCoversAllAttempts(t *testing.T) {
	n := 0
	f := &fakeBackend{send: func(catalog.Server, Call) (*Answer, *verdict.Error) {
		if n++; n == 1 {
			return nil, lost()
		}
		return nil, full()
	}}
	g := newGateway(t, f)
	_, err := g.Serve(t.Context(), call("/again/x"))
	assert.Assert(t, n > 1)
	assert.Equal(t, err.Verdict, verdict.MayHaveRun)
}

// A server answers an idempotent call with a 500, and all retries fail at the
// gateway's level. The caller must get the complete 500 and not an error of the
// gateway.
func TestServerErrorIsKeptUntilAnotherAnswer(t *testing.T) {
	for _, later := range []func() (*Answer, *verdict.Error){
		func() (*Answer, *verdict.Error) { return nil, full() },
		func() (*Answer, *verdict.Error) { return nil, lost() },
		func() (*Answer, *verdict.Error) { return &Answer{Response: answer(text("forged")).Response}, nil },
	} {
		n := 0
		f := &fakeBackend{send: func(catalog.Server, Call) (*Answer, *verdict.Error) {
			if n++; n > 1 {
				return later()
			}
			a := answer(text("the server's own words"))
			a.Status = http.StatusInternalServerError
			return a, nil
		}}
		g := newGateway(t, f)
		reply, err := g.Serve(t.Context(), call("/again/x"))
		assert.Assert(t, n > 1)
		assert.Assert(t, err == nil, "%v", err)
		assert.Equal(t, reply.Status, http.StatusInternalServerError)
		body, readErr := io.ReadAll(reply.Body)
		assert.NilError(t, readErr)
		assert.Equal(t, string(body), "the server's own words")
	}
}

// A server's answer lacks its proof, or is truncated. It must not reach the caller as
// a success; an idempotent call is retried.
func TestUnprovenAnswerIsRejected(t *testing.T) {
	for _, broken := range []*Answer{
		{Response: answer(text("forged")).Response},
		answer(io.MultiReader(text("half"), errReader{io.ErrUnexpectedEOF})),
	} {
		first := true
		f := &fakeBackend{}
		f.send = func(catalog.Server, Call) (*Answer, *verdict.Error) {
			if first {
				first = false
				return broken, nil
			}
			return answer(text("whole")), nil
		}
		g := newGateway(t, f)
		reply, err := g.Serve(t.Context(), call("/again/x"))
		assert.Assert(t, err == nil)
		body, readErr := io.ReadAll(reply.Body)
		assert.NilError(t, readErr)
		assert.Equal(t, string(body), "whole")
	}
}

type errReader struct{ err error }

func (r errReader) Read([]byte) (int, error) { return 0, r.err }

func eventsOf(ids ...string) string {
	var b strings.Builder
	for _, id := range ids {
		b.WriteString("id: " + id + "\ndata: token\n\n")
	}
	return b.String()
}

// An engine crashes in the middle of an event. The stream must resume at another
// engine after the last complete event, without the truncated event or duplicates.
func TestStreamResumesAfterTheLastCompleteEvent(t *testing.T) {
	f := &fakeBackend{}
	f.send = func(_ catalog.Server, c Call) (*Answer, *verdict.Error) {
		if c.LastEventID == "" {
			torn := eventsOf("1", "2") + "id: 3\nda"
			return answer(io.MultiReader(text(torn), errReader{io.ErrUnexpectedEOF})), nil
		}
		assert.Equal(t, c.LastEventID, "2")
		return answer(text(eventsOf("2", "3", "4"))), nil
	}
	g := newGateway(t, f)
	reply, err := g.Serve(t.Context(), generation("/stream/x"))
	assert.Assert(t, err == nil)
	body, readErr := io.ReadAll(reply.Body)
	assert.NilError(t, readErr)
	assert.Equal(t, string(body), eventsOf("1", "2", "3", "4"))
	assert.NilError(t, reply.Body.Close())
	sent := f.sends()
	assert.Assert(t, sent[0].server != sent[1].server)
	assert.Equal(t, g.InFlight(), int64(0))
}

// The same crash on a route without resumption: the stream must be cut off, so that it
// doesn't look complete.
func TestBrokenStreamDoesNotLookComplete(t *testing.T) {
	f := &fakeBackend{send: func(catalog.Server, Call) (*Answer, *verdict.Error) {
		return answer(io.MultiReader(text(eventsOf("1")), errReader{io.ErrUnexpectedEOF})), nil
	}}
	g := newGateway(t, f)
	reply, err := g.Serve(t.Context(), generation("/stream-once/x"))
	assert.Assert(t, err == nil)
	body, readErr := io.ReadAll(reply.Body)
	assert.Assert(t, errors.Is(readErr, io.ErrUnexpectedEOF))
	assert.Equal(t, string(body), eventsOf("1"))
	assert.Equal(t, len(f.sends()), 1)
}

// An engine breaks off before its first event. The caller must get an answer with the
// verdict "may have run". If the reply were returned before the first event, the
// library would hold back its headers until the first bytes of the body, and the
// caller would see only a closed connection.
func TestStreamWithoutAnyEventIsAnswered(t *testing.T) {
	f := &fakeBackend{send: func(catalog.Server, Call) (*Answer, *verdict.Error) {
		return answer(errReader{io.ErrUnexpectedEOF}), nil
	}}
	g := newGateway(t, f)
	_, err := g.Serve(t.Context(), generation("/stream-once/x"))
	assert.Assert(t, err != nil)
	assert.Equal(t, err.Verdict, verdict.MayHaveRun)
	assert.Equal(t, g.InFlight(), int64(0))
}

// All engines are full. No prefill may be wasted, and the caller must soon get the
// verdict "not run" and a Retry-After.
func TestFullEnginesCostNoPrefill(t *testing.T) {
	f := &fakeBackend{reserve: func(catalog.Server, int) (string, *verdict.Error) { return "", full() }}
	g := newGateway(t, f)
	began := time.Now()
	_, err := g.Serve(t.Context(), generation("/stream/x"))
	assert.Equal(t, err.Verdict, verdict.NotRun)
	assert.Assert(t, err.RetryAfter > 0)
	assert.Assert(t, time.Since(began) < 2*time.Second)
	assert.Equal(t, len(f.prefills), 0)
	assert.Equal(t, len(f.sends()), 0)
}

// An engine grants a reservation, but refuses the decode after the prefill because it
// has begun to change its stage. The reservation and the prefill's result must be
// released, and the engine avoided for a while.
func TestRefusedDecodeReleasesItsReservation(t *testing.T) {
	refused := ""
	f := &fakeBackend{}
	f.send = func(s catalog.Server, _ Call) (*Answer, *verdict.Error) {
		if refused == "" {
			refused = s.ID
			return nil, full()
		}
		return answer(text(eventsOf("1"))), nil
	}
	g := newGateway(t, f)
	reply, err := g.Serve(t.Context(), generation("/stream/x"))
	assert.Assert(t, err == nil)
	_ = reply.Body.Close()
	for range 100 {
		f.mu.Lock()
		done := len(f.released) == 1 && len(f.discarded) == 1
		f.mu.Unlock()
		if done {
			break
		}
		time.Sleep(5 * time.Millisecond)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	assert.DeepEqual(t, f.released, []string{"hold-" + refused})
	assert.DeepEqual(t, f.discarded, []string{"kv-f1"})
	assert.Assert(t, time.Now().Before(g.loads.get(g.keyOf(t, refused)).Full))
}

// keyOf returns the key of a listed server.
func (g *Gateway) keyOf(t *testing.T, id string) string {
	t.Helper()
	for _, c := range g.view.list().all {
		if c.ID == id {
			return c.key
		}
	}
	t.Fatalf("%s isn't listed", id)
	return ""
}

// The caller disconnects while its request waits for a reservation. Nothing may be
// sent.
func TestCallerDisconnectsWhileWaiting(t *testing.T) {
	f := &fakeBackend{reserve: func(catalog.Server, int) (string, *verdict.Error) { return "", full() }}
	g := newGateway(t, f)
	ctx, cancel := context.WithCancel(t.Context())
	time.AfterFunc(50*time.Millisecond, cancel)
	began := time.Now()
	_, err := g.Serve(ctx, generation("/stream/x"))
	assert.Assert(t, err != nil)
	assert.Assert(t, time.Since(began) < time.Second)
	assert.Equal(t, len(f.sends()), 0)
}

// stopping returns a graceful stop that began some time ago and has some time left.
func stopping(ago, left time.Duration) stop.Stop {
	began := time.Now().Add(-ago)
	return stop.Stop{Sent: began, Handled: began, Within: ago + left}
}

// A stopping gateway still gets requests when its availability zone has no other. One
// that can't complete in time must be refused at once instead of being cut off.
func TestLateGenerationsAreRefusedWhileStopping(t *testing.T) {
	f := &fakeBackend{send: func(catalog.Server, Call) (*Answer, *verdict.Error) {
		return answer(text(eventsOf("1"))), nil
	}}
	g := newGateway(t, f)
	g.Stop(stopping(0, 7*time.Second))
	_, err := g.Serve(t.Context(), generation("/stream/x"))
	assert.Assert(t, err == nil, "refused at the begin of a stop")
	g.Stop(stopping(3*time.Second, 7*time.Second))
	_, err = g.Serve(t.Context(), generation("/stream/x"))
	assert.Equal(t, err.Verdict, verdict.NotRun)
	assert.Assert(t, err.RetryAfter > 0 && err.RetryAfter < time.Second)
	_, err = g.Serve(t.Context(), call("/once/x"))
	assert.Assert(t, err == nil, "a short call has time enough")
}

// Guards against a stopping gateway that accepts calls whose time ends after its own, and exits
// while servers run them.
func TestCallsThatMayOutlastAStopAreRefused(t *testing.T) {
	f := &fakeBackend{send: func(catalog.Server, Call) (*Answer, *verdict.Error) { return answer(text("fine")), nil }}
	g := newGateway(t, f)
	bounded := func(d time.Duration) *verdict.Error {
		r := call("/once/x")
		r.CallerTimeout = d
		_, err := g.Serve(t.Context(), r)
		return err
	}
	g.Stop(stopping(0, 2*time.Second))
	assert.Assert(t, bounded(3*time.Second) == nil, "refused before the load balancer can know")
	g.Stop(stopping(3*time.Second, 2*time.Second))
	assert.Assert(t, bounded(1500*time.Millisecond) == nil, "a call that ends before the stop")
	for _, d := range []time.Duration{2500 * time.Millisecond, 0} {
		err := bounded(d)
		assert.Assert(t, err != nil, "accepted, though it may take longer than the stop")
		assert.Equal(t, err.Verdict, verdict.NotRun)
		assert.Assert(t, err.RetryAfter > 0 && err.RetryAfter < time.Second)
	}
	assert.Equal(t, len(f.sends()), 2)
}

// Guards against a gateway with a short stop that accepts calls of any length until its end.
func TestShortStopsRefuseCallsThatMayOutlastThem(t *testing.T) {
	f := &fakeBackend{send: func(catalog.Server, Call) (*Answer, *verdict.Error) { return answer(text("fine")), nil }}
	g := newGateway(t, f)
	g.Stop(stopping(time.Second, time.Second))
	_, err := g.Serve(t.Context(), call("/once/x"))
	assert.Assert(t, err != nil, "accepted, though it may take longer than the stop")
	assert.Equal(t, err.Verdict, verdict.NotRun)
}

// A store that answers from an old state delivers an older configuration. It must not
// replace the one in force.
func TestConfigurationIsNeverDowngraded(t *testing.T) {
	g := newGateway(t, &fakeBackend{})
	next := testConfig()
	next.Version = 9
	assert.Assert(t, g.SetConfig(next))
	assert.Assert(t, !g.SetConfig(testConfig()))
	assert.Equal(t, g.ConfigVersion(), uint64(9))
}

// Servers' entries expired during an outage of the store. The servers are alive and
// listed again within two seconds; removed at once, the service would have no server
// until then. One that isn't listed again is removed.
func TestExpiredEntriesAreKeptAfterAnOutage(t *testing.T) {
	g := newGateway(t, &fakeBackend{})
	r := &roster{g: g, decoder: fakeDecoder{}, entries: map[string]entry{}}
	r.apply(follow.Update{Objects: []platform.Object{{Name: "p1"}, {Name: "p2"}, {Name: "p3"}}, Full: true})
	assert.Equal(t, usable(g), 3)

	r.apply(follow.Update{Objects: []platform.Object{{Name: "p1"}}, Full: true, Outage: 4 * time.Second, StartedAt: time.Now()})
	assert.Equal(t, usable(g), 3)
	r.apply(follow.Update{Objects: []platform.Object{{Name: "p2"}}})
	r.graceUntil = time.Now()
	r.endGrace()
	assert.Equal(t, usable(g), 2)

	// Without an outage a deleted entry is removed at once.
	r.apply(follow.Update{Objects: []platform.Object{{Name: "p2", Deleted: true}}})
	assert.Equal(t, usable(g), 1)
}

// A gateway was cut off from the store and has reconnected, but its watch returns only
// after two seconds, when a server leaves for good. Treated as expired in the outage,
// the server would get requests for two more seconds, longer than it accepts any.
func TestServerThatLeavesAfterAnOutageIsRemoved(t *testing.T) {
	g := newGateway(t, &fakeBackend{})
	r := &roster{g: g, decoder: fakeDecoder{}, entries: map[string]entry{}}
	r.apply(follow.Update{Objects: []platform.Object{{Name: "p1"}, {Name: "p2"}}, Full: true})
	r.apply(follow.Update{
		Objects: []platform.Object{{Name: "p2", Deleted: true}}, Outage: 6 * time.Second, StartedAt: time.Now().Add(-expiryGrace),
	})
	assert.Equal(t, usable(g), 1)
}

// peerContact simulates peers of which one has reached the platform since a time, as
// reported at reportedAt.
type peerContact struct {
	crashForwarder
	since, reportedAt time.Time
}

func (p peerContact) PlatformReachableSince(after time.Time) time.Time {
	if !p.reportedAt.After(after) {
		return time.Time{}
	}
	return p.since
}

// Guards against a gateway that mistakes its own disconnection from the store for an
// outage of the store, and goes on using a server that left meanwhile.
func TestEntryDeletedDuringAPartitionIsRemoved(t *testing.T) {
	now := time.Now()
	for _, c := range []struct {
		name  string
		peers peerContact
		kept  int
	}{
		{"a peer reached the store all the time", peerContact{since: now.Add(-time.Minute), reportedAt: now}, 1},
		{"the store has been reachable for a second", peerContact{since: now.Add(-time.Second), reportedAt: now}, 2},
		{"the peer's report is older than the recovery", peerContact{since: now.Add(-time.Minute), reportedAt: now.Add(-2 * time.Second)}, 2},
		{"no peer reaches the store", peerContact{reportedAt: now}, 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := newGateway(t, &fakeBackend{})
			g.Join(c.peers)
			r := &roster{g: g, decoder: fakeDecoder{}, entries: map[string]entry{}}
			r.apply(follow.Update{Objects: []platform.Object{{Name: "p1"}, {Name: "p2"}}, Full: true})
			r.apply(follow.Update{Objects: []platform.Object{{Name: "p1"}}, Full: true, Outage: 12 * time.Second, StartedAt: now.Add(-time.Second)})
			assert.Equal(t, usable(g), c.kept)
		})
	}
}

type fakeDecoder struct{}

func (fakeDecoder) Config(platform.Object) (*catalog.Config, error) { return testConfig(), nil }

func (fakeDecoder) Server(o platform.Object) (catalog.Server, error) {
	return catalog.Server{ID: o.Name, Service: plainService, Address: "10.0.0.1:1"}, nil
}

// All gateways restart at once, and the first requests arrive before the platform has
// answered. They must be held briefly, as a refused caller retries only once, but not
// for long if the platform stays unreachable.
func TestStartingGatewayHoldsFirstRequests(t *testing.T) {
	f := &fakeBackend{send: func(catalog.Server, Call) (*Answer, *verdict.Error) { return answer(text("fine")), nil }}
	log := logrus.New()
	log.SetOutput(io.Discard)
	g := New(Options{ID: "g1", Backend: f, Board: board.New(), Budget: Budget{Ratio: 0.2, Slack: 100, Window: 10 * time.Second}, Log: log})
	time.AfterFunc(100*time.Millisecond, func() { g.SetConfig(testConfig()) })
	time.AfterFunc(200*time.Millisecond, func() { g.SetServers(testServers()) })
	reply, err := g.Serve(t.Context(), call("/once/x"))
	assert.Assert(t, err == nil, "%v", err)
	assert.Equal(t, reply.Status, http.StatusOK)

	g = New(Options{ID: "g1", Backend: f, Board: board.New(), Budget: Budget{Ratio: 0.2, Slack: 100, Window: 10 * time.Second}, Log: log})
	time.Sleep(startupWait)
	began := time.Now()
	_, err = g.Serve(t.Context(), call("/once/x"))
	assert.Equal(t, err.Code, verdict.PlatformDown)
	assert.Assert(t, time.Since(began) < 100*time.Millisecond)
}
