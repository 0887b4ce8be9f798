package gateway

import (
	"context"
	"errors"
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
	"jayford.example/jayford/internal/verdict"
	"jayford.example/jayford/internal/wait"
)

// Origins keeps which software version began each stream. origin.Exchange implements it.
type Origins interface {
	// Tell stores a record for a time, here and at other gateways.
	Tell(r origin.Record, ttl time.Duration)
	// Local returns the record of a stream if this gateway has it, Ask asks others for it.
	Local(stream uint64) (origin.Record, bool)
	Ask(ctx context.Context, stream uint64) (origin.Record, bool)
	// Len returns the number of records held.
	Len() int
}

const (
	// maxLoggedSoftware bounds a software version in logs, in bytes.
	maxLoggedSoftware = 64
	// streamLifeTimeouts is for how many timeouts of its route a stream may be taken up
	// again: one for the stream, one for its caller's patience.
	streamLifeTimeouts = 2
	// unknownStreamRetryAfter is the Retry-After for a stream whose version wasn't learned:
	// the gateways that know it may be reachable by then.
	unknownStreamRetryAfter = time.Second
)

// Outcomes of resumptions, in logs and metrics.
const (
	resumed              = "resumed"
	resumeVersionUnknown = "version-unknown"
	resumeNoServer       = "no-server"
	resumeOtherVersion   = "other-version"
)

// Ways to resume a stream: by its caller's own attempt, or within its answer.
const (
	byCaller     = "caller"
	withinAnswer = "answer"
)

// errOtherSoftware ends a stream whose server turned out to have another software version
// than the one that began it.
var errOtherSoftware = errors.New("gateway: the server has another software version than the one that began the stream")

// logged returns a software version as it is logged.
func logged(software string) string {
	if len(software) <= maxLoggedSoftware {
		return software
	}
	return software[:maxLoggedSoftware] + "..."
}

// streamLife returns for how long a stream of the route may be taken up again.
func streamLife(r *catalog.Route) time.Duration { return streamLifeTimeouts * r.Timeout }

// softwareVersions has the versions that servers have and lately had.
type softwareVersions struct {
	mu sync.Mutex
	// All below is guarded by mu. names has the names behind the hashes.
	history *origin.History
	listed  map[origin.Served]int
	names   map[uint64]string
	// streams counts the resumptions, by service, way and outcome.
	streams map[string]map[string]int
	// earlier has the digests of LearnSoftware once learned is set. complete is whether it is
	// known what served before the start.
	earlier           []uint64
	learned, complete bool
	// onChange is called when a version came or went; it is set before use.
	onChange func()
}

func newSoftwareVersions(b *board.Board, now time.Time) *softwareVersions {
	v := &softwareVersions{history: origin.NewHistory(now), names: map[uint64]string{}, streams: map[string]map[string]int{}, onChange: func() {}}
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
	for _, s := range v.history.Since(sharedWithin, time.Now()) {
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

func (v *softwareVersions) set(list *listing, now time.Time) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	listed := map[origin.Served]int{}
	for i := range list.all {
		c := &list.all[i]
		s := origin.Served{Service: origin.Hash(c.Service), Software: c.software}
		if listed[s] == 0 {
			v.names[s.Service], v.names[s.Software] = c.Service, logged(c.Software)
		}
		listed[s]++
	}
	for s := range v.listed {
		softwareServers(v.names[s.Service], v.names[s.Software]).Set(float64(listed[s]))
	}
	for s, n := range listed {
		softwareServers(v.names[s.Service], v.names[s.Software]).Set(float64(n))
	}
	first := v.listed == nil
	v.listed = listed
	changed := v.history.Update(listed, now)
	v.compareLocked(now)
	v.pruneNamesLocked(now)
	return changed && !first
}

// pruneNamesLocked drops the names of versions that are no longer remembered.
func (v *softwareVersions) pruneNamesLocked(now time.Time) {
	kept := map[uint64]bool{}
	for _, s := range v.history.Since(origin.HistoryTTL, now) {
		kept[s.Service], kept[s.Software] = true, true
	}
	maps.DeleteFunc(v.names, func(h uint64, _ string) bool { return !kept[h] })
}

// softwareServers is the number of listed servers of a version.
func softwareServers(service, software string) *metrics.Gauge {
	return metrics.GetOrCreateGauge(fmt.Sprintf("jayford_gateway_software_servers{service=%q,software=%q}", service, software), nil)
}

// sharedWithin is how long ago a version that this gateway tells others of was last listed,
// at most. It exceeds streamLife of usual routes.
const sharedWithin = time.Minute

// SoftwareDigest returns a digest of the software versions that servers had lately, 0 if it
// isn't known which these are.
func (g *Gateway) SoftwareDigest() uint64 {
	g.software.mu.Lock()
	defer g.software.mu.Unlock()
	now := time.Now()
	if !g.software.history.IsComplete(sharedWithin, now) {
		return 0
	}
	return g.software.history.Digest(sharedWithin, now)
}

// LearnSoftware sets the digests that other gateways, and earlier processes of this one, have
// stored. A process that finds no gateway at its start knows that no stream began before.
// Otherwise what served before is known once all digests are that of the listed versions.
func (g *Gateway) LearnSoftware(digests []uint64, anyGateway bool) {
	v := g.software
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.complete {
		return
	}
	first := !v.learned
	v.learned, v.earlier = true, digests
	if first && !anyGateway {
		v.setCompleteLocked()
	}
	v.compareLocked(time.Now())
	g.log.WithFields(logrus.Fields{"digests": len(digests), "known": v.complete}).Info("gateway: earlier software versions read.")
}

// compareLocked completes the history if the versions listed now are those that served
// before the start.
func (v *softwareVersions) compareLocked(now time.Time) {
	if v.complete || len(v.earlier) == 0 {
		return
	}
	current := v.history.Digest(0, now)
	if slices.ContainsFunc(v.earlier, func(d uint64) bool { return d != current }) {
		return
	}
	v.setCompleteLocked()
}

func (v *softwareVersions) setCompleteLocked() {
	v.complete = true
	v.history.SetComplete()
}

// waitLearned waits until the other gateways' digests have been read, for origin.MaxWait at
// most: callers come back within milliseconds of a start.
func (v *softwareVersions) waitLearned(ctx context.Context) {
	for until := time.Now().Add(origin.MaxWait); !v.hasLearned() && time.Now().Before(until); {
		if !wait.Sleep(ctx, loadPollInterval) {
			return
		}
	}
}

func (v *softwareVersions) hasLearned() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.learned
}

// OnSoftwareChange registers f, which is called when a software version comes or goes. It
// must be called before the first list of servers.
func (g *Gateway) OnSoftwareChange(f func()) { g.software.onChange = f }

// sole returns the one version at which a stream of the service may have begun within a time
// before now, 0 if there are several or it isn't known.
func (v *softwareVersions) sole(service uint64, within time.Duration) uint64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.history.Sole(service, within, time.Now())
}

// mayRun reports whether a job may run at a server: a stream that has begun goes on only at
// the software version that began it.
func (j *job) mayRun(s *candidate) bool {
	return !j.begun || j.software != 0 && j.software == s.software
}

// decodeEngines returns the engines that may decode the job's generation.
func (g *Gateway) decodeEngines(j *job) []candidate {
	list := g.view.list().usable(j.service.Name, catalog.Decode)
	if !j.begun {
		return list
	}
	var out []candidate
	for i := range list {
		if j.mayRun(&list[i]) {
			out = append(out, list[i])
		}
	}
	return out
}

// findOrigin finds the version that began the stream which a caller takes up again, and the
// service if the route has several. It returns the refusal of a stream whose version isn't known.
func (g *Gateway) findOrigin(ctx context.Context, j *job) *verdict.Error {
	x := j.r.Generation
	if x == nil || x.LastEventID == "" && x.Resumes == "" {
		return nil
	}
	j.begun = true
	stream := origin.Hash(x.Resumes)
	r, ok := g.origins.Local(stream)
	if !g.applyOrigin(j, r, ok) {
		g.software.waitLearned(ctx)
		j.software = g.software.sole(origin.Hash(j.service.Name), streamLife(j.route))
	}
	if j.software == 0 && stream != 0 {
		r, ok = g.origins.Ask(ctx, stream)
		g.applyOrigin(j, r, ok)
	}
	if j.software != 0 {
		return nil
	}
	g.logNotResumed(j, byCaller, resumeVersionUnknown)
	return verdict.New(
		verdict.NotRun, verdict.NoServer, "It isn't known which software version began the stream.",
	).WithRetryAfter(unknownStreamRetryAfter)
}

// applyOrigin applies a record that was found, and reports whether it is of the job's stream:
// of the same content, and at a service of its route.
func (g *Gateway) applyOrigin(j *job, r origin.Record, found bool) bool {
	if !found || r.Content != j.fingerprint {
		return false
	}
	c := g.Config()
	for _, t := range j.route.Targets {
		if origin.Hash(t.Service) != r.Service || t.Weight <= 0 {
			continue
		}
		if s, ok := c.Services[t.Service]; ok {
			j.service, j.software = s, r.Software
			return true
		}
	}
	return false
}

// noVersionError returns the refusal of a stream that no server can go on with now, nil if
// one can.
func (g *Gateway) noVersionError(j *job, engines []candidate) *verdict.Error {
	if !j.begun || len(engines) > 0 {
		return nil
	}
	g.logNotResumed(j, byCaller, resumeNoServer)
	return verdict.New(
		verdict.NotRun, verdict.NoServer, "No server of the software version that began the stream takes work.",
	).WithRetryAfter(noServerRetryAfter)
}

// admitFirstEvent is called with the first event of each server of a stream, before it is
// passed on. It fixes the version of a stream that begins, and returns an error if one that goes
// on does so at another: between the choice and now, the server may have started again under its
// id.
func (s *stream) admitFirstEvent() error {
	j := s.j
	software := s.g.view.softwareOf(s.reservation.server)
	way := withinAnswer
	if s.lastEventAt.IsZero() {
		way = byCaller
	}
	switch {
	case !j.begun:
		j.begun, j.software = true, software
	case j.software == 0 || j.software != software:
		s.g.logNotResumed(j, way, resumeOtherVersion)
		return errOtherSoftware
	default:
		s.g.software.count(j.service.Name, way, resumed)
	}
	if way == byCaller && j.route.Resume {
		s.g.origins.Tell(origin.Record{
			Stream: origin.Hash(j.r.ID), Content: j.fingerprint, Service: origin.Hash(j.service.Name), Software: j.software,
		}, streamLife(j.route))
	}
	return nil
}

// logNotResumed logs and counts a stream that couldn't be resumed.
func (g *Gateway) logNotResumed(j *job, way, why string) {
	g.software.count(j.service.Name, way, why)
	g.logRequest(j, "gateway: stream can't be resumed.", logrus.Fields{
		"way": way, "why": why, "resumes": j.r.Generation.Resumes, "last": j.r.Generation.LastEventID,
		"service": j.service.Name, "software": g.software.name(j.software),
	})
}

// name returns the name of a version as it is logged, "" if it is forgotten.
func (v *softwareVersions) name(software uint64) string {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.names[software]
}

// resumptions counts the streams that were to be resumed.
func resumptions(service, way, outcome string) *metrics.Counter {
	return metrics.GetOrCreateCounter(fmt.Sprintf("jayford_gateway_stream_resumptions_total{service=%q,way=%q,outcome=%q}", service, way, outcome))
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
