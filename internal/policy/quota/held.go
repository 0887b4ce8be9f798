package quota

import (
	"slices"
	"time"
)

// heldAsk is an ask that waits at the pool for a collection.
type heldAsk struct {
	from  string
	id    uint64
	part  Part
	until time.Duration
}

// holdsMoreUrgent reports whether an ask of a more urgent rank is held.
func (a *account) holdsMoreUrgent(rank int) bool {
	return len(a.held) > 0 && a.held[0].part.Rank < rank
}

// hold adds an ask to those that are held, sorted by rank and then by arrival.
func (a *account) hold(x heldAsk) {
	at := len(a.held)
	for at > 0 && a.held[at-1].part.Rank > x.part.Rank {
		at--
	}
	a.held = slices.Insert(a.held, at, x)
}

// receiveAsk grants an ask, or holds it while this gateway collects.
func (m *Machine) receiveAsk(now time.Duration, x heldAsk) []Envelope {
	a := m.accounts[x.part.Account]
	m.create(a, now)
	a.asked = now
	a.asks.record(now, x.part.Rank, x.part.Need)
	if !a.holdsMoreUrgent(x.part.Rank) {
		if out, ok := m.grant(now, a, x); ok {
			return []Envelope{out}
		}
	}
	if a.asks.precedes(now, x.part.Rank) {
		x.until = now + holdUrgent
	}
	a.hold(x)
	return m.collect(now, []*account{a}, minCollectPause)
}

// grant returns the answer to an ask if the account holds what it needs, and what is
// reserved for more urgent requests besides.
func (m *Machine) grant(now time.Duration, a *account, x heldAsk) (Envelope, bool) {
	tokens, most := x.part.Need, a.transferable(now)
	if a.yields(now, x.part.Rank) {
		most -= a.reserve(now, x.part.Rank)
	}
	if most < tokens {
		return Envelope{}, false
	}
	if most >= richFactor*x.part.Want {
		tokens = x.part.Want
	}
	part := Part{Account: a.key, Rank: x.part.Rank, Lots: a.Give(now, tokens)}
	return Envelope{To: x.from, Message: Message{ID: x.id, Answer: true, Parts: []Part{part}}}, true
}

// serveHeld grants the held asks that can be granted, in their order.
func (m *Machine) serveHeld(now time.Duration, a *account) []Envelope {
	var out []Envelope
	for len(a.held) > 0 {
		e, ok := m.grant(now, a, a.held[0])
		if !ok {
			break
		}
		out = append(out, e)
		a.held = a.held[1:]
	}
	return out
}

// denyHeld denies the asks that were held for long enough.
func (m *Machine) denyHeld(now time.Duration, a *account) []Envelope {
	var out []Envelope
	a.held = slices.DeleteFunc(a.held, func(x heldAsk) bool {
		if x.until > now {
			return false
		}
		m.create(a, now)
		p := x.part
		a.recordShortage(now)
		lack := p.Need - a.Balance(now)
		if a.yields(now, p.Rank) {
			lack += a.reserve(now, p.Rank)
		}
		part := Part{Account: a.key, Rank: p.Rank, Need: p.Need, Wait: max(time.Millisecond, a.timeToGet(now, lack, p.Rank))}
		out = append(out, Envelope{To: x.from, Message: Message{ID: x.id, Answer: true, Parts: []Part{part}}})
		return true
	})
	return out
}
