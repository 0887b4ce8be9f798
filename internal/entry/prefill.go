package entry

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	pb "jayford.example/jayford/api/jayfordv1"
	"jayford.example/jayford/internal/agents"
	"jayford.example/jayford/internal/policy/admit"
	"jayford.example/jayford/internal/verdict"
)

const (
	// prefillSlack is how long a prefill may take beyond its prediction.
	prefillSlack = 30 * time.Second
	// maxPrefillSends bounds how often a prefill is sent as its connection is replaced.
	maxPrefillSends = 3
	// maxRoomHintAge is the maximum age of a load hint for sending a prompt along
	// with its reservation. An older one says little about free capacity.
	maxRoomHintAge = 10 * time.Second
)

// reserveAndPrefill reserves a prefill server and runs the prefill there. The
// grant may be set even with an error, and must be released.
//
// If the best server seems to have free capacity, the reservation is sent with
// the prefill, which saves a round trip. A refusal then wastes the bytes of the
// prompt, and the servers are tried again with separate reservations.
func (g *generation) reserveAndPrefill(ctx context.Context, it admit.Item, zone string) (*grant, *pb.PrefillReply, *verdict.Error) {
	list := g.e.choose(pb.Phase_PHASE_PREFILL, g, zone)
	if len(list) > 0 && g.canCombinePrefill(list[0]) {
		// The reply comes only after the prefill: leave the gate now so that the
		// requests behind don't wait for it.
		g.leaveGate(it, true)
		gr, kv, err := g.prefillWithReservation(ctx, list[0])
		if gr != nil || err.Code == verdict.Crashes {
			return gr, kv, err
		}
		list = g.e.choose(pb.Phase_PHASE_PREFILL, g, zone)
	}
	gr, err := g.reserveAmong(ctx, list, pb.Phase_PHASE_PREFILL, reserveWait)
	g.leaveGate(it, err == nil)
	if err != nil {
		return nil, nil, err
	}
	kv, err := g.prefill(ctx, gr, nil)
	return gr, kv, err
}

// canCombinePrefill reports whether the reservation at t may be sent with the
// prefill.
//
// If the combined call fails, the prefill may have run, whereas a failed
// reservation has run nothing. So a request that must not run twice reserves
// first, and can then still go to another server. So does a suspect, which waits
// for an exclusive server.
func (g *generation) canCombinePrefill(t target) bool {
	return g.r.idempotent && !g.suspect && hasRoom(g.e.agents.Hint(t.id), time.Now())
}

// hasRoom reports whether an agent is likely to grant a prefill at once. It is
// false for an agent of an older version, which doesn't announce that it supports
// a reservation within the prefill.
func hasRoom(h agents.Hint, now time.Time) bool {
	l := h.Load
	if l == nil || !l.PrefillReserves || h.Incarnation == 0 || now.Sub(h.At) > maxRoomHintAge {
		return false
	}
	return !l.Down && !l.Leaving && l.Queued == 0 && int(l.Used)+h.Pending < int(l.Slots)
}

// prefillWithReservation reserves and runs the prefill at t in one call. If it
// returns no grant, nothing ran and another server may be tried.
func (g *generation) prefillWithReservation(ctx context.Context, t target) (*grant, *pb.PrefillReply, *verdict.Error) {
	gr, err := g.newGrant(t, pb.Phase_PHASE_PREFILL)
	if err != nil {
		return nil, nil, err
	}
	dispatched := g.dispatched
	kv, err := g.prefill(ctx, gr, g.reservation(gr, 0))
	if err != nil && err.Verdict == verdict.NotRun && !gr.granted {
		g.dispatched = dispatched
		prefillRefusedBytes.Add(len(g.r.prompt))
		gr.conn.StopRenewing(gr.attempt)
		return nil, nil, err
	}
	return gr, kv, err
}

// prefill runs the prefill under gr. If reserve is set, the call also makes the
// reservation.
func (g *generation) prefill(ctx context.Context, gr *grant, reserve *pb.ReserveRequest) (*pb.PrefillReply, *verdict.Error) {
	limit := min(time.Until(g.r.deadline), g.e.predictPrefill(gr.target, g.r)+prefillSlack)
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	g.dispatched = true
	began := time.Now()
	reply, err := sendPrefill(ctx, gr.conn, &pb.PrefillRequest{
		Attempt: gr.attempt, Model: g.r.model, Prompt: []byte(g.r.prompt), Reserve: reserve,
		Priority: priorityOf(g.dest.choice.Priority), DeadlineMs: uint64(limit.Milliseconds()),
	})
	if err != nil {
		g.e.recordCallError(gr.conn.ID(), began, err)
		return nil, g.prefillCallError(gr, reserve, err)
	}
	gr.granted = gr.granted || reply.Granted
	if reply.Refusal != nil {
		if gr.granted {
			g.exclude[gr.target.id] = true
		}
		g.e.recordRefusal(gr.target.id, reply.Refusal)
		return nil, refusalError(reply.Refusal)
	}
	if reserve != nil {
		g.e.recordSuccess(gr.target.id)
	}
	g.log.WithFields(logrus.Fields{
		"server": gr.target.id, "incarnation": reply.Incarnation, "attempt": gr.attempt.Number, "withReservation": reserve != nil,
		"tokens": reply.PromptTokens, "cached": reply.CachedTokens,
	}).Info("entry: prompt read.")
	prefillTokens.Add(int(reply.PromptTokens - reply.CachedTokens))
	g.e.recordCached(gr.target.id, g.r, int(reply.CachedTokens))
	return reply, nil
}

// sendPrefill runs a prefill. If its connection is replaced meanwhile, it attaches to
// the same attempt over the new one.
func sendPrefill(ctx context.Context, conn *agents.Conn, q *pb.PrefillRequest) (*pb.PrefillReply, error) {
	for n := 1; ; n++ {
		kept, drop := conn.ConnectionContext(ctx)
		reply, err := conn.Prefill(kept, q)
		replaced := kept.Err() != nil && ctx.Err() == nil
		drop()
		if err == nil || !replaced || n == maxPrefillSends {
			return reply, err
		}
	}
}

// prefillCallError returns the error of a prefill call that the agent didn't
// answer. Only a refused connection proves that a call with its own reservation
// ran nothing.
func (g *generation) prefillCallError(gr *grant, reserve *pb.ReserveRequest, err error) *verdict.Error {
	v := verdict.MayHaveRun
	if reserve != nil {
		v = verdictOfRPC(err)
	}
	if v != verdict.NotRun {
		g.exclude[gr.target.id] = true
	}
	return verdict.Wrap(err, v, verdict.Unreachable, "The prefill server's agent gave no answer.")
}

// countWasted counts a prefill whose KV cache was never used.
func countWasted(kv *pb.PrefillReply) {
	prefillWasted.Add(int(kv.PromptTokens - kv.CachedTokens))
}
