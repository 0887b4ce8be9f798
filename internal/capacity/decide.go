package capacity

import (
	"math"
	"time"

	"jayford.example/jayford/internal/object"
)

const (
	// fullQueue is the number of prefills at one engine that counts as full load:
	// an M/M/1 queue at a load of 0.8 has 4 requests in the system on average.
	fullQueue = 4
	// maxPressure keeps a burst of refusals from dominating the average.
	maxPressure = 4
)

// followLabels returns an order that makes an engine match its labels, after an
// operator changed them or the engine restarted and lost its earlier orders.
// Until then the engine can't serve under its label, so minimums aren't
// checked.
func (c *Controller) followLabels(now time.Time, p *Pool) (Order, bool) {
	for i := range p.Servers {
		s := &p.Servers[i]
		if !c.differs(now, s) || !s.Usable || c.coolingDown(now, s.ID) {
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

// differs reports whether the engine has differed from its labels for at least
// Options.Settle.
func (c *Controller) differs(now time.Time, s *Server) bool {
	if !s.wrongRole() && !s.wrongModel() {
		delete(c.differsSince, s.ID)
		return false
	}
	since, ok := c.differsSince[s.ID]
	if !ok {
		c.differsSince[s.ID] = now
	}
	return ok && now.Sub(since) >= c.opts.Settle
}

func (s *Server) wrongModel() bool {
	return s.EngineModel != "" && s.Model != "" && s.EngineModel != s.Model
}

// rollOut returns an order that brings the next engine to the declared version,
// one at a time, as long as its role stays at or above its minimum.
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
		if want == "" || s.EngineVersion == want || !s.Usable || c.coolingDown(now, s.ID) || !p.canSpare(s.Role) {
			continue
		}
		return Order{Pool: p.Name, Server: s.ID, Kind: ChangeVersion, Value: want}, true
	}
	return Order{}, false
}

// balance returns an order that moves one engine to the role that is below its
// minimum or under higher pressure.
func (c *Controller) balance(now time.Time, p *Pool, m *poolState) (Order, bool) {
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
	toPrefill, worthwhile := c.worthwhile(p, m)
	if !worthwhile {
		m.worthwhileSince = time.Time{}
		return Order{}, false
	}
	if m.worthwhileSince.IsZero() || m.toPrefill != toPrefill {
		m.worthwhileSince, m.toPrefill = now, toPrefill
	}
	role := object.RoleDecode
	if toPrefill {
		role = object.RolePrefill
	}
	stay := c.opts.Stay
	if m.lastTo == role || m.lastTo == "" {
		stay = c.opts.Sustain
	}
	if now.Sub(m.worthwhileSince) < c.opts.Sustain || now.Sub(m.changed) < stay {
		return Order{}, false
	}
	return c.move(now, p, role)
}

// short returns a role below its minimum, if the other can spare an engine.
// Engines without a report count as serving: after a leader's start reports
// arrive one by one, and a partial set of them would look like a shortage.
func (p *Pool) short() (string, bool) {
	for _, role := range []string{object.RolePrefill, object.RoleDecode} {
		n := p.serving(role)
		for i := range p.Servers {
			if s := &p.Servers[i]; s.Role == role && !s.Known {
				n++
			}
		}
		if n < p.minimum(role) && p.canSpare(otherRole(role)) {
			return role, true
		}
	}
	return "", false
}

// worthwhile reports whether the gain of one more engine for the role under the
// higher pressure justifies the other role's loss; see Options.Gap and Gain.
func (c *Controller) worthwhile(p *Pool, m *poolState) (toPrefill, ok bool) {
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

// move returns an order that moves the least loaded movable engine of the other
// role to role.
func (c *Controller) move(now time.Time, p *Pool, role string) (Order, bool) {
	from := otherRole(role)
	if !p.canSpare(from) {
		return Order{}, false
	}
	var best *Server
	for i := range p.Servers {
		s := &p.Servers[i]
		if !s.Movable || !s.serves(from) || c.coolingDown(now, s.ID) {
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

// sample updates the smoothed work, as an exponential moving average.
func (m *poolState) sample(now time.Time, p *Pool, smooth time.Duration) {
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

// pressures returns the load of each role: 1 is full, above it work is queued.
// Requests that wait at the entries or were refused count towards the more loaded
// role, as it is the bottleneck.
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

// prefillPressure estimates an engine's load from the number of its waiting and
// running prefills.
func prefillPressure(inside float64) float64 {
	p := inside / (1 + inside)
	if inside > fullQueue {
		p += (inside - fullQueue) / (4 * fullQueue)
	}
	return p
}
