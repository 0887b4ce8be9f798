package gateway

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"jayford.example/jayford/internal/board"
	"jayford.example/jayford/internal/catalog"
	"jayford.example/jayford/internal/policy/doubt"
	"jayford.example/jayford/internal/wait"
)

// view is what the gateway believes of its surroundings: the configuration in
// force, the servers that are there, and which of them work.
//
// A wrong belief costs a refusal by the server, which checks its own identity,
// room and stage. None of it can make a request run twice.
type view struct {
	config atomic.Pointer[catalog.Config]
	// listing is the last list of servers, nil before the first.
	listing atomic.Pointer[listing]
	// complete: a whole list was taken, not only the first of its pages.
	complete atomic.Bool
	// peers is how many gateways share the budget for repeats, 0 if unknown.
	peers atomic.Int64

	log *logrus.Entry

	mu sync.Mutex
	// health is guarded by mu.
	health *doubt.Set
}

func newView(b *board.Board, log *logrus.Entry) *view {
	v := &view{
		log: log,
		health: doubt.NewSet(doubt.Options{
			MinBackoff: healthMinBackoff, MaxBackoff: healthMaxBackoff,
			ProbeTimeout: probeTimeout, Ramp: healthRamp, StrikeFor: strikeFor,
			ProbesPerZone: probesPerZone,
		}, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))),
	}
	b.Part("servers", func() any { return v.list().all })
	return v
}

const (
	// A server that restarts is back within a few seconds; a probe costs far
	// less than a request sent to a dead server.
	healthMinBackoff = 250 * time.Millisecond
	healthMaxBackoff = 2 * time.Second
	healthRamp       = 2 * time.Second
	probeTimeout     = time.Second
	strikeFor        = 4 * time.Second
	probesPerZone    = 4
)

// setConfig puts c in force unless a newer one is.
func (v *view) setConfig(c *catalog.Config) bool {
	for {
		old := v.config.Load()
		if old != nil && old.Version >= c.Version {
			return false
		}
		if v.config.CompareAndSwap(old, c) {
			return true
		}
	}
}

// setServers replaces the whole list.
func (v *view) setServers(list []catalog.Server) {
	l := newListing(list)
	v.listing.Store(l)
	health := make([]doubt.Instance, 0, len(list))
	for _, c := range l.all {
		health = append(health, doubt.Instance{ID: c.start, AvailabilityZone: c.AvailabilityZone, Leaving: c.Leaving})
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	v.health.List(time.Now(), health)
}

// known reports whether there is a configuration and a list of servers.
func (v *view) known() bool { return v.config.Load() != nil && v.listing.Load() != nil }

// await waits until both are known, but no longer than until by.
func (v *view) await(ctx context.Context, by time.Time) {
	for !v.known() && time.Now().Before(by) {
		if !wait.Sleep(ctx, knownTick) {
			return
		}
	}
}

// knownTick is how often a kept caller's request looks for what it needs.
const knownTick = 10 * time.Millisecond

// list returns the last list of servers, an empty one before the first.
func (v *view) list() *listing {
	if l := v.listing.Load(); l != nil {
		return l
	}
	return newListing(nil)
}

// outcome notes what a use of s showed.
func (v *view) outcome(s catalog.Server, o doubt.Outcome) {
	now := time.Now()
	v.mu.Lock()
	defer v.mu.Unlock()
	if before, after, turned := v.health.Observe(start(s), now, o); turned {
		v.log.WithFields(logrus.Fields{
			"server": start(s), "state": after.String(), "before": before.String(), "evidence": o.String(),
		}).Info("gateway: server's health changed.")
	}
}

// doubted reports for each of the list whether it is used only if nothing else
// is left.
func (v *view) doubted(list []candidate, now time.Time) []bool {
	out := make([]bool, len(list))
	v.mu.Lock()
	defer v.mu.Unlock()
	for i := range list {
		h, ok := v.health.View(list[i].start, now)
		out[i] = ok && h.Away()
	}
	return out
}

func (v *view) probes(now time.Time) []string {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.health.Probes(now)
}
