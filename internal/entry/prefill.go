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
	// prefillBound is how long one prefill may take beyond its prediction.
	prefillSlack = 30 * time.Second
	// roomyHint is how old a hint may be that lets a prompt travel with its
	// reservation. An older one says little of the server's room.
	maxRoomHintAge = 10 * time.Second
)

// prefillAnywhere reserves a prefill server and runs the prefill there. Also
// with an error the grant may be set, and must be released.
//
// If the best server seems to have room the reservation goes with the prefill,
// which spares a message and its answer. What is refused there has cost the
// bytes of its prompt; the servers are then asked first, as a full pool is.
func (g *generation) reserveAndPrefill(ctx context.Context, it admit.Item, zone string) (*grant, *pb.PrefillReply, *verdict.Error) {
	list := g.e.choose(pb.Phase_PHASE_PREFILL, g, zone)
	if len(list) > 0 && g.canCombinePrefill(list[0]) {
		// The answer comes after the prefill: those behind in the queue must
		// not wait so long to reserve.
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

// mayPrefillNow reports whether the reservation at t may go with the prefill.
//
// An agent that gives no answer may have begun the prefill, where one that was
// only asked for a slot has run nothing. So a request that must not run twice
// asks first: it can then still go to another server. So does a suspect, which
// waits for a server of its own.
func (g *generation) canCombinePrefill(t target) bool {
	return g.r.idempotent && !g.suspect && hasRoom(g.e.agents.Hint(t.id), time.Now())
}

// roomy reports whether an agent is likely to grant a prefill at once. One of an
// older version doesn't say that it takes both in one message, and is asked first.
func hasRoom(h agents.Hint, now time.Time) bool {
	l := h.Load
	if l == nil || !l.PrefillReserves || h.Incarnation == 0 || now.Sub(h.At) > maxRoomHintAge {
		return false
	}
	return !l.Down && !l.Leaving && l.Queued == 0 && int(l.Used)+h.Pending < int(l.Slots)
}

// prefillNow reserves and runs the prefill at t in one message. Without a grant
// nothing ran, and another server may be asked.
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
		gr.conn.Drop(gr.attempt)
		return nil, nil, err
	}
	return gr, kv, err
}

// prefill runs the prefill under its grant, or with the reservation that it
// carries.
func (g *generation) prefill(ctx context.Context, gr *grant, reserve *pb.ReserveRequest) (*pb.PrefillReply, *verdict.Error) {
	limit := min(time.Until(g.r.deadline), g.e.predictPrefill(gr.target, g.r)+prefillSlack)
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	ctx, drop := gr.conn.WhileKept(ctx)
	defer drop()
	g.dispatched = true
	reply, err := gr.conn.Prefill(ctx, &pb.PrefillRequest{
		Attempt: gr.attempt, Model: g.r.model, Prompt: []byte(g.r.prompt), Reserve: reserve,
		Priority: priorityOf(g.dest.choice.Priority), DeadlineMs: uint64(limit.Milliseconds()),
	})
	if err != nil {
		g.e.recordCallError(gr.conn.ID(), err)
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

// prefillUnheard is the error of a prefill whose agent gave no answer. Only a
// refused connection proves that a message with its own reservation ran nothing.
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

// wasted counts a prefill whose result nobody used.
func countWasted(kv *pb.PrefillReply) {
	prefillWasted.Add(int(kv.PromptTokens - kv.CachedTokens))
}
