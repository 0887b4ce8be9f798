package origin

import (
	"container/list"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Hash returns the hash of a name in records: of a stream's id, a service or a software
// version. It is 0 for "", which names nothing.
func Hash(name string) uint64 {
	if name == "" {
		return 0
	}
	return max(1, xxhash.Sum64String(name))
}

// Record says which software version began a stream.
type Record struct {
	// Stream is the Hash of the id of the attempt that brought the first event.
	Stream uint64
	// Content is the fingerprint of the request's content.
	Content uint64
	// Service and Software are Hashes. Software is 0 if the version isn't known: the stream
	// can't go on.
	Service, Software uint64
}

// DefaultLimit bounds the records of a Table.
const DefaultLimit = 1 << 16

// Table holds records until they expire. If there are too many, the oldest go first. It
// isn't safe for concurrent use.
type Table struct {
	limit   int
	records map[uint64]*list.Element
	// order has the records, the oldest first.
	order *list.List
}

type entry struct {
	Record
	expires time.Time
}

// NewTable returns an empty Table for at most limit records.
func NewTable(limit int) *Table {
	return &Table{limit: limit, records: map[uint64]*list.Element{}, order: list.New()}
}

// Put stores a record for a time. The first record of a stream stays: its version is fixed.
func (t *Table) Put(r Record, ttl time.Duration, now time.Time) {
	if _, ok := t.Get(r.Stream, now); ok {
		return
	}
	t.records[r.Stream] = t.order.PushBack(&entry{r, now.Add(ttl)})
	for front := t.order.Front(); t.order.Len() > t.limit || !now.Before(entryOf(front).expires); front = t.order.Front() {
		t.remove(front)
	}
}

// Get returns the record of a stream.
func (t *Table) Get(stream uint64, now time.Time) (Record, bool) {
	el, ok := t.records[stream]
	if !ok {
		return Record{}, false
	}
	if !now.Before(entryOf(el).expires) {
		t.remove(el)
		return Record{}, false
	}
	return entryOf(el).Record, true
}

// Len returns the number of records.
func (t *Table) Len() int { return t.order.Len() }

func (t *Table) remove(el *list.Element) {
	delete(t.records, entryOf(el).Stream)
	t.order.Remove(el)
}

func entryOf(el *list.Element) *entry {
	e, _ := el.Value.(*entry)
	return e
}
