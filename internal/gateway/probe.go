package gateway

import (
	"context"
	"time"

	"jayford.example/jayford/internal/catalog"
	"jayford.example/jayford/internal/policy/doubt"
	"jayford.example/jayford/internal/verdict"
)

// probeInterval is how often the due probes are looked up.
const probeInterval = 50 * time.Millisecond

// probe runs the health checks of doubted servers until ctx ends.
func (g *Gateway) probe(ctx context.Context) error {
	t := time.NewTicker(probeInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
		}
		due := g.view.probes(time.Now())
		if len(due) == 0 {
			continue
		}
		byStart := make(map[string]catalog.Server)
		for _, c := range g.view.list().all {
			byStart[c.key] = c.Server
		}
		for _, id := range due {
			// A probe that isn't sent counts as failed and will be due again.
			now := time.Now()
			if s, ok := byStart[id]; ok && g.pauses.remaining(id, now) == 0 && g.limits.take(id, now) {
				go g.probeOne(ctx, s)
			}
		}
	}
}

func (g *Gateway) probeOne(ctx context.Context, s catalog.Server) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	g.backend.CloseConnections(s)
	if err := g.backend.Probe(ctx, s, g.healthPath(s)); err != nil {
		g.log.WithError(err).WithField("server", s.ID).Debug("gateway: probe failed.")
		if verdict.IsLocalShortage(err) {
			return
		}
		g.view.recordOutcome(s, doubt.ConnectionLost)
		return
	}
	g.view.recordOutcome(s, doubt.Alive)
}

// healthPath returns the path of a server's health check, "" for the default.
func (g *Gateway) healthPath(s catalog.Server) string {
	c := g.Config()
	if c == nil {
		return ""
	}
	return c.Services[s.Service].HealthPath
}
