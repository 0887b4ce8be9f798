package grant

import (
	"time"

	pb "jayford.example/jayford/api/jayfordv1"
	"jayford.example/jayford/internal/object"
)

// SetSwitching refuses new work from now on because an order that changes what
// the server serves waits for it to be empty, or takes it again. It stands
// beside SetLeaving, so that the end of an order can't undo an operator's drain.
func (c *Core) SetSwitching(now time.Duration, switching bool) {
	c.advance(now)
	c.switching = switching
	if switching {
		c.dismiss(func(*grant) bool { return true })
	}
}

// SetRole refuses work of the phases that the role doesn't serve, with a reason
// that sends entries elsewhere. Entries learn of a new role seconds after the
// engine; without this they would send it work of the old one, which the engine
// rejects as if the request were at fault. A role of neither serves both.
func (c *Core) SetRole(now time.Duration, role string) {
	c.advance(now)
	c.closed[pb.Phase_PHASE_PREFILL] = role == object.RoleDecode
	c.closed[pb.Phase_PHASE_DECODE] = role == object.RolePrefill
	c.dismiss(func(g *grant) bool { return c.closed[g.Key.Phase] })
}

// dismiss refuses the waiting attempts that which names.
func (c *Core) dismiss(which func(g *grant) bool) {
	for _, g := range c.sorted() {
		if g.state == waiting && which(g) {
			c.finish(g, pb.Reason_REASON_LEAVING)
		}
	}
}

// Empty says that nothing is granted: no attempt waits or runs, and no
// prefill's result stands for a transfer.
func (c *Core) Empty() bool { return len(c.grants) == 0 }

// Superseded says that a higher fence than this was seen.
func (c *Core) Superseded(scope string, fence uint64) bool { return fence < c.fences[scope] }
