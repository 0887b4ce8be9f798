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

// loads keeps the load by start of server.
type loads struct{ table *board.Table[load] }

func newLoads(b *board.Board) *loads { return &loads{board.NewTable[load](b, "loads")} }

func (l *loads) get(s catalog.Server) load {
	x, _ := l.table.Get(start(s))
	return x
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
}

// full notes that the server refused for lack of room.
func (l *loads) full(s catalog.Server, until time.Time) {
	l.table.Update(start(s), func(x load, _ bool) (load, bool) {
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

// rank orders candidates: doubted ones last, then full ones, then by the load
// that less compares; equals in random order, so that gateways which know
// nothing of each other don't all turn to the same server.
func (g *Gateway) rank(list []catalog.Server, by func(load) int) []catalog.Server {
	now := time.Now()
	type ranked struct {
		s     catalog.Server
		away  int
		value int
	}
	rs := make([]ranked, len(list))
	for i, s := range list {
		x := g.loads.get(s)
		r := ranked{s: s, value: by(x)}
		if now.Before(x.Full) {
			r.away = 1
		}
		if g.view.doubted(s, now) {
			r.away = 2
		}
		rs[i] = r
	}
	rand.Shuffle(len(rs), func(i, j int) { rs[i], rs[j] = rs[j], rs[i] })
	slices.SortStableFunc(rs, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(a.away, b.away), cmp.Compare(a.value, b.value))
	})
	out := make([]catalog.Server, len(rs))
	for i, r := range rs {
		out[i] = r.s
	}
	return out
}
