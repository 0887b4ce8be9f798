// Package config holds the active configuration of a process.
//
// The store merges objects from any number of feeds in any order. An object is
// only replaced by a higher version of itself, and a deletion leaves a versioned
// tombstone. A late or repeated feed therefore can't restore an object that was
// replaced or deleted: an accepted configuration never reverts.
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

// maxTombstones bounds the memory for deleted objects. Above it the oldest
// tombstones are dropped and Store.compactedVersion rises. The bound covers
// several days of deletions at 1,300 changes a day.
const maxTombstones = 4096

var (
	log             = logrus.WithField("part", "config")
	invalidObjects  = metrics.NewCounter("jayford_config_invalid_objects_total")
	revisionInForce atomic.Uint64
	_               = metrics.NewGauge("jayford_config_revision", func() float64 {
		return float64(revisionInForce.Load())
	})
)

// NamedSelector is a selector with the name of its object.
type NamedSelector struct {
	Name string
	object.Selector
}

// Snapshot is an immutable view of the configuration.
type Snapshot struct {
	// Revision of the platform's store up to which the snapshot is complete.
	Revision uint64
	// Digest of the kind, name and version of each object.
	Digest  uint64
	Servers map[string]object.Server
	Pools   map[string]object.Pool
	// Selectors are sorted by Order, then Name.
	Selectors     []NamedSelector
	Intents       map[string]object.Intent
	Organisations map[string]object.Organisation
	// Convictions by fingerprint. They may include expired ones; see Until.
	Convictions map[uint64]object.Conviction
	// Instances, live and leaving, sorted by ID. The platform's list that they
	// come from lags behind the actual state.
	Instances []platform.Instance
}

// Update brings a follower from one revision to a later one.
type Update struct {
	Revision uint64
	Digest   uint64
	// Full is set if Objects is the whole configuration, including all known
	// tombstones.
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
	// compactedVersion is the highest version of a dropped tombstone. An unknown object
	// at or below it may have been deleted, so it is accepted only from a full
	// listing whose revision is at least this version.
	compactedVersion uint64
	// maxVersion is the highest version ever stored in a record.
	maxVersion uint64
	instances  []platform.Instance
	changed    chan struct{}
}

// NewStore returns an empty store and adds its snapshot to b's dump; b may be nil.
func NewStore(b *board.Board) *Store {
	s := &Store{records: make(map[key]record), changed: make(chan struct{})}
	s.current.Store(s.buildSnapshot())
	if b != nil {
		b.AddView("config", func() any { return s.Current() })
	}
	return s
}

// Current returns the active configuration, which is never nil.
func (s *Store) Current() *Snapshot { return s.current.Load() }

// Digest returns the digest of the active configuration.
func (s *Store) Digest() uint64 { return s.Current().Digest }

// Changed returns a channel that is closed at the next change of the
// configuration, its revision or the instances.
func (s *Store) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

// Apply merges objects and returns how many it changed. revision is the one up
// to which the store is complete afterwards: the caller passes a feed's revision
// only if the feed continues from the store's own revision or is full, and
// otherwise 0, which leaves the store's revision as it is. With full, objs is
// the complete listing at revision: a known object that is missing from it and
// is no newer than revision was deleted.
func (s *Store) Apply(objs []platform.Object, revision uint64, full bool) (changed int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	upToDate := full && revision >= s.compactedVersion
	for _, o := range objs {
		if object.IsConfiguration(o.Kind) && s.merge(o, upToDate) {
			changed++
		}
	}
	if full {
		changed += s.deleteMissing(objs, revision)
	}
	advanced := revision > s.revision
	s.revision = max(s.revision, revision)
	if changed == 0 && !advanced {
		return 0
	}
	s.pruneTombstones()
	s.publish(changed == 0)
	return changed
}

// merge stores o if it is newer than the known version.
func (s *Store) merge(o platform.Object, listingUpToDate bool) bool {
	k := key{o.Kind, o.Name}
	old, known := s.records[k]
	if known && o.Version <= old.object.Version {
		return false
	}
	if !known && o.Version <= s.compactedVersion && !listingUpToDate {
		return false
	}
	r := record{object: o}
	if !o.Deleted {
		r.parsed = s.parse(o, old.parsed)
	}
	s.set(k, r)
	return true
}

// parse returns the parsed spec of o, or the last valid one if it is invalid: a
// bad object that bypassed the validation of the operators' client must not take
// a server or a pool out of service.
func (s *Store) parse(o platform.Object, lastValid any) any {
	v, err := object.Parse(o.Kind, o.Spec)
	if err == nil {
		return v
	}
	invalidObjects.Inc()
	log.WithError(err).WithField("name", o.Name).Error("config: Invalid object, keeping the last valid version.")
	return lastValid
}

func (s *Store) set(k key, r record) {
	if old, ok := s.records[k]; ok {
		s.digest ^= digestOf(old.object)
		s.tombstones -= countTombstone(old)
	}
	s.digest ^= digestOf(r.object)
	s.tombstones += countTombstone(r)
	s.maxVersion = max(s.maxVersion, r.object.Version)
	s.records[k] = r
}

func countTombstone(r record) int {
	if r.object.Deleted {
		return 1
	}
	return 0
}

// deleteMissing marks objects as deleted that are missing from a full listing,
// unless they were written after it. The tombstone gets the listing's revision:
// the actual deletion has no higher version, and a later re-creation has one.
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

// pruneTombstones drops the oldest tombstones if there are more than
// maxTombstones. It keeps those newer than the store's revision, since the store
// is not known to be complete beyond it.
func (s *Store) pruneTombstones() {
	if s.tombstones <= maxTombstones {
		return
	}
	var droppable []platform.Object
	for _, r := range s.records {
		if r.object.Deleted && r.object.Version <= s.revision {
			droppable = append(droppable, r.object)
		}
	}
	slices.SortFunc(droppable, func(a, b platform.Object) int { return cmp.Compare(a.Version, b.Version) })
	// Up to half of the bound is dropped at once, so that sorting is rare.
	for _, o := range droppable[:min(len(droppable), maxTombstones/2)] {
		delete(s.records, key{o.Kind, o.Name})
		s.tombstones--
		s.compactedVersion = max(s.compactedVersion, o.Version)
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

// Objects returns all objects, including tombstones, sorted by version.
func (s *Store) Objects() []platform.Object {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.objectsSince(0)
}

// Since returns the update for a follower that is complete up to revision: the
// objects changed after it, or all of them if revision is 0 or so old that
// tombstones after it were dropped.
func (s *Store) Since(revision uint64) Update {
	s.mu.Lock()
	defer s.mu.Unlock()
	full := revision == 0 || revision < s.compactedVersion
	if full {
		revision = 0
	}
	return Update{Revision: s.revision, Digest: s.digest, Full: full, Objects: s.objectsSince(revision)}
}

func (s *Store) objectsSince(revision uint64) []platform.Object {
	// Followers poll once a second and there is rarely anything new. Scanning all
	// records on each poll would take most of the CPU time of an entry that serves
	// them.
	if revision >= s.maxVersion {
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
