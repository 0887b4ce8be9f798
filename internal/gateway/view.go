package gateway

import (
	"math/rand/v2"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"jayford.example/jayford/internal/board"
	"jayford.example/jayford/internal/catalog"
	"jayford.example/jayford/internal/policy/doubt"
)

// view is what the gateway believes of its surroundings: the configuration in
// force, the servers that are there, and which of them work.
//
// A wrong belief costs a refusal by the server, which checks its own identity,
// room and stage. None of it can make a request run twice.
type view struct {
	config  atomic.Pointer[catalog.Config]
	servers *board.Table[catalog.Server]
	// listed: a list of servers was taken.
	listed atomic.Bool
	// peers is how many gateways share the budget for repeats, 0 if unknown.
	peers atomic.Int64

	log *logrus.Entry

	mu sync.Mutex
	// health is guarded by mu.
	health *doubt.Set
}

func newView(b *board.Board, log *logrus.Entry) *view {
	return &view{
		log:     log,
		servers: board.NewTable[catalog.Server](b, "servers"),
		health: doubt.NewSet(doubt.Options{
			MinBackoff: healthMinBackoff, MaxBackoff: healthMaxBackoff,
			ProbeTimeout: probeTimeout, Ramp: healthRamp, StrikeFor: strikeFor,
			ProbesPerZone: probesPerZone,
		}, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))),
	}
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

// start names one start of a server.
func start(s catalog.Server) string {
	return s.ID + "#" + strconv.FormatInt(s.Incarnation, 10)
}

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
	keep := make(map[string]bool, len(list))
	for _, s := range list {
		keep[s.ID] = true
		v.servers.Put(s.ID, s)
	}
	var gone []string
	v.servers.Each(func(id string, _ catalog.Server) bool {
		if !keep[id] {
			gone = append(gone, id)
		}
		return true
	})
	for _, id := range gone {
		v.servers.Delete(id)
	}
	v.listed.Store(true)
	v.refreshHealth()
}

// refreshHealth tells the health set who is there.
func (v *view) refreshHealth() {
	var list []doubt.Instance
	v.servers.Each(func(_ string, s catalog.Server) bool {
		list = append(list, doubt.Instance{ID: start(s), AvailabilityZone: s.AvailabilityZone, Leaving: s.Leaving})
		return true
	})
	v.mu.Lock()
	defer v.mu.Unlock()
	v.health.List(time.Now(), list)
}

// outcome notes what a use of s showed.
func (v *view) outcome(s catalog.Server, o doubt.Outcome) {
	now := time.Now()
	v.mu.Lock()
	defer v.mu.Unlock()
	before, _ := v.health.View(start(s), now)
	v.health.Outcome(start(s), now, o)
	if after, ok := v.health.View(start(s), now); ok && after.Away() != before.Away() {
		v.log.WithFields(logrus.Fields{
			"server": start(s), "state": after.State.String(), "before": before.State.String(), "evidence": o.String(),
		}).Info("gateway: server's health changed.")
	}
}

// doubted reports whether s is used only if nothing else is left.
func (v *view) doubted(s catalog.Server, now time.Time) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	h, ok := v.health.View(start(s), now)
	return ok && h.Away()
}

func (v *view) probes(now time.Time) []string {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.health.Probes(now)
}

// usable returns the servers of a service and stage that take new work.
func (v *view) usable(service string, stage catalog.Stage) []catalog.Server {
	var out []catalog.Server
	v.servers.Each(func(_ string, s catalog.Server) bool {
		if s.Service == service && s.Stage == stage && !s.Leaving {
			out = append(out, s)
		}
		return true
	})
	return out
}

// usableIDs returns the ids of all servers that take new work.
func (v *view) usableIDs() []string {
	var out []string
	v.servers.Each(func(id string, s catalog.Server) bool {
		if !s.Leaving {
			out = append(out, id)
		}
		return true
	})
	return out
}
