package engine

import (
	"container/list"
	"math/rand/v2"
	"sync"
	"time"

	"jayford.example/jayford/internal/engine"
)

// eventLimit bounds the event log. Readers see dropped events as a gap in the
// sequence numbers.
const eventLimit = 10_000

// prefixCache is an LRU cache of prompt prefixes in blocks.
type prefixCache struct {
	limit int
	delay time.Duration
	loss  float64

	mu sync.Mutex
	// The fields below are guarded by mu.
	blocks   map[uint64]*list.Element
	lru      *list.List // of block, most recently used first
	events   []timedEvent
	sequence uint64
	random   *rand.Rand
}

type block struct {
	prefix uint64
	tokens int
}

type timedEvent struct {
	engine.CacheEvent
	at time.Time
}

func newPrefixCache(o Options) *prefixCache {
	return &prefixCache{
		limit:  o.CacheTokens / engine.CacheBlock,
		delay:  o.EventDelay,
		loss:   o.EventLoss,
		blocks: make(map[uint64]*list.Element),
		lru:    list.New(),
		random: rand.New(rand.NewPCG(o.Seed, o.Seed)),
	}
}

// lookup returns the number of leading tokens that are cached and marks their
// blocks as used.
func (c *prefixCache) lookup(prefixes []uint64) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for n < len(prefixes) && c.blocks[prefixes[n]] != nil {
		n++
	}
	c.touch(prefixes[:n])
	return n * engine.CacheBlock
}

// touch marks blocks as used, starting with the longest prefix. The tail of a
// prompt is then evicted before its head, since a block is useless without the
// blocks before it.
func (c *prefixCache) touch(prefixes []uint64) {
	for i := len(prefixes) - 1; i >= 0; i-- {
		if e := c.blocks[prefixes[i]]; e != nil {
			c.lru.MoveToFront(e)
		}
	}
}

func (c *prefixCache) insert(prefixes []uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	prefixes = prefixes[:min(len(prefixes), c.limit)]
	for i, p := range prefixes {
		if c.blocks[p] == nil {
			b := block{p, (i + 1) * engine.CacheBlock}
			c.blocks[p] = c.lru.PushFront(b)
			c.publish(b, false)
		}
	}
	c.touch(prefixes)
	for c.lru.Len() > c.limit {
		c.evict()
	}
}

func (c *prefixCache) evict() {
	e := c.lru.Back()
	b := c.lru.Remove(e).(block)
	delete(c.blocks, b.prefix)
	c.publish(b, true)
}

func (c *prefixCache) publish(b block, removed bool) {
	c.sequence++
	if c.random.Float64() < c.loss {
		return
	}
	ev := engine.CacheEvent{Sequence: c.sequence, Prefix: b.prefix, Tokens: b.tokens, Removed: removed}
	c.events = append(c.events, timedEvent{ev, time.Now().Add(c.delay)})
	if len(c.events) > eventLimit {
		c.events = append([]timedEvent(nil), c.events[eventLimit/4:]...)
	}
}

// eventsAfter returns the published events with a sequence number above n.
func (c *prefixCache) eventsAfter(n uint64) []engine.CacheEvent {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := []engine.CacheEvent{}
	now := time.Now()
	for _, e := range c.events {
		if e.at.After(now) {
			break
		}
		if e.Sequence > n {
			out = append(out, e.CacheEvent)
		}
	}
	return out
}
