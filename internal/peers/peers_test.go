package peers

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"jayford.example/jayford/internal/platform"
)

var errConflict = errors.New("version conflict")

// memoryStore stores objects of one kind in memory.
type memoryStore struct {
	platform.Store
	objects map[string]platform.Object
	calls   int
	// loseAnswer makes the next write succeed without its answer.
	loseAnswer bool
}

func (s *memoryStore) List(context.Context, string) (platform.Listing, error) {
	s.calls++
	var l platform.Listing
	for _, o := range s.objects {
		l.Objects = append(l.Objects, o)
	}
	return l, nil
}

func (s *memoryStore) Put(_ context.Context, o platform.Object) (uint64, error) {
	s.calls++
	if s.objects[o.Name].Version != o.Version {
		return 0, errConflict
	}
	o.Version++
	s.objects[o.Name] = o
	if s.loseAnswer {
		s.loseAnswer = false
		return 0, platform.ErrOutcomeUnknown
	}
	return o.Version, nil
}

func (s *memoryStore) Delete(_ context.Context, _, name string, _ uint64) error {
	s.calls++
	delete(s.objects, name)
	return nil
}

func members(s platform.Store, id string) *Members {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return New(s, Peer{ID: id, Address: "10.0.0.1:" + id}, logrus.NewEntry(log))
}

func stored(t *testing.T, id string) platform.Object {
	t.Helper()
	spec, err := json.Marshal(Peer{ID: id, Address: "10.0.0.1:" + id})
	assert.NilError(t, err)
	return platform.Object{Name: id, Version: 7, Spec: spec}
}

// All gateways were killed and restart together, and requests arrive within a tenth of a second.
// The store still has the objects of the earlier processes, including the gateway's own. A
// gateway that wrote before it read was refused because of that object, knew no others for a
// second and chose engines without their load.
func TestStartingGatewayKnowsTheOthersAtOnce(t *testing.T) {
	s := &memoryStore{objects: map[string]platform.Object{"1": stored(t, "1"), "2": stored(t, "2")}}
	m := members(s, "1")
	assert.Assert(t, m.List() == nil)
	assert.NilError(t, m.readAndRenew(t.Context()))
	assert.Equal(t, len(m.List()), 2)
	assert.Equal(t, s.calls, 2)
	assert.Equal(t, s.objects["1"].Version, uint64(8))
}

// The whole system starts for the first time, and no gateway has an object yet. A gateway that
// counted itself as the only one would spend the retry budget of all of them.
func TestFirstStartOfAllCountsNobody(t *testing.T) {
	s := &memoryStore{objects: map[string]platform.Object{}}
	one, two := members(s, "1"), members(s, "2")
	assert.NilError(t, one.readAndRenew(t.Context()))
	assert.Assert(t, one.List() == nil)
	assert.NilError(t, two.readAndRenew(t.Context()))
	assert.Assert(t, two.List() == nil)
	assert.Equal(t, len(two.Known()), 2, "peers that get its load")
	assert.NilError(t, one.readAndRenew(t.Context()))
	assert.Equal(t, len(one.List()), 2)
}

// A renewal is written but its answer is lost. The gateway must read the new version from the
// store, or its renewals would fail and the others would count it as gone.
func TestRenewalGoesOnAfterALostAnswer(t *testing.T) {
	s := &memoryStore{objects: map[string]platform.Object{}, loseAnswer: true}
	m := members(s, "1")
	assert.ErrorIs(t, m.readAndRenew(t.Context()), platform.ErrOutcomeUnknown)
	assert.NilError(t, m.readAndRenew(t.Context()))
	assert.Equal(t, s.objects["1"].Version, uint64(2))
}

// A gateway dies without deleting its object. The object no longer changes, and after Expiry by
// the observer's clock the gateway must not count; one that renews must.
func TestPeerThatStandsStillExpires(t *testing.T) {
	m := members(&memoryStore{}, "1")
	now := time.Now()
	m.apply([]platform.Object{stored(t, "2"), stored(t, "3")}, now)
	renewed := stored(t, "3")
	renewed.Version++
	m.apply([]platform.Object{stored(t, "2"), renewed}, now.Add(Expiry-time.Second))
	live := m.list(now.Add(Expiry + time.Second))
	assert.Equal(t, len(live), 2)
	assert.Equal(t, live[1].ID, "3")
}

// Guards against a gateway that counts the others as gone because it can't read the platform,
// and spends the budget of all of them.
func TestPeersOutliveACutFromThePlatform(t *testing.T) {
	m := members(&memoryStore{}, "1")
	now := time.Now()
	m.apply([]platform.Object{stored(t, "1"), stored(t, "2"), stored(t, "3")}, now)
	for _, cut := range []time.Duration{RenewInterval, 2 * RenewInterval, Expiry + time.Second, time.Hour} {
		assert.Equal(t, len(m.list(now.Add(cut))), 3, "after %s", cut)
	}
	// The platform can be read again: an object that hasn't changed since has expired.
	renewed := stored(t, "3")
	renewed.Version++
	m.apply([]platform.Object{stored(t, "1"), stored(t, "2"), renewed}, now.Add(time.Hour))
	assert.Equal(t, len(m.list(now.Add(time.Hour))), 2)
}

// A gateway appears between two turns and sends datagrams. Without a reading out of turn its load
// would be ignored for up to ten seconds. However often RequestRead is called, there must be at
// most one reading a second.
func TestRequestReadReadsOutOfTurn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &memoryStore{objects: map[string]platform.Object{}}
		m := members(s, "g1")
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		s.objects["g2"] = stored(t, "g2")
		done := make(chan bool)
		go func() { done <- m.waitForTurn(ctx, RenewInterval) }()
		for range 30 {
			m.RequestRead()
			time.Sleep(100 * time.Millisecond)
		}
		assert.Equal(t, len(m.Known()), 2)
		assert.Assert(t, <-done)
		assert.Assert(t, s.calls <= 4, "%d listings in 3 s", s.calls)
	})
}

// staleMemoryStore also serves stale listings from a snapshot.
type staleMemoryStore struct {
	memoryStore
	snapshot   []platform.Object
	staleReads int
}

func (s *staleMemoryStore) ListStale(context.Context, string) (platform.Listing, error) {
	s.staleReads++
	return platform.Listing{Objects: s.snapshot}, nil
}

// Peers are counted from listings that are seconds old and have an earlier version of the
// gateway's own object. Renewals must continue from the version that the gateway wrote itself, and
// after a foreign write a fresh listing must supply the version.
func TestRenewalGoesOnBesideOldListings(t *testing.T) {
	s := &staleMemoryStore{memoryStore: memoryStore{objects: map[string]platform.Object{}}}
	m := members(s, "1")
	assert.NilError(t, m.readAndRenew(t.Context()))
	s.snapshot = []platform.Object{s.objects["1"]}
	for range 3 {
		assert.NilError(t, m.readAndRenew(t.Context()))
	}
	assert.Equal(t, s.objects["1"].Version, uint64(4))
	assert.Equal(t, s.staleReads, 3)
	foreign := s.objects["1"]
	foreign.Version = 20
	s.objects["1"] = foreign
	assert.ErrorIs(t, m.readAndRenew(t.Context()), errConflict)
	assert.NilError(t, m.readAndRenew(t.Context()))
	assert.Equal(t, s.objects["1"].Version, uint64(21))
	assert.Equal(t, s.staleReads, 4)
}

// Listings of different ages alternate and show two versions of a dead gateway's object. The
// gateway must expire all the same.
func TestListingsOfDifferentAgesReviveNobody(t *testing.T) {
	m := members(&memoryStore{}, "1")
	now := time.Now()
	older, newer := stored(t, "2"), stored(t, "2")
	newer.Version++
	for i := range 20 {
		at := now.Add(time.Duration(i) * Expiry / 10)
		m.apply([]platform.Object{older}, at)
		m.apply([]platform.Object{newer}, at)
	}
	assert.Equal(t, len(m.list(now.Add(2*Expiry))), 1)
}
