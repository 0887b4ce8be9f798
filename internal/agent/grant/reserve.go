package grant

import (
	"slices"
	"time"

	pb "jayford.example/jayford/api/jayfordv1"
)

// openFactor is for how many times as long as an exclusive attempt waited in
// vain admission stays open behind it. While one waits the server drains and
// earns nothing; one long stream would keep it closed to everybody until the
// suspect's deadline, and the next suspect would close it again. So at most a
// fifth of the time goes to such waits, and a suspect that finds no idle server
// is refused in the end: it is the one request that is likely to do harm.
const openFactor = 4

// interactiveFor is how long after an interactive request decode slots are kept
// from batch: longer than the gaps between people's requests by day.
const interactiveFor = 10 * time.Second

// maxServed bounds the memory of when organisations were last served.
const maxServed = 4096

type seenMark struct {
	key     Key
	at      time.Duration
	started bool
}

func refuse(reason pb.Reason) *Refusal {
	return &Refusal{Reason: reason, Verdict: pb.Verdict_VERDICT_NOT_RUN}
}

func (c *Core) full(detail string) *Refusal {
	r := refuse(pb.Reason_REASON_FULL)
	r.Detail = detail
	return r
}

// Reserve asks for a slot. The Refusal is nil unless the outcome is Refused.
func (c *Core) Reserve(now time.Duration, r Request) (Outcome, *Refusal) {
	c.advance(now)
	defer c.admit()
	id, incarnation, ok := parseEntry(r.Entry)
	if !ok || r.Key.Phase <= 0 || int(r.Key.Phase) >= phases {
		return Refused, refuse(pb.Reason_REASON_INVALID)
	}
	if no := c.barred(r); no != nil {
		return Refused, no
	}
	p := c.meet(id, incarnation)
	if p == nil {
		return Refused, refuse(pb.Reason_REASON_CANCELLED)
	}
	if c.now >= c.freshFrom {
		// Read after the settle time, so sent after the wake: it proves as much
		// as a renewal that the entry lives. An entry without live attempts sends
		// no renewals and would be refused for ever.
		p.probation = false
	}
	if p.probation {
		return Refused, c.full("The agent was paused; the entry must renew first.")
	}
	return c.place(p, r)
}

// barred checks what is refused whatever room there is.
func (c *Core) barred(r Request) *Refusal {
	switch {
	case r.Incarnation != 0 && r.Incarnation != c.cfg.Incarnation:
		return refuse(pb.Reason_REASON_INCARNATION)
	case c.grants[r.Key] != nil || c.seen[r.Key] != nil:
		// The attempt seen first may run, so its second message can't say
		// that it didn't.
		return &Refusal{Reason: pb.Reason_REASON_DUPLICATE, Verdict: pb.Verdict_VERDICT_MAY_HAVE_RUN}
	case r.Fingerprint != 0 && c.convicted[r.Fingerprint]:
		return refuse(pb.Reason_REASON_CONVICTED)
	case c.leaving, c.switching, c.closed[r.Key.Phase]:
		return refuse(pb.Reason_REASON_LEAVING)
	case c.down:
		return refuse(pb.Reason_REASON_SERVER_DOWN)
	}
	return nil
}

// place gives r a slot or a place in the queue.
func (c *Core) place(p *pair, r Request) (Outcome, *Refusal) {
	if r.Exclusive && c.exclusive != nil {
		return Refused, c.fullRetry(r.Key.Phase)
	}
	g := &grant{Request: r, pair: p, arrived: c.now - r.Waited, created: c.now}
	if !r.Batch && r.Key.Phase == pb.Phase_PHASE_DECODE {
		c.interactiveUntil = c.now + interactiveFor
	}
	free := c.fits(g)
	wait := min(r.Wait, c.cfg.MaxWait)
	if r.Exclusive {
		wait = min(wait, c.cfg.MaxDrain)
		if c.now < c.openUntil {
			wait = 0
		}
	}
	if !free && (wait <= 0 || !c.roomInQueue(g)) {
		return Refused, c.fullRetry(r.Key.Phase)
	}
	// Forgetting a young attempt to make room could run its duplicate, so a
	// full memory refuses instead.
	if !c.remember(r.Key) {
		return Refused, c.fullRetry(r.Key.Phase)
	}
	c.grants[r.Key] = g
	p.hold(c)
	if r.Exclusive {
		c.exclusive = g
	}
	if free {
		c.take(g)
		return Granted, nil
	}
	g.until = c.now + wait
	c.queues[r.Key.Phase] = append(c.queues[r.Key.Phase], g)
	return Waiting, nil
}

func (c *Core) fullRetry(p pb.Phase) *Refusal {
	r := refuse(pb.Reason_REASON_FULL)
	ahead := time.Duration(len(c.queues[p]) + 1)
	r.RetryAfter = c.hold[p] * ahead / time.Duration(max(c.cfg.Slots, 1))
	return r
}

func (c *Core) remember(k Key) bool {
	if c.seen[k] != nil {
		return true
	}
	if len(c.seenOrder) >= c.cfg.MaxSeen {
		return false
	}
	m := &seenMark{key: k, at: c.now}
	c.seen[k] = m
	c.seenOrder = append(c.seenOrder, m)
	return true
}

func (c *Core) forgetSeen() {
	n := 0
	for n < len(c.seenOrder) && c.now-c.seenOrder[n].at > c.cfg.SeenFor {
		delete(c.seen, c.seenOrder[n].key)
		n++
	}
	c.seenOrder = slices.Delete(c.seenOrder, 0, n)
}

// fits reports whether g may have a slot now. While an exclusive attempt waits
// or runs nobody else is admitted, so the server drains and the wait ends.
func (c *Core) fits(g *grant) bool {
	if c.exclusive != nil && c.exclusive != g {
		return false
	}
	if g.Exclusive {
		return c.totalUsed() == 0
	}
	return c.used[g.Key.Phase]+c.headroom(g) < c.cfg.Slots
}

// headroom is how many slots g must leave free. Batch answers are long: once
// they hold all decode slots, whoever waits for a first token waits for one of
// them to end. Without interactive requests batch fills the server.
func (c *Core) headroom(g *grant) int {
	if !g.Batch || g.Key.Phase != pb.Phase_PHASE_DECODE || c.now >= c.interactiveUntil {
		return 0
	}
	return min(c.cfg.BatchHeadroom, c.cfg.Slots-1)
}

func (c *Core) totalUsed() int {
	n := 0
	for _, u := range c.used {
		n += u
	}
	return n
}

func (c *Core) take(g *grant) {
	c.move(g, idle)
	idleFor := g.Idle
	if idleFor <= 0 || idleFor > c.cfg.MaxIdle {
		idleFor = c.cfg.MaxIdle
	}
	g.until = c.now + idleFor
	if len(c.served) >= maxServed {
		clear(c.served)
	}
	c.turn++
	c.served[g.Organisation] = c.turn
}

// roomInQueue reports whether g may queue. A full queue gives up its youngest
// batch attempt for an interactive one, and the youngest of the organisation
// that holds most places for one that holds fewer.
func (c *Core) roomInQueue(g *grant) bool {
	p := g.Key.Phase
	bound := c.cfg.Queue
	if p == pb.Phase_PHASE_PREFILL {
		bound = c.cfg.PrefillQueue
	}
	if g.Exclusive || len(c.queues[p]) < bound {
		return true
	}
	v := c.displaced(g)
	if v == nil {
		return false
	}
	c.finish(v, pb.Reason_REASON_FULL)
	return true
}

func (c *Core) displaced(g *grant) *grant {
	queue := c.queues[g.Key.Phase]
	places := make(map[string]int)
	for _, w := range queue {
		places[w.Organisation]++
	}
	var victim *grant
	for _, w := range queue {
		batchFirst := w.Batch && !g.Batch
		larger := w.Batch == g.Batch && places[w.Organisation] > places[g.Organisation]+1
		if w.Exclusive || (!batchFirst && !larger) {
			continue
		}
		if victim == nil || (w.Batch && !victim.Batch) ||
			(w.Batch == victim.Batch && places[w.Organisation] >= places[victim.Organisation]) {
			victim = w
		}
	}
	return victim
}

func (c *Core) unqueue(g *grant) {
	p := g.Key.Phase
	if i := slices.Index(c.queues[p], g); i >= 0 {
		c.queues[p] = slices.Delete(c.queues[p], i, i+1)
	}
}

// admit gives free slots to those who wait.
func (c *Core) admit() {
	if c.down {
		return
	}
	for p := range c.queues {
		for {
			g := c.next(p)
			if g == nil {
				break
			}
			c.unqueue(g)
			c.take(g)
			c.act(Admit, g.Key, Refusal{})
		}
	}
}

// next returns the waiting attempt that fits and comes first: interactive
// before batch, then the organisation with fewest slots, then the one served
// longest ago, then the caller who came first.
func (c *Core) next(p int) *grant {
	var best *grant
	for _, g := range c.queues[p] {
		if g.pair.probation || !c.fits(g) {
			continue
		}
		if best == nil || c.before(g, best) {
			best = g
		}
	}
	return best
}

func (c *Core) before(a, b *grant) bool {
	if a.Batch != b.Batch {
		return b.Batch
	}
	orgs := c.orgUsed[a.Key.Phase]
	if x, y := orgs[a.Organisation], orgs[b.Organisation]; x != y {
		return x < y
	}
	if x, y := c.served[a.Organisation], c.served[b.Organisation]; x != y {
		return x < y
	}
	// A request that goes back to its entry's queue and asks again has lost its place
	// here. By the order of asking it could be passed by until it is too late.
	return a.arrived < b.arrived
}
