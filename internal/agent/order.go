package agent

import (
	"context"
	"errors"
	"time"

	pb "jayford.example/jayford/api/jayfordv1"
	"jayford.example/jayford/internal/agent/grant"
	"jayford.example/jayford/internal/engine"
)

const (
	leaseTimeout = 2 * time.Second
	orderTimeout = 30 * time.Second
)

// Order sends one order to the engine. All orders pass through the agent, so
// checking the fencing token here also protects engines that ignore it.
func (s server) Order(ctx context.Context, q *pb.OrderRequest) (*pb.OrderReply, error) {
	a := s.agent
	if a.engine == nil {
		return orderRefused(pb.Reason_REASON_INVALID, "A plain service takes no orders."), nil
	}
	state := a.beginOrder(q)
	if state == grant.FenceUnknown {
		if err := a.learnFence(ctx, q.GetScope()); err != nil {
			a.log.WithError(err).Warn("agent: Order refused, cannot read the controller's lease.")
			return orderRefused(pb.Reason_REASON_FENCED, "The agent knows no fence since its start and can't read the lease."), nil
		}
		state = a.beginOrder(q)
	}
	switch state {
	case grant.FenceOK:
		if reply, err := a.drainForOrder(ctx, q); reply != nil || err != nil {
			return reply, err
		}
		return a.runOrder(ctx, q)
	case grant.FenceBusy:
		return orderRefused(pb.Reason_REASON_FULL, "Another order runs."), nil
	case grant.FenceStale, grant.FenceUnknown:
	}
	return orderRefused(pb.Reason_REASON_FENCED, "The fencing number is old."), nil
}

func orderRefused(reason pb.Reason, detail string) *pb.OrderReply {
	return &pb.OrderReply{Refusal: &pb.Refusal{
		Reason: reason, Verdict: pb.Verdict_VERDICT_NOT_RUN, Detail: detail,
	}}
}

func (a *Agent) beginOrder(q *pb.OrderRequest) (state grant.FenceState) {
	a.step(func(c *grant.Core, _ time.Duration) { state = c.BeginOrder(q.GetScope(), q.GetFence()) })
	return state
}

var errNoLease = errors.New("no lease reader configured")

func (a *Agent) learnFence(ctx context.Context, scope string) error {
	if a.lease == nil {
		return errNoLease
	}
	ctx, cancel := context.WithTimeout(ctx, leaseTimeout)
	defer cancel()
	fence, err := a.lease(ctx, scope)
	if err != nil {
		return err
	}
	a.step(func(c *grant.Core, _ time.Duration) { c.LearnFence(scope, fence) })
	return nil
}

// runOrder returns when ctx ends, but retries the order until the engine has
// answered it. An unanswered order may still take effect; sending the next one
// before it could leave the engine in the older state.
func (a *Agent) runOrder(ctx context.Context, q *pb.OrderRequest) (*pb.OrderReply, error) {
	answered := make(chan error, 1)
	a.work.Go(func() {
		err := a.repeatOrder(engine.Order{
			Fence: q.GetFence(), Kind: q.GetKind(), Value: q.GetValue(), Operation: q.GetOperation(),
		})
		a.endOrder(q, err)
		answered <- err
	})
	select {
	case err := <-answered:
		return orderReply(err), nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (a *Agent) repeatOrder(o engine.Order) error {
	backoff := firstBackoff
	for {
		ctx, cancel := context.WithTimeout(a.workCtx, orderTimeout)
		err := a.engine.Order(ctx, o)
		cancel()
		if isFinal(err) || a.workCtx.Err() != nil {
			return err
		}
		a.log.WithError(err).Warn("agent: Engine did not answer the order, retrying.")
		select {
		case <-a.workCtx.Done():
			return err
		case <-time.After(backoff):
		}
		backoff = min(2*backoff, maxBackoff)
	}
}

// isFinal reports whether an order with this outcome can no longer take effect.
// That includes a refused connection: the engine's process has ended, and the
// order with it.
func isFinal(err error) bool {
	return err == nil || errors.Is(err, engine.ErrFenced) || errors.Is(err, engine.ErrInvalid) ||
		errors.Is(err, engine.ErrUnreachable)
}

func orderReply(err error) *pb.OrderReply {
	switch {
	case err == nil:
		return &pb.OrderReply{}
	case errors.Is(err, engine.ErrFenced):
		return orderRefused(pb.Reason_REASON_FENCED, "The engine refused the fencing number.")
	case errors.Is(err, engine.ErrInvalid):
		return orderRefused(pb.Reason_REASON_INVALID, "The engine rejected the order.")
	}
	return &pb.OrderReply{Refusal: &pb.Refusal{
		Reason: pb.Reason_REASON_SERVER_LOST, Verdict: pb.Verdict_VERDICT_MAY_HAVE_RUN, Detail: err.Error(),
	}}
}
