package agent

import (
	"context"
	"time"

	pb "jayford.example/jayford/api/jayfordv1"
	"jayford.example/jayford/internal/agent/grant"
	"jayford.example/jayford/internal/engine"
)

// roleReportDelay is how long after an order the role, model and version
// reported by the engine are ignored, since reports may lag behind the order.
const roleReportDelay = 10 * time.Second

// needsDrain reports whether an order changes what running requests depend on,
// so that the server must be empty first.
func needsDrain(kind string) bool { return kind != engine.OrderAdapter }

// drainForOrder refuses new work and waits until the server is empty, so that
// the order interrupts no request. It aborts the order and admits work again if
// the caller is gone, or if a higher fencing token was seen: the order hasn't
// been sent yet, and its sender may be a paused or deposed leader.
func (a *Agent) drainForOrder(ctx context.Context, q *pb.OrderRequest) (*pb.OrderReply, error) {
	if !needsDrain(q.GetKind()) {
		return nil, nil
	}
	a.step(func(c *grant.Core, now time.Duration) { c.SetSwitching(now, true) })
	t := time.NewTicker(a.tickEvery())
	defer t.Stop()
	for {
		var empty, superseded bool
		a.step(func(c *grant.Core, _ time.Duration) {
			empty, superseded = c.Empty(), c.Superseded(q.GetScope(), q.GetFence())
		})
		var err error
		switch {
		case superseded:
		case empty:
			return nil, nil
		default:
			err = wait(ctx, a.workCtx, t.C)
			if err == nil {
				continue
			}
		}
		a.step(func(c *grant.Core, now time.Duration) {
			c.SetSwitching(now, false)
			c.OrderDone()
		})
		if err != nil {
			return nil, err
		}
		return orderRefused(pb.Reason_REASON_FENCED, "A newer leader was heard while the server drained."), nil
	}
}

func wait(ctx, life context.Context, tick <-chan time.Time) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-life.Done():
		return life.Err()
	case <-tick:
		return nil
	}
}

// endOrder admits work again, in the phases of the role that is now served.
func (a *Agent) endOrder(q *pb.OrderRequest, err error) {
	a.step(func(c *grant.Core, now time.Duration) {
		if err == nil {
			a.orderApplied(c, now, q)
		}
		if needsDrain(q.GetKind()) {
			c.SetSwitching(now, false)
		}
		c.OrderDone()
	})
}

// orderApplied is called within a step.
func (a *Agent) orderApplied(c *grant.Core, now time.Duration, q *pb.OrderRequest) {
	switch q.GetKind() {
	case engine.OrderRole:
		a.engineLoad.Role = q.GetValue()
		c.SetRole(now, q.GetValue())
	case engine.OrderVersion:
		a.engineLoad.Version = q.GetValue()
	case engine.OrderModel:
		a.engineLoad.Model = q.GetValue()
	}
	a.roleOrderedAt = now
}

// updateEngineLoad records the engine's report. Just after an order, an
// outdated report would close the phase that the engine was just ordered to
// serve, so its role, model and version are ignored, unless the engine has
// restarted and so forgotten the order.
func (a *Agent) updateEngineLoad(l engine.Load, restarted bool) {
	a.step(func(c *grant.Core, now time.Duration) {
		recent := a.roleOrderedAt != 0 && now-a.roleOrderedAt < roleReportDelay
		if recent && !restarted {
			l.Role, l.Model, l.Version = a.engineLoad.Role, a.engineLoad.Model, a.engineLoad.Version
		}
		a.engineLoad = l
		c.SetRole(now, l.Role)
	})
}

// ProcessLoad returns the agent's report to the capacity controller.
func (a *Agent) ProcessLoad() *pb.ProcessLoad {
	l := a.Load()
	a.mu.Lock()
	defer a.mu.Unlock()
	return &pb.ProcessLoad{
		Load: l, EngineRole: a.engineLoad.Role, EngineModel: a.engineLoad.Model, EngineVersion: a.engineLoad.Version,
		EngineUsed: uint32(a.engineLoad.Used), EngineQueued: uint32(a.engineLoad.Queued),
	}
}
