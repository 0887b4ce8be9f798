package grant

import (
	"time"

	pb "jayford.example/jayford/api/jayfordv1"
)

// Cause is why the agent ended a grant by itself.
type Cause int

// The causes.
const (
	// Lapsed: its entry didn't renew it.
	Lapsed Cause = iota
	// Unlisted: a renewal of its entry didn't list it.
	Unlisted
	// Idle: it was unused for longer than Request.Idle or Config.MaxIdle.
	Idle
)

// String returns the cause's name.
func (c Cause) String() string {
	names := [...]string{"lapsed", "unlisted", "idle"}
	if int(c) < len(names) {
		return names[c]
	}
	return "unknown"
}

// Unused describes a grant that the agent ended before its work began. Its entry isn't
// notified: when it uses the grant, it gets a refusal with REASON_UNKNOWN_GRANT.
type Unused struct {
	Key   Key
	Entry string
	Cause Cause
	// Age is the time since the grant was requested.
	Age time.Duration
	// Renewed is the time since the last renewal of its entry, 0 for Unlisted.
	Renewed time.Duration
}

// TakeUnused returns the grants that ended unused since the last call.
func (c *Core) TakeUnused() []Unused {
	out := c.unused
	c.unused = nil
	return out
}

// end is finish for a grant that the core ends by itself.
func (c *Core) end(g *grant, reason pb.Reason, cause Cause) {
	if g.state == idle {
		c.unused = append(c.unused, Unused{
			Key: g.Key, Entry: g.lease.name(), Cause: cause, Age: c.now - g.created, Renewed: c.now - g.lease.renewedAt,
		})
	}
	c.finish(g, reason)
}
