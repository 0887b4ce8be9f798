package grant

import (
	"strconv"
	"strings"
	"time"

	pb "jayford.example/jayford/api/jayfordv1"
)

// Divisors of Config.LapseAfter. Entries renew at least every quarter of
// LapseAfter, so after a pause shorter than LapseAfter/pauseDivisor they still
// renew in time. The other two apply to longer pauses; see extend.
const (
	pauseDivisor  = 2
	graceDivisor  = 2
	settleDivisor = 8
)

// lease covers all grants that one incarnation of an entry holds at this
// agent.
type lease struct {
	id          string
	incarnation uint64
	sequence    uint64
	// expires is when the grants lapse without a renewal.
	expires time.Duration
	// renewedAt is when the last renewal arrived.
	renewedAt time.Duration
	// unconfirmed: the agent was paused and has had no trusted renewal since.
	unconfirmed bool
	grantCount  int
}

func (l *lease) name() string { return l.id + "#" + strconv.FormatUint(l.incarnation, 10) }

// addGrant counts a new grant. An entry without grants here sends no renewals,
// so its first grant starts the lease.
func (l *lease) addGrant(c *Core) {
	if l.grantCount == 0 {
		l.expires = c.now + c.cfg.LapseAfter
	}
	l.grantCount++
}

func parseEntry(entry string) (id string, incarnation uint64, ok bool) {
	id, number, ok := strings.Cut(entry, "#")
	if !ok || id == "" {
		return "", 0, false
	}
	incarnation, err := strconv.ParseUint(number, 10, 64)
	return id, incarnation, err == nil
}

// leaseFor returns the lease of an entry, creating it if needed, or nil if a
// newer incarnation of the entry is known. A newer incarnation proves that the
// older one has ended, so the older one's grants lapse at once.
func (c *Core) leaseFor(id string, incarnation uint64) *lease {
	l := c.leases[id]
	if l != nil && l.incarnation > incarnation {
		return nil
	}
	if l != nil && l.incarnation == incarnation {
		return l
	}
	if l != nil {
		c.lapseAll(l)
	}
	l = &lease{id: id, incarnation: incarnation, expires: c.now + c.cfg.LapseAfter}
	c.leases[id] = l
	return l
}

func (c *Core) lapseAll(l *lease) {
	for _, g := range c.sorted() {
		if g.lease == l {
			c.lapseOne(g)
		}
	}
}

func (c *Core) lapseOne(g *grant) {
	if g.state != stopping {
		c.lapses++
	}
	c.end(g, pb.Reason_REASON_CANCELLED, Lapsed)
}

// Renew extends the grants of an entry and returns the listed attempts that
// have none.
//
// An attempt is cancelled if a renewal that can list it doesn't. Entries list an
// attempt from before its Reserve until they send its Release, which may be lost.
func (c *Core) Renew(now time.Duration, entry string, sequence uint64, wanted []Attempt) []Attempt {
	c.advance(now)
	defer c.admit()
	id, incarnation, ok := parseEntry(entry)
	if !ok {
		return wanted
	}
	l := c.leaseFor(id, incarnation)
	if l == nil {
		return wanted
	}
	if sequence > l.sequence {
		l.sequence = sequence
		c.extend(l, wanted)
	}
	return c.missing(l, wanted)
}

// extend applies a renewal that is newer than all before it.
//
// After a pause of the agent, renewals wait in its sockets. Their sender may
// have died meanwhile, and applying them would keep its grants for another
// LapseAfter. The sockets are drained within the settle time, so a renewal read
// later was sent after the pause and proves that the entry is alive; only such
// renewals count. A live entry sends one within the grace time.
func (c *Core) extend(l *lease, wanted []Attempt) {
	if c.now < c.trustRenewalsFrom {
		return
	}
	listed := make(map[Attempt]bool, len(wanted))
	for _, a := range wanted {
		listed[a] = true
	}
	before := l.renewedAt
	l.renewedAt = c.now
	l.expires = c.now + c.cfg.LapseAfter
	l.unconfirmed = false
	for _, g := range c.sorted() {
		if g.lease == l && g.canBeListed(l.sequence, before) && !listed[g.Key.Attempt()] {
			c.end(g, pb.Reason_REASON_CANCELLED, Unlisted)
		}
	}
}

// canBeListed reports whether the renewal with this sequence was written after the entry
// had begun to list g. previous is when the renewal before it arrived.
//
// The order of arrival doesn't show that: a renewal that timed out can be read after a
// grant that was requested later, over another connection. It is used only for entries
// of releases without ListedFrom.
func (g *grant) canBeListed(sequence uint64, previous time.Duration) bool {
	if g.ListedFrom != 0 {
		return sequence >= g.ListedFrom
	}
	return g.created < previous
}

func (c *Core) missing(l *lease, wanted []Attempt) []Attempt {
	var out []Attempt
	for _, a := range wanted {
		if !c.holds(l, a) {
			out = append(out, a)
		}
	}
	return out
}

func (c *Core) holds(l *lease, a Attempt) bool {
	for ph := 1; ph < phases; ph++ {
		g := c.grants[Key{a.Request, a.Number, pb.Phase(ph)}]
		if g != nil && g.lease == l {
			return true
		}
	}
	return false
}

// Tick advances the time. Call it at least ten times within LapseAfter.
func (c *Core) Tick(now time.Duration) {
	c.advance(now)
	c.admit()
}

// advance runs first in every method, so that grants that lapsed during a pause
// of the process are not used by the first message after it.
func (c *Core) advance(now time.Duration) {
	if now < c.now {
		return
	}
	paused := now-c.now > c.cfg.LapseAfter/pauseDivisor
	c.now = now
	if paused {
		c.resumeAfterPause()
	}
	c.expire()
}

// resumeAfterPause marks all leases unconfirmed and extends them by the grace
// time. Otherwise a pause of the agent would end the requests of every live
// entry, since no renewal could be read meanwhile. Each lease gets the grace
// time once per trusted renewal, so that repeated pauses can't keep a dead
// entry's grants forever.
func (c *Core) resumeAfterPause() {
	c.trustRenewalsFrom = c.now + c.cfg.LapseAfter/settleDivisor
	for _, l := range c.leases {
		if l.unconfirmed || l.grantCount == 0 {
			continue
		}
		l.unconfirmed = true
		l.expires = max(l.expires, c.now+c.cfg.LapseAfter/graceDivisor)
	}
}

func (c *Core) expire() {
	c.expireSeen()
	for _, g := range c.sorted() {
		switch {
		case c.now >= g.lease.expires:
			c.lapseOne(g)
		case g.state == waiting && c.now >= g.until:
			c.finish(g, pb.Reason_REASON_FULL)
		case (g.state == idle || g.state == kept) && c.now >= g.until:
			c.end(g, pb.Reason_REASON_UNKNOWN_GRANT, Idle)
		}
	}
	for id, l := range c.leases {
		if l.grantCount == 0 && c.now-l.expires > c.cfg.DedupRetention {
			delete(c.leases, id)
		}
	}
}
