package gateway

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"

	"jayford.example/jayford/internal/boottime"
	"jayford.example/jayford/internal/catalog"
	"jayford.example/jayford/internal/origin"
	"jayford.example/jayford/internal/verdict"
)

// Origins keeps which software version began each stream. origin.Exchange implements it.
type Origins interface {
	// Tell stores a record for a time, here and at other gateways.
	Tell(r origin.Record, ttl time.Duration)
	// Local returns the record of a stream if this gateway has it, Ask asks others for it.
	Local(stream uint64) (origin.Record, bool)
	Ask(ctx context.Context, stream uint64) (origin.Record, error)
}

const (
	// streamLifeTimeouts is for how many timeouts of its route a stream may be
	// resumed: one for the stream, one for its caller's patience.
	streamLifeTimeouts = 2
	// unknownStreamRetryAfter is the Retry-After for a stream whose version isn't known. The
	// gateways that know it may be reachable by then.
	unknownStreamRetryAfter = time.Second
)

// Outcomes of resumptions, in logs and metrics.
const (
	resumed              = "resumed"
	resumeVersionUnknown = "version-unknown"
	// resumeListUnconfirmed: one version is known, but the store didn't confirm that there is no
	// other.
	resumeListUnconfirmed = "list-unconfirmed"
	resumeNoServer        = "no-server"
	resumeOtherVersion    = "other-version"
)

// Ways to resume a stream: by its caller's own attempt, or within its answer.
const (
	byCaller     = "caller"
	withinAnswer = "answer"
)

// errOtherSoftware ends a stream whose server turned out to have another software version
// than the one that began it.
var errOtherSoftware = errors.New("gateway: the server has another software version than the one that began the stream")

// streamLife returns for how long a stream of the route may be resumed.
func streamLife(r *catalog.Route) time.Duration { return streamLifeTimeouts * r.Timeout }

// mayRun reports whether a job may run at a server: a stream that has begun goes on only at
// the software version that began it.
func (j *job) mayRun(s *candidate) bool {
	return !j.begun || j.software != 0 && j.software == s.software
}

// usable returns the servers of a stage at which the job may run. All servers that begin a
// request, or go on with one, are chosen among these.
func (g *Gateway) usable(j *job, stage catalog.Stage) []candidate {
	list := g.view.list().usable(j.service.Name, stage)
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

// findOrigin finds the version that began the stream that a caller resumes, and the
// service if the route has several. It returns the refusal of a stream whose version isn't known.
func (g *Gateway) findOrigin(ctx context.Context, j *job) *verdict.Error {
	x := j.r.Generation
	if x == nil || x.LastEventID == "" && x.FirstAttemptID == "" {
		return nil
	}
	j.begun = true
	arrived := boottime.Now()
	why := resumeVersionUnknown
	r, err := g.findRecord(ctx, origin.Hash(x.FirstAttemptID))
	if err == nil && r.Content == j.fingerprint {
		g.applyRecord(j, r)
		if !g.hasServer(j) {
			// Its servers may have come since the list was confirmed.
			g.software.awaitConfirmed(ctx, arrived)
		}
	} else {
		j.software, why = g.findSole(ctx, j, arrived)
	}
	if j.software != 0 {
		return nil
	}
	g.logNotResumed(j, byCaller, why)
	if why == resumeListUnconfirmed {
		return g.sendElsewhere(verdict.New(
			verdict.NotRun, verdict.PlatformDown, "This gateway may not know the software version that began the stream.",
		).WithRetryAfter(unknownStreamRetryAfter))
	}
	return verdict.New(
		verdict.NotRun, verdict.NoServer, "It isn't known which software version began the stream.",
	).WithRetryAfter(unknownStreamRetryAfter)
}

// hasServer reports whether a listed server of the job's service takes work at which it may run.
func (g *Gateway) hasServer(j *job) bool {
	stage := catalog.NoStage
	if j.service.Engine != nil {
		stage = catalog.Decode
	}
	return len(g.usable(j, stage)) > 0
}

// findSole returns the one version at which a stream may have begun that nobody knows, or 0 and
// why there is none. Another gateway may have begun the stream at a server whose entry was
// written until the caller's attempt arrived (package boottime).
func (g *Gateway) findSole(ctx context.Context, j *job, arrived time.Duration) (software uint64, why string) {
	g.software.waitDigests(ctx)
	if g.soleVersion(j) == 0 {
		return 0, resumeVersionUnknown
	}
	if g.loads.peers != nil && !g.software.awaitConfirmed(ctx, arrived) {
		return 0, resumeListUnconfirmed
	}
	return g.soleVersion(j), resumeVersionUnknown
}

// soleVersion returns the one version at which a stream of the job's route may have begun,
// according to this gateway's list, 0 if there are several or it isn't known. Each of the route's
// services may have begun it.
func (g *Gateway) soleVersion(j *job) uint64 {
	services := []uint64{origin.Hash(j.service.Name)}
	for _, t := range j.route.Targets {
		services = append(services, origin.Hash(t.Service))
	}
	return g.software.sole(services, streamLife(j.route))
}

// findRecord returns the record of a stream that this gateway or another one has. stream is 0
// if the caller doesn't say which one it is.
func (g *Gateway) findRecord(ctx context.Context, stream uint64) (origin.Record, error) {
	if stream == 0 {
		return origin.Record{}, origin.ErrUnknown
	}
	if r, ok := g.origins.Local(stream); ok {
		return r, nil
	}
	return g.origins.Ask(ctx, stream)
}

// applyRecord applies the record of the job's stream. A route may have several services: the
// stream goes on at the one that began it, or at the same version where the route has moved.
func (g *Gateway) applyRecord(j *job, r origin.Record) {
	j.software = r.Software
	c := g.Config()
	for _, t := range j.route.Targets {
		s, ok := c.Services[t.Service]
		if ok && t.Weight > 0 && origin.Hash(t.Service) == r.Service {
			j.service = s
		}
	}
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
func (s *stream) admitFirstEvent(x *source) error {
	j := s.j
	software := s.g.view.softwareOf(x.server())
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
		"way": way, "why": why, "firstAttempt": j.r.Generation.FirstAttemptID, "last": j.r.Generation.LastEventID,
		"service": j.service.Name, "software": g.software.name(j.software),
	})
}

// resumptions counts the streams that were to be resumed.
func resumptions(service, way, outcome string) *metrics.Counter {
	return metrics.GetOrCreateCounter(fmt.Sprintf("jayford_gateway_stream_resumptions_total{service=%q,way=%q,outcome=%q}", service, way, outcome))
}
