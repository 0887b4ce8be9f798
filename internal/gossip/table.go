package gossip

import (
	"time"

	pb "jayford.example/jayford/api/jayfordv1"
	"jayford.example/jayford/internal/policy/memory"
)

// forecastUnitTokens is the unit of forecasts in datagrams. Values take two bytes instead of
// three, and engines allocate memory in blocks of this size.
const forecastUnitTokens = 16

// encode returns the need on an engine for a datagram, with its forecast if withForecast
// is set.
func encode(engine uint64, need memory.Need, withForecast bool) *pb.EngineLoad {
	l := &pb.EngineLoad{Engine: engine, Tokens: uint32(max(0, need[0]))}
	if !withForecast || need.PeakAhead() == 0 {
		return l
	}
	for _, x := range need[1:] {
		l.Ahead = append(l.Ahead, uint32(max(0, x)/forecastUnitTokens))
	}
	return l
}

// decode returns the need in a datagram; values that are missing are 0. All values are
// integers, so that adding and subtracting them leaves no rounding error.
func decode(l *pb.EngineLoad) memory.Need {
	n := memory.Need{float64(l.Tokens)}
	for i, x := range l.Ahead[:min(len(l.Ahead), len(n)-1)] {
		n[i+1] = float64(x) * forecastUnitTokens
	}
	return n
}

// table sums the loads received from peers. It does no I/O and reads no clock.
type table struct {
	peers map[string]*peer
	// sums has the need of all peers by engine.
	sums map[uint64]memory.Need
}

// peer is the last state received from a peer.
type peer struct {
	incarnation  uint32
	sequence     uint64
	lastReceived time.Time
	// toAll: the peer sends to all gateways that it knows.
	toAll bool
	needs map[uint64]memory.Need
	// demand is the peer's requests a second.
	demand float64
	// promptRate is the peer's rate of prompt tokens, in tokens a second. reported is set once
	// a full update has given it.
	promptRate float64
	reported   bool
	// contactSince is the time since which the platform has been reachable for the peer, as
	// reported at contactReported; zero if it isn't.
	contactSince, contactReported time.Time
}

func newTable() *table { return &table{peers: map[string]*peer{}, sums: map[uint64]memory.Need{}} }

// update stores what the peer at an address sent. It returns false for an outdated datagram,
// as they may arrive out of order.
func (t *table) update(from string, n *pb.News, now time.Time) bool {
	p := t.peers[from]
	if p == nil || p.incarnation != n.Start {
		t.drop(from)
		p = &peer{incarnation: n.Start, needs: map[uint64]memory.Need{}}
		t.peers[from] = p
	} else if n.Sequence <= p.sequence {
		return false
	}
	p.sequence, p.lastReceived, p.toAll = n.Sequence, now, n.ToAll
	if n.Whole {
		t.clear(p)
		p.applyContact(n, now)
		p.demand = float64(n.Demand) / demandUnit
		p.promptRate, p.reported = float64(n.PromptRate), true
	}
	for _, e := range n.Engines {
		t.set(p, e.Engine, decode(e))
	}
	return true
}

func (p *peer) applyContact(n *pb.News, now time.Time) {
	p.contactSince, p.contactReported = time.Time{}, now
	if n.PlatformMs > 0 {
		p.contactSince = now.Add(-time.Duration(n.PlatformMs) * time.Millisecond)
	}
}

// platformSince returns the earliest time since which the platform has been reachable for a
// peer, by reports received later than after. It is zero if there is none.
func (t *table) platformSince(after time.Time) time.Time {
	var since time.Time
	for _, p := range t.peers {
		if p.contactSince.IsZero() || !p.contactReported.After(after) {
			continue
		}
		if since.IsZero() || p.contactSince.Before(since) {
			since = p.contactSince
		}
	}
	return since
}

func (t *table) set(p *peer, engine uint64, need memory.Need) {
	sum := t.sums[engine].Plus(need).Minus(p.needs[engine])
	if need == (memory.Need{}) {
		delete(p.needs, engine)
	} else {
		p.needs[engine] = need
	}
	if sum == (memory.Need{}) {
		delete(t.sums, engine)
	} else {
		t.sums[engine] = sum
	}
}

func (t *table) clear(p *peer) {
	for engine := range p.needs {
		t.set(p, engine, memory.Need{})
	}
}

func (t *table) drop(from string) {
	if p := t.peers[from]; p != nil {
		t.clear(p)
		delete(t.peers, from)
	}
}

// expire drops peers that were silent for longer than timeout: they ended or can't be
// reached.
func (t *table) expire(now time.Time, timeout time.Duration) {
	for from, p := range t.peers {
		if now.Sub(p.lastReceived) > timeout {
			t.drop(from)
		}
	}
}
