package quota

import (
	"slices"
	"time"

	"jayford.example/jayford/internal/boottime"
	policy "jayford.example/jayford/internal/policy/quota"
)

// waitLocked adds a claim to those that wait, unless it is one of them.
func (x *Exchange) waitLocked(c *claim) {
	if c.done != nil {
		return
	}
	c.done = make(chan struct{})
	list := x.waiting[c.organisation]
	at := len(list)
	for at > 0 && list[at-1].rank > c.rank {
		at--
	}
	x.waiting[c.organisation] = slices.Insert(list, at, c)
}

// stopWaitingLocked removes a claim from those that wait.
func (x *Exchange) stopWaitingLocked(c *claim) {
	list := slices.DeleteFunc(x.waiting[c.organisation], func(o *claim) bool { return o == c })
	if len(list) == 0 {
		delete(x.waiting, c.organisation)
		return
	}
	x.waiting[c.organisation] = list
}

// serveWaitingLocked serves an organisation's claims that wait by rank and then by arrival. While one
// waits, no less urgent one takes tokens.
func (x *Exchange) serveWaitingLocked(now time.Duration, organisation string) {
	for _, c := range slices.Clone(x.waiting[organisation]) {
		x.takeLocked(now, c)
		if c.end != nil {
			x.stopWaitingLocked(c)
			close(c.done)
		}
	}
}

// abandon removes the claim of a caller that left, and gives back what it was granted
// meanwhile.
func (x *Exchange) abandon(c *claim) {
	x.mu.Lock()
	x.stopWaitingLocked(c)
	x.serveWaitingLocked(boottime.Now(), c.organisation)
	e := c.end
	x.mu.Unlock()
	if e != nil && e.outcome == policy.Granted {
		x.Return(Receipt{c.organisation, e.taken})
	}
}
