package gateway

import (
	"maps"
	"math"
	"time"

	"github.com/sirupsen/logrus"

	"jayford.example/jayford/internal/catalog"
	"jayford.example/jayford/internal/policy/blame"
	"jayford.example/jayford/internal/policy/prefill"
	"jayford.example/jayford/internal/policy/retry"
	"jayford.example/jayford/internal/upstream"
)

// job is one request in progress.
type job struct {
	r        *Request
	progress *progress
	// fingerprint identifies r by its content and its caller's organisation.
	fingerprint uint64
	// model is a hash of its model's name, parts those of the parts of its prompt.
	model uint32
	parts []uint64
	// attempt is what is judged before each sending.
	attempt blame.Attempt
	route   *catalog.Route
	service catalog.Service
	// organisation is the caller's, nil if the route needs no key.
	organisation *catalog.Organisation
	// rank is how urgent the request is, 0 the most; isRanked: requests of its service
	// differ in it.
	rank     int
	isRanked bool
	// config is the version of the configuration that routed the request.
	config uint64
	// until is the deadline for the final answer.
	until time.Time
	// sends counts the attempts, runs those that may have run.
	sends, runs int
	// arrivals has the attempts that reached servers, prefills included.
	arrivals retry.Arrivals
	// last is the last attempt, nil before the first.
	last *attempt
	// prefillState is the progress of the prompt's prefill.
	prefillState prefill.Attempts
	// reserveWait is the time from the request's arrival to its reservation.
	reserveWait time.Duration
	// begun: the caller has events of the stream, or is about to get the first one. It goes on
	// only at servers of the software version software, at none if that is 0.
	begun    bool
	software uint64
	// rounds counts the rounds of reservation attempts.
	rounds int
	// avoid has the keys of the servers that failed this request.
	avoid map[string]bool
}

// attempt is one sending of a request to a server.
type attempt struct {
	// sentAt is when it began, wroteAt when its first event came, zero before.
	sentAt, wroteAt time.Time
	// proven: it was recorded to run well.
	proven bool
	// trace says over which connection it went.
	trace upstream.Trace
}

// logConnection adds to the fields of a log line over which connection an attempt went.
func (a *attempt) logConnection(fields logrus.Fields) logrus.Fields {
	if a == nil || a.trace.Connection == 0 {
		return fields
	}
	fields["connection"], fields["use"] = a.trace.Connection, a.trace.Use
	return fields
}

// writingTime returns for how long the attempt had written events at a time, 0 if it had
// written none.
func (a *attempt) writingTime(at time.Time) time.Duration {
	if a.wroteAt.IsZero() {
		return 0
	}
	return max(0, at.Sub(a.wroteAt))
}

// logRequest logs a decision about a request, with its inputs as fields.
func (g *Gateway) logRequest(j *job, msg string, fields logrus.Fields) {
	all := logrus.Fields{
		"request": j.r.ID, "route": j.route.Name, "config": j.config, "sends": j.sends, "runs": j.runs,
		"age": milliseconds(time.Since(j.r.Arrived)), "left": milliseconds(time.Until(j.until)),
	}
	if j.organisation != nil {
		all["organisation"] = j.organisation.Name
	}
	if j.isRanked || j.rank > 0 {
		all["rank"] = j.rank
	}
	maps.Copy(all, fields)
	g.log.WithFields(all).Info(msg)
}

func milliseconds(d time.Duration) float64 { return round(float64(d) / float64(time.Millisecond)) }

// round returns x with one decimal place.
func round(x float64) float64 { return math.Round(x*10) / 10 }
