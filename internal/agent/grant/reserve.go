package grant

import (
	"slices"
	"time"

	pb "jayford.example/jayford/api/jayfordv1"
)

// exclusiveCooldownFactor: after an exclusive attempt has waited without
// success, no other may wait for this many times as long. While one waits the
// server drains and starts no work, and one long stream would block all others
// until the deadline of the exclusive attempt; then the next exclusive attempt
// would block them again. So at most a fifth of the time goes to such waits. An exclusive attempt that finds no idle server is refused
// in the end: it is suspected of crashing servers, so it is the one request
// that is likely to do harm.
const exclusiveCooldownFactor = 4

// interactiveFor is how long after an interactive request decode slots are kept
// free from batch requests. It is longer than the usual gap between interactive
// requests in the daytime.
const interactiveFor = 10 * time.Second

// maxServed bounds the number of organisations in Core.lastServed.
const maxServed = 4096

type dedupRecord struct {
	key     Key
	at      time.Duration
	started bool
}

func refuse(reason pb.Reason) *Refusal {
	return &Refusal{Reason: reason, Verdict: pb.Verdict_VERDICT_NOT_RUN}
}

func (c *Core) refuseFull(detail string) *Refusal {
	r := refuse(pb.Reason_REASON_FULL)
	r.Detail = detail
	return r
}

// Reserve requests a slot. The Refusal is nil unless the outcome is Refused.
func (c *Core) Reserve(now time.Duration, r Request) (Outcome, *Refusal) {
	c.advance(now)
	defer c.admit()
	id, incarnation, ok := parseEntry(r.Entry)
	if !ok || r.Key.Phase <= 0 || int(r.Key.Phase) >= phases {
		return Refused, refuse(pb.Reason_REASON_INVALID)
	}
	if refusal := c.precheck(r); refusal != nil {
		return Refused, refusal
	}
	l := c.leaseFor(id, incarnation)
	if l == nil {
		return Refused, refuse(pb.Reason_REASON_CANCELLED)
	}
	if c.now >= c.trustRenewalsFrom {
		// Read after the settle time, so sent after the pause: like a renewal, it
		// proves that the entry is alive. An entry without attempts here sends no
		// renewals and would be refused forever.
		l.unconfirmed = false
	}
	if l.unconfirmed {
		return Refused, c.refuseFull("The agent was paused; the entry must renew first.")
	}
	return c.admitOrQueue(l, r)
}

// precheck returns the refusal for reasons other than capacity, or nil.
func (c *Core) precheck(r Request) *Refusal {
	switch {
	case r.Incarnation != 0 && r.Incarnation != c.cfg.Incarnation:
		return refuse(pb.Reason_REASON_INCARNATION)
	case c.grants[r.Key] != nil || c.seen[r.Key] != nil:
		// The first message of this attempt may have started it, so the verdict
		// can't be "not run".
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

// admitOrQueue gives r a slot or a place in the queue.
func (c *Core) admitOrQueue(l *lease, r Request) (Outcome, *Refusal) {
	if r.Exclusive && c.exclusive != nil {
		return Refused, c.refuseFullWithRetry(r.Key.Phase)
	}
	g := &grant{Request: r, lease: l, arrived: c.now - r.Waited, created: c.now}
	if !r.Batch && r.Key.Phase == pb.Phase_PHASE_DECODE {
		c.interactiveUntil = c.now + interactiveFor
	}
	free := c.fits(g)
	wait := min(r.Wait, c.cfg.MaxWait)
	if r.Exclusive {
		wait = min(wait, c.cfg.MaxExclusiveWait)
		if c.now < c.noExclusiveUntil {
			wait = 0
		}
	}
	if !free && (wait <= 0 || !c.makeRoomInQueue(g)) {
		return Refused, c.refuseFullWithRetry(r.Key.Phase)
	}
	// Evicting a recent record to make room could let a duplicate of its attempt
	// run, so a full record table refuses instead.
	if !c.recordSeen(r.Key) {
		return Refused, c.refuseFullWithRetry(r.Key.Phase)
	}
	c.grants[r.Key] = g
	l.addGrant(c)
	if r.Exclusive {
		c.exclusive = g
	}
	if free {
		c.grantSlot(g)
		return Granted, nil
	}
	g.until = c.now + wait
	c.queues[r.Key.Phase] = append(c.queues[r.Key.Phase], g)
	return Waiting, nil
}

func (c *Core) refuseFullWithRetry(p pb.Phase) *Refusal {
	r := refuse(pb.Reason_REASON_FULL)
	ahead := time.Duration(len(c.queues[p]) + 1)
	r.RetryAfter = c.avgSlotTime[p] * ahead / time.Duration(max(c.cfg.Slots, 1))
	return r
}

func (c *Core) recordSeen(k Key) bool {
	if c.seen[k] != nil {
		return true
	}
	if len(c.seenOrder) >= c.cfg.MaxDedupRecords {
		return false
	}
	m := &dedupRecord{key: k, at: c.now}
	c.seen[k] = m
	c.seenOrder = append(c.seenOrder, m)
	return true
}

func (c *Core) expireSeen() {
	n := 0
	for n < len(c.seenOrder) && c.now-c.seenOrder[n].at > c.cfg.DedupRetention {
		delete(c.seen, c.seenOrder[n].key)
		n++
	}
	c.seenOrder = slices.Delete(c.seenOrder, 0, n)
}

// fits reports whether g may have a slot now. While an exclusive attempt waits
// or runs, no other attempt is admitted, so that the server drains.
func (c *Core) fits(g *grant) bool {
	if c.exclusive != nil && c.exclusive != g {
		return false
	}
	if g.Exclusive {
		return c.totalUsed() == 0
	}
	return c.used[g.Key.Phase]+c.headroom(g) < c.cfg.Slots
}

// headroom returns how many slots g must leave free. Batch answers are long: if
// they hold all decode slots, an interactive request waits for one of them to
// end before its first token. Without interactive requests batch may use all
// slots.
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

func (c *Core) grantSlot(g *grant) {
	c.setState(g, idle)
	idleFor := g.Idle
	if idleFor <= 0 || idleFor > c.cfg.MaxIdle {
		idleFor = c.cfg.MaxIdle
	}
	g.until = c.now + idleFor
	if len(c.lastServed) >= maxServed {
		clear(c.lastServed)
	}
	c.admissions++
	c.lastServed[g.Organisation] = c.admissions
}

// makeRoomInQueue reports whether g may queue. An exclusive attempt always may,
// as there is only one. If the queue is full, the youngest batch attempt is
// evicted in favour of an interactive one, or the youngest attempt of the
// organisation with the most queued attempts in favour of one that has fewer
// even with g.
func (c *Core) makeRoomInQueue(g *grant) bool {
	p := g.Key.Phase
	bound := c.cfg.Queue
	if p == pb.Phase_PHASE_PREFILL {
		bound = c.cfg.PrefillQueue
	}
	if g.Exclusive || len(c.queues[p]) < bound {
		return true
	}
	v := c.pickVictim(g)
	if v == nil {
		return false
	}
	c.finish(v, pb.Reason_REASON_FULL)
	return true
}

func (c *Core) pickVictim(g *grant) *grant {
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

// admit gives free slots to waiting attempts.
func (c *Core) admit() {
	if c.down {
		return
	}
	for p := range c.queues {
		for {
			g := c.nextWaiting(p)
			if g == nil {
				break
			}
			c.unqueue(g)
			c.grantSlot(g)
			c.addAction(Admit, g.Key, Refusal{})
		}
	}
}

// nextWaiting returns the waiting attempt to admit next, or nil if none fits:
// interactive before batch, then the organisation with the fewest slots, then
// the one least recently served, then the earliest arrival.
func (c *Core) nextWaiting(p int) *grant {
	var best *grant
	for _, g := range c.queues[p] {
		if g.lease.unconfirmed || !c.fits(g) {
			continue
		}
		if best == nil || c.admitsBefore(g, best) {
			best = g
		}
	}
	return best
}

func (c *Core) admitsBefore(a, b *grant) bool {
	if a.Batch != b.Batch {
		return b.Batch
	}
	orgs := c.orgUsed[a.Key.Phase]
	if x, y := orgs[a.Organisation], orgs[b.Organisation]; x != y {
		return x < y
	}
	if x, y := c.lastServed[a.Organisation], c.lastServed[b.Organisation]; x != y {
		return x < y
	}
	// A request that returns to its entry's queue and reserves again loses its place
	// here. Ordered by reservation, it could be overtaken until its deadline.
	return a.arrived < b.arrived
}
