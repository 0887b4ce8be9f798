package gossip

import (
	"time"

	pb "jayford.example/jayford/api/jayfordv1"
)

// table sums what peers told of their load. It is a state machine without I/O
// or a clock.
type table struct {
	peers map[string]*peer
	// sums has the tokens of all peers by engine.
	sums map[uint64]int
}

// peer is what one peer told last.
type peer struct {
	start    uint32
	sequence uint64
	heard    time.Time
	tokens   map[uint64]int
}

func newTable() *table { return &table{peers: map[string]*peer{}, sums: map[uint64]int{}} }

// take applies what the peer at an address told. It reports whether that was new:
// datagrams may overtake one another.
func (t *table) take(from string, n *pb.News, now time.Time) bool {
	p := t.peers[from]
	if p == nil || p.start != n.Start {
		t.drop(from)
		p = &peer{start: n.Start, tokens: map[uint64]int{}}
		t.peers[from] = p
	} else if n.Sequence <= p.sequence {
		return false
	}
	p.sequence, p.heard = n.Sequence, now
	if n.Whole {
		t.clear(p)
	}
	for _, e := range n.Engines {
		t.set(p, e.Engine, int(e.Tokens))
	}
	return true
}

func (t *table) set(p *peer, engine uint64, tokens int) {
	sum := t.sums[engine] + tokens - p.tokens[engine]
	if tokens == 0 {
		delete(p.tokens, engine)
	} else {
		p.tokens[engine] = tokens
	}
	if sum == 0 {
		delete(t.sums, engine)
	} else {
		t.sums[engine] = sum
	}
}

func (t *table) clear(p *peer) {
	for engine := range p.tokens {
		t.set(p, engine, 0)
	}
}

func (t *table) drop(from string) {
	if p := t.peers[from]; p != nil {
		t.clear(p)
		delete(t.peers, from)
	}
}

// expire forgets peers that were silent for so long: they ended or are cut off.
func (t *table) expire(now time.Time, silent time.Duration) {
	for from, p := range t.peers {
		if now.Sub(p.heard) > silent {
			t.drop(from)
		}
	}
}
