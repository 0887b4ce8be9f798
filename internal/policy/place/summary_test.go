package place

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"jayford.example/jayford/internal/engine"
)

// block is the event of a prefix of so many blocks, named by the same number.
func block(sequence, blocks uint64, removed bool) engine.CacheEvent {
	return engine.CacheEvent{Sequence: sequence, Prefix: blocks, Tokens: int(blocks) * engine.CacheBlock, Removed: removed}
}

func events(incarnation uint64, list ...engine.CacheEvent) engine.CacheEvents {
	return engine.CacheEvents{Incarnation: incarnation, Events: list}
}

// reader is an entry that reads the summary of one server.
type reader struct {
	*Prefixes
	s *Summary
}

func (r reader) read(room int) News {
	epoch, after := r.Cursor("s")
	n, ok := r.s.Since(epoch, after, room)
	if ok {
		r.Told("s", n)
	}
	return n
}

func newReader() reader { return reader{NewPrefixes(64), NewSummary(64, 1)} }

// Callers wait for prefills that were thought to be cached. A cache event for
// the removal of a block is late, and later events arrive before it. The gap
// shows in the sequence, and the entry's index counts half until the agent has
// read the log again from before the gap. A restart of the engine empties all.
func TestGapLowersTrustUntilRebuilt(t *testing.T) {
	r := newReader()
	s := r.s
	prompt := []uint64{1, 2, 3, 4}
	s.Apply(events(1))
	s.Apply(events(1, block(1, 1, false), block(2, 2, false)))
	s.Apply(events(1, block(1, 1, false)))
	r.read(9)
	assert.Equal(t, r.Cached("s", prompt), 512, "a repeat is no gap")
	s.Apply(events(1, block(2, 2, false), block(4, 8, false)))
	r.read(9)
	assert.Equal(t, r.Cached("s", prompt), 256, "half of it")
	assert.Equal(t, s.After(time.Minute), uint64(2), "read again from before the gap")
	assert.Equal(t, s.After(time.Minute), uint64(4), "but not at once again")
	s.Apply(events(1, block(3, 2, true), block(4, 8, false)))
	r.read(9)
	assert.Equal(t, r.Cached("s", prompt), 256, "the second block is gone, the first is sure")
	assert.Equal(t, r.Cached("s", prompt[:1]), 256)
	s.Apply(events(2))
	r.read(9)
	assert.Equal(t, r.Cached("s", prompt), 0)
	assert.Equal(t, s.After(time.Minute), uint64(0), "the new engine's log from its beginning")
}

// A reader gets all that it lacks, in parts as small as they have to be, and
// nothing twice; a newcomer and one of another epoch get the state as it is.
func TestReadersCatchUpInParts(t *testing.T) {
	r := newReader()
	r.s.Apply(events(1))
	r.s.Apply(events(1, block(1, 1, false), block(2, 2, false), block(3, 3, false), block(4, 4, false), block(5, 1, true)))
	told := 0
	for range 3 {
		n := r.read(1)
		told += len(n.Added) + len(n.Removed)
	}
	assert.Equal(t, told, 3, "blocks 2 and 4, and block 1 by its last change")
	_, more := r.s.Since(r.servers["s"].epoch, r.servers["s"].told, 9)
	assert.Assert(t, !more)
	assert.Equal(t, r.Cached("s", []uint64{1, 2, 3, 4}), 0, "what stands behind a block that is gone is of no use")
	fresh := reader{NewPrefixes(64), r.s}
	fresh.Told("s", News{Epoch: 77, Sequence: 9, Added: []uint32{8}})
	assert.Equal(t, len(fresh.read(9).Added), 2)
	assert.Equal(t, fresh.Cached("s", []uint64{8}), 0)
}

func TestSummaryIsBounded(t *testing.T) {
	s := NewSummary(4, 1)
	s.Apply(events(1))
	for i := range uint64(20) {
		s.Apply(events(1, engine.CacheEvent{Sequence: i + 1, Prefix: i, Tokens: engine.CacheBlock}))
	}
	assert.Equal(t, s.View().Prefixes, 4)
	n, _ := s.Since(0, 0, 9)
	assert.DeepEqual(t, n.Added, []uint32{16, 17, 18, 19})
}
