package config

import (
	"fmt"
	"maps"
	"slices"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"jayford.example/jayford/internal/board"
	"jayford.example/jayford/internal/object"
	"jayford.example/jayford/internal/platform"
)

func organisation(name string, version uint64) platform.Object {
	spec := fmt.Sprintf(`{"format":1,"share":%d}`, version)
	return platform.Object{Kind: object.KindOrganisation, Name: name, Version: version, Spec: []byte(spec)}
}

func deletion(name string, version uint64) platform.Object {
	return platform.Object{Kind: object.KindOrganisation, Name: name, Version: version, Deleted: true}
}

// history is the platform's write log: element i was written at revision i+1.
type history []platform.Object

func drawHistory(t *rapid.T) history {
	n := rapid.IntRange(1, 30).Draw(t, "writes")
	var h history
	for v := uint64(1); v <= uint64(n); v++ {
		name := rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "name")
		if rapid.Bool().Draw(t, "delete") {
			h = append(h, deletion(name, v))
		} else {
			h = append(h, organisation(name, v))
		}
	}
	return h
}

// at returns the live objects at a revision.
func (h history) at(revision uint64) map[string]platform.Object {
	live := make(map[string]platform.Object)
	for _, o := range h[:revision] {
		if o.Deleted {
			delete(live, o.Name)
		} else {
			live[o.Name] = o
		}
	}
	return live
}

// Feeds arrive late, repeated and out of order: old listings after new events,
// old events after deletions. No organisation may revert to an older version, and
// a deleted one must not return in an older version; otherwise an entry would
// undo an operator's change.
func TestLateFeedsNeverRevert(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := drawHistory(t)
		s := NewStore(nil)
		highest := make(map[string]uint64)
		for range rapid.IntRange(1, 40).Draw(t, "feeds") {
			applyRandomFeed(t, s, h)
			checkNoRevert(t, s, highest)
		}
		last := uint64(len(h))
		s.Apply(slices.Collect(maps.Values(h.at(last))), last, true)
		checkMatchesHistory(t, s, h)
	})
}

func applyRandomFeed(t *rapid.T, s *Store, h history) {
	revision := rapid.IntRange(0, len(h)).Draw(t, "revision")
	if rapid.Bool().Draw(t, "full") {
		s.Apply(slices.Collect(maps.Values(h.at(uint64(revision)))), uint64(revision), true)
		return
	}
	from := rapid.IntRange(0, revision).Draw(t, "from")
	completeUpTo := uint64(0)
	if uint64(from) <= s.Current().Revision {
		completeUpTo = uint64(revision)
	}
	s.Apply(h[from:revision], completeUpTo, false)
}

func checkNoRevert(t *rapid.T, s *Store, highest map[string]uint64) {
	for _, o := range s.Objects() {
		if o.Version < highest[o.Name] {
			t.Fatalf("%s went back from version %d to %d", o.Name, highest[o.Name], o.Version)
		}
		highest[o.Name] = o.Version
		share := s.Current().Organisations[o.Name].Share
		if !o.Deleted && share != float64(o.Version) {
			t.Fatalf("%s has share %v at version %d", o.Name, share, o.Version)
		}
	}
}

func checkMatchesHistory(t *rapid.T, s *Store, h history) {
	want := h.at(uint64(len(h)))
	got := s.Current()
	if len(got.Organisations) != len(want) {
		t.Fatalf("got %v, want %v", got.Organisations, want)
	}
	digest := uint64(0)
	for name, o := range want {
		digest ^= digestOf(o)
		if got.Organisations[name].Share != float64(o.Version) {
			t.Fatalf("%s: got %v, want version %d", name, got.Organisations[name], o.Version)
		}
	}
	if got.Digest != digest {
		t.Fatalf("digest %x, want %x", got.Digest, digest)
	}
}

// A follower fetches the objects since its own revision from another store at
// arbitrary times. Content and digest must match afterwards; otherwise the
// follower would be sent the whole configuration repeatedly.
func TestSinceBringsAFollowerUpToDate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := drawHistory(t)
		leader, follower := NewStore(nil), NewStore(nil)
		for i, o := range h {
			leader.Apply([]platform.Object{o}, uint64(i+1), false)
			if rapid.Bool().Draw(t, "follow") {
				u := leader.Since(follower.Current().Revision)
				follower.Apply(u.Objects, u.Revision, u.Full)
				assert.Equal(t, follower.Digest(), u.Digest)
				assert.DeepEqual(t, follower.Current().Organisations, leader.Current().Organisations)
			}
		}
	})
}

// A late feed delivers a deleted object after its tombstone was dropped to save
// memory. The object must stay deleted, although the store has no record of it.
func TestDroppedTombstoneDoesNotResurrectObject(t *testing.T) {
	s := NewStore(nil)
	n := uint64(maxTombstones + 1)
	for v := uint64(1); v <= n; v++ {
		s.Apply([]platform.Object{deletion(fmt.Sprint("o", v), v)}, v, false)
	}
	assert.Assert(t, len(s.Objects()) <= maxTombstones)
	assert.Equal(t, s.Apply([]platform.Object{organisation("o1", 1)}, 0, false), 0)
	assert.Assert(t, s.Since(1).Full)
	assert.Equal(t, s.Apply([]platform.Object{organisation("o1", 1)}, n, true), 1)
}

// An object is overwritten with an invalid spec, bypassing the operators' client.
// The last valid spec must stay active, so that its pool keeps serving.
func TestInvalidObjectKeepsTheLastValidOne(t *testing.T) {
	s := NewStore(board.New())
	s.Apply([]platform.Object{organisation("a", 3)}, 3, false)
	bad := organisation("a", 4)
	bad.Spec = []byte(`{"share":"x"}`)
	assert.Equal(t, s.Apply([]platform.Object{bad}, 4, false), 1)
	assert.Equal(t, s.Current().Organisations["a"].Share, 3.0)
}

func TestSelectorsAreSortedAndChangesSignalled(t *testing.T) {
	s := NewStore(nil)
	changed := s.Changed()
	spec := `{"format":1,"order":%d,"targets":[{"pool":"p","weight":1}]}`
	var objs []platform.Object
	for i, name := range []string{"z", "b", "a"} {
		order := min(i, 1)
		objs = append(objs, platform.Object{
			Kind: object.KindSelector, Name: name, Version: uint64(i + 1), Spec: fmt.Appendf(nil, spec, order),
		})
	}
	s.Apply(objs, 3, true)
	<-changed
	var names []string
	for _, n := range s.Current().Selectors {
		names = append(names, n.Name)
	}
	assert.DeepEqual(t, names, []string{"z", "a", "b"})
}
