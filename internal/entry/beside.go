package entry

import (
	"context"
	"time"

	pb "jayford.example/jayford/api/jayfordv1"
	"jayford.example/jayford/internal/agents"
	"jayford.example/jayford/internal/policy/admit"
	"jayford.example/jayford/internal/verdict"
)

// vacantHint is how old a hint may be that lets a prefill begin beside its decode
// reservation. Entries renew several times in this time at agents in use.
const vacantHint = 2 * time.Second

// vacant reports whether an agent will hardly refuse a decode slot: half of its
// slots are free, and nobody waits. All entries may think so at once, which is
// why one free slot isn't enough.
func vacant(h agents.Hint, now time.Time) bool {
	l := h.Load
	if l == nil || h.Incarnation == 0 || now.Sub(h.At) > vacantHint {
		return false
	}
	return !l.Down && !l.Leaving && l.Queued == 0 && 2*(int(l.Used)+h.Pending) < int(l.Slots)
}

// mayPrefillBeside reports whether the prefill may begin while the decode slot is
// being reserved at the best server of list.
//
// The wait for the slot's answer is then spared. If the slot is refused after
// all, the prefill has been paid for and the request has run in part: so the
// pool must be far from full, and the request such as may run twice.
func (g *generation) mayPrefillBeside(list []target) bool {
	if len(list) == 0 || !g.r.idempotent || g.suspect {
		return false
	}
	return vacant(g.e.agents.Hint(list[0].id), time.Now())
}

// attemptBeside runs the prefill beside the reservation of a decode slot among list.
func (g *generation) attemptBeside(ctx context.Context, it admit.Item, list []target) (string, *verdict.Error) {
	slot := g.reserveBeside(ctx, list)
	defer slot.drop(g)
	prefill, kv, err := g.prefillAnywhere(ctx, it, list[0].zone)
	defer prefill.release()
	if err != nil {
		return "", err
	}
	decode, err := g.decodeGrant(ctx, slot, prefill, kv)
	if err != nil {
		wasted(kv)
		return "", err
	}
	defer decode.release()
	return g.decode(ctx, decode, prefill, kv)
}

// reserveBeside asks for the decode slot in the background.
func (g *generation) reserveBeside(ctx context.Context, list []target) *pending {
	ctx, cancel := context.WithCancel(ctx)
	p := g.newPending(cancel)
	// An engine knows an attempt by its number alone, whatever the phase.
	g.number += askAtMost
	go func() {
		defer close(p.done)
		p.grant, p.err = p.by.reserveAmong(ctx, list, pb.Phase_PHASE_DECODE, 2*reserveWait)
	}()
	return p
}
