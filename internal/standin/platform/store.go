package platform

import (
	"slices"
	"sync"
	"time"

	"jayford.example/jayford/internal/object"
	api "jayford.example/jayford/internal/platform"
)

// Accepted is an accepted write.
type Accepted struct {
	api.Object
	Time time.Time `json:"time"`
}

type objectKey struct{ kind, name string }

// store holds the objects under a single global revision.
type store struct {
	mu sync.Mutex
	// The fields below are guarded by mu.
	objects  map[objectKey]api.Object
	revision uint64
	// history has all accepted writes; history[i] has revision i+1.
	history   []Accepted
	compacted uint64
	changed   chan struct{}
}

func newStore() *store {
	return &store{objects: make(map[objectKey]api.Object), changed: make(chan struct{})}
}

func (s *store) get(kind, name string) (api.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.objects[objectKey{kind, name}]
	if !ok {
		return api.Object{}, api.ErrNotFound
	}
	return o, nil
}

func matches(kind string, o api.Object) bool {
	if kind == "" {
		return object.IsConfiguration(o.Kind)
	}
	return o.Kind == kind
}

func (s *store) list(kind string) api.Listing {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := api.Listing{Revision: s.revision, Objects: []api.Object{}}
	for _, o := range s.objects {
		if matches(kind, o) {
			l.Objects = append(l.Objects, o)
		}
	}
	return l
}

// put writes or deletes o if the stored version equals o.Version.
func (s *store) put(o api.Object) (uint64, error) {
	if len(o.Spec) > api.MaxValueBytes {
		return 0, api.ErrTooLarge
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	k := objectKey{o.Kind, o.Name}
	old, known := s.objects[k]
	if o.Deleted && !known {
		return 0, api.ErrNotFound
	}
	if old.Version != o.Version {
		return 0, api.ErrConflict
	}
	s.revision++
	o.Version = s.revision
	s.history = append(s.history, Accepted{Object: o, Time: time.Now()})
	if o.Deleted {
		delete(s.objects, k)
	} else {
		s.objects[k] = o
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return o.Version, nil
}

// since returns the latest state of each object that changed after revision, and a
// channel that closes at the next change.
func (s *store) since(kind string, revision uint64) (api.Listing, <-chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if revision < s.compacted {
		return api.Listing{}, nil, api.ErrCompacted
	}
	l := api.Listing{Revision: max(revision, s.revision), Objects: []api.Object{}}
	seen := make(map[objectKey]bool)
	for i := len(s.history) - 1; i >= 0 && s.history[i].Version > revision; i-- {
		o := s.history[i].Object
		k := objectKey{o.Kind, o.Name}
		if matches(kind, o) && !seen[k] {
			seen[k] = true
			l.Objects = append(l.Objects, o)
		}
	}
	slices.Reverse(l.Objects)
	return l, s.changed, nil
}

// compact makes watches from before the current revision fail with
// api.ErrCompacted.
func (s *store) compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.compacted = s.revision
}

func (s *store) record() []Accepted {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.history)
}
