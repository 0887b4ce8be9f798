package entry

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	pb "jayford.example/jayford/api/jayfordv1"
	"jayford.example/jayford/internal/agents"
)

// A prompt travels in vain to a prefill server without room, and a prefill begun
// before its decode slot is granted is wasted if none is left at its end. Both go
// only by a fresh hint of room, minus this entry's own choices since.
func TestPrefillGoesAheadOnlyWhereThereIsRoom(t *testing.T) {
	now := time.Now()
	hint := func(used uint32, change func(h *agents.Hint)) agents.Hint {
		h := agents.Hint{Load: &pb.Load{Slots: 20, Used: used, PrefillReserves: true}, Incarnation: 1, At: now, Pending: 1}
		change(&h)
		return h
	}
	const most, half = 18, 8
	same := func(*agents.Hint) {}
	assert.Assert(t, roomy(hint(most, same), now))
	assert.Assert(t, vacant(hint(half, same), now))
	for name, change := range map[string]func(h *agents.Hint){
		"unheard":     func(h *agents.Hint) { h.Load = nil },
		"unknown run": func(h *agents.Hint) { h.Incarnation = 0 },
		"old":         func(h *agents.Hint) { h.At = now.Add(-2 * roomyHint) },
		"down":        func(h *agents.Hint) { h.Load.Down = true },
		"leaving":     func(h *agents.Hint) { h.Load.Leaving = true },
		"queue":       func(h *agents.Hint) { h.Load.Queued = 1 },
		"one more":    func(h *agents.Hint) { h.Load.Used++ },
		"own choices": func(h *agents.Hint) { h.Pending++ },
	} {
		assert.Check(t, !roomy(hint(most, change), now), name)
		assert.Check(t, !vacant(hint(half, change), now), name)
	}
	// It would take the message for a prefill without a grant.
	older := hint(half, func(h *agents.Hint) { h.Load.PrefillReserves = false })
	assert.Assert(t, !roomy(older, now))
}
