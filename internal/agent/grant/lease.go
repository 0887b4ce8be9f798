package grant

import (
	"strconv"
	"strings"
	"time"

	pb "jayford.example/jayford/api/jayfordv1"
)

// Fractions of Config.LapseAfter. An entry renews every quarter of LapseAfter
// or faster, so a pause below pauseFraction leaves it time to renew.
const (
	pauseFraction  = 2
	graceFraction  = 2
	settleFraction = 8
)

// pair is one entry in one incarnation, as far as this agent holds its grants.
type pair struct {
	id          string
	incarnation uint64
	sequence    uint64
	// end is when the pair's grants lapse without a renewal.
	end time.Duration
	// renewed is when the last renewal came.
	renewed time.Duration
	// probation: the agent was paused and has no fresh renewal since.
	probation bool
	live      int
}

func (p *pair) name() string { return p.id + "#" + strconv.FormatUint(p.incarnation, 10) }

// hold counts a new grant. A pair without grants doesn't renew, so its first
// grant starts the lease.
func (p *pair) hold(c *Core) {
	if p.live == 0 {
		p.end = c.now + c.cfg.LapseAfter
	}
	p.live++
}

func parseEntry(entry string) (id string, incarnation uint64, ok bool) {
	id, number, ok := strings.Cut(entry, "#")
	if !ok || id == "" {
		return "", 0, false
	}
	incarnation, err := strconv.ParseUint(number, 10, 64)
	return id, incarnation, err == nil
}

// meet returns the pair of an entry, or nil if a newer incarnation of the entry
// is known. A newer incarnation proves that the older is gone, so the older
// one's grants lapse at once.
func (c *Core) meet(id string, incarnation uint64) *pair {
	p := c.pairs[id]
	if p != nil && p.incarnation > incarnation {
		return nil
	}
	if p != nil && p.incarnation == incarnation {
		return p
	}
	if p != nil {
		c.lapse(p)
	}
	p = &pair{id: id, incarnation: incarnation, end: c.now + c.cfg.LapseAfter}
	c.pairs[id] = p
	return p
}

func (c *Core) lapse(p *pair) {
	for _, g := range c.sorted() {
		if g.pair == p {
			c.lapseOne(g)
		}
	}
}

func (c *Core) lapseOne(g *grant) {
	if g.state != stopping {
		c.lapses++
	}
	c.finish(g, pb.Reason_REASON_CANCELLED)
}

// Renew extends the grants of an entry and returns the listed attempts that
// have none.
//
// An attempt that isn't listed is cancelled if it came before the previous
// renewal: entries list an attempt from before its Reserve until its Release
// is answered, and send a renewal after the last was answered or given up, so
// the release of an attempt left out was lost.
func (c *Core) Renew(now time.Duration, entry string, sequence uint64, wanted []Attempt) []Attempt {
	c.advance(now)
	defer c.admit()
	id, incarnation, ok := parseEntry(entry)
	if !ok {
		return wanted
	}
	p := c.meet(id, incarnation)
	if p == nil {
		return wanted
	}
	if sequence > p.sequence {
		p.sequence = sequence
		c.extend(p, wanted)
	}
	return c.missing(p, wanted)
}

// extend takes a renewal that overtook none.
//
// After a pause of the agent, renewals wait in its sockets. They may be the
// last words of an entry that died meanwhile, and would then keep its grants
// for another LapseAfter. Sockets are drained within the settle time, so what
// is read later was sent after the wake and proves that the entry lives; only
// such a renewal counts. A live entry sends one within the grace.
func (c *Core) extend(p *pair, wanted []Attempt) {
	if c.now < c.freshFrom {
		return
	}
	listed := make(map[Attempt]bool, len(wanted))
	for _, a := range wanted {
		listed[a] = true
	}
	before := p.renewed
	p.renewed = c.now
	p.end = c.now + c.cfg.LapseAfter
	p.probation = false
	for _, g := range c.sorted() {
		if g.pair == p && g.created < before && !listed[g.Key.Attempt()] {
			c.finish(g, pb.Reason_REASON_CANCELLED)
		}
	}
}

func (c *Core) missing(p *pair, wanted []Attempt) []Attempt {
	var out []Attempt
	for _, a := range wanted {
		if !c.holds(p, a) {
			out = append(out, a)
		}
	}
	return out
}

func (c *Core) holds(p *pair, a Attempt) bool {
	for ph := 1; ph < phases; ph++ {
		g := c.grants[Key{a.Request, a.Number, pb.Phase(ph)}]
		if g != nil && g.pair == p {
			return true
		}
	}
	return false
}

// Tick lets time pass. Call it at least ten times within LapseAfter.
func (c *Core) Tick(now time.Duration) {
	c.advance(now)
	c.admit()
}

// advance runs before anything else a message does, so that what lapsed during
// a pause of the process is not acted upon by the first message after it.
func (c *Core) advance(now time.Duration) {
	if now < c.now {
		return
	}
	paused := now-c.now > c.cfg.LapseAfter/pauseFraction
	c.now = now
	if paused {
		c.woke()
	}
	c.expire()
}

// woke puts all pairs on probation. Without it a pause of the agent would cut
// the requests of every live entry, since nobody could renew meanwhile. Each
// pair gets the grace once per fresh renewal: an agent that is paused again
// and again must not keep a dead entry's grants for ever.
func (c *Core) woke() {
	c.freshFrom = c.now + c.cfg.LapseAfter/settleFraction
	for _, p := range c.pairs {
		if p.probation || p.live == 0 {
			continue
		}
		p.probation = true
		p.end = max(p.end, c.now+c.cfg.LapseAfter/graceFraction)
	}
}

func (c *Core) expire() {
	c.forgetSeen()
	for _, g := range c.sorted() {
		switch {
		case c.now >= g.pair.end:
			c.lapseOne(g)
		case g.state == waiting && c.now >= g.until:
			c.finish(g, pb.Reason_REASON_FULL)
		case (g.state == idle || g.state == kept) && c.now >= g.until:
			c.finish(g, pb.Reason_REASON_UNKNOWN_GRANT)
		}
	}
	for id, p := range c.pairs {
		if p.live == 0 && c.now-p.end > c.cfg.SeenFor {
			delete(c.pairs, id)
		}
	}
}
