package gateway

import (
	"context"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"jayford.example/jayford/internal/board"
	"jayford.example/jayford/internal/boottime"
	"jayford.example/jayford/internal/catalog"
	"jayford.example/jayford/internal/follow"
	"jayford.example/jayford/internal/origin"
	"jayford.example/jayford/internal/verdict"
)

// newVersionsFleet returns gateways that know of each other, with servers of version v1. With
// perZone, so many of them follow the store for all.
func newVersionsFleet(t *testing.T, n, perZone int) *sharingFleet {
	t.Helper()
	f := prepareFleet(t, n, perZone, 0)
	f.softwareChanged = make(chan string, 100)
	for _, id := range f.ids {
		g := f.g[id]
		g.Join(peerContact{since: time.Now(), reportedAt: time.Now().Add(time.Hour)})
		g.SetSoftwareDigests(nil, false)
		g.OnSoftwareChange(func() { f.softwareChanged <- id })
		f.backend(id).send = func(_ catalog.Server, x Call) (*Answer, *verdict.Error) { return twoEvents(x, false), nil }
	}
	f.startAll()
	f.awaitReady(t)
	return f
}

func (f *sharingFleet) backend(id string) *fakeBackend {
	b, _ := f.g[id].opts.Backend.(*fakeBackend)
	return b
}

// release writes the entry of a decode engine of another version.
func (f *sharingFleet) release(software string) string {
	s := catalog.Server{ID: "new-" + software, Service: modelService, Address: "10.0.0.4:1", AvailabilityZone: "a", Stage: catalog.Decode, Software: software}
	f.store.put("servers", s.ID, s, false)
	return s.ID
}

// takeUp has a caller take up a stream that nobody knows, and returns why it was refused, nil if
// it wasn't.
func (f *sharingFleet) takeUp(ctx context.Context, id string) *verdict.Error {
	r := withKey(generation("/stream/x"), "stays")
	r.Generation.LastEventID = "2"
	reply, err := f.g[id].Serve(ctx, r)
	if err == nil {
		reply.discard()
	}
	return err
}

// awaitListed waits until a gateway lists a server.
func (f *sharingFleet) awaitListed(t *testing.T, id, server string) {
	t.Helper()
	assertSoon(t, 5*time.Second, "a gateway doesn't list a server", func() bool { return f.lists(id, server, false) })
}

func (f *sharingFleet) serverCalls() int {
	f.store.mu.Lock()
	defer f.store.mu.Unlock()
	return f.store.calls["servers"]
}

// Guards against a guess by a gateway that the store answered a moment ago, and that lacks
// servers of a new version at which another gateway has begun the stream.
func TestGatewayThatIsBehindDoesNotGuessVersions(t *testing.T) {
	t.Parallel()
	for name, cut := range map[string]func(*sharingFleet, bool){
		"answers are lost": func(f *sharingFleet, on bool) { f.store.silence(on, "g1") },
		"calls fail":       func(f *sharingFleet, on bool) { f.store.refuse(on, "g1") },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newVersionsFleet(t, 2, 0)
			before := len(f.backend("g1").sends())
			cut(f, true)
			f.awaitListed(t, "g0", f.release("v2"))
			assert.Assert(t, !f.lists("g1", "new-v2", false))
			err := f.takeUp(t.Context(), "g1")
			assert.Assert(t, err != nil, "the stream goes on")
			assert.Equal(t, err.Verdict, verdict.NotRun)
			assert.Assert(t, err.RetryAfter > 0)
			cut(f, false)
			f.awaitListed(t, "g1", "new-v2")
			assert.Assert(t, f.takeUp(t.Context(), "g1") != nil)
			assert.Equal(t, len(f.backend("g1").sends()), before)
		})
	}
}

// Guards against streams that are refused, or calls to the store that grow with their number,
// where one version serves and gateways have just been confirmed.
func TestUnknownStreamsShareAPoll(t *testing.T) {
	t.Parallel()
	f := newVersionsFleet(t, 2, 0)
	const callers = 40
	before := f.serverCalls()
	var running sync.WaitGroup
	refused := make(chan *verdict.Error, callers)
	for range callers {
		running.Go(func() { refused <- f.takeUp(t.Context(), "g1") })
	}
	running.Wait()
	close(refused)
	for err := range refused {
		assert.Assert(t, err == nil, "%v", err)
	}
	calls := f.serverCalls() - before
	t.Logf("%d callers, %d calls", callers, calls)
	assert.Assert(t, calls > 0 && calls < callers, "%d calls", calls)
}

// Guards against attempts that use up the platform's rate of calls, as many streams break within
// seconds.
func TestUnknownStreamsPollTheStoreRarely(t *testing.T) {
	t.Parallel()
	const attempts, every = 200, 3 * time.Millisecond
	v := newSoftwareVersions(board.New())
	var polls atomic.Int64
	v.setPoll(func() bool {
		polls.Add(1)
		at := boottime.Now()
		time.Sleep(2 * time.Millisecond)
		v.confirm(at)
		return true
	})
	began := time.Now()
	var running sync.WaitGroup
	for range attempts {
		running.Go(func() { assert.Check(t, v.awaitConfirmed(t.Context(), boottime.Now())) })
		time.Sleep(every)
	}
	running.Wait()
	most := int64(time.Since(began)/pollInterval) + 2
	assert.Assert(t, polls.Load() <= most, "%d polls, at most %d expected", polls.Load(), most)
}

// Guards against streams that are refused for as long as a gateway relies on followers of its
// zone, whose watches are seconds old.
func TestRelayedGatewayConfirmsItsListItself(t *testing.T) {
	t.Parallel()
	f := newVersionsFleet(t, 6, 2)
	f.awaitRelayed(t)
	for _, id := range f.ids {
		err := f.takeUp(t.Context(), id)
		assert.Assert(t, err == nil, "%s: %v", id, err)
	}
}

// Guards against a resumption that waits for a store that doesn't answer, and isn't told apart
// from one whose version is unknown.
func TestUnconfirmedListIsReported(t *testing.T) {
	t.Parallel()
	f := newVersionsFleet(t, 2, 0)
	f.store.silence(true, "g0")
	began := time.Now()
	err := f.takeUp(t.Context(), "g0")
	took := time.Since(began)
	assert.Assert(t, err != nil)
	assert.Equal(t, err.Verdict, verdict.NotRun)
	assert.Equal(t, err.Code, verdict.PlatformDown)
	assert.Assert(t, took < 2*listConfirmTimeout, took)
	assert.Assert(t, strings.Contains(f.logs["g0"].String(), `"why":"`+resumeListUnconfirmed+`"`))
}

// Guards against a guess in an outage of the store: another gateway has learned of servers of a
// new version just before it, and has begun the stream there.
func TestOutageDoesNotMakeAnOldListComplete(t *testing.T) {
	t.Parallel()
	f := newVersionsFleet(t, 2, 0)
	f.g["g1"].Join(peerContact{reportedAt: time.Now().Add(time.Hour)})
	f.store.silence(true, "g1")
	f.awaitListed(t, "g0", f.release("v2"))
	f.store.refuse(true, f.ids...)
	time.Sleep(follow.MaxAnswerGap + 500*time.Millisecond)
	assert.Assert(t, !f.lists("g1", "new-v2", false))
	err := f.takeUp(t.Context(), "g1")
	assert.Assert(t, err != nil, "the stream goes on")
	assert.Equal(t, err.Verdict, verdict.NotRun)
	assert.Assert(t, err.RetryAfter > 0)
}

// Guards against a guess by a gateway that gets the entries of servers and their removal in one
// answer, or a new listing without either, though others have begun the stream there.
func TestVersionThatCameAndWentMeanwhileIsKnown(t *testing.T) {
	t.Parallel()
	for name, compact := range map[string]bool{"in one answer": false, "before a new listing": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newVersionsFleet(t, 2, 0)
			f.store.silence(true, "g1")
			server := f.release("v2")
			f.awaitListed(t, "g0", server)
			f.store.put("servers", server, catalog.Server{}, true)
			f.awaitRemoved(t, "g0", server)
			if compact {
				f.store.compact()
			}
			f.store.silence(false, "g1")
			f.awaitPosition(t, "g1")
			before := len(f.backend("g1").sends())
			for range 3 {
				err := f.takeUp(t.Context(), "g1")
				assert.Assert(t, err != nil, "the stream goes on")
				assert.Equal(t, err.Verdict, verdict.NotRun)
			}
			assert.Equal(t, len(f.backend("g1").sends()), before)
		})
	}
}

// Guards against streams that are refused for as long as one lasts, behind a new listing, though
// other gateways have seen that one version alone served.
func TestNewListingIsCompletedByOthers(t *testing.T) {
	t.Parallel()
	f := newVersionsFleet(t, 2, 0)
	f.store.silence(true, "g1")
	f.awaitListed(t, "g0", f.release("v1"))
	f.store.compact()
	f.store.silence(false, "g1")
	select {
	case <-f.softwareChanged:
	case <-time.After(10 * time.Second):
		t.Fatal("the digests aren't read again")
	}
	f.awaitPosition(t, "g1")
	assert.Assert(t, f.takeUp(t.Context(), "g1") != nil, "the stream goes on")
	f.g["g1"].SetSoftwareDigests([]uint64{f.g["g0"].SoftwareDigest()}, true)
	err := f.takeUp(t.Context(), "g1")
	assert.Assert(t, err == nil, "%v", err)
}

func (f *sharingFleet) awaitRemoved(t *testing.T, id, server string) {
	t.Helper()
	assertSoon(t, 5*time.Second, "a gateway lists a server that was removed", func() bool {
		return !f.lists(id, server, false)
	})
}

// awaitPosition waits until a gateway's list of servers has all that the store has now.
func (f *sharingFleet) awaitPosition(t *testing.T, id string) {
	t.Helper()
	at := boottime.Now()
	assertSoon(t, 10*time.Second, "a gateway doesn't catch up", func() bool {
		return f.g[id].software.awaitConfirmed(t.Context(), at)
	})
}

// Guards against streams that are refused for want of a server of their version by a gateway that
// was out of step, though such servers have come and its connection to the store is back.
func TestGatewayThatIsBehindLooksForServersOfAVersion(t *testing.T) {
	t.Parallel()
	f := newVersionsFleet(t, 2, 0)
	f.store.silence(true, "g1")
	server := f.release("v2")
	f.awaitListed(t, "g0", server)
	f.store.silence(false, "g1")
	assert.Assert(t, !f.lists("g1", server, false))
	r := withKey(generation("/stream/x"), "stays")
	r.Generation.LastEventID, r.Generation.FirstAttemptID = "2", "r0"
	f.g["g1"].origins.Tell(origin.Record{
		Stream: origin.Hash("r0"), Content: r.fingerprint("one"), Service: origin.Hash(modelService), Software: origin.Hash("v2"),
	}, time.Minute)
	reply, err := f.g["g1"].Serve(t.Context(), r)
	assert.Assert(t, err == nil, "%v", err)
	reply.discard()
	sends := f.backend("g1").sends()
	assert.Equal(t, sends[len(sends)-1].server, server)
}
