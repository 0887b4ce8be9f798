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

// ServerUp opens admission. Before it, the caller must have cancelled all that
// the server still ran.
func (c *Core) ServerUp(now time.Duration) {
	c.advance(now)
	c.down = false
	c.admit()
}

// ServerDown ends every attempt with a verdict from what had been sent. crashed
// says that the server's process has ended. A server that only gives no answer
// may stand still for reasons of its own; blaming it on what ran there convicted
// a request that was alone at two pauses. Of a crash, blame falls only on an
// attempt that ran alone: each neighbour of a crashing request was on the server
// as well.
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
			c.act(Refuse, g.Key, r)
		case started, sent, stopping:
			c.act(Lost, g.Key, r)
		case kept:
			c.act(Drop, g.Key, r)
		case idle:
		}
	}
}

// running counts the attempts that the server may be working on.
func (c *Core) running() int {
	n := 0
	for _, g := range c.grants {
		if g.wasSent && g.state != kept {
			n++
		}
	}
	return n
}

// Broken marks a sent attempt whose connection to the server broke. It counts
// as running until ServerDown or ServerSound tells what happened, because a
// crash breaks all connections one after the other: freeing the first at once
// would leave the last one looking alone.
func (c *Core) Broken(now time.Duration, k Key) {
	c.advance(now)
	if g := c.grants[k]; g != nil {
		g.broken, g.brokenAt = true, c.now
	}
}

// ServerSound says that a heartbeat sent at since found the server as it was:
// attempts broken before lost only their connection. They are stopped, since
// the server may still run them. A heartbeat sent before the break proves
// nothing of what broke. reason is what they end with: if the heartbeat would show
// a restart, only the connection was lost and nobody is to blame.
func (c *Core) ServerSound(now, since time.Duration, reason pb.Reason) {
	c.advance(now)
	for _, g := range c.sorted() {
		if g.broken && g.brokenAt <= since {
			g.broken = false
			c.finish(g, reason)
		}
	}
}

// SetLeaving refuses new work from now on, or takes it again. Granted attempts
// may still start: their prefill may be paid for, and idle ones expire soon.
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

// Convict refuses fingerprints from now on. The oldest are forgotten beyond
// Config.MaxConvicted.
func (c *Core) Convict(now time.Duration, fingerprints []uint64) {
	c.advance(now)
	for _, f := range fingerprints {
		if f == 0 || c.convicted[f] {
			continue
		}
		c.convicted[f] = true
		c.verdicts = append(c.verdicts, f)
	}
	for len(c.verdicts) > c.cfg.MaxConvicted {
		delete(c.convicted, c.verdicts[0])
		c.verdicts = c.verdicts[1:]
	}
	for _, g := range c.sorted() {
		if g.state == waiting && c.convicted[g.Fingerprint] {
			c.finish(g, pb.Reason_REASON_CONVICTED)
		}
	}
	c.admit()
}

// Convicted returns the last n convicted fingerprints.
func (c *Core) Convicted(n int) []uint64 {
	return slices.Clone(c.verdicts[max(0, len(c.verdicts)-n):])
}

// FenceState is the answer to an order.
type FenceState int

// The answers to an order.
const (
	// FenceOK: the order may be sent; no other until OrderDone.
	FenceOK FenceState = iota
	// FenceOld: a higher fence was seen.
	FenceOld
	// FenceUnknown: no fence is known since the agent's start. The lease must
	// be read anew and given to LearnFence: the highest fence was forgotten, so
	// the order of a deposed controller would look like the first.
	FenceUnknown
	// FenceBusy: another order runs.
	FenceBusy
)

// Order asks to send an order with a fencing number.
func (c *Core) Order(scope string, fence uint64) FenceState {
	highest, known := c.fences[scope]
	switch {
	case !known:
		return FenceUnknown
	case fence < highest:
		return FenceOld
	case c.ordering:
		// Remembered though refused: its sender leads, whoever else still
		// believes that it does.
		c.fences[scope] = fence
		return FenceBusy
	}
	c.fences[scope] = fence
	c.ordering = true
	return FenceOK
}

// OrderDone says that the server has answered the order.
func (c *Core) OrderDone() { c.ordering = false }

// LearnFence takes a fence as read from the platform.
func (c *Core) LearnFence(scope string, fence uint64) {
	c.fences[scope] = max(c.fences[scope], fence)
}

// Load is what the core knows of its server's load.
type Load struct {
	Slots, Used, Queued int
	Leaving, Down       bool
	// Grants counts all grants, kept results included.
	Grants int
	// QueuedTokens are the prompt tokens that wait for prefill or are in it.
	QueuedTokens int
}

// Load sums up all phases: Used is that of the busiest phase.
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

// Busy counts all grants. A kept result counts too: its entry may still have to
// fetch it over a new connection.
func (c *Core) Busy() int { return len(c.grants) }

// TakeLapses returns how many grants lapsed since it was last called.
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

// Views lists all grants.
func (c *Core) Views() []View {
	out := make([]View, 0, len(c.grants))
	for _, g := range c.sorted() {
		out = append(out, View{
			Request: g.Key.Request, Number: g.Key.Number, Phase: g.Key.Phase.String(),
			Entry: g.pair.name(), State: stateNames[g.state], Age: c.now - g.created,
		})
	}
	return out
}
