package grant

import (
	"time"

	pb "jayford.example/jayford/api/jayfordv1"
	"jayford.example/jayford/internal/object"
)

// SetSwitching starts or ends refusing new work while an order that changes
// what the server serves waits for it to be empty. It is separate from
// SetLeaving, so that the end of an order can't undo an operator's drain.
func (c *Core) SetSwitching(now time.Duration, switching bool) {
	c.advance(now)
	c.switching = switching
	if switching {
		c.refuseWaiting(func(*grant) bool { return true })
	}
}

// SetRole refuses work of the phases that role doesn't serve, with a reason
// that makes entries try another server. Entries learn of a new role seconds
// after the engine; until then they would send work of the old role, which the
// engine rejects as an invalid request. Any other role serves both phases.
func (c *Core) SetRole(now time.Duration, role string) {
	c.advance(now)
	c.closed[pb.Phase_PHASE_PREFILL] = role == object.RoleDecode
	c.closed[pb.Phase_PHASE_DECODE] = role == object.RolePrefill
	c.refuseWaiting(func(g *grant) bool { return c.closed[g.Key.Phase] })
}

// refuseWaiting refuses the waiting attempts that match.
func (c *Core) refuseWaiting(match func(g *grant) bool) {
	for _, g := range c.sorted() {
		if g.state == waiting && match(g) {
			c.finish(g, pb.Reason_REASON_LEAVING)
		}
	}
}

// Empty reports whether there are no grants: no attempt waits or runs, and no
// prefill result is retained for a transfer.
func (c *Core) Empty() bool { return len(c.grants) == 0 }

// Superseded reports whether a higher fencing token than fence was seen.
func (c *Core) Superseded(scope string, fence uint64) bool { return fence < c.fences[scope] }
