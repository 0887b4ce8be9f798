package gateway

import (
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"jayford.example/jayford/internal/catalog"
	"jayford.example/jayford/internal/gossip"
)

// changingEngines has the engines that are about to change their stage, by key. An engine that
// empties itself for a change grants reservations and looks the least loaded of all, but
// refuses the requests that come with them once their prompts were read.
type changingEngines struct {
	// nonEmpty is whether engines has entries. Mostly it has none, and each choice of a server
	// checks this without a lock.
	nonEmpty atomic.Bool

	mu sync.Mutex
	// engines is guarded by mu.
	engines map[string]announcedChange
}

type announcedChange struct {
	to    catalog.Stage
	until time.Time
}

func (c *changingEngines) record(key string, to catalog.Stage, until, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.engines == nil {
		c.engines = map[string]announcedChange{}
	}
	c.engines[key] = announcedChange{to, until}
	maps.DeleteFunc(c.engines, func(_ string, x announcedChange) bool { return !now.Before(x.until) })
	c.nonEmpty.Store(len(c.engines) > 0)
}

// without returns the candidates that aren't about to leave their listed stage, or all if all are.
func (c *changingEngines) without(list []candidate, now time.Time) []candidate {
	if !c.nonEmpty.Load() {
		return list
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	out := make([]candidate, 0, len(list))
	for _, x := range list {
		if a, ok := c.engines[x.key]; !ok || a.to == x.Stage || !now.Before(a.until) {
			out = append(out, x)
		}
	}
	if len(out) == 0 {
		return list
	}
	return out
}

// AnnounceStageChanges makes the gateway announce the changes that it orders. It must be
// called before the first request.
func (g *Gateway) AnnounceStageChanges(announce func(gossip.StageChange)) {
	g.announceStageChange = announce
}

// RecordPeerStageChange records a change that a peer has announced.
func (g *Gateway) RecordPeerStageChange(x gossip.StageChange) {
	if s, ok := g.view.list().find(x.Engine); ok {
		g.changing.record(s.key, x.To, x.Until, time.Now())
	}
}

// announceChange makes all gateways send an engine no new work until a time.
func (g *Gateway) announceChange(c change, until, now time.Time) {
	key := serverKey(c.server)
	g.changing.record(key, c.to, until, now)
	if g.announceStageChange != nil {
		g.announceStageChange(gossip.StageChange{Engine: gossip.ServerKey(key), To: c.to, Until: until})
	}
}
