package entry

import (
	"context"
	"maps"
	"time"

	pb "jayford.example/jayford/api/jayfordv1"
	"jayford.example/jayford/internal/policy/admit"
	"jayford.example/jayford/internal/settings"
	"jayford.example/jayford/internal/verdict"
)

// attemptLate reserves the decode slot after the prefill has ended, or with
// ReservePredicted shortly before its predicted end.
func (g *generation) attemptLate(ctx context.Context, it admit.Item) (string, *verdict.Error) {
	prefill, err := g.reserveQueued(ctx, it, pb.Phase_PHASE_PREFILL, "")
	if err != nil {
		return "", err
	}
	g.leaveGate(it, true)
	defer prefill.release()
	var early *pendingReservation
	if p := g.e.settings.Policy; p.Reserve == settings.ReservePredicted && !p.Baseline() {
		early = g.reserveInBackground(ctx, prefill)
		defer early.discard(g)
	}
	kv, err := g.prefill(ctx, prefill, nil)
	if err != nil {
		return "", err
	}
	decode, err := g.decodeGrant(ctx, early, prefill, kv)
	if err != nil {
		countWasted(kv)
		return "", err
	}
	defer decode.release()
	return g.decode(ctx, decode, prefill, kv)
}

// pendingReservation is a decode reservation made in the background.
type pendingReservation struct {
	// prefillDone is closed when the prefill has ended, done when the
	// reservation has succeeded or failed.
	prefillDone chan struct{}
	done        chan struct{}
	cancel      context.CancelFunc
	// gen is a copy of the generation for the background goroutine, since the
	// prefill modifies the original meanwhile.
	gen   generation
	grant *grant
	err   *verdict.Error
	used  bool
}

// join waits for the background goroutine and adopts its last attempt number.
func (p *pendingReservation) join(g *generation) {
	<-p.done
	g.attemptNumber = max(g.attemptNumber, p.gen.attemptNumber)
}

// discard cancels the reservation and releases its grant unless it is in use.
func (p *pendingReservation) discard(g *generation) {
	p.cancel()
	p.join(g)
	if !p.used {
		p.grant.release()
	}
}

// reserveInBackground reserves the decode slot when the prefill is about to end.
func (g *generation) reserveInBackground(ctx context.Context, prefill *grant) *pendingReservation {
	ctx, cancel := context.WithCancel(ctx)
	p := &pendingReservation{prefillDone: make(chan struct{}), done: make(chan struct{}), cancel: cancel, gen: *g}
	p.gen.exclude = maps.Clone(g.exclude)
	delay := g.e.predictPrefill(prefill.target, g.r) - reserveWait
	go func() {
		defer close(p.done)
		// If the prefill ends earlier than predicted, reserve at once.
		select {
		case <-time.After(delay):
		case <-p.prefillDone:
		case <-ctx.Done():
			p.err = contextVerdict(ctx)
			return
		}
		p.grant, p.err = p.gen.reserve(ctx, pb.Phase_PHASE_DECODE, prefill.target.zone, 2*reserveWait)
	}()
	return p
}

func (g *generation) decodeGrant(ctx context.Context, early *pendingReservation, prefill *grant, kv *pb.PrefillReply) (*grant, *verdict.Error) {
	left := time.Duration(kv.ExpiresMs) * time.Millisecond * 3 / 4
	if early != nil {
		// A slot granted after the KV cache has expired is useless.
		defer time.AfterFunc(left, early.cancel).Stop()
		close(early.prefillDone)
		early.join(g)
		if early.err == nil {
			early.used = true
			return early.grant, nil
		}
	}
	return g.reserve(ctx, pb.Phase_PHASE_DECODE, prefill.target.zone, left)
}
