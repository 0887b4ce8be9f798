// Package config holds the configuration in force in a process.
//
// The store takes objects from any number of feeds in any order. Per object
// only a higher version replaces a lower one, and a deletion stays behind as a
// tombstone with its version. So a late or repeated feed can't bring back what
// was replaced or deleted: an accepted configuration never reverts.
package config

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"

	"jayford.example/jayford/internal/board"
	"jayford.example/jayford/internal/object"
	"jayford.example/jayford/internal/platform"
)

// maxTombstones bounds the memory for deleted objects. Above it the oldest are
// dropped and the floor rises (see Store.floor). It is several days' worth of
// deletions at 1,300 changes a day.
const maxTombstones = 4096

var (
	log             = logrus.WithField("part", "config")
	invalidObjects  = metrics.NewCounter("jayford_config_invalid_objects_total")
	revisionInForce atomic.Uint64
	_               = metrics.NewGauge("jayford_config_revision", func() float64 {
		return float64(revisionInForce.Load())
	})
)

// NamedSelector is a selector with its object's name.
type NamedSelector struct {
	Name string
	object.Selector
}

// Snapshot is the configuration at one moment. It is immutable.
type Snapshot struct {
	// Revision of the platform's store up to which it is complete.
	Revision uint64
	// Digest of the kind, name and version of each object.
	Digest  uint64
	Servers map[string]object.Server
	Pools   map[string]object.Pool
	// Selectors are sorted by Order, then Name.
	Selectors     []NamedSelector
	Intents       map[string]object.Intent
	Organisations map[string]object.Organisation
	// Convictions by fingerprint. Some may have lapsed; see their Until.
	Convictions map[uint64]object.Conviction
	// Instances of the platform's lagging list, live and leaving, sorted by ID.
	Instances []platform.Instance
}

// Update is what brings a follower from one revision to a later one.
type Update struct {
	Revision uint64
	Digest   uint64
	// Full: Objects are the whole configuration, with all known tombstones.
	Full    bool
	Objects []platform.Object
}

type key struct{ kind, name string }

type record struct {
	object platform.Object
	// parsed is the last valid spec. It is nil for a tombstone and for an
	// object that never had a valid spec.
	parsed any
}

// Store keeps the newest known version of each object. All methods may be
// called from several goroutines.
type Store struct {
	current atomic.Pointer[Snapshot]

	mu sync.Mutex
	// The fields below are guarded by mu.
	records    map[key]record
	tombstones int
	revision   uint64
	digest     uint64
	// floor is the highest version of a dropped tombstone. An unknown object
	// at or below it may be one that was deleted, so it is taken only from a
	// full listing that is as new as the floor.
	floor uint64
	// newest is the highest version of any record so far.
	newest    uint64
	instances []platform.Instance
	changed   chan struct{}
}

// NewStore returns an empty store and adds its view to b's dump; b may be nil.
func NewStore(b *board.Board) *Store {
	s := &Store{records: make(map[key]record), changed: make(chan struct{})}
	s.current.Store(s.build())
	if b != nil {
		b.Part("config", func() any { return s.Current() })
	}
	return s
}

// Current returns the configuration in force; never nil.
func (s *Store) Current() *Snapshot { return s.current.Load() }

// Digest returns the digest of the configuration in force.
func (s *Store) Digest() uint64 { return s.Current().Digest }

// Changed returns a channel that is closed at the next change of the
// configuration, its revision or the instances.
func (s *Store) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

// Apply merges objects and returns how many it changed. revision says up to
// where the store is complete afterwards: the caller passes a feed's revision
// only if the feed continues from the store's own revision or is full; 0
// claims nothing. With full, objs is all there was at revision: what is
// missing and no newer than that was deleted.
func (s *Store) Apply(objs []platform.Object, revision uint64, full bool) (changed int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	trusted := full && revision >= s.floor
	for _, o := range objs {
		if object.IsConfiguration(o.Kind) && s.merge(o, trusted) {
			changed++
		}
	}
	if full {
		changed += s.deleteMissing(objs, revision)
	}
	raised := revision > s.revision
	s.revision = max(s.revision, revision)
	if changed == 0 && !raised {
		return 0
	}
	s.pruneTombstones()
	s.publish(changed == 0)
	return changed
}

// merge takes o if it is newer than what is known.
func (s *Store) merge(o platform.Object, trusted bool) bool {
	k := key{o.Kind, o.Name}
	old, known := s.records[k]
	if known && o.Version <= old.object.Version {
		return false
	}
	if !known && o.Version <= s.floor && !trusted {
		return false
	}
	r := record{object: o}
	if !o.Deleted {
		r.parsed = s.parse(o, old.parsed)
	}
	s.set(k, r)
	return true
}

// parse keeps the last valid spec in force if the new one is invalid: an
// object that was written past the operators' client must not take a server
// or a pool out of service.
func (s *Store) parse(o platform.Object, last any) any {
	v, err := object.Parse(o.Kind, o.Spec)
	if err == nil {
		return v
	}
	invalidObjects.Inc()
	log.WithError(err).WithField("name", o.Name).Error("config: Invalid object. The last valid one stays in force.")
	return last
}

func (s *Store) set(k key, r record) {
	if old, ok := s.records[k]; ok {
		s.digest ^= digestOf(old.object)
		s.tombstones -= tombstone(old)
	}
	s.digest ^= digestOf(r.object)
	s.tombstones += tombstone(r)
	s.newest = max(s.newest, r.object.Version)
	s.records[k] = r
}

func tombstone(r record) int {
	if r.object.Deleted {
		return 1
	}
	return 0
}

// deleteMissing marks as deleted what a full listing lacks, unless it was
// written after the listing. The tombstone gets the listing's revision: the
// true version of the deletion is no higher, a later re-creation's is.
func (s *Store) deleteMissing(objs []platform.Object, revision uint64) (changed int) {
	listed := make(map[key]bool, len(objs))
	for _, o := range objs {
		listed[key{o.Kind, o.Name}] = true
	}
	for k, r := range s.records {
		if listed[k] || r.object.Deleted || r.object.Version > revision {
			continue
		}
		s.set(k, record{object: platform.Object{Kind: k.kind, Name: k.name, Version: revision, Deleted: true}})
		changed++
	}
	return changed
}

// pruneTombstones drops the oldest tombstones above the bound. It drops none
// newer than the revision: only up to there is the store known to be complete.
func (s *Store) pruneTombstones() {
	if s.tombstones <= maxTombstones {
		return
	}
	var dead []platform.Object
	for _, r := range s.records {
		if r.object.Deleted && r.object.Version <= s.revision {
			dead = append(dead, r.object)
		}
	}
	slices.SortFunc(dead, func(a, b platform.Object) int { return cmp.Compare(a.Version, b.Version) })
	// Half are dropped at once, so that the sort is rare.
	for _, o := range dead[:min(len(dead), maxTombstones/2)] {
		delete(s.records, key{o.Kind, o.Name})
		s.tombstones--
		s.floor = max(s.floor, o.Version)
	}
}

// ApplyInstances replaces the list of instances.
func (s *Store) ApplyInstances(list []platform.Instance) {
	sorted := slices.Clone(list)
	slices.SortFunc(sorted, func(a, b platform.Instance) int { return cmp.Compare(a.ID, b.ID) })
	s.mu.Lock()
	defer s.mu.Unlock()
	if slices.Equal(sorted, s.instances) {
		return
	}
	s.instances = sorted
	s.publish(true)
}

// Objects returns all objects with their tombstones, sorted by version.
func (s *Store) Objects() []platform.Object {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.since(0)
}

// Since returns what a follower needs that is complete up to revision: the
// objects changed after it, or all of them if revision is 0 or so old that
// tombstones after it were dropped.
func (s *Store) Since(revision uint64) Update {
	s.mu.Lock()
	defer s.mu.Unlock()
	full := revision == 0 || revision < s.floor
	if full {
		revision = 0
	}
	return Update{Revision: s.revision, Digest: s.digest, Full: full, Objects: s.since(revision)}
}

func (s *Store) since(revision uint64) []platform.Object {
	// Followers ask once a second, nearly always for nothing: a walk over all
	// records for each would be most of a watching entry's processor time.
	if revision >= s.newest {
		return nil
	}
	var out []platform.Object
	for _, r := range s.records {
		if r.object.Version > revision {
			out = append(out, r.object)
		}
	}
	slices.SortFunc(out, func(a, b platform.Object) int { return cmp.Compare(a.Version, b.Version) })
	return out
}
