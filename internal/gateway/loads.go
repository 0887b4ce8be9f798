package gateway

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"jayford.example/jayford/internal/board"
	"jayford.example/jayford/internal/catalog"
	"jayford.example/jayford/internal/gossip"
	"jayford.example/jayford/internal/policy/blame"
	"jayford.example/jayford/internal/policy/memory"
)

// load is this gateway's load on one incarnation of a server.
type load struct {
	// Requests is the number of requests in progress, Tokens the tokens booked for them.
	Requests, Tokens int
	// Revision is set to a new random number when Tokens changes.
	Revision uint64
	// Full is the time until which the server counts as full after a refusal.
	Full time.Time
	// Refusals counts the attempts that it refused in a row.
	Refusals int
}

// Peers exchanges load and lost servers with the other gateways.
type Peers interface {
	// NotifyLoadChange is called when this gateway's own load has changed.
	NotifyLoadChange()
	// Need returns the memory that the peers' requests need on an engine, LoadComplete
	// whether the load of all peers is known.
	Need(key string) memory.Need
	LoadComplete() bool
	// Demand returns the requests a second of all peers, and whether they are known.
	Demand() (float64, bool)
	// PlatformReachableSince returns the earliest time since which the platform has been
	// reachable for a peer, by reports received later than after; zero if it is for none.
	PlatformReachableSince(after time.Time) time.Time
	// ReportLoss is called when a server was lost while it ran a request.
	ReportLoss(x blame.Loss)
	// ReportProof is called when a request shows that a part of prompts is sound which peers may
	// suspect.
	ReportProof(x blame.Proof)
	// ReportTrial is called when the trial of a suspected request has reached another state.
	ReportTrial(t blame.Trial)
}

// loads keeps this gateway's load by server key.
type loads struct {
	table *board.Table[load]
	runs  *runs
	// peers is nil if there are none; it is set before use.
	peers Peers
	// onTokens is called when the tokens booked on a server have changed; it is set before use.
	onTokens func(key string)
}

func newLoads(b *board.Board) *loads {
	return &loads{table: board.NewTable[load](b, "loads"), runs: newRuns(), onTokens: func(string) {}}
}

func (l *loads) get(key string) load {
	x, _ := l.table.Get(key)
	return x
}

// need returns the memory that the requests of all gateways need on an engine; own is
// this gateway's load there.
func (l *loads) need(key string, own load) memory.Need {
	n := l.runs.need(key)
	n[0] += float64(own.Tokens)
	if l.peers == nil {
		return n
	}
	return n.Plus(l.peers.Need(key))
}

// queuedTokens returns the prompt tokens that all gateways have queued on a server.
func (l *loads) queuedTokens(key string) int { return int(l.need(key, l.get(key))[0]) }

// complete reports whether the load of all gateways is known.
func (l *loads) complete() bool { return l.peers == nil || l.peers.LoadComplete() }

// own returns this gateway's own load by server key.
func (l *loads) own() map[string]gossip.Load {
	out := l.runs.all()
	l.table.Each(func(key string, x load) bool {
		if x.Tokens > 0 {
			o := out[key]
			o.Need[0] += float64(x.Tokens)
			o.Revision ^= x.Revision
			out[key] = o
		}
		return true
	})
	return out
}

// begin books a request with its tokens and returns the function that ends it. That
// may be called twice: a stream is ended by its failure and by its close.
func (l *loads) begin(s catalog.Server, tokens int) func() {
	l.add(s, 1, tokens)
	done := false
	return func() {
		if done {
			return
		}
		done = true
		l.add(s, -1, -tokens)
	}
}

// run books a generation on an engine with an output speed of its own, 0 if it is unknown.
func (l *loads) run(key string, x memory.Generation, tokensPerSecond float64) *run {
	out := l.runs.begin(key, x, l.changed)
	l.runs.setSpeed(key, tokensPerSecond)
	l.changed()
	return out
}

// changed notifies the peers that this gateway's load has changed.
func (l *loads) changed() {
	if l.peers != nil {
		l.peers.NotifyLoadChange()
	}
}

func (l *loads) add(s catalog.Server, requests, tokens int) {
	l.table.Update(serverKey(s), func(x load, _ bool) (load, bool) {
		x.Requests += requests
		x.Tokens += tokens
		if tokens != 0 {
			x.Revision = rand.Uint64()
		}
		return x, x.Requests > 0 || !x.Full.IsZero()
	})
	if tokens != 0 {
		l.onTokens(serverKey(s))
		l.changed()
	}
}

// markFull records that the server refused a reservation because it is full.
func (l *loads) markFull(key string, until time.Time) {
	l.table.Update(key, func(x load, _ bool) (load, bool) {
		x.Full = until
		return x, true
	})
}

// isFull reports whether the server has just refused a request because it is full.
func (l *loads) isFull(key string) bool { return time.Now().Before(l.get(key).Full) }

const (
	minRefusalBackoff = 150 * time.Millisecond
	maxRefusalBackoff = 2400 * time.Millisecond
)

// recordRefusal records that the server refused a prefill, or a decode for which it
// had granted a reservation. An engine that changes its stage does so for seconds and
// looks the least loaded of all meanwhile. Without the growing backoff each gateway
// would send it one request after the other, each after a wasted prefill.
func (l *loads) recordRefusal(s catalog.Server, now time.Time) {
	l.table.Update(serverKey(s), func(x load, _ bool) (load, bool) {
		x.Full = now.Add(min(maxRefusalBackoff, minRefusalBackoff<<min(x.Refusals, 8)))
		x.Refusals++
		return x, true
	})
}

// recordAccepted records that the server accepted a request.
func (l *loads) recordAccepted(s catalog.Server) {
	l.table.Update(serverKey(s), func(x load, ok bool) (load, bool) {
		x.Refusals = 0
		return x, ok
	})
}

// Penalties rank before load, in this order.
const (
	noPenalty = iota
	penaltyFull
	penaltySuspect
)

// rankKey is the sort key of a candidate; the lowest is tried first.
type rankKey struct {
	penalty int
	// deferred is 1 for an engine outside the preferred random share.
	deferred int
	load     int
	// tieBreak is random, so that gateways that don't know each other's load don't all
	// choose the same server.
	tieBreak uint32
}

func (k rankKey) compare(o rankKey) int {
	return cmp.Or(
		cmp.Compare(k.penalty, o.penalty), cmp.Compare(k.deferred, o.deferred), cmp.Compare(k.load, o.load), cmp.Compare(k.tieBreak, o.tieBreak),
	)
}

type ranked struct {
	candidate
	rankKey
}

// best returns at most n candidates for the request, in the order in which to try
// them: by load, with full ones behind the others and suspect ones last. Candidates at
// their rate limit, and those that pause, are left out. While many gateways choose at
// once, a random share of the engines is preferred, drawn anew for each choice.
func (g *Gateway) best(j *job, list []candidate, n int, of func(key string, own load) int) []ranked {
	now := time.Now()
	list = g.changing.without(list, now)
	suspect := g.view.suspects(list, now)
	share := g.preferredShare(now)
	out := make([]ranked, 0, n+1)
	for i := range list {
		if j.avoid[list[i].key] || !g.limits.allows(list[i].key, now) || g.pauses.remaining(list[i].key, now) > 0 {
			continue
		}
		x := g.loads.get(list[i].key)
		k := rankKey{load: of(list[i].key, x), tieBreak: rand.Uint32()}
		if list[i].Stage != catalog.NoStage && rand.Float64() >= share {
			k.deferred = 1
		}
		switch {
		case suspect[i]:
			k.penalty = penaltySuspect
		case now.Before(x.Full):
			k.penalty = penaltyFull
		}
		if len(out) == n && k.compare(out[n-1].rankKey) >= 0 {
			continue
		}
		at, _ := slices.BinarySearchFunc(out, k, func(e ranked, k rankKey) int { return e.compare(k) })
		out = slices.Insert(out, at, ranked{list[i], k})
		out = out[:min(len(out), n)]
	}
	return out
}

// preferredShare returns the share of the engines that a choice prefers.
func (g *Gateway) preferredShare(now time.Time) float64 {
	g.contentionMu.Lock()
	defer g.contentionMu.Unlock()
	return g.contention.SampleFraction(int(g.view.peers.Load())-1, now)
}

// recordPlacement records that this gateway placed a generation.
func (g *Gateway) recordPlacement() {
	g.contentionMu.Lock()
	defer g.contentionMu.Unlock()
	g.contention.Record(time.Now())
}

// byTokens ranks engines by the peak memory that all gateways' requests need there.
func (g *Gateway) byTokens(key string, own load) int {
	return int(g.loads.need(key, own).Peak())
}

// byRequests ranks servers by the number of this gateway's requests there.
func byRequests(_ string, own load) int { return own.Requests }
