package capacity

import (
	"math"
	"time"

	"jayford.example/jayford/internal/object"
)

const (
	// fullQueue is how many prefills at one engine mean a full load: by the
	// usual queue formula a load of 0.8 has 4 in the system.
	fullQueue = 4
	// maxPressure keeps a burst of refusals from outweighing all else.
	maxPressure = 4
)

// followLabels orders an engine to what its labels declare: an operator changed
// them, or the engine restarted and forgot its orders. The engine is of no use
// under its label until then, so no minimum speaks against it.
func (c *Controller) followLabels(now time.Time, p *Pool) (Order, bool) {
	for i := range p.Servers {
		s := &p.Servers[i]
		if !c.differs(now, s) || !s.Usable || c.rests(now, s.ID) {
			continue
		}
		if s.wrongRole() {
			return Order{Pool: p.Name, Server: s.ID, Kind: ChangeRole, Value: s.Role, From: s.EngineRole}, true
		}
		if c.loads < c.opts.MaxLoads {
			return Order{Pool: p.Name, Server: s.ID, Kind: ChangeModel, Value: s.Model}, true
		}
	}
	return Order{}, false
}

// differs says whether the engine has differed from its labels for Settle.
func (c *Controller) differs(now time.Time, s *Server) bool {
	if !s.wrongRole() && !s.wrongModel() {
		delete(c.differing, s.ID)
		return false
	}
	since, ok := c.differing[s.ID]
	if !ok {
		c.differing[s.ID] = now
	}
	return ok && now.Sub(since) >= c.opts.Settle
}

func (s *Server) wrongModel() bool {
	return s.EngineModel != "" && s.Model != "" && s.EngineModel != s.Model
}

// rollOut orders the next engine to the declared version, one at a time, while
// its role can do without it.
func (c *Controller) rollOut(now time.Time, p *Pool) (Order, bool) {
	if c.loads >= c.opts.MaxLoads {
		return Order{}, false
	}
	for i := range p.Servers {
		s := &p.Servers[i]
		want := s.Version
		if p.Version != "" && !s.Shared {
			want = p.Version
		}
		if want == "" || s.EngineVersion == want || !s.Usable || c.rests(now, s.ID) || !p.spares(s.Role) {
			continue
		}
		return Order{Pool: p.Name, Server: s.ID, Kind: ChangeVersion, Value: want}, true
	}
	return Order{}, false
}

// balance moves one engine to the role that lacks it.
func (c *Controller) balance(now time.Time, p *Pool, m *pool) (Order, bool) {
	if role, short := p.short(); short {
		if m.shortSince.IsZero() {
			m.shortSince = now
		}
		if now.Sub(m.shortSince) >= c.opts.Sustain {
			return c.move(now, p, role)
		}
		return Order{}, false
	}
	m.shortSince = time.Time{}
	toPrefill, worth := c.worth(p, m)
	if !worth {
		m.since = time.Time{}
		return Order{}, false
	}
	if m.since.IsZero() || m.toPrefill != toPrefill {
		m.since, m.toPrefill = now, toPrefill
	}
	role := object.RoleDecode
	if toPrefill {
		role = object.RolePrefill
	}
	stay := c.opts.Stay
	if m.lastTo == role || m.lastTo == "" {
		stay = c.opts.Sustain
	}
	if now.Sub(m.since) < c.opts.Sustain || now.Sub(m.changed) < stay {
		return Order{}, false
	}
	return c.move(now, p, role)
}

// short returns a role below its least number, if the other can spare one.
// Engines of which nothing is known count as there: reports come one by one
// after a leader's start, and the first half would look like a short pool.
func (p *Pool) short() (string, bool) {
	for _, role := range []string{object.RolePrefill, object.RoleDecode} {
		n := p.serving(role)
		for i := range p.Servers {
			if s := &p.Servers[i]; s.Role == role && !s.Known {
				n++
			}
		}
		if n < p.least(role) && p.spares(otherRole(role)) {
			return role, true
		}
	}
	return "", false
}

// worth says whether one more engine for the role under the higher pressure is
// worth the other role's loss; see Options.Gap and Gain.
func (c *Controller) worth(p *Pool, m *pool) (toPrefill, ok bool) {
	prefill, decode := p.serving(object.RolePrefill), p.serving(object.RoleDecode)
	if prefill == 0 || decode == 0 {
		return false, false
	}
	high, low, to, from := m.decode/float64(decode), m.prefill/float64(prefill), decode, prefill
	if toPrefill = low > high; toPrefill {
		high, low, to, from = low, high, from, to
	}
	if high < c.opts.High || high-low < c.opts.Gap || from < 2 {
		return toPrefill, false
	}
	fall := high / float64(to+1)
	after := max(high-fall, low*float64(from)/float64(from-1))
	return toPrefill, after <= high-c.opts.Gain*fall
}

// move orders the least loaded movable engine of the other role to role.
func (c *Controller) move(now time.Time, p *Pool, role string) (Order, bool) {
	from := otherRole(role)
	if !p.spares(from) {
		return Order{}, false
	}
	var best *Server
	for i := range p.Servers {
		s := &p.Servers[i]
		if !s.Movable || !s.serves(from) || c.rests(now, s.ID) {
			continue
		}
		if best == nil || s.Used+s.Queued < best.Used+best.Queued {
			best = s
		}
	}
	if best == nil {
		return Order{}, false
	}
	return Order{Pool: p.Name, Server: best.ID, Kind: ChangeRole, Value: role, From: from, Relabel: true}, true
}

// sample updates the smoothed work.
func (m *pool) sample(now time.Time, p *Pool, smooth time.Duration) {
	prefill, decode := p.pressures()
	prefill *= float64(p.serving(object.RolePrefill))
	decode *= float64(p.serving(object.RoleDecode))
	w := 1.0
	if !m.sampled.IsZero() {
		w = 1 - math.Exp(-now.Sub(m.sampled).Seconds()/smooth.Seconds())
	}
	m.prefill += w * (prefill - m.prefill)
	m.decode += w * (decode - m.decode)
	m.sampled = now
}

// pressures returns how loaded the roles are: 1 is full, above it work waits.
// Requests that wait at the entries or were refused count for the role that is
// fuller, as that is what they wait for.
func (p *Pool) pressures() (prefill, decode float64) {
	var queued, used, slots float64
	n := 0.0
	for i := range p.Servers {
		s := &p.Servers[i]
		switch {
		case s.serves(object.RolePrefill):
			n++
			queued += float64(s.Queued)
		case s.serves(object.RoleDecode):
			used += float64(s.Used)
			slots += float64(s.Slots)
		}
	}
	if n > 0 {
		prefill = prefillPressure(queued / n)
	}
	if slots > 0 {
		decode = used / slots
	}
	waiting := float64(p.Queued + p.Refused)
	if prefill > decode {
		prefill += waiting / max(1, n*fullQueue)
	} else {
		decode += waiting / max(1, slots)
	}
	return min(prefill, maxPressure), min(decode, maxPressure)
}

// prefillPressure estimates an engine's load from the prefills in it.
func prefillPressure(inside float64) float64 {
	p := inside / (1 + inside)
	if inside > fullQueue {
		p += (inside - fullQueue) / (4 * fullQueue)
	}
	return p
}
