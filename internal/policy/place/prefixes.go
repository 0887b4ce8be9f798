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
// It is fed by the news of the servers' caches, which are late, partial and may
// have a gap, by own placements and by the cached tokens that answers report.
// Each server's index is bounded; the blocks longest unused go first. It isn't
// safe for concurrent use.
type Prefixes struct {
	perServer int
	reuse     float64
	servers   map[string]*prefixIndex
}

// prefixIndex is the index of one server.
type prefixIndex struct {
	// epoch and told are the cursor in the server's news.
	epoch, told uint32
	// gap: events were lost since the last rebuild. A block listed may have
	// left the cache, and a prefill sent after it would be paid in full.
	gap bool
	// missed: the last answer that could tell found less cached than claimed.
	missed bool
	// blocks by the short hash of their prefix.
	blocks map[uint32]*list.Element
	recent *list.List
}

// indexed is a block of the index. One that is gone stays listed, since not each
// removal is told: without it the blocks behind one that is known to be gone
// would still pass for cached.
type indexed struct {
	prefix uint32
	gone   bool
}

// NewPrefixes returns an empty index of up to perServer blocks a server.
func NewPrefixes(perServer int) *Prefixes {
	return &Prefixes{perServer: perServer, reuse: initialReuse, servers: map[string]*prefixIndex{}}
}

// Told takes news of a server's cache. News from before the last one are passed
// over. Another epoch empties the index, as the engine's cache is empty or what
// was told of it can't be followed; a gap halves what Cached reports until news
// say that it was closed.
func (p *Prefixes) Told(server string, n News) {
	x := p.index(server)
	if x.epoch != n.Epoch {
		if x.epoch != 0 {
			x.clear()
		}
		x.epoch, x.told = n.Epoch, 0
	}
	if n.Sequence < x.told {
		return
	}
	x.told, x.gap = n.Sequence, n.Gap
	for _, h := range n.Added {
		x.add(h, false, p.perServer)
	}
	for _, h := range n.Removed {
		x.add(h, true, p.perServer)
	}
}

// Cursor returns how far the news of a server were taken; zeros before any.
func (p *Prefixes) Cursor(server string) (epoch, after uint32) {
	x, ok := p.servers[server]
	if !ok {
		return 0, 0
	}
	return x.epoch, x.told
}

// Placed notes that a prompt with these hashes was sent to server, which will
// have them cached before an event says so.
func (p *Prefixes) Placed(server string, hashes []uint64) {
	x := p.index(server)
	for _, h := range hashes {
		x.add(Short(h), false, p.perServer)
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
// thought to have cached; half of it while the news have a gap or its last
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
	x.blocks = map[uint32]*list.Element{}
	x.recent = list.New()
}

func (x *prefixIndex) add(h uint32, gone bool, limit int) {
	if el, ok := x.blocks[h]; ok {
		el.Value = indexed{h, gone}
		x.recent.MoveToFront(el)
		return
	}
	x.blocks[h] = x.recent.PushFront(indexed{h, gone})
	for len(x.blocks) > limit {
		oldest, _ := x.recent.Remove(x.recent.Back()).(indexed)
		delete(x.blocks, oldest.prefix)
	}
}

// cached returns the tokens of the longest prefix in the index, up to the first
// block that is gone. An engine that holds a block holds those before it, also
// where nothing was told of them.
func (x *prefixIndex) cached(hashes []uint64) int {
	n := 0
	for i, h := range hashes {
		el, ok := x.blocks[Short(h)]
		if !ok {
			continue
		}
		if b, _ := el.Value.(indexed); b.gone {
			break
		}
		n = i + 1
	}
	return n * engine.CacheBlock
}
