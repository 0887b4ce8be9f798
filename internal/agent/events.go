package agent

import (
	"context"
	"maps"
	"sync"
	"time"

	pb "jayford.example/jayford/api/jayfordv1"
	"jayford.example/jayford/internal/object"
	"jayford.example/jayford/internal/policy/place"
)

const (
	// cacheEvery is the pause between two readings of the engine's cache events
	// while there are some; it doubles to cacheAtMost while there are none.
	cacheEvery   = 250 * time.Millisecond
	cacheAtMost  = 2 * time.Second
	cacheTimeout = time.Second
	// maxPrefixes bounds the summary; a prefix takes some 150 bytes.
	maxPrefixes = 1024
	// maxReaders bounds the entries whose rates are remembered.
	maxReaders = 512
	// readerIdle is when an entry that doesn't renew is forgotten.
	readerIdle = 10 * time.Second
)

// Bounds of what is told, in bytes. A node may send and receive 15 KB/s for all
// control: an entry hears of the prefill servers among some 45 agents, and an
// agent tells tens of entries.
const (
	pairBytesPerSecond  = 48
	agentBytesPerSecond = 1024
	// newsBytes are those of the message around the hashes, hashBytes of one.
	newsBytes = 20
	hashBytes = 4
	// newsAtMost is the greatest message, and what a pair saves up.
	newsAtMost = 4 * pairBytesPerSecond
	// newsAtLeast is waited for while more than that is to be told: small
	// messages would be spent on the bytes around the hashes.
	newsAtLeast = 2 * pairBytesPerSecond
)

// allowance is a token bucket of bytes.
type allowance struct {
	bytes float64
	at    time.Duration
}

func (b *allowance) fill(now time.Duration, perSecond, limit float64) {
	b.bytes = min(limit, b.bytes+perSecond*(now-b.at).Seconds())
	b.at = now
}

// cacheNews keeps the summary of the engine's cache events and tells entries of
// it within bounds of bytes. Entries say how far they are with each reservation
// and renewal, so that a lost answer costs a repeat and no prefix.
type cacheNews struct {
	mu sync.Mutex
	// The fields below are guarded by mu.
	summary *place.Summary
	all     allowance
	readers map[string]*allowance
	pruned  time.Duration
}

func newCacheNews(incarnation uint64) *cacheNews {
	return &cacheNews{
		summary: place.NewSummary(maxPrefixes, incarnation),
		all:     allowance{bytes: agentBytesPerSecond},
		readers: make(map[string]*allowance),
	}
}

// news returns what the entry with this cursor is told now; nil for nothing.
func (c *cacheNews) news(entry string, epoch, after uint32, now time.Duration) *pb.CacheNews {
	c.mu.Lock()
	defer c.mu.Unlock()
	pair := c.reader(entry, now)
	room, ok := c.room(pair, epoch, after, now)
	if !ok {
		return nil
	}
	n, ok := c.summary.Since(epoch, after, room)
	if !ok {
		return nil
	}
	spent := float64(newsBytes + hashBytes*(len(n.Added)+len(n.Removed)))
	c.all.bytes -= spent
	pair.bytes -= spent
	return &pb.CacheNews{Epoch: n.Epoch, Sequence: n.Sequence, Gap: n.Gap, Added: n.Added, Removed: n.Removed}
}

// room returns how many hashes an entry may be told, and whether it is worth a
// message.
func (c *cacheNews) room(pair *allowance, epoch, after uint32, now time.Duration) (int, bool) {
	// Equal parts: entries renew in a fixed order, and the first ones would get
	// all that the agent may tell.
	pair.fill(now, min(pairBytesPerSecond, agentBytesPerSecond/float64(max(1, len(c.readers)))), newsAtMost)
	c.all.fill(now, agentBytesPerSecond, agentBytesPerSecond)
	waiting := c.summary.Waiting(epoch, after, newsAtMost/hashBytes)
	wanted := min(newsAtLeast, float64(newsBytes+hashBytes*waiting))
	have := min(pair.bytes, c.all.bytes)
	return int(have-newsBytes) / hashBytes, have >= wanted
}

// reader returns the entry's allowance.
func (c *cacheNews) reader(entry string, now time.Duration) *allowance {
	if now-c.pruned > readerIdle {
		c.pruned = now
		maps.DeleteFunc(c.readers, func(_ string, r *allowance) bool { return now-r.at > readerIdle })
	}
	r := c.readers[entry]
	if r == nil {
		r = &allowance{bytes: newsAtMost, at: now}
		if len(c.readers) < maxReaders {
			c.readers[entry] = r
		}
	}
	return r
}

func (c *cacheNews) view() place.SummaryView {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.summary.View()
}

// watchCache reads the engine's cache events until the agent ends.
func (a *Agent) watchCache() {
	if a.engine == nil {
		return
	}
	wait := cacheEvery
	for {
		select {
		case <-a.life.Done():
			return
		case <-time.After(wait):
		}
		if a.readCache() {
			wait = cacheEvery
		} else {
			wait = min(2*wait, cacheAtMost)
		}
	}
}

// readCache returns whether there was something new. An engine that only decodes
// has no prefixes.
func (a *Agent) readCache() bool {
	a.mu.Lock()
	role := a.engineLoad.Role
	a.mu.Unlock()
	if role == object.RoleDecode {
		return false
	}
	a.cache.mu.Lock()
	after := a.cache.summary.After(a.now())
	a.cache.mu.Unlock()
	ctx, cancel := context.WithTimeout(a.life, cacheTimeout)
	defer cancel()
	ev, err := a.engine.CacheEvents(ctx, after)
	if err != nil {
		return false
	}
	a.cache.mu.Lock()
	defer a.cache.mu.Unlock()
	return a.cache.summary.Apply(ev)
}
