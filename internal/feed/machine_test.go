package feed

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"jayford.example/jayford/internal/platform"
)

// fleet returns entries and agents in each of the availability zones.
func fleet(zones, entries, agents int) []platform.Instance {
	var out []platform.Instance
	add := func(role, zone string, n int) {
		for i := range n {
			id := fmt.Sprintf("%s-%s-%d", zone, role, i)
			out = append(out, platform.Instance{
				ID: id, Address: id, Role: role, AvailabilityZone: zone, Region: "r", State: platform.Live,
			})
		}
	}
	for z := range zones {
		add(RoleEntry, fmt.Sprint("z", z), entries)
		add(RoleAgent, fmt.Sprint("z", z), agents)
	}
	return out
}

// zoneOf returns the availability zone in an id made by fleet.
func zoneOf(id string) string {
	zone, _, _ := strings.Cut(id, "-")
	return zone
}

// harness drives one machine step by step.
type harness struct {
	m       *Machine
	now     time.Time
	streams map[uint64]Action
	calls   []Call
}

func newHarness(id string, seeds ...string) *harness {
	self := Identity{ID: id, Address: id, AvailabilityZone: zoneOf(id), Region: "r"}
	return &harness{
		m:       NewMachine(self, seeds, rand.New(rand.NewPCG(1, 2))),
		now:     time.Unix(1000, 0),
		streams: make(map[uint64]Action),
	}
}

func (b *harness) record(actions []Action) {
	for _, a := range actions {
		switch a.Kind {
		case ActionCall:
			b.calls = append(b.calls, a.Call)
		case ActionFollow:
			b.streams[a.Stream] = a
		case ActionUnfollow:
			delete(b.streams, a.Stream)
		}
	}
}

// advance moves the time forward in ticks and calls f before each of them.
func (b *harness) advance(d time.Duration, f func()) {
	for end := b.now.Add(d); b.now.Before(end); {
		b.now = b.now.Add(tickInterval)
		if f != nil {
			f()
		}
		b.record(b.m.Tick(b.now))
	}
}

// answer ends all pending calls with the outcome.
func (b *harness) answer(o Outcome) {
	calls := b.calls
	b.calls = nil
	for _, c := range calls {
		b.record(b.m.OnCall(b.now, c, o))
	}
}

func (b *harness) event(h EventInfo) {
	for _, s := range sortedStreams(b.streams) {
		b.record(b.m.OnEvent(b.now, s, h))
	}
}

func sortedStreams(m map[uint64]Action) []uint64 {
	var out []uint64
	for s := range m {
		out = append(out, s)
	}
	slices.Sort(out)
	return out
}

func (b *harness) upstream(t *testing.T) Action {
	t.Helper()
	assert.Equal(t, len(b.streams), 1)
	return b.streams[sortedStreams(b.streams)[0]]
}

// started returns a harness whose startup phase was ended by the platform's list.
func started(id string, list []platform.Instance) *harness {
	b := newHarness(id)
	b.record(b.m.Tick(b.now))
	b.record(b.m.OnInstances(b.now, list))
	b.answer(Done)
	return b
}

func nonWatcher(list []platform.Instance, zone string) string {
	w := Watchers(list, zone)
	for _, i := range list {
		if i.Role == RoleEntry && i.AvailabilityZone == zone && !slices.Contains(w, i) {
			return i.ID
		}
	}
	return ""
}

func TestOnlyWatchersWatchAndOthersFollowTheirZone(t *testing.T) {
	list := fleet(11, 34, 100)
	watchers := 0
	load := make(map[string]int)
	for _, i := range list {
		b := started(i.ID, list)
		if b.m.Watches() {
			watchers++
			assert.Equal(t, len(b.streams), 0)
			assert.DeepEqual(t, b.calls, []Call{CallWatch})
			continue
		}
		u := b.upstream(t)
		load[u.Address]++
		assert.Equal(t, zoneOf(u.Address), zoneOf(i.ID))
		assert.Equal(t, len(b.calls), 0)
	}
	assert.Equal(t, watchers, 11*watchersPerZone)
	for a, n := range load {
		assert.Assert(t, n < 100, "%s has %d followers", a, n)
	}
}

// The upstream's connection delivers neither events nor an error. The process must
// replace it after silentAfter and call the platform directly once, within the
// bound of 11 s.
func TestSilentUpstreamIsReplacedAndBypassed(t *testing.T) {
	list := fleet(2, 4, 0)
	b := started(nonWatcher(list, "z0"), list)
	first := b.upstream(t)
	b.advance(2*time.Second, func() { b.event(EventInfo{HasConfig: true}) })
	b.advance(silentAfter+bypassJitter+time.Second, nil)
	assert.Assert(t, b.upstream(t).Address != first.Address)
	assert.DeepEqual(t, b.calls, []Call{CallPoll})
	b.answer(Done)
	assert.DeepEqual(t, b.calls, []Call{CallInstances})
	b.answer(Done)
	b.advance(3*time.Second, func() { b.event(EventInfo{HasConfig: true}) })
	assert.Equal(t, len(b.calls), 0)
}

// The platform is down for an hour, as the age in the events shows. Each process
// calls it directly, but so rarely that the whole fleet stays far below the
// platform's rate limit.
func TestGoingAroundIsSeldomInAnOutage(t *testing.T) {
	list := fleet(1, 4, 0)
	b := started(nonWatcher(list, "z0"), list)
	begin, tries := b.now, 0
	b.advance(time.Hour, func() {
		tries += len(b.calls)
		b.answer(Failed)
		b.event(EventInfo{HasConfig: true, Age: b.now.Sub(begin)})
	})
	// 1,470 processes with 80 configuration and 80 instance calls an hour each make
	// less than 70 calls a second.
	assert.Assert(t, tries > 50 && tries < 160, "%d calls", tries)
}

// A process restarts while the platform is down. It must become ready with its
// seeds' configuration, but not before startupGrace, as others may have a newer one.
func TestStartingProcessGetsReadyFromPeers(t *testing.T) {
	b := newHarness("z0-new", "s1", "s2", "s3", "s4")
	b.record(b.m.Tick(b.now))
	assert.Equal(t, len(b.streams), startupPeers)
	assert.DeepEqual(t, b.calls, []Call{CallList, CallInstances})
	b.answer(Failed)
	b.event(EventInfo{HasConfig: false})
	b.advance(2*startupGrace, nil)
	assert.Assert(t, !b.m.Ready())
	b.event(EventInfo{HasConfig: true})
	assert.Assert(t, !b.m.Ready())
	b.advance(2*startupGrace, func() { b.event(EventInfo{HasConfig: true}) })
	assert.Assert(t, b.m.Ready())
	assert.Equal(t, len(b.streams), 1)
}

// A watcher is cut off from the platform but not from its peers. It must follow
// another watcher until the platform itself answers again, and must not drop that
// peer because the configuration from it is fresh.
func TestCutOffWatcherFollowsAnother(t *testing.T) {
	list := fleet(2, 3, 0)
	self := Watchers(list, "z0")[0].ID
	b := started(self, list)
	b.advance(20*time.Second, func() {
		b.answer(Failed)
		b.event(EventInfo{HasConfig: true})
	})
	assert.Assert(t, b.upstream(t).Address != self)
	b.answer(Done)
	b.advance(time.Second, func() { b.answer(Done) })
	assert.Equal(t, len(b.streams), 0)
}

// Digests differ at the same revision. The process must request everything from
// its upstream and the platform, but not again at each event.
func TestDigestMismatchResyncsOnce(t *testing.T) {
	list := fleet(2, 4, 0)
	b := started(nonWatcher(list, "z0"), list)
	resyncs := 0
	seen := make(map[uint64]bool)
	b.advance(resyncMin-time.Second, func() {
		b.event(EventInfo{HasConfig: true, Mismatch: true})
		for s, a := range b.streams {
			if a.Resync && !seen[s] {
				seen[s] = true
				resyncs++
			}
		}
	})
	assert.Equal(t, resyncs, 1)
	assert.Assert(t, slices.Contains(b.calls, CallList))
}

// A watcher's revision is too old for the platform, so it must list again.
func TestCompactedWatchLists(t *testing.T) {
	list := fleet(1, 2, 0)
	b := started(list[0].ID, list)
	b.answer(Compacted)
	b.advance(time.Second, nil)
	assert.Assert(t, slices.Contains(b.calls, CallList))
}

// Lists change, calls fail, streams end and events stop in any order. The machine
// must never have two configuration calls in flight, more than startupPeers streams
// open, or follow itself; after the faults it must converge to the one upstream or
// the watch that it needs.
func TestConvergesAfterAnyOrderOfFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		list := fleet(2, 4, 1)
		self := rapid.SampledFrom(list).Draw(t, "self")
		b := newHarness(self.ID, "s1", "s2")
		for range rapid.IntRange(0, 60).Draw(t, "steps") {
			b.fault(t, list)
			b.check(t)
		}
		b.record(b.m.OnInstances(b.now, list))
		b.advance(2*time.Minute, func() {
			b.answer(Done)
			b.event(EventInfo{HasConfig: true})
		})
		b.check(t)
		want := 1
		if b.m.Watches() {
			want = 0
		}
		if !b.m.Ready() || len(b.streams) != want || b.m.Age(b.now) > staleAfter {
			t.Fatalf("ready %v, %d streams, age %v", b.m.Ready(), len(b.streams), b.m.Age(b.now))
		}
	})
}

func (b *harness) fault(t *rapid.T, list []platform.Instance) {
	switch rapid.IntRange(0, 5).Draw(t, "fault") {
	case 0:
		b.record(b.m.OnInstances(b.now, list[rapid.IntRange(0, len(list)).Draw(t, "from"):]))
	case 1:
		b.answer(rapid.SampledFrom([]Outcome{Failed, Done, Compacted}).Draw(t, "outcome"))
	case 2:
		for _, s := range sortedStreams(b.streams) {
			b.record(b.m.OnStreamEnd(b.now, s))
		}
	case 3:
		b.event(EventInfo{
			HasConfig: rapid.Bool().Draw(t, "known"),
			Mismatch:  rapid.Bool().Draw(t, "mismatch"),
			Age:       time.Duration(rapid.IntRange(0, 20).Draw(t, "age")) * time.Second,
		})
	default:
		b.advance(time.Duration(rapid.IntRange(1, 8).Draw(t, "seconds"))*time.Second, nil)
	}
}

func (b *harness) check(t *rapid.T) {
	configuration := 0
	for _, c := range b.calls {
		if c != CallInstances {
			configuration++
		}
	}
	if configuration > 1 || len(b.calls)-configuration > 1 {
		t.Fatalf("calls at once: %v", b.calls)
	}
	if len(b.streams) > startupPeers {
		t.Fatalf("streams: %v", b.streams)
	}
	for _, a := range b.streams {
		if a.Address == b.m.self.Address {
			t.Fatal("follows itself")
		}
	}
}

func TestInstanceChangesRebuildTheList(t *testing.T) {
	before, after := fleet(2, 3, 3), fleet(3, 2, 4)
	after[0].State = platform.Leaving
	changes := diffInstances(before, after)
	got := mergeInstances(before, changes)
	assert.Equal(t, len(diffInstances(got, after)), 0)
	assert.Equal(t, len(got), len(after))
}
