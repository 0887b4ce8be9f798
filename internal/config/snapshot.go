package config

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"

	"jayford.example/jayford/internal/object"
	"jayford.example/jayford/internal/platform"
)

// digestOf returns an object's contribution to the digest. Contributions are
// combined by XOR, so the order of arrival doesn't matter. Tombstones contribute
// nothing: two stores may hold different versions of a deletion, or one may have
// dropped it.
func digestOf(o platform.Object) uint64 {
	if o.Deleted {
		return 0
	}
	b := make([]byte, 0, len(o.Kind)+len(o.Name)+10)
	b = append(b, o.Kind...)
	b = append(b, '/')
	b = append(b, o.Name...)
	b = append(b, '/')
	b = binary.BigEndian.AppendUint64(b, o.Version)
	return xxhash.Sum64(b)
}

// publish activates a new snapshot and closes the channel that Changed returned.
// With objectsUnchanged it reuses the maps of the current snapshot.
func (s *Store) publish(objectsUnchanged bool) {
	var next *Snapshot
	if objectsUnchanged {
		c := *s.current.Load()
		c.Revision = s.revision
		c.Instances = s.instances
		next = &c
	} else {
		next = s.buildSnapshot()
	}
	s.current.Store(next)
	revisionInForce.Store(next.Revision)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Store) buildSnapshot() *Snapshot {
	n := &Snapshot{
		Revision:      s.revision,
		Digest:        s.digest,
		Servers:       make(map[string]object.Server),
		Pools:         make(map[string]object.Pool),
		Intents:       make(map[string]object.Intent),
		Organisations: make(map[string]object.Organisation),
		Convictions:   make(map[uint64]object.Conviction),
		Instances:     s.instances,
	}
	for k, r := range s.records {
		n.add(k.name, r.parsed)
	}
	slices.SortFunc(n.Selectors, func(a, b NamedSelector) int {
		return cmp.Or(cmp.Compare(a.Order, b.Order), cmp.Compare(a.Name, b.Name))
	})
	return n
}

func (n *Snapshot) add(name string, parsed any) {
	switch v := parsed.(type) {
	case object.Server:
		n.Servers[name] = v
	case object.Pool:
		n.Pools[name] = v
	case object.Selector:
		n.Selectors = append(n.Selectors, NamedSelector{Name: name, Selector: v})
	case object.Intent:
		n.Intents[name] = v
	case object.Organisation:
		n.Organisations[name] = v
	case object.Conviction:
		if known, ok := n.Convictions[v.Fingerprint]; !ok || known.Until.Before(v.Until) {
			n.Convictions[v.Fingerprint] = v
		}
	}
}
