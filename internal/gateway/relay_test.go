package gateway

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	pb "jayford.example/jayford/api/jayfordv1"
	"jayford.example/jayford/internal/follow"
	"jayford.example/jayford/internal/platform"
	"jayford.example/jayford/internal/policy/place"
	"jayford.example/jayford/internal/verdict"
)

// lists reports whether a gateway lists a server, as leaving or not.
func (f *sharingFleet) lists(id, server string, leaving bool) bool {
	for _, c := range f.g[id].view.list().all {
		if c.ID == server {
			return c.Leaving == leaving
		}
	}
	return false
}

func (f *sharingFleet) relayed(id string) bool {
	c := f.g[id].confirmations
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.relayed
}

// followers returns the gateways that follow the store for all.
func (f *sharingFleet) followers() []string { return place.Subset("z", f.zone(), f.perZone) }

// awaitRelayed waits until all gateways but the followers rely on these.
func (f *sharingFleet) awaitRelayed(t *testing.T) {
	t.Helper()
	assertSoon(t, 10*time.Second, "a gateway doesn't rely on the followers", func() bool {
		for _, id := range f.zone() {
			if f.relayed(id) == slices.Contains(f.followers(), id) {
				return false
			}
		}
		return true
	})
}

// announce writes a server's entry as leaving or not, and returns how long it took until all
// gateways know that.
func (f *sharingFleet) announce(t *testing.T, leaving bool, padding string) time.Duration {
	t.Helper()
	s := testServers()[0]
	s.Leaving, s.Software = leaving, padding
	began := time.Now()
	f.store.put("servers", s.ID, s, false)
	assertSoon(t, 5*time.Second, "a gateway doesn't know of a change", func() bool {
		for _, id := range f.ids {
			if !f.lists(id, s.ID, leaving) {
				return false
			}
		}
		return true
	})
	return time.Since(began)
}

// awaitWatches waits until the watches have ended that were begun before gateways relied on
// the followers.
func (f *sharingFleet) awaitWatches() { time.Sleep(watchTimeout) }

func (f *sharingFleet) setDrops(drops func(from, to string, m *pb.StoreMessage) bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.drops = drops
}

// countCalls returns the store's calls about objects in a time.
func (f *sharingFleet) countCalls(d time.Duration) int {
	count := func() int {
		f.store.mu.Lock()
		defer f.store.mu.Unlock()
		return f.store.calls["config"] + f.store.calls["servers"]
	}
	before := count()
	time.Sleep(d)
	return count() - before
}

// Guards against calls to the store that grow with the gateways, and against changes that
// come later for it: lost, too large for a datagram, or behind a lost one.
func TestChangesArePassedOnWithinAZone(t *testing.T) {
	t.Parallel()
	const gateways = 16
	f := newRelayingFleet(t, gateways, 2)
	f.awaitReady(t)
	f.awaitRelayed(t)
	f.awaitWatches()
	calls := f.countCalls(4 * time.Second)
	quick := f.announce(t, true, "")
	large := f.announce(t, false, strings.Repeat("x", 2000))
	f.setDrops(func(_, _ string, m *pb.StoreMessage) bool { return m.Changes != nil })
	lost := f.announce(t, true, "")
	f.setDrops(nil)
	behind := f.announce(t, false, "")
	t.Logf("%d calls in 4 s; a change takes %v, a large one %v, a lost one %v, the one behind it %v", calls, quick, large, lost, behind)
	assert.Assert(t, quick < 500*time.Millisecond && large < 500*time.Millisecond && behind < 500*time.Millisecond)
	assert.Assert(t, lost < time.Second+200*time.Millisecond, lost)
	for _, id := range f.ids {
		assert.Equal(t, f.ask(t, id, "stays"), verdict.Code(""))
		assert.Equal(t, f.relayed(id), !slices.Contains(f.followers(), id))
	}

	alone := newSharingFleet(t, gateways)
	alone.awaitReady(t)
	f.awaitWatches()
	each := alone.countCalls(4 * time.Second)
	t.Logf("each by itself: %d calls in 4 s", each)
	assert.Assert(t, 2*calls < each, "%d calls, %d where each follows by itself", calls, each)
}

// Guards against gateways that send to a server long after it announced that it leaves, or by
// an old configuration, as the followers of their zone are cut off from the store, while they
// themselves aren't.
func TestCutOffFollowersDontHideLeavingServers(t *testing.T) {
	t.Parallel()
	f := prepareFleet(t, 5, 2, 0)
	f.startAll()
	leaving := testServers()[0]
	for round := range 3 {
		f.awaitRelayed(t)
		f.awaitWatches()
		// The cuts begin at different moments of the followers' watches.
		time.Sleep(time.Duration(round) * 900 * time.Millisecond)
		for _, id := range f.followers() {
			f.store.silence(true, id)
		}
		leaving.Leaving = !leaving.Leaving
		began := time.Now()
		f.store.put("servers", leaving.ID, leaving, false)
		version := uint64(round + 2)
		f.store.put("config", "main", storedKeys{Version: version}, false)
		assertSoon(t, DefaultMaxAge, "a gateway that reaches the store lacks a change", func() bool {
			return !slices.ContainsFunc(f.ids, func(id string) bool {
				return !slices.Contains(f.followers(), id) && (!f.lists(id, leaving.ID, leaving.Leaving) || f.g[id].ConfigVersion() != version)
			})
		})
		t.Logf("known after %v", time.Since(began))
		for _, id := range f.followers() {
			f.store.silence(false, id)
		}
	}
}

// Guards against gateways that wait for followers that are frozen, cut off from the store,
// or gone from the list.
func TestGatewaysOutliveTheirZonesFollowers(t *testing.T) {
	t.Parallel()
	f := newRelayingFleet(t, 6, 2)
	f.awaitReady(t)
	f.awaitRelayed(t)
	f.awaitWatches()
	chosen := f.followers()

	// Frozen: nothing comes from them, and nothing reaches them.
	f.setDrops(func(from, to string, _ *pb.StoreMessage) bool {
		return slices.Contains(chosen, from) || slices.Contains(chosen, to)
	})
	took := f.announce(t, true, "")
	t.Logf("frozen followers: %v", took)
	assert.Assert(t, took < 2*time.Second, took)
	f.setDrops(nil)
	f.awaitRelayed(t)

	// Cut off from the store, while the others aren't.
	f.store.refuse(true, chosen...)
	time.Sleep(2 * time.Second)
	for _, id := range f.ids {
		assert.Assert(t, slices.Contains(chosen, id) || !f.relayed(id), id)
	}
	f.store.refuse(false, chosen...)
	f.announce(t, false, "")
	f.awaitRelayed(t)

	// Gone: others are chosen.
	f.awaitWatches()
	left := slices.DeleteFunc(slices.Clone(f.ids), func(id string) bool { return id == chosen[0] })
	f.setMembers(left)
	took = f.announce(t, true, "")
	t.Logf("a follower gone: %v", took)
	assert.Assert(t, took < 2*time.Second, took)
	f.awaitRelayed(t)

	// A gateway that starts has the same as the others.
	f.add("new")
	f.setMembers(append(left, "new"))
	f.ids = append(f.ids, "new")
	f.start("new")
	f.awaitReady(t)
	f.awaitRelayed(t)
	assert.Assert(t, f.announce(t, false, "") < time.Second)
}

// Guards against servers that are dropped by gateways that don't follow the store themselves, as
// their entries lapsed in an outage of the store.
func TestRelayedGatewaysLearnOfAnOutage(t *testing.T) {
	t.Parallel()
	f := newRelayingFleet(t, 5, 1)
	f.awaitReady(t)
	f.awaitRelayed(t)
	f.store.refuse(true, f.ids...)
	time.Sleep(2500 * time.Millisecond)
	for _, s := range testServers() {
		f.store.put("servers", s.ID, s, true)
	}
	f.store.refuse(false, f.ids...)
	for end := time.Now().Add(time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		for _, id := range f.ids {
			assert.Equal(t, len(f.g[id].view.list().all), len(testServers()), id)
		}
	}
	for _, s := range testServers() {
		f.store.put("servers", s.ID, s, false)
	}
	f.awaitRelayed(t)
	time.Sleep(2 * time.Second)
	for _, id := range f.ids {
		assert.Equal(t, len(f.g[id].view.list().all), len(testServers()), id)
	}
}

// Guards against impossible changes, of any kind that isn't followed, and of a gateway that
// follows the store itself.
func TestImpossibleChangesAreDropped(t *testing.T) {
	f := newRelayingFleet(t, 5, 2)
	f.awaitReady(t)
	f.awaitRelayed(t)
	var relayed, chosen string
	for _, id := range f.ids {
		if f.relayed(id) {
			relayed = id
		} else {
			chosen = id
		}
	}
	at := uint64(1000)
	o := &pb.Object{Name: "z", Version: at, Spec: fmt.Appendf(nil, `{"ID":"z"}`)}
	good := &pb.StoreChanges{Kind: "servers", After: 0, Revision: at, Objects: []*pb.Object{o}}
	for _, m := range []*pb.StoreMessage{
		{Changes: &pb.StoreChanges{Kind: "other", Revision: at, Objects: good.Objects}},
		{Changes: &pb.StoreChanges{Kind: "servers", After: at, Revision: at, Objects: good.Objects}},
		{Changes: &pb.StoreChanges{Kind: "servers", Revision: at}},
		{Changes: &pb.StoreChanges{Kind: "servers", Revision: at, Objects: good.Objects, Omitted: true}},
		{Changes: &pb.StoreChanges{Kind: "servers", Revision: at - 1, Objects: good.Objects}},
		{Changes: &pb.StoreChanges{Kind: "servers", Revision: at, Objects: []*pb.Object{{Version: 1}}}},
		{Changes: good, Question: 1},
	} {
		invalid := relayInvalid.Get()
		f.g[relayed].HandleStore("x", m)
		assert.Equal(t, relayInvalid.Get(), invalid+1)
	}
	f.g[chosen].HandleStore("x", &pb.StoreMessage{Changes: good})
	known := func(id string) bool {
		return slices.ContainsFunc(f.g[id].view.list().all, func(c candidate) bool { return c.ID == "z" })
	}
	assert.Assert(t, !known(relayed) && !known(chosen))
	f.g[relayed].HandleStore("x", &pb.StoreMessage{Changes: good})
	assert.Assert(t, known(relayed))
}

// Guards against changes that the other gateways of the zone drop as malformed, since one object
// has a revision that can't be true.
func TestRelayedChangesWithAnOddRevisionAreValid(t *testing.T) {
	m := &pb.StoreMessage{Changes: encodeChanges("servers", follow.Changes{
		After: 3, Revision: 9, Objects: []platform.Object{{Name: "odd", Version: math.MaxUint64}, {Name: "good", Version: 8}},
	})}
	assert.Assert(t, validChanges(m))
	x := decodeChanges(m.Changes)
	assert.Equal(t, len(x.Objects), 2)
	assert.Equal(t, x.Objects[1].Version, uint64(8))
}
