package grant

import (
	"time"

	pb "jayford.example/jayford/api/jayfordv1"
)

// Cause is why a grant ended without a message about it.
type Cause int

// The causes.
const (
	// Lapsed: its entry didn't renew it.
	Lapsed Cause = iota
	// Unlisted: a renewal of its entry didn't list it.
	Unlisted
	// Idle: it was unused for longer than Request.Idle.
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

// Unused tells of a grant that ended before its work began. Its entry learns of it only
// by using it, as a refusal with REASON_UNKNOWN_GRANT.
type Unused struct {
	Key   Key
	Entry string
	Cause Cause
	// Age is the time since the grant was requested, Renewed the time since the last
	// renewal of its entry.
	Age, Renewed time.Duration
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
