package gateway

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"jayford.example/jayford/internal/admission"
	"jayford.example/jayford/internal/board"
	"jayford.example/jayford/internal/boottime"
	"jayford.example/jayford/internal/catalog"
	"jayford.example/jayford/internal/policy/doubt"
	"jayford.example/jayford/internal/wait"
)

// view is the gateway's local view of the system: the configuration in force, the
// listed servers and their health.
//
// It may be stale. A stale view costs at most a refusal by the server, which checks
// its own identity, capacity and stage; it can't make a request run twice.
type view struct {
	config atomic.Pointer[catalog.Config]
	// confirmedAt is the boot time (package boottime) at which no newer configuration than
	// the one in force existed, 0 if that is unknown.
	confirmedAt atomic.Int64
	// listing is the latest list of servers, nil before the first.
	listing atomic.Pointer[listing]
	// complete is set once the whole list was received, not only its first pages.
	complete atomic.Bool
	// peers is the number of live gateways, 0 if unknown.
	peers atomic.Int64

	log *logrus.Entry

	listMu sync.Mutex
	// departures is guarded by listMu, as are changes of listing.
	departures *departures

	mu sync.Mutex
	// health is guarded by mu.
	health *doubt.Set
}

func newView(b *board.Board, log *logrus.Entry) *view {
	v := &view{
		log: log, departures: newDepartures(),
		health: doubt.NewSet(doubt.Options{
			MinBackoff: healthMinBackoff, MaxBackoff: healthMaxBackoff,
			ProbeTimeout: probeTimeout, Ramp: healthRamp, FailureWindow: strikeTTL,
			ProbesPerZone: probesPerZone,
		}, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))),
	}
	b.AddView("servers", func() any { return v.list().all })
	return v
}

const (
	// healthMinBackoff and healthMaxBackoff bound the backoff between probes. A
	// restarting server is back within a few seconds, and a probe costs far less than a
	// request to a dead server.
	healthMinBackoff = 250 * time.Millisecond
	healthMaxBackoff = 2 * time.Second
	healthRamp       = 2 * time.Second
	probeTimeout     = time.Second
	// strikeTTL is how long a missed response counts (doubt.Options.FailureWindow).
	strikeTTL     = 4 * time.Second
	probesPerZone = 4
)

// setConfig puts c in force unless the current configuration is the same version or
// newer.
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

// confirm records that no newer configuration than the one in force existed at the given
// boot time.
func (v *view) confirm(at time.Duration) {
	for {
		old := v.confirmedAt.Load()
		if int64(at) <= old || v.confirmedAt.CompareAndSwap(old, int64(at)) {
			return
		}
	}
}

// confirmed returns the configuration in force, nil if there is none, and its age, 0 if it
// declares no organisations. The time is read first: a configuration that comes into force
// in between is newer than the one that was confirmed.
func (v *view) confirmed() admission.Confirmed {
	at := time.Duration(v.confirmedAt.Load())
	c := v.config.Load()
	if c == nil || c.Organisations == nil {
		return admission.Confirmed{Config: c}
	}
	return admission.Confirmed{Config: c, Age: boottime.Now() - at}
}

// setServers replaces the list of servers.
func (v *view) setServers(list []catalog.Server) {
	v.listMu.Lock()
	defer v.listMu.Unlock()
	v.publishLocked(list)
}

// recordLeaving records that a server says it is leaving, whatever its entry says.
func (v *view) recordLeaving(s catalog.Server, now time.Time) {
	v.listMu.Lock()
	defer v.listMu.Unlock()
	if !v.departures.record(serverKey(s), now) {
		return
	}
	v.log.WithField("server", serverKey(s)).Info("gateway: server says that it is leaving.")
	if l := v.listing.Load(); l != nil {
		v.publishLocked(l.servers())
	}
}

// isLeaving reports whether a server has said that it is leaving.
func (v *view) isLeaving(key string) bool {
	v.listMu.Lock()
	defer v.listMu.Unlock()
	return v.departures.has(key)
}

// publishLocked publishes the list, with the servers that said they are leaving marked so.
func (v *view) publishLocked(list []catalog.Server) {
	l := newListing(v.departures.apply(list, time.Now()))
	v.listing.Store(l)
	health := make([]doubt.Instance, 0, len(list))
	for _, c := range l.all {
		health = append(health, doubt.Instance{ID: c.key, AvailabilityZone: c.AvailabilityZone, Leaving: c.Leaving})
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	v.health.ApplyList(time.Now(), health)
}

// loaded reports whether the configuration and a list of servers are loaded.
func (v *view) loaded() bool { return v.config.Load() != nil && v.listing.Load() != nil }

// waitLoaded waits until both are loaded, at most until by.
func (v *view) waitLoaded(ctx context.Context, by time.Time) {
	for !v.loaded() && time.Now().Before(by) {
		if !wait.Sleep(ctx, loadPollInterval) {
			return
		}
	}
}

// loadPollInterval is how often waitLoaded checks.
const loadPollInterval = 10 * time.Millisecond

// list returns the latest list of servers, an empty one before the first.
func (v *view) list() *listing {
	if l := v.listing.Load(); l != nil {
		return l
	}
	return newListing(nil)
}

// recordOutcome updates the health of s with the outcome of a request or probe, and reports
// whether the server was trusted before.
func (v *view) recordOutcome(s catalog.Server, o doubt.Outcome) bool {
	now := time.Now()
	v.mu.Lock()
	defer v.mu.Unlock()
	before, after, turned := v.health.RecordTransition(serverKey(s), now, now, o)
	if turned {
		v.logHealth(serverKey(s), before, after, o.String())
	}
	return before == doubt.Trusted
}

// recordPeerDoubt records that a peer doubts a server, given by its gossip.ServerKey.
func (v *view) recordPeerDoubt(server uint64, peer string, since, now time.Time) {
	found, ok := v.list().find(server)
	if !ok {
		return
	}
	key := found.key
	v.mu.Lock()
	defer v.mu.Unlock()
	before, _ := v.health.View(key, now)
	v.health.RecordPeer(key, peer, since, now)
	if after, _ := v.health.View(key, now); after.State != before.State {
		peerDoubts.Inc()
		v.logHealth(key, before.State, after.State, "peers")
	}
}

func (v *view) logHealth(server string, before, after doubt.State, evidence string) {
	v.log.WithFields(logrus.Fields{
		"server": server, "state": after.String(), "before": before.String(), "evidence": evidence,
	}).Info("gateway: server's health changed.")
}

// suspects reports for each server of the list whether it is suspect: doubted, being
// probed or leaving (doubt.View.LastResort), and so used only if no other is left.
func (v *view) suspects(list []candidate, now time.Time) []bool {
	out := make([]bool, len(list))
	v.mu.Lock()
	defer v.mu.Unlock()
	for i := range list {
		h, ok := v.health.View(list[i].key, now)
		out[i] = ok && h.LastResort()
	}
	return out
}

func (v *view) probes(now time.Time) []string {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.health.Probes(now)
}
