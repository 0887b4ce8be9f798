package grant

import (
	"cmp"
	"maps"
	"slices"
	"time"

	pb "jayford.example/jayford/api/jayfordv1"
)

// sorted returns all grants in a fixed order, so that equal inputs give equal
// actions.
func (c *Core) sorted() []*grant {
	return slices.SortedFunc(maps.Values(c.grants), func(a, b *grant) int {
		return cmp.Or(cmp.Compare(a.created, b.created), cmp.Compare(a.Key.Request, b.Key.Request),
			cmp.Compare(a.Key.Number, b.Key.Number), cmp.Compare(a.Key.Phase, b.Key.Phase))
	})
}

// ServerUp opens admission. The caller must first have cancelled everything
// that the server still ran.
func (c *Core) ServerUp(now time.Duration) {
	c.advance(now)
	c.down = false
	c.admit()
}

// ServerDown ends every attempt; its verdict depends on whether it was sent.
// crashed means that the server's process has ended. A server that merely does
// not answer may be paused. Blaming its attempts for that convicted a request that
// happened to run alone during two pauses. After a crash, only an attempt
// that ran alone is blamed: any of several attempts may have caused it.
func (c *Core) ServerDown(now time.Duration, crashed bool) {
	c.advance(now)
	c.down = true
	alone := c.running() == 1
	for _, g := range c.sorted() {
		r := Refusal{Reason: pb.Reason_REASON_SERVER_DOWN, Verdict: g.verdict()}
		if g.wasSent && crashed {
			r.Reason = pb.Reason_REASON_SERVER_LOST
			r.CrashedAlone = alone
		}
		before := g.state
		c.remove(g)
		switch before {
		case waiting:
			c.addAction(Refuse, g.Key, r)
		case started, sent, stopping:
			c.addAction(Lost, g.Key, r)
		case kept:
			c.addAction(Drop, g.Key, r)
		case idle:
		}
	}
}

// running returns the number of attempts that the server may be working on.
func (c *Core) running() int {
	n := 0
	for _, g := range c.grants {
		if g.wasSent && g.state != kept {
			n++
		}
	}
	return n
}

// Broken marks a sent attempt whose connection to the server broke. The attempt
// counts as running until ServerDown or ServerHealthy, because a crash breaks
// all connections one after the other: removing each one at once would make the
// last look as if it had run alone.
func (c *Core) Broken(now time.Duration, k Key) {
	c.advance(now)
	if g := c.grants[k]; g != nil {
		g.broken, g.brokenAt = true, c.now
	}
}

// ServerHealthy reports that a heartbeat sent at since found the server still
// running. Attempts that broke before since lost only their connection; they
// are stopped, as the server may still run them. A heartbeat sent before the
// break proves nothing about it. The attempts end with reason, which is
// CONNECTION_LOST if the heartbeat would have shown a restart, so that nothing
// is blamed.
func (c *Core) ServerHealthy(now, since time.Duration, reason pb.Reason) {
	c.advance(now)
	for _, g := range c.sorted() {
		if g.broken && g.brokenAt <= since {
			g.broken = false
			c.finish(g, reason)
		}
	}
}

// SetLeaving starts or ends refusing new work. Granted attempts may still
// start: their prefill may already be done, and idle grants expire soon.
func (c *Core) SetLeaving(now time.Duration, leaving bool) {
	c.advance(now)
	c.leaving = leaving
	if !leaving {
		return
	}
	for _, g := range c.sorted() {
		if g.state == waiting {
			c.finish(g, pb.Reason_REASON_LEAVING)
		}
	}
}

// Convict refuses requests with these fingerprints from now on. Beyond
// Config.MaxConvicted the oldest fingerprints are removed.
func (c *Core) Convict(now time.Duration, fingerprints []uint64) {
	c.advance(now)
	for _, f := range fingerprints {
		if f == 0 || c.convicted[f] {
			continue
		}
		c.convicted[f] = true
		c.convictedOrder = append(c.convictedOrder, f)
	}
	for len(c.convictedOrder) > c.cfg.MaxConvicted {
		delete(c.convicted, c.convictedOrder[0])
		c.convictedOrder = c.convictedOrder[1:]
	}
	for _, g := range c.sorted() {
		if g.state == waiting && c.convicted[g.Fingerprint] {
			c.finish(g, pb.Reason_REASON_CONVICTED)
		}
	}
	c.admit()
}

// Convicted returns the n most recently convicted fingerprints.
func (c *Core) Convicted(n int) []uint64 {
	return slices.Clone(c.convictedOrder[max(0, len(c.convictedOrder)-n):])
}

// FenceState is the result of BeginOrder.
type FenceState int

// The results of BeginOrder.
const (
	// FenceOK: the order may be sent; no other may be sent until OrderDone.
	FenceOK FenceState = iota
	// FenceStale: a higher fencing token was seen.
	FenceStale
	// FenceUnknown: no fencing token was seen since the agent started, so the
	// order of a deposed controller can't be recognised. The caller must read
	// the lease and pass its number to LearnFence.
	FenceUnknown
	// FenceBusy: another order runs.
	FenceBusy
)

// BeginOrder checks the fencing token of an order.
func (c *Core) BeginOrder(scope string, fence uint64) FenceState {
	highest, known := c.fences[scope]
	switch {
	case !known:
		return FenceUnknown
	case fence < highest:
		return FenceStale
	case c.ordering:
		// Recorded although refused: its sender is the newer leader.
		c.fences[scope] = fence
		return FenceBusy
	}
	c.fences[scope] = fence
	c.ordering = true
	return FenceOK
}

// OrderDone ends the order that BeginOrder allowed.
func (c *Core) OrderDone() { c.ordering = false }

// LearnFence records a fencing token read from the platform.
func (c *Core) LearnFence(scope string, fence uint64) {
	c.fences[scope] = max(c.fences[scope], fence)
}

// Load is the load of the server as known from its grants.
type Load struct {
	Slots, Used, Queued int
	Leaving, Down       bool
	// Grants counts all grants, including retained results.
	Grants int
	// QueuedTokens is the number of prompt tokens of all prefills that wait or
	// run.
	QueuedTokens int
}

// Load returns the load over all phases; Used is that of the busiest phase.
func (c *Core) Load() Load {
	l := Load{Slots: c.cfg.Slots, Leaving: c.leaving || c.switching, Down: c.down, Grants: len(c.grants)}
	for p := range c.used {
		l.Used = max(l.Used, c.used[p])
		l.Queued += len(c.queues[p])
	}
	for _, g := range c.grants {
		if g.Key.Phase == pb.Phase_PHASE_PREFILL && g.state != kept {
			l.QueuedTokens += g.PromptTokens
		}
	}
	if c.exclusive != nil {
		l.Used = l.Slots
	}
	return l
}

// GrantCount returns the number of grants, including retained results: the
// entry may still fetch those over a new connection.
func (c *Core) GrantCount() int { return len(c.grants) }

// TakeLapses returns how many grants lapsed since the last call.
func (c *Core) TakeLapses() int {
	n := c.lapses
	c.lapses = 0
	return n
}

// View is one grant in the state dump.
type View struct {
	Request string        `json:"request"`
	Number  uint32        `json:"number"`
	Phase   string        `json:"phase"`
	Entry   string        `json:"entry"`
	State   string        `json:"state"`
	Age     time.Duration `json:"ageNs"`
}

var stateNames = [...]string{"waiting", "idle", "started", "sent", "stopping", "kept"}

// Views returns all grants for the state dump.
func (c *Core) Views() []View {
	out := make([]View, 0, len(c.grants))
	for _, g := range c.sorted() {
		out = append(out, View{
			Request: g.Key.Request, Number: g.Key.Number, Phase: g.Key.Phase.String(),
			Entry: g.lease.name(), State: stateNames[g.state], Age: c.now - g.created,
		})
	}
	return out
}
