package gateway

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"jayford.example/jayford/internal/board"
	"jayford.example/jayford/internal/catalog"
)

// load is what this gateway has on one start of a server.
type load struct {
	// Requests that run, and their booked tokens.
	Requests, Tokens int
	// Full is until when the server is taken for full: it refused.
	Full time.Time
	// Refusals counts the sendings that it refused in a row.
	Refusals int
}

// Peers are the other gateways.
type Peers interface {
	// Changed is told that this gateway's own bookings changed.
	Changed()
	// Tokens returns what the others have booked on a start of an engine.
	Tokens(start string) int
	// Lost is told that a start of an engine broke off while it ran a content.
	Lost(content uint64, start string)
}

// loads keeps the load by start of server.
type loads struct {
	table *board.Table[load]
	// peers is nil if there are none; it is set before use.
	peers Peers
}

func newLoads(b *board.Board) *loads { return &loads{table: board.NewTable[load](b, "loads")} }

func (l *loads) get(start string) load {
	x, _ := l.table.Get(start)
	return x
}

// tokens returns the tokens that all gateways have booked on a start.
func (l *loads) tokens(start string) int {
	own := l.get(start).Tokens
	if l.peers == nil {
		return own
	}
	return own + l.peers.Tokens(start)
}

// booked returns this gateway's own tokens by start.
func (l *loads) booked() map[string]int {
	out := map[string]int{}
	l.table.Each(func(start string, x load) bool {
		if x.Tokens > 0 {
			out[start] = x.Tokens
		}
		return true
	})
	return out
}

// begin books a request of so many tokens and returns what ends it. The end may
// be called again: a stream is ended by its failure and by its close.
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

func (l *loads) add(s catalog.Server, requests, tokens int) {
	l.table.Update(start(s), func(x load, _ bool) (load, bool) {
		x.Requests += requests
		x.Tokens += tokens
		return x, x.Requests > 0 || !x.Full.IsZero()
	})
	if tokens != 0 && l.peers != nil {
		l.peers.Changed()
	}
}

// full notes that the server refused for lack of room.
func (l *loads) full(start string, until time.Time) {
	l.table.Update(start, func(x load, _ bool) (load, bool) {
		x.Full = until
		return x, true
	})
}

const (
	firstShun = 150 * time.Millisecond
	maxShun   = 2400 * time.Millisecond
)

// refused notes that the server refused a sending for which it had given room,
// or a prefill. An engine that changes its stage does so for seconds and looks
// the emptiest of all meanwhile: without a growing pause each gateway would
// send it request after request, each with its prompt read in vain.
func (l *loads) refused(s catalog.Server, now time.Time) {
	l.table.Update(start(s), func(x load, _ bool) (load, bool) {
		x.Full = now.Add(min(maxShun, firstShun<<min(x.Refusals, 8)))
		x.Refusals++
		return x, true
	})
}

// took notes that the server took a sending.
func (l *loads) took(s catalog.Server) {
	l.table.Update(start(s), func(x load, ok bool) (load, bool) {
		x.Refusals = 0
		return x, ok
	})
}

// The order of the candidates that have other things against them than load.
const (
	fit = iota
	isFull
	isDoubted
)

// rankKey decides who of two candidates is asked first.
type rankKey struct {
	against int
	load    int
	// turn is drawn: equals are in random order, so that gateways which know
	// nothing of each other don't all turn to the same server.
	turn uint32
}

func (k rankKey) compare(o rankKey) int {
	return cmp.Or(cmp.Compare(k.against, o.against), cmp.Compare(k.load, o.load), cmp.Compare(k.turn, o.turn))
}

type ranked struct {
	candidate
	rankKey
}

// best returns at most n candidates that the request may go to, best first:
// doubted ones last, then full ones, then by the load.
func (g *Gateway) best(j *job, list []candidate, n int, of func(start string, own load) int) []ranked {
	now := time.Now()
	doubted := g.view.doubted(list, now)
	out := make([]ranked, 0, n+1)
	for i := range list {
		if j.avoid[list[i].start] {
			continue
		}
		x := g.loads.get(list[i].start)
		k := rankKey{load: of(list[i].start, x), turn: rand.Uint32()}
		switch {
		case doubted[i]:
			k.against = isDoubted
		case now.Before(x.Full):
			k.against = isFull
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

// byTokens ranks engines by the tokens that all gateways have booked there.
func (g *Gateway) byTokens(start string, _ load) int { return g.loads.tokens(start) }

// byRequests ranks servers by the requests that this gateway has there.
func byRequests(_ string, own load) int { return own.Requests }
