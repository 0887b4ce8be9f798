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

// attemptLate reserves the decode slot when the prefill has ended, or with
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

// pending is a reservation that is asked for in the background.
type pendingReservation struct {
	// ready is closed when the prefill has ended, done when the reservation has.
	prefillDone chan struct{}
	done        chan struct{}
	cancel      context.CancelFunc
	// by is the generation as the background sees it: the prefill goes on
	// meanwhile and changes the other.
	gen   generation
	grant *grant
	err   *verdict.Error
	used  bool
}

// join waits for the end of the background and takes over its attempt numbers.
func (p *pendingReservation) join(g *generation) {
	<-p.done
	g.attemptNumber = max(g.attemptNumber, p.gen.attemptNumber)
}

func (p *pendingReservation) discard(g *generation) {
	p.cancel()
	p.join(g)
	if !p.used {
		p.grant.release()
	}
}

// reserveAt asks for the decode slot when the prefill is about to end.
func (g *generation) reserveInBackground(ctx context.Context, prefill *grant) *pendingReservation {
	ctx, cancel := context.WithCancel(ctx)
	p := &pendingReservation{prefillDone: make(chan struct{}), done: make(chan struct{}), cancel: cancel, gen: *g}
	p.gen.exclude = maps.Clone(g.exclude)
	delay := g.e.predictPrefill(prefill.target, g.r) - reserveWait
	go func() {
		defer close(p.done)
		// A prefill that ends before its prediction must not wait for it.
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
		// A slot that comes after the result has expired is of no use.
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
