package agent

import (
	"context"
	"errors"
	"syscall"
	"time"

	pb "jayford.example/jayford/api/jayfordv1"
	"jayford.example/jayford/internal/agent/grant"
	"jayford.example/jayford/internal/engine"
)

const (
	engineHeartbeat  = 250 * time.Millisecond
	serviceHeartbeat = time.Second
	heartbeatTimeout = time.Second
	// maxMisses is how many heartbeats in a row fail before a server that still
	// accepts connections counts as lost.
	maxMisses = 3
	// retryHeartbeat follows a missed heartbeat.
	retryHeartbeat = 100 * time.Millisecond
	// settleLimit is above maxMisses heartbeats with their timeouts.
	settleLimit  = 5 * time.Second
	auditEvery   = time.Second
	auditGrace   = time.Second
	auditTimeout = time.Second
)

// probeNow asks for a heartbeat at once.
func (a *Agent) probeNow() {
	select {
	case a.probe <- struct{}{}:
	default:
	}
}

// health is the state of the loop that watches the backend server.
type health struct {
	agent *Agent
	up    bool
	miss  int
	audit time.Time
}

// watchServer sends heartbeats until the agent ends. Admission opens once the
// server answers and holds nothing of an earlier agent.
func (a *Agent) watchServer() {
	h := &health{agent: a}
	for a.life.Err() == nil {
		wait := h.beat()
		select {
		case <-a.life.Done():
		case <-a.probe:
		case <-time.After(wait):
		}
	}
}

func (h *health) beat() time.Duration {
	since := h.agent.now()
	if h.agent.engine == nil {
		h.beatService(since)
		return serviceHeartbeat
	}
	ctx, cancel := context.WithTimeout(h.agent.life, heartbeatTimeout)
	load, err := h.agent.engine.Load(ctx)
	cancel()
	if err != nil {
		h.missed(err)
		return retryHeartbeat
	}
	h.miss = 0
	h.heard(load, since)
	return engineHeartbeat
}

// missed takes a refused connection as proof that the server's process is gone.
// A slow answer is none, so it needs several, and is no crash even then.
func (h *health) missed(err error) {
	h.miss++
	gone := errors.Is(err, syscall.ECONNREFUSED)
	if h.up && (gone || h.miss >= maxMisses) {
		h.agent.log.WithError(err).WithField("crashed", gone).Warn("agent: Backend server lost.")
		h.down(gone)
	}
}

func (h *health) down(crashed bool) {
	h.up = false
	h.agent.step(func(c *grant.Core, now time.Duration) { c.ServerDown(now, crashed) })
}

func (h *health) heard(load engine.Load, since time.Duration) {
	a := h.agent
	a.mu.Lock()
	before := a.engineIncarnation
	a.engineIncarnation = load.Incarnation
	a.mu.Unlock()
	a.learnEngine(load, before != load.Incarnation)
	if h.up && before != load.Incarnation {
		a.log.Warn("agent: Backend server restarted.")
		h.down(true)
	}
	if h.up {
		a.step(func(c *grant.Core, now time.Duration) { c.ServerHealthy(now, since, pb.Reason_REASON_CONNECTION_LOST) })
		h.runAudit()
		return
	}
	if !a.sweep() {
		return
	}
	h.up = true
	a.log.Info("agent: Backend server up.")
	a.step(func(c *grant.Core, now time.Duration) { c.ServerUp(now) })
}

// beatService looks only for a listener. A plain service that accepts slowly
// is busy, not gone; a refused connection means that its process is.
func (h *health) beatService(since time.Duration) {
	a := h.agent
	conn, err := a.dial(a.life)
	if err == nil {
		conn.Close()
	}
	switch {
	case err == nil && h.up:
		// A restart between two beats doesn't show, so it may have been a crash.
		a.step(func(c *grant.Core, now time.Duration) { c.ServerHealthy(now, since, pb.Reason_REASON_SERVER_LOST) })
	case err == nil:
		h.up = true
		a.step(func(c *grant.Core, now time.Duration) { c.ServerUp(now) })
	case h.up && errors.Is(err, syscall.ECONNREFUSED):
		a.log.Warn("agent: Backend server lost.")
		h.down(true)
	}
}

func (a *Agent) running() ([]engine.Running, error) {
	ctx, cancel := context.WithTimeout(a.life, auditTimeout)
	defer cancel()
	return a.engine.Running(ctx)
}

// sweep cancels all that the engine runs before admission opens. What an
// earlier agent started has no grant that could lapse, so it would hold engine
// memory for callers that may be gone. It returns false if something is left;
// the next heartbeat tries again.
func (a *Agent) sweep() bool {
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
	a.log.WithField("attempts", len(list)).Info("agent: Cancelled what the backend server still ran.")
	list, err = a.running()
	return err == nil && len(list) == 0
}

// runAudit compares what the engine runs with the grants, each second and, while
// a connection says nothing, with each heartbeat. It cancels what runs without a
// grant, whatever path leaked it. The grace lets an attempt that just ended leave
// the engine's list by itself.
func (h *health) runAudit() {
	a := h.agent
	now := time.Now()
	if now.Sub(h.audit) < auditEvery && !a.overdue(now) {
		return
	}
	h.audit = now
	list, err := a.running()
	if err != nil {
		return
	}
	a.findSilent(list, now)
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
