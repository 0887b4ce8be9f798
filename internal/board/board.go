// Package board holds the shared in-memory state of a process: typed tables of
// records that its controllers read and write instead of calling one another.
//
// A table is split into shards, each under its own lock. Records are copied in
// and out, but not deeply: data that a record points to must not be changed after
// the record was stored.
package board

import (
	"encoding/json"
	"hash/maphash"
	"sort"
	"sync"
)

// shardCount is a power of two, well above the number of threads of a small
// instance.
const shardCount = 16

// Table holds records of one type by key.
type Table[V any] struct {
	seed   maphash.Seed
	shards [shardCount]shard[V]
}

type shard[V any] struct {
	mu sync.RWMutex
	// records is guarded by mu.
	records map[string]V
}

// NewTable returns an empty table and adds it to b's dump under name.
func NewTable[V any](b *Board, name string) *Table[V] {
	t := &Table[V]{seed: maphash.MakeSeed()}
	for i := range t.shards {
		t.shards[i].records = make(map[string]V)
	}
	b.add(name, func() any { return t.Snapshot() })
	return t
}

func (t *Table[V]) shard(key string) *shard[V] {
	return &t.shards[maphash.String(t.seed, key)%shardCount]
}

// Get returns the record of key.
func (t *Table[V]) Get(key string) (V, bool) {
	s := t.shard(key)
	s.mu.RLock()
	defer s.mu.RUnlock()
	v, ok := s.records[key]
	return v, ok
}

// Put stores the record of key.
func (t *Table[V]) Put(key string, v V) {
	s := t.shard(key)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.records[key] = v
}

// Delete removes the record of key.
func (t *Table[V]) Delete(key string) {
	s := t.shard(key)
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.records, key)
}

// Update changes the record of key under its shard's lock. f gets the current
// record, or the zero value, and returns the new one and whether to keep it; the
// record is deleted otherwise. f must not use the table.
func (t *Table[V]) Update(key string, f func(v V, present bool) (V, bool)) {
	s := t.shard(key)
	s.mu.Lock()
	defer s.mu.Unlock()
	v, ok := s.records[key]
	v, keep := f(v, ok)
	if keep {
		s.records[key] = v
		return
	}
	delete(s.records, key)
}

// Each calls f for each record until f returns false. f runs without a lock;
// records that change meanwhile may be passed in their old or new state.
func (t *Table[V]) Each(f func(key string, v V) bool) {
	for i := range t.shards {
		for _, p := range t.shards[i].pairs() {
			if !f(p.key, p.v) {
				return
			}
		}
	}
}

type pair[V any] struct {
	key string
	v   V
}

func (s *shard[V]) pairs() []pair[V] {
	s.mu.RLock()
	defer s.mu.RUnlock()
	out := make([]pair[V], 0, len(s.records))
	for k, v := range s.records {
		out = append(out, pair[V]{k, v})
	}
	return out
}

// Len returns the number of records.
func (t *Table[V]) Len() int {
	n := 0
	for i := range t.shards {
		s := &t.shards[i]
		s.mu.RLock()
		n += len(s.records)
		s.mu.RUnlock()
	}
	return n
}

// Snapshot returns a copy of all records.
func (t *Table[V]) Snapshot() map[string]V {
	out := make(map[string]V)
	t.Each(func(k string, v V) bool {
		out[k] = v
		return true
	})
	return out
}

// Board collects the tables and other views of one process for its state dump.
type Board struct {
	mu sync.Mutex
	// parts is guarded by mu.
	parts map[string]func() any
}

// New returns an empty board.
func New() *Board {
	return &Board{parts: make(map[string]func() any)}
}

// AddView adds a view to the dump that isn't a table. view is called for each dump.
func (b *Board) AddView(name string, view func() any) { b.add(name, view) }

func (b *Board) add(name string, view func() any) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.parts[name] = view
}

// Dump returns all tables and views as indented JSON.
func (b *Board) Dump() ([]byte, error) {
	b.mu.Lock()
	names := make([]string, 0, len(b.parts))
	views := make(map[string]func() any, len(b.parts))
	for n, v := range b.parts {
		names = append(names, n)
		views[n] = v
	}
	b.mu.Unlock()
	sort.Strings(names)
	out := make(map[string]any, len(names))
	for _, n := range names {
		out[n] = views[n]()
	}
	return json.MarshalIndent(out, "", "  ")
}
