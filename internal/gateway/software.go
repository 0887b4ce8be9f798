package gateway

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"

	"jayford.example/jayford/internal/board"
	"jayford.example/jayford/internal/catalog"
	"jayford.example/jayford/internal/origin"
	"jayford.example/jayford/internal/wait"
)

// maxLoggedSoftware bounds a software version in logs, in bytes.
const maxLoggedSoftware = 64

// loggedSoftware returns a software version as it is logged.
func loggedSoftware(software string) string {
	if len(software) <= maxLoggedSoftware {
		return software
	}
	return software[:maxLoggedSoftware] + "..."
}

// softwareVersions has the versions that servers have and lately had.
type softwareVersions struct {
	// onChange is called when a version came or went; it is set before use.
	onChange func()

	mu sync.Mutex
	// All below is guarded by mu. names has the names behind the hashes.
	history *origin.History
	listed  map[origin.Served]int
	names   map[uint64]string
	// series are the names of the versions' metrics.
	series map[origin.Served]string
	// streams counts the resumptions, by service, way and outcome.
	streams map[string]map[string]int
	// digests are the other gateways' ones as last read, digestsRead whether they ever were.
	digests     []uint64
	digestsRead bool
	// complete: it is known what served before this process started, or before a gap.
	complete bool
	// observed: a version was observed that the last list lacked.
	observed bool
	// poll asks the store once for changes of the servers, and reports whether it did. It is nil
	// before the servers are followed.
	poll func() bool
	// polling is set during a poll, and polledAt is when the last one began (package boottime).
	polling  bool
	polledAt time.Duration
	// confirmed is closed, and replaced, when a poll has ended or the store confirmed the list.
	confirmed chan struct{}
}

func newSoftwareVersions(b *board.Board) *softwareVersions {
	v := &softwareVersions{
		history: origin.NewHistory(), names: map[uint64]string{}, series: map[origin.Served]string{}, streams: map[string]map[string]int{},
		onChange: func() {}, confirmed: make(chan struct{}),
	}
	b.AddView("versions", v.dump)
	return v
}

// versionsDump is the part of the dump about software versions.
type versionsDump struct {
	Versions []versionDump
	// Streams counts the resumptions, by service, then by way and outcome.
	Streams map[string]map[string]int
}

// versionDump is one version. Servers is 0 if it served lately, but does no more.
type versionDump struct {
	Service, Software string
	Servers           int
}

func (v *softwareVersions) dump() any {
	v.mu.Lock()
	defer v.mu.Unlock()
	out := versionsDump{Streams: map[string]map[string]int{}}
	for _, s := range v.history.Since(origin.HistoryTTL, time.Now()) {
		out.Versions = append(out.Versions, versionDump{v.names[s.Service], v.names[s.Software], v.listed[s]})
	}
	for service, counts := range v.streams {
		out.Streams[service] = maps.Clone(counts)
	}
	return out
}

// count counts a resumption.
func (v *softwareVersions) count(service, way, outcome string) {
	resumptions(service, way, outcome).Inc()
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.streams[service] == nil {
		v.streams[service] = map[string]int{}
	}
	v.streams[service][way+" "+outcome]++
}

// update sets the servers that are listed.
func (v *softwareVersions) update(list *listing, now time.Time) {
	if v.set(list, now) {
		v.onChange()
	}
}

// set is update, and reports whether a version came or went since the first list.
func (v *softwareVersions) set(list *listing, now time.Time) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	before := v.listed
	v.listed = v.countLocked(list)
	v.publishLocked(before)
	changed := v.history.Update(v.listed, now) || v.observed
	v.observed = false
	v.compareLocked(now)
	v.forgetLocked(now)
	return changed && before != nil
}

// observe records the version in a server's entry. Another change in the same answer of the
// platform may replace or delete that before the next list.
func (v *softwareVersions) observe(x catalog.Server, now time.Time) {
	s := origin.Served{Service: origin.Hash(x.Service), Software: origin.Hash(x.Software)}
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.history.Observe(s, now) {
		v.observed = true
		v.names[s.Service], v.names[s.Software] = x.Service, loggedSoftware(x.Software)
	}
}

// restart records that the next list doesn't continue the one before. The other gateways'
// digests are read again then.
func (v *softwareVersions) restart(now time.Time) {
	v.mu.Lock()
	v.history.Restart(now)
	v.complete, v.digests, v.observed = false, nil, true
	v.mu.Unlock()
}

// countLocked returns the number of servers by version, and remembers the versions' names.
func (v *softwareVersions) countLocked(list *listing) map[origin.Served]int {
	out := map[origin.Served]int{}
	for i := range list.all {
		c := &list.all[i]
		s := origin.Served{Service: origin.Hash(c.Service), Software: c.software}
		if out[s] == 0 {
			v.names[s.Service], v.names[s.Software] = c.Service, loggedSoftware(c.Software)
		}
		out[s]++
	}
	return out
}

// publishLocked sets the metrics of the versions that are listed, and of those that were.
func (v *softwareVersions) publishLocked(before map[origin.Served]int) {
	for _, versions := range []map[origin.Served]int{before, v.listed} {
		for s := range versions {
			v.series[s] = softwareSeries(v.names[s.Service], v.names[s.Software])
			metrics.GetOrCreateGauge(v.series[s], nil).Set(float64(v.listed[s]))
		}
	}
}

// forgetLocked drops the names and metrics of versions that are no longer remembered.
func (v *softwareVersions) forgetLocked(now time.Time) {
	kept, remembered := map[uint64]bool{}, map[origin.Served]bool{}
	for _, s := range v.history.Since(origin.HistoryTTL, now) {
		kept[s.Service], kept[s.Software], remembered[s] = true, true, true
	}
	maps.DeleteFunc(v.names, func(h uint64, _ string) bool { return !kept[h] })
	maps.DeleteFunc(v.series, func(s origin.Served, series string) bool {
		if remembered[s] {
			return false
		}
		metrics.UnregisterMetric(series)
		return true
	})
}

// softwareSeries names the metric of the listed servers of a version.
func softwareSeries(service, software string) string {
	return fmt.Sprintf("jayford_gateway_software_servers{service=%q,software=%q}", service, software)
}

// SoftwareDigest returns a digest of the software versions that servers had lately, 0 if it
// isn't known which these are.
func (g *Gateway) SoftwareDigest() uint64 {
	g.software.mu.Lock()
	defer g.software.mu.Unlock()
	now := time.Now()
	if !g.software.history.IsComplete(origin.HistoryTTL, now) {
		return 0
	}
	return g.software.history.Digest(origin.HistoryTTL, now)
}

// SetSoftwareDigests sets the digests that other gateways, and earlier processes of this one,
// have stored. A process that finds no gateway at its start knows that no stream began before.
// Otherwise what served before is known once all digests are that of the listed versions.
func (g *Gateway) SetSoftwareDigests(digests []uint64, foundGateway bool) {
	v := g.software
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.complete {
		return
	}
	first := !v.digestsRead
	v.digestsRead, v.digests = true, digests
	if first && !foundGateway {
		v.setCompleteLocked()
	}
	v.compareLocked(time.Now())
	g.log.WithFields(logrus.Fields{"digests": len(digests), "known": v.complete}).Info("gateway: earlier software versions read.")
}

// compareLocked completes the history if the versions listed now are those that served
// before the start.
func (v *softwareVersions) compareLocked(now time.Time) {
	if v.complete || len(v.digests) == 0 {
		return
	}
	current := v.history.Digest(0, now)
	if slices.ContainsFunc(v.digests, func(d uint64) bool { return d != current }) {
		return
	}
	v.setCompleteLocked()
}

func (v *softwareVersions) setCompleteLocked() {
	v.complete = true
	v.history.SetComplete()
}

// waitDigests waits for the first reading of the other gateways' digests, origin.MaxWait at
// most: the callers of a process that was killed come back before its successor has read them.
func (v *softwareVersions) waitDigests(ctx context.Context) {
	for until := time.Now().Add(origin.MaxWait); !v.hasDigests() && time.Now().Before(until); {
		if !wait.Sleep(ctx, loadPollInterval) {
			return
		}
	}
}

func (v *softwareVersions) hasDigests() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.digestsRead
}

// OnSoftwareChange registers f, which is called when a software version comes or goes. It
// must be called before the first list of servers.
func (g *Gateway) OnSoftwareChange(f func()) { g.software.onChange = f }

// sole returns the one version at which a stream of one of the services may have begun within a
// time before now, 0 if there are several or it isn't known.
func (v *softwareVersions) sole(services []uint64, within time.Duration) uint64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.history.Sole(services, within, time.Now())
}

// name returns the name of a version as it is logged, "" if it is forgotten.
func (v *softwareVersions) name(software uint64) string {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.names[software]
}

// softwareOf returns the software version of a server's entry, or of the server as it was
// chosen if it is no longer listed.
func (v *view) softwareOf(s catalog.Server) uint64 {
	key := serverKey(s)
	list := v.list()
	for i := range list.all {
		if list.all[i].key == key {
			return list.all[i].software
		}
	}
	return origin.Hash(s.Software)
}
