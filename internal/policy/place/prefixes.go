package place

import (
	"container/list"

	"jayford.example/jayford/internal/engine"
)

const (
	initialReuse = 0.5
	// reuseWeight is the weight of one response in the moving average of Reuse.
	reuseWeight = 1.0 / 32
)

// PrefixIndex estimates which prompt prefixes each server has in its KV cache. A
// prompt is given by its hashes, engine.PrefixHashes at each engine.CacheBlock
// tokens. The sources are this entry's placements and the cached tokens that
// responses report. Apply also takes the servers' cache events, which come late
// and with gaps, but no entry receives them (docs/decisions/0009-cache-events.md).
// Each server's index is bounded, with least recently used eviction. It isn't safe
// for concurrent use.
type PrefixIndex struct {
	perServer int
	reuse     float64
	servers   map[string]*serverIndex
}

// serverIndex is the index of one server.
type serverIndex struct {
	incarnation uint64
	sequence    uint64
	// gap: events were lost since the last rebuild. A block in the index may have
	// been evicted, and a prefill placed for it would cost its full time.
	gap bool
	// overestimated: the last response to a prompt with blocks in the index reported fewer
	// cached tokens than the index.
	overestimated bool
	blocks        map[uint64]*list.Element
	recent        *list.List
}

// NewPrefixIndex returns an empty index of up to perServer blocks per server.
func NewPrefixIndex(perServer int) *PrefixIndex {
	return &PrefixIndex{perServer: perServer, reuse: initialReuse, servers: map[string]*serverIndex{}}
}

// Apply applies cache events of a server. Events seen before are ignored; a gap in
// the sequence halves what Cached reports until Rebuild. A new incarnation clears
// the index. It returns false while a rebuild is needed.
func (p *PrefixIndex) Apply(server string, ev engine.CacheEvents) bool {
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

// Rebuild replaces a server's index by one built from the whole event log. It
// returns false if the log itself has a gap.
func (p *PrefixIndex) Rebuild(server string, ev engine.CacheEvents) bool {
	p.Forget(server)
	return p.Apply(server, ev)
}

// Sequence returns a server's incarnation and the sequence of its last applied event.
func (p *PrefixIndex) Sequence(server string) (incarnation, sequence uint64) {
	x, ok := p.servers[server]
	if !ok {
		return 0, 0
	}
	return x.incarnation, x.sequence
}

// RecordPlacement records that a prompt with these hashes was sent to server, which will
// have them cached before an event reports it.
func (p *PrefixIndex) RecordPlacement(server string, hashes []uint64) {
	x := p.index(server)
	for _, h := range hashes {
		x.add(h, p.perServer)
	}
}

// RecordResponse updates the index by the number of a prompt's tokens that a response
// reported as cached before its prefill; the prefill has cached the others. If they
// are fewer than the index holds, Cached reports half until a response confirms the
// index. No rebuild is needed for that.
func (p *PrefixIndex) RecordResponse(server string, hashes []uint64, cachedTokens int) {
	if len(hashes) > 0 {
		part := min(1, float64(cachedTokens)/float64(len(hashes)*engine.CacheBlock))
		p.reuse += reuseWeight * (part - p.reuse)
	}
	x := p.index(server)
	claimed := x.cached(hashes)
	if claimed > 0 {
		x.overestimated = cachedTokens < claimed
	}
	p.RecordPlacement(server, hashes)
}

// Cached returns the estimated number of tokens of the prompt with these hashes
// that the server has cached; half of it while the server's events have a gap or
// its last response reported fewer than the index.
func (p *PrefixIndex) Cached(server string, hashes []uint64) int {
	x, ok := p.servers[server]
	if !ok {
		return 0
	}
	n := x.cached(hashes)
	if x.gap || x.overestimated {
		n /= 2
	}
	return n
}

// Reuse returns the fraction of recent prompts that responses reported as cached,
// from 0 to 1; it starts at initialReuse.
func (p *PrefixIndex) Reuse() float64 { return p.reuse }

// Forget drops a server's index.
func (p *PrefixIndex) Forget(server string) { delete(p.servers, server) }

// Len returns the number of blocks in all servers' indexes.
func (p *PrefixIndex) Len() int {
	n := 0
	for _, x := range p.servers {
		n += len(x.blocks)
	}
	return n
}

func (p *PrefixIndex) index(server string) *serverIndex {
	x, ok := p.servers[server]
	if !ok {
		x = &serverIndex{}
		x.clear()
		p.servers[server] = x
	}
	return x
}

func (x *serverIndex) clear() {
	x.blocks = map[uint64]*list.Element{}
	x.recent = list.New()
}

func (x *serverIndex) apply(e engine.CacheEvent, limit int) {
	if e.Removed {
		x.remove(e.Prefix)
		return
	}
	x.add(e.Prefix, limit)
}

func (x *serverIndex) add(h uint64, limit int) {
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

func (x *serverIndex) remove(h uint64) {
	el, ok := x.blocks[h]
	if !ok {
		return
	}
	x.recent.Remove(el)
	delete(x.blocks, h)
}

// cached returns the number of tokens of the longest prefix in the index. An engine
// that has a block cached has those before it too, even if their events were lost.
func (x *serverIndex) cached(hashes []uint64) int {
	for i := len(hashes) - 1; i >= 0; i-- {
		if _, ok := x.blocks[hashes[i]]; ok {
			return (i + 1) * engine.CacheBlock
		}
	}
	return 0
}
