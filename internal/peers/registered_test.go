package peers

import (
	"encoding/json"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"jayford.example/jayford/internal/boottime"
	"jayford.example/jayford/internal/platform"
)

// Guards against a gateway that others don't count because their latest listing is older
// than an earlier one: what all share would be divided by too few.
func TestRegisteredGatewaySurvivesAnOlderListing(t *testing.T) {
	m := members(&memoryStore{}, "1")
	now := time.Now()
	m.apply([]platform.Object{stored(t, "1"), stored(t, "2")}, now)
	m.apply([]platform.Object{stored(t, "1")}, now)
	list, _ := m.Registered(time.Hour)
	assert.Equal(t, len(list), 2)
	assert.Equal(t, len(m.Known()), 1)
	m.apply([]platform.Object{stored(t, "1")}, now.Add(unlistedGrace+time.Second))
	list, _ = m.Registered(time.Hour)
	assert.Equal(t, len(list), 1)
}

// A listing that may be old is complete as of the last renewal only if it shows it.
func TestListingIsCompleteAsOfTheRenewalThatItShows(t *testing.T) {
	s := &staleMemoryStore{memoryStore: memoryStore{objects: map[string]platform.Object{}}}
	m := members(s, "1")
	began := boottime.Now()
	assert.NilError(t, m.readAndRenew(t.Context()))
	_, first := m.Registered(time.Hour)
	assert.Assert(t, first >= began)

	s.snapshot = nil
	assert.NilError(t, m.read(t.Context()))
	_, second := m.Registered(time.Hour)
	assert.Equal(t, second, first)

	renewed := boottime.Now()
	assert.NilError(t, m.renew(t.Context()))
	s.snapshot = []platform.Object{s.objects["1"]}
	assert.NilError(t, m.read(t.Context()))
	_, third := m.Registered(time.Hour)
	assert.Assert(t, third >= renewed)
}

// Guards against two processes that find the same predecessor.
func TestPredecessorIsKnownOnceItsObjectIsReplaced(t *testing.T) {
	spec, err := json.Marshal(Peer{ID: "1", UptimeMs: 90_000})
	assert.NilError(t, err)
	s := &memoryStore{objects: map[string]platform.Object{"1": {Name: "1", Version: 3, Spec: spec}}}
	m := members(s, "1")
	assert.NilError(t, m.read(t.Context()))
	_, ok := m.PredecessorUptime()
	assert.Assert(t, !ok)
	assert.NilError(t, m.renew(t.Context()))
	uptime, ok := m.PredecessorUptime()
	assert.Assert(t, ok)
	assert.Equal(t, uptime, 90*time.Second)

	next := members(s, "1")
	assert.NilError(t, next.readAndRenew(t.Context()))
	uptime, ok = next.PredecessorUptime()
	assert.Assert(t, ok)
	assert.Assert(t, uptime < time.Minute)
}
