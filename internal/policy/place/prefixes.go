package place

import (
	"container/list"

	"jayford.example/jayford/internal/engine"
)

const (
	initialReuse = 0.5
	// reuseWeight is the weight of one answer in the moving average of Reuse.
	reuseWeight = 1.0 / 32
)

// Prefixes guesses which prompt prefixes each server has cached. Prompts are
// given by their hashes, engine.PrefixHashes at each engine.CacheBlock tokens.
// It is fed by own placements and by the cached tokens that answers report. It
// can take the servers' cache events, which come late and with gaps, but no
// entry gets them (docs/decisions/0009-cache-events.md). Each server's index is
// bounded; the blocks longest unused go first. It isn't safe for concurrent use.
type Prefixes struct {
	perServer int
	reuse     float64
	servers   map[string]*prefixIndex
}

// prefixIndex is the index of one server.
type prefixIndex struct {
	incarnation uint64
	sequence    uint64
	// gap: events were lost since the last rebuild. A block listed may have
	// left the cache, and a prefill sent after it would be paid in full.
	gap bool
	// missed: the last answer that could tell found less cached than claimed.
	missed bool
	blocks map[uint64]*list.Element
	recent *list.List
}

// NewPrefixes returns an empty index of up to perServer blocks a server.
func NewPrefixes(perServer int) *Prefixes {
	return &Prefixes{perServer: perServer, reuse: initialReuse, servers: map[string]*prefixIndex{}}
}

// Apply takes events of a server. Events seen before are passed over; a gap in
// the sequences halves what Cached reports until Rebuild. Another incarnation
// empties the index. It returns false while a rebuild is wanted.
func (p *Prefixes) Apply(server string, ev engine.CacheEvents) bool {
	x := p.index(server)
	if x.incarnation != ev.Incarnation {
		fresh := x.incarnation == 0
		if !fresh {
			x.clear()
		}
		x.incarnation, x.sequence, x.gap = ev.Incarnation, 0, false
	}
	for _, e := range ev.Events {
		if e.Sequence <= x.sequence {
			continue
		}
		if e.Sequence != x.sequence+1 {
			x.gap = true
		}
		x.sequence = e.Sequence
		x.apply(e, p.perServer)
	}
	return !x.gap
}

// Rebuild replaces a server's index by the whole event log and restores trust
// in it, if the log itself has no gap.
func (p *Prefixes) Rebuild(server string, ev engine.CacheEvents) bool {
	p.Forget(server)
	return p.Apply(server, ev)
}

// Sequence returns the last event taken from a server's incarnation.
func (p *Prefixes) Sequence(server string) (incarnation, sequence uint64) {
	x, ok := p.servers[server]
	if !ok {
		return 0, 0
	}
	return x.incarnation, x.sequence
}

// Placed notes that a prompt with these hashes was sent to server, which will
// have them cached before an event says so.
func (p *Prefixes) Placed(server string, hashes []uint64) {
	x := p.index(server)
	for _, h := range hashes {
		x.add(h, p.perServer)
	}
}

// Observed corrects the index by the cached tokens that an answer reported for
// a prompt, before its own prefill: blocks behind them were not cached, and
// are now. An answer that found less than claimed halves what Cached reports
// until one finds all that was claimed; no rebuild is needed for that.
func (p *Prefixes) Observed(server string, hashes []uint64, cachedTokens int) {
	if len(hashes) > 0 {
		part := min(1, float64(cachedTokens)/float64(len(hashes)*engine.CacheBlock))
		p.reuse += reuseWeight * (part - p.reuse)
	}
	x := p.index(server)
	claimed := x.cached(hashes)
	if claimed > 0 {
		x.missed = cachedTokens < claimed
	}
	p.Placed(server, hashes)
}

// Cached returns how many tokens of the prompt with these hashes the server is
// thought to have cached; half of it while its events have a gap or its last
// answer found less than claimed.
func (p *Prefixes) Cached(server string, hashes []uint64) int {
	x, ok := p.servers[server]
	if !ok {
		return 0
	}
	n := x.cached(hashes)
	if x.gap || x.missed {
		n /= 2
	}
	return n
}

// Reuse returns the part of recent prompts that answers reported as cached, from
// 0 to 1; half before any answer.
func (p *Prefixes) Reuse() float64 { return p.reuse }

// Forget drops a server's index.
func (p *Prefixes) Forget(server string) { delete(p.servers, server) }

// Len returns the number of blocks held for all servers.
func (p *Prefixes) Len() int {
	n := 0
	for _, x := range p.servers {
		n += len(x.blocks)
	}
	return n
}

func (p *Prefixes) index(server string) *prefixIndex {
	x, ok := p.servers[server]
	if !ok {
		x = &prefixIndex{}
		x.clear()
		p.servers[server] = x
	}
	return x
}

func (x *prefixIndex) clear() {
	x.blocks = map[uint64]*list.Element{}
	x.recent = list.New()
}

func (x *prefixIndex) apply(e engine.CacheEvent, limit int) {
	if e.Removed {
		x.remove(e.Prefix)
		return
	}
	x.add(e.Prefix, limit)
}

func (x *prefixIndex) add(h uint64, limit int) {
	if el, ok := x.blocks[h]; ok {
		x.recent.MoveToFront(el)
		return
	}
	x.blocks[h] = x.recent.PushFront(h)
	for len(x.blocks) > limit {
		oldest, _ := x.recent.Back().Value.(uint64)
		x.remove(oldest)
	}
}

func (x *prefixIndex) remove(h uint64) {
	el, ok := x.blocks[h]
	if !ok {
		return
	}
	x.recent.Remove(el)
	delete(x.blocks, h)
}

// cached returns the tokens of the longest prefix in the index. An engine that
// holds a block holds those before it, also where their events were lost.
func (x *prefixIndex) cached(hashes []uint64) int {
	for i := len(hashes) - 1; i >= 0; i-- {
		if _, ok := x.blocks[hashes[i]]; ok {
			return (i + 1) * engine.CacheBlock
		}
	}
	return 0
}
