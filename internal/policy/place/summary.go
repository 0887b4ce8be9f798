package place

import (
	"container/list"
	"time"

	"jayford.example/jayford/internal/engine"
)

// rebuildEvery is the least time between two readings of the whole event log.
// What was lost for good stays a gap, and the log is long.
const rebuildEvery = 30 * time.Second

// News is what changed in the summary of a server's cache, for one reader.
type News struct {
	// Epoch tells the cache of one life of the engine from others; never 0.
	Epoch uint32
	// Sequence is the cursor behind this news.
	Sequence uint32
	// Gap: events of the engine were lost, so any of the prefixes may be gone.
	Gap bool
	// Added and Removed are short hashes of prefixes.
	Added, Removed []uint32
}

// Short is the form in which prefix hashes are told and indexed. Two of some
// thousand prefixes share it once in a million prompts, which costs a guess.
func Short(hash uint64) uint32 { return uint32(hash) }

// Summary is what the agent keeps of its engine's cache events: of each prefix
// the last change, in order, so that a reader that was away for long or is new
// gets the state by the same way as the latest change. It holds prefixes of 1,
// 2, 4, 8 and so on blocks only: a long new prompt costs a reader the logarithm
// of its blocks, and tells at least half of the tokens that any other prompt
// has in common with it. It isn't safe for concurrent use.
type Summary struct {
	limit int
	seed  uint64

	incarnation uint64
	// sequence is the engine's, of the last event seen; all up to sound were
	// seen. What lies between is the gap.
	sequence, sound uint64
	rebuilt         time.Duration

	epoch uint32
	// last is the sequence of the last change.
	last    uint32
	changes map[uint32]*list.Element
	// order holds change, the oldest in front.
	order *list.List
}

type change struct {
	prefix   uint32
	sequence uint32
	removed  bool
}

// NewSummary returns a summary of up to limit prefixes. The seed, the agent's
// incarnation, keeps the epochs of two agents of one engine apart.
func NewSummary(limit int, seed uint64) *Summary {
	return &Summary{limit: limit, seed: seed, changes: map[uint32]*list.Element{}, order: list.New(), rebuilt: -rebuildEvery}
}

// After returns the sequence to read the engine's events after: the last one
// seen or, while there is a gap, at times the one before the gap. What came late
// closes it then; what was lost leaves it.
func (s *Summary) After(now time.Duration) uint64 {
	if s.gap() && now-s.rebuilt >= rebuildEvery {
		s.rebuilt = now
		return s.sound
	}
	return s.sequence
}

func (s *Summary) gap() bool { return s.sound < s.sequence }

// Apply takes the events after a sequence that After gave and returns whether it
// learnt anything. Another incarnation empties the summary; its log is read from
// the beginning next.
func (s *Summary) Apply(ev engine.CacheEvents) bool {
	if ev.Incarnation != s.incarnation {
		s.begin(ev.Incarnation)
		return true
	}
	before, gap := s.last, s.gap()
	final := make(map[uint32]bool)
	var order []uint32
	for _, e := range ev.Events {
		s.saw(e.Sequence)
		h := Short(e.Prefix)
		if _, ok := final[h]; !ok && told(e.Tokens) {
			order = append(order, h)
		}
		final[h] = e.Removed
	}
	// The net effect only: a log read again must not tell of each step.
	for _, h := range order {
		s.set(h, final[h])
	}
	if s.gap() != gap {
		s.last++
	}
	return s.last != before
}

func (s *Summary) saw(sequence uint64) {
	if sequence == s.sound+1 {
		s.sound = sequence
	}
	s.sequence = max(s.sequence, sequence)
}

// told returns whether a prefix of so many tokens is told to readers.
func told(tokens int) bool {
	blocks := tokens / engine.CacheBlock
	return blocks > 0 && blocks&(blocks-1) == 0
}

func (s *Summary) begin(incarnation uint64) {
	const odd = 0x9e3779b97f4a7c15
	s.incarnation, s.sequence, s.sound, s.last = incarnation, 0, 0, 0
	s.epoch = uint32((s.seed*odd^incarnation)*odd>>32) | 1
	clear(s.changes)
	s.order.Init()
}

// set notes a change, also the removal of a prefix that was never told: an entry
// may have placed it there itself.
func (s *Summary) set(prefix uint32, removed bool) {
	if e, ok := s.changes[prefix]; ok {
		if e.Value.(change).removed == removed {
			return
		}
		s.order.Remove(e)
	}
	s.last++
	s.changes[prefix] = s.order.PushBack(change{prefix, s.last, removed})
	if s.order.Len() > s.limit {
		oldest := s.order.Remove(s.order.Front()).(change)
		delete(s.changes, oldest.prefix)
	}
}

// Since returns up to room changes behind a reader's cursor, the oldest first,
// and whether there is anything to tell. A cursor of another epoch counts as
// none.
func (s *Summary) Since(epoch, after uint32, room int) (News, bool) {
	if epoch != s.epoch {
		after = 0
	}
	if s.epoch == 0 || epoch == s.epoch && after >= s.last {
		return News{}, false
	}
	n := News{Epoch: s.epoch, Sequence: s.last, Gap: s.gap()}
	for e := s.behind(after); e != nil; e = e.Next() {
		c := e.Value.(change)
		if room == 0 {
			n.Sequence = c.sequence - 1
			break
		}
		room--
		if c.removed {
			n.Removed = append(n.Removed, c.prefix)
		} else {
			n.Added = append(n.Added, c.prefix)
		}
	}
	return n, true
}

// behind returns the first change after a cursor. Readers are mostly near the
// end.
func (s *Summary) behind(after uint32) *list.Element {
	var first *list.Element
	for e := s.order.Back(); e != nil && e.Value.(change).sequence > after; e = e.Prev() {
		first = e
	}
	return first
}

// Waiting returns how many changes a reader has not been told, up to most.
func (s *Summary) Waiting(epoch, after uint32, most int) int {
	if epoch != s.epoch {
		after = 0
	}
	n := 0
	for e := s.order.Back(); e != nil && n < most && e.Value.(change).sequence > after; e = e.Prev() {
		n++
	}
	return n
}

// SummaryView is a summary's part of the state dump.
type SummaryView struct {
	Epoch     uint32 `json:"epoch"`
	Sequence  uint64 `json:"engineSequence"`
	Gap       bool   `json:"gap"`
	Prefixes  int    `json:"prefixes"`
	LastWrite uint32 `json:"lastChange"`
}

// View returns the state for a dump.
func (s *Summary) View() SummaryView {
	return SummaryView{s.epoch, s.sequence, s.gap(), len(s.changes), s.last}
}
