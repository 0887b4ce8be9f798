package agent

import (
	"context"
	"time"

	pb "jayford.example/jayford/api/jayfordv1"
	"jayford.example/jayford/internal/agent/grant"
	"jayford.example/jayford/internal/engine"
)

// roleSettles is how long after an order the engine's lagging report of its
// role isn't believed, unless it agrees.
const roleSettles = 10 * time.Second

// disrupts says whether an order changes what the requests that run depend on,
// so that it must wait until none does.
func disrupts(kind string) bool { return kind != engine.OrderAdapter }

// emptyFor refuses new work and waits until the server is empty, so that an
// order cuts no request. It gives up, and takes work again, when the caller
// has gone or a controller with a higher fence was heard: the order hasn't
// been sent yet and may come from a leader that is frozen or deposed. Then the
// order's turn is over too.
func (a *Agent) emptyFor(ctx context.Context, q *pb.OrderRequest) (*pb.OrderReply, error) {
	if !disrupts(q.GetKind()) {
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
			err = wait(ctx, a.life, t.C)
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

// endOrder takes work again, in the phases of the role that is served now.
func (a *Agent) endOrder(q *pb.OrderRequest, err error) {
	a.step(func(c *grant.Core, now time.Duration) {
		if err == nil {
			a.applied(c, now, q)
		}
		if disrupts(q.GetKind()) {
			c.SetSwitching(now, false)
		}
		c.OrderDone()
	})
}

// applied is called within a step.
func (a *Agent) applied(c *grant.Core, now time.Duration, q *pb.OrderRequest) {
	switch q.GetKind() {
	case engine.OrderRole:
		a.engineLoad.Role = q.GetValue()
		c.SetRole(now, q.GetValue())
	case engine.OrderVersion:
		a.engineLoad.Version = q.GetValue()
	case engine.OrderModel:
		a.engineLoad.Model = q.GetValue()
	}
	a.roleOrdered = now
}

// learnEngine takes what the engine says that it serves. A report from before
// the last order would close the phase that the engine has just been ordered
// to serve; a restarted engine has forgotten the order.
func (a *Agent) learnEngine(l engine.Load, restarted bool) {
	a.step(func(c *grant.Core, now time.Duration) {
		young := a.roleOrdered != 0 && now-a.roleOrdered < roleSettles
		if young && !restarted {
			l.Role, l.Model, l.Version = a.engineLoad.Role, a.engineLoad.Model, a.engineLoad.Version
		}
		a.engineLoad = l
		c.SetRole(now, l.Role)
	})
}

// ProcessLoad returns what the agent reports to the capacity controller.
func (a *Agent) ProcessLoad() *pb.ProcessLoad {
	l := a.Load()
	a.mu.Lock()
	defer a.mu.Unlock()
	return &pb.ProcessLoad{
		Load: l, EngineRole: a.engineLoad.Role, EngineModel: a.engineLoad.Model, EngineVersion: a.engineLoad.Version,
		EngineUsed: uint32(a.engineLoad.Used), EngineQueued: uint32(a.engineLoad.Queued),
	}
}
