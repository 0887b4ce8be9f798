package agent

import (
	"context"
	"errors"
	"syscall"
	"time"

	pb "jayford.example/jayford/api/jayfordv1"
	"jayford.example/jayford/internal/agent/grant"
	"jayford.example/jayford/internal/engine"
	"jayford.example/jayford/internal/verdict"
)

const (
	engineHeartbeat  = 250 * time.Millisecond
	serviceHeartbeat = time.Second
	heartbeatTimeout = time.Second
	// maxMissedHeartbeats is how many heartbeats in a row must fail before a
	// server that still accepts connections counts as lost.
	maxMissedHeartbeats = 3
	// heartbeatRetryDelay is the delay after a failed heartbeat.
	heartbeatRetryDelay = 100 * time.Millisecond
	// diagnosisTimeout exceeds maxMissedHeartbeats heartbeats with their
	// timeouts.
	diagnosisTimeout = 5 * time.Second
	auditEvery       = time.Second
	auditGrace       = time.Second
	auditTimeout     = time.Second
)

// probeNow triggers a heartbeat without delay.
func (a *Agent) probeNow() {
	select {
	case a.probe <- struct{}{}:
	default:
	}
}

// health is the state of the loop that monitors the backend server.
type health struct {
	agent     *Agent
	up        bool
	missed    int
	lastAudit time.Time
}

// watchServer sends heartbeats until the agent ends. Admission opens once the
// server answers and no longer runs any earlier attempts.
func (a *Agent) watchServer() {
	h := &health{agent: a}
	for a.workCtx.Err() == nil {
		wait := h.heartbeat()
		select {
		case <-a.workCtx.Done():
		case <-a.probe:
		case <-time.After(wait):
		}
	}
}

func (h *health) heartbeat() time.Duration {
	sentAt := h.agent.now()
	if h.agent.engine == nil {
		h.heartbeatService(sentAt)
		return serviceHeartbeat
	}
	ctx, cancel := context.WithTimeout(h.agent.workCtx, heartbeatTimeout)
	load, err := h.agent.engine.Load(ctx)
	cancel()
	if err != nil {
		h.heartbeatFailed(err)
		return heartbeatRetryDelay
	}
	h.missed = 0
	h.heartbeatAnswered(load, sentAt)
	return engineHeartbeat
}

// heartbeatFailed takes a refused connection as proof that the server's process
// has ended. Any other failure proves nothing: several in a row mark the server
// down, but not as crashed. A lack of descriptors or memory here says nothing of the server.
func (h *health) heartbeatFailed(err error) {
	if verdict.IsLocalShortage(err) {
		return
	}
	h.missed++
	refused := errors.Is(err, syscall.ECONNREFUSED)
	if h.up && (refused || h.missed >= maxMissedHeartbeats) {
		h.agent.log.WithError(err).WithField("crashed", refused).Warn("agent: Backend server lost.")
		h.down(refused)
	}
}

func (h *health) down(crashed bool) {
	h.up = false
	h.agent.step(func(c *grant.Core, now time.Duration) { c.ServerDown(now, crashed) })
}

func (h *health) heartbeatAnswered(load engine.Load, sentAt time.Duration) {
	a := h.agent
	a.mu.Lock()
	before := a.engineIncarnation
	a.engineIncarnation = load.Incarnation
	a.mu.Unlock()
	a.updateEngineLoad(load, before != load.Incarnation)
	if h.up && before != load.Incarnation {
		a.log.Warn("agent: Backend server restarted.")
		h.down(true)
	}
	if h.up {
		a.step(func(c *grant.Core, now time.Duration) { c.ServerHealthy(now, sentAt, pb.Reason_REASON_CONNECTION_LOST) })
		h.runAudit()
		return
	}
	if !a.cancelLeftovers() {
		return
	}
	h.up = true
	a.log.Info("agent: Backend server up.")
	a.step(func(c *grant.Core, now time.Duration) { c.ServerUp(now) })
}

// heartbeatService only checks that the service listens. A plain service that
// is slow to accept is busy, not down; a refused connection means that its
// process has ended.
func (h *health) heartbeatService(sentAt time.Duration) {
	a := h.agent
	conn, err := a.dial(a.workCtx)
	if err == nil {
		conn.Close()
	}
	switch {
	case err == nil && h.up:
		// A restart between two heartbeats can't be detected, so it may have been a
		// crash.
		a.step(func(c *grant.Core, now time.Duration) { c.ServerHealthy(now, sentAt, pb.Reason_REASON_SERVER_LOST) })
	case err == nil:
		h.up = true
		a.step(func(c *grant.Core, now time.Duration) { c.ServerUp(now) })
	case h.up && errors.Is(err, syscall.ECONNREFUSED):
		a.log.Warn("agent: Backend server lost.")
		h.down(true)
	}
}

func (a *Agent) running() ([]engine.Running, error) {
	ctx, cancel := context.WithTimeout(a.workCtx, auditTimeout)
	defer cancel()
	return a.engine.Running(ctx)
}

// cancelLeftovers cancels everything that the engine runs before admission
// opens. Attempts started by an earlier agent, or before the server went down,
// have no grant that could lapse, so they would hold engine memory for callers
// that may be gone. It returns false if any are left; the next heartbeat tries
// again.
func (a *Agent) cancelLeftovers() bool {
	list, err := a.running()
	if err != nil {
		return false
	}
	if len(list) == 0 {
		return true
	}
	attempts := make([]engine.Attempt, 0, len(list))
	for _, r := range list {
		attempts = append(attempts, r.Attempt)
	}
	a.cancelEach(attempts)
	a.log.WithField("attempts", len(list)).Info("agent: Cancelled attempts still running on the backend server.")
	list, err = a.running()
	return err == nil && len(list) == 0
}

// runAudit compares what the engine runs with the grants, every second and,
// while a connection is silent, at each heartbeat. It cancels attempts without
// a grant, however they leaked, but only after auditGrace: an attempt that just
// ended leaves the engine's list by itself.
func (h *health) runAudit() {
	a := h.agent
	now := time.Now()
	if now.Sub(h.lastAudit) < auditEvery && !a.anySilent(now) {
		return
	}
	h.lastAudit = now
	list, err := a.running()
	if err != nil {
		return
	}
	a.abortSilentRuns(list, now)
	if orphans := a.findOrphans(list, time.Now()); len(orphans) > 0 {
		a.log.WithField("attempts", orphans).Warn("agent: Cancelling attempts without a grant.")
		a.cancelEach(orphans)
	}
}

func (a *Agent) findOrphans(list []engine.Running, now time.Time) []engine.Attempt {
	a.mu.Lock()
	defer a.mu.Unlock()
	var out []engine.Attempt
	found := make(map[engine.Attempt]time.Time)
	for _, r := range list {
		if a.core.HasGrant(grant.Attempt{Request: r.Attempt.Request, Number: r.Attempt.Number}) {
			continue
		}
		first, known := a.orphans[r.Attempt]
		if !known {
			first = now
		}
		found[r.Attempt] = first
		if now.Sub(first) >= auditGrace {
			out = append(out, r.Attempt)
		}
	}
	a.orphans = found
	return out
}
