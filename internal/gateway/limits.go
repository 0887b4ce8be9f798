package gateway

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"jayford.example/jayford/internal/board"
	"jayford.example/jayford/internal/catalog"
	"jayford.example/jayford/internal/policy/limit"
	"jayford.example/jayford/internal/verdict"
	"jayford.example/jayford/internal/wait"
)

const (
	// limitTrialAfter is how long after a server's last answer with a limit a gateway
	// sends it a trial request, in its turn, as the limit may have been lifted.
	limitTrialAfter = 10 * time.Second
	// limitRetryAfter bounds the Retry-After of requests refused at servers' limits,
	// as another gateway may have more of its share left.
	limitRetryAfter = time.Second
	// limitSpread is the mean jitter of that Retry-After. Callers that return together
	// would exceed the limit again.
	limitSpread = 500 * time.Millisecond
)

// serverLimit is the latest rate limit that a server returned, for one incarnation of
// it.
type serverLimit struct {
	PerSecond float64
	Heard     time.Time
	// trialAt is when the last trial request was granted.
	trialAt time.Time
	place   limit.Position
	share   limit.Share
}

// limits has the rate limits of servers by their keys, and this gateway's shares of
// them.
type limits struct {
	self string
	log  *logrus.Entry
	// nonEmpty is whether byServer has entries. Mostly it has none, and each choice of
	// a server checks this without a lock.
	nonEmpty atomic.Bool

	mu sync.Mutex
	// All below is guarded by mu. gateways are those that share the limits, nil if
	// unknown.
	byServer map[string]*serverLimit
	gateways []string
	// demand is this gateway's, part its part of each limit by that, 0 for an equal one.
	demand limit.Demand
	part   float64
}

// countRequest counts a request towards this gateway's demand.
func (l *limits) countRequest() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.demand.Count(time.Now())
}

// rate returns this gateway's demand in requests a second.
func (l *limits) rate() float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.demand.Rate(time.Now())
}

func newLimits(self string, b *board.Board, log *logrus.Entry) *limits {
	l := &limits{self: self, log: log, byServer: map[string]*serverLimit{}}
	b.AddView("limits", l.dump)
	return l
}

func (l *limits) dump() any {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make(map[string]serverLimit, len(l.byServer))
	for key, x := range l.byServer {
		out[key] = *x
	}
	return out
}

// update applies the limit of an answer that was received at now.
func (l *limits) update(s catalog.Server, n RateLimit, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	at := serverKey(s)
	x := l.byServer[at]
	fields := logrus.Fields{"server": at, "perSecond": n.PerSecond, "gateways": len(l.gateways)}
	switch {
	case n.Present && x == nil:
		l.byServer[at] = &serverLimit{PerSecond: n.PerSecond, Heard: now}
		l.setShareLocked(at, now)
		l.log.WithFields(fields).Info("gateway: server set a rate limit.")
	case n.Present:
		x.Heard = now
		if x.PerSecond != n.PerSecond {
			x.PerSecond = n.PerSecond
			l.setShareLocked(at, now)
			l.log.WithFields(fields).Info("gateway: server changed its rate limit.")
		}
	case x != nil && n.RequestedAt.After(x.Heard):
		// An answer to a call that began earlier may predate the limit.
		delete(l.byServer, at)
		l.log.WithField("server", at).Info("gateway: server lifted its rate limit.")
	}
	l.updateSizeLocked()
}

func (l *limits) updateSizeLocked() {
	l.nonEmpty.Store(len(l.byServer) > 0)
	limitedServers.Set(uint64(len(l.byServer)))
}

// setShareLocked sets this gateway's share of a server's limit.
func (l *limits) setShareLocked(at string, now time.Time) {
	x := l.byServer[at]
	x.place = limit.Position{Gateways: assumedGateways}
	if len(l.gateways) > 0 {
		x.place = limit.Position{Gateways: len(l.gateways), Rank: limit.Rank(at, l.self, l.gateways), Part: l.part}
	}
	x.share.Set(now, x.PerSecond, x.place)
}

// setGateways sets the ids of the gateways that share the limits, and the demand of the others,
// in requests a second. If it isn't known, they share equally.
func (l *limits) setGateways(ids []string, others float64, known bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.gateways = ids
	now := time.Now()
	l.part = 0
	if own := l.demand.Rate(now); known {
		l.part = limit.DemandPart(own, own+others, len(ids))
	}
	for at := range l.byServer {
		l.setShareLocked(at, now)
	}
}

// prune drops the limits of servers that are no longer listed.
func (l *limits) prune(list *listing) {
	if !l.nonEmpty.Load() {
		return
	}
	listed := make(map[string]bool, len(list.all))
	for i := range list.all {
		listed[list.all[i].key] = true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for at := range l.byServer {
		if !listed[at] {
			delete(l.byServer, at)
		}
	}
	l.updateSizeLocked()
}

// findLocked returns a server's limit, nil if it has none. It grants a trial request
// if no answer has confirmed the limit for limitTrialAfter.
func (l *limits) findLocked(at string, now time.Time) *serverLimit {
	x := l.byServer[at]
	if x == nil {
		return nil
	}
	if now.Sub(x.Heard) > limitTrialAfter && now.Sub(x.trialAt) > limitTrialAfter && x.place.IsTrialTurn(now) {
		x.trialAt = now
		x.share.GrantTrial(now)
	}
	return x
}

// allows reports whether a request may be sent to a server now.
func (l *limits) allows(at string, now time.Time) bool {
	if !l.nonEmpty.Load() {
		return true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	x := l.findLocked(at, now)
	return x == nil || x.share.Allows(now)
}

// take is like allows, and counts the request.
func (l *limits) take(at string, now time.Time) bool {
	if !l.nonEmpty.Load() {
		return true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	x := l.findLocked(at, now)
	return x == nil || x.share.Take(now)
}

// delay returns the time until a request may be sent to a server, 0 if it may be sent now.
func (l *limits) delay(at string, now time.Time) time.Duration {
	if !l.nonEmpty.Load() {
		return 0
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	x := l.findLocked(at, now)
	if x == nil {
		return 0
	}
	return min(limitTrialAfter, x.share.Delay(now))
}

// wait returns the time until a request may be sent to one of the servers: 0 if it may
// be sent now, or if the list is empty.
func (l *limits) wait(list []candidate, now time.Time) time.Duration {
	if !l.nonEmpty.Load() || len(list) == 0 {
		return 0
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	least := limitTrialAfter
	for i := range list {
		x := l.findLocked(list[i].key, now)
		if x == nil {
			return 0
		}
		least = min(least, x.share.Delay(now))
	}
	return least
}

// rateLimitedError returns the refusal of a request for which every server is at its
// limit until next.
func rateLimitedError(next time.Duration) *verdict.Error {
	return verdict.New(
		verdict.NotRun, verdict.Overloaded, "Each server of the service has as many requests as it takes.",
	).WithRetryAfter(min(next, limitRetryAfter) + wait.Jittered(limitSpread))
}
