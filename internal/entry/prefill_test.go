package entry

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	pb "jayford.example/jayford/api/jayfordv1"
	"jayford.example/jayford/internal/agents"
)

// Sending a prompt to a server without free capacity wastes its bytes. It is sent
// with its reservation only if a fresh hint, less this entry's own placements
// since, shows free capacity. An agent of an older version would treat it as a
// prefill without a grant.
func TestPromptGoesOnlyWhereThereIsRoom(t *testing.T) {
	now := time.Now()
	hint := func(change func(h *agents.Hint)) agents.Hint {
		h := agents.Hint{Load: &pb.Load{Slots: 4, Used: 2, PrefillReserves: true}, Incarnation: 1, At: now, Pending: 1}
		change(&h)
		return h
	}
	assert.Assert(t, hasRoom(hint(func(*agents.Hint) {}), now))
	for name, change := range map[string]func(h *agents.Hint){
		"no hint":             func(h *agents.Hint) { h.Load = nil },
		"older agent":         func(h *agents.Hint) { h.Load.PrefillReserves = false },
		"unknown incarnation": func(h *agents.Hint) { h.Incarnation = 0 },
		"stale hint":          func(h *agents.Hint) { h.At = now.Add(-2 * maxRoomHintAge) },
		"down":                func(h *agents.Hint) { h.Load.Down = true },
		"leaving":             func(h *agents.Hint) { h.Load.Leaving = true },
		"queue":               func(h *agents.Hint) { h.Load.Queued = 1 },
		"full":                func(h *agents.Hint) { h.Load.Used = 4 },
		"own placements":      func(h *agents.Hint) { h.Pending = 2 },
	} {
		assert.Check(t, !hasRoom(hint(change), now), name)
	}
}
