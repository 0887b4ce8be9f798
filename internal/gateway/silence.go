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

	"jayford.example/jayford/internal/verdict"
)

const (
	// stallTimeout is how long a resumable stream may be silent until another server is sought.
	// Such a pause already misses the objective; callers disconnect after two seconds or more.
	stallTimeout = 1500 * time.Millisecond
	// maxTimerDelay is the delay of a timer from which on this process has stood still itself, and
	// events may wait at its sockets.
	maxTimerDelay = 100 * time.Millisecond
)

var errStalled = errors.New("gateway: stream stalled")

// Ends of a server's silence, in logs and metrics.
const (
	silenceOver     = "went-on"
	silenceReplaced = "replaced"
	silenceLost     = "lost"
	silenceLeft     = "left"
)

// handleSilence is called while no server has sent anything for stallTimeout. A silent server
// goes on running the request until another one has the next event.
func (s *stream) handleSilence() {
	if !s.j.route.Resume {
		return
	}
	for _, x := range s.sources {
		s.recordSilence(x)
	}
	s.seek(s.reserveMeanwhile)
}

// recordSilence records that a server has sent nothing for stallTimeout.
func (s *stream) recordSilence(x *source) {
	since := s.waitingSince
	if x.attempt.sentAt.After(since) {
		since = x.attempt.sentAt
	}
	if !x.silentSince.IsZero() || time.Since(since) < stallTimeout {
		return
	}
	x.silentSince = since
	s.j.avoid[x.key()] = true
	s.g.recordFailure(s.ctx, x.server(), verdict.Wrap(errStalled, verdict.Ran, verdict.Deadline, "The stream was interrupted."))
	s.g.logRequest(s.j, "gateway: stream stalled.", logrus.Fields{"server": x.key(), "last": s.lastID})
}

// endSilence records how a server's silence has ended, if it was silent.
func (s *stream) endSilence(x *source, end string) {
	if x.silentSince.IsZero() {
		return
	}
	metrics.GetOrCreateCounter(fmt.Sprintf("jayford_gateway_silences_total{end=%q}", end)).Inc()
	s.g.logRequest(s.j, "gateway: server's silence ended.", logrus.Fields{
		"server": x.key(), "end": end, "silent": milliseconds(time.Since(x.silentSince)), "last": s.lastID,
	})
	x.silentSince = time.Time{}
}

// goOnWith makes the server that has the next event the only one.
func (s *stream) goOnWith(x *source) {
	s.endSilence(x, silenceOver)
	for _, y := range slices.Clone(s.sources) {
		if y == x {
			continue
		}
		if !y.silentSince.IsZero() {
			s.g.reportLoss(s.j, y.server(), y.attempt, errStalled)
		}
		s.endSilence(y, silenceReplaced)
		s.drop(y)
	}
	if x == s.current {
		return
	}
	s.current = x
	resumesTotal.Inc()
	s.g.logRequest(s.j, "gateway: stream resumed.", logrus.Fields{"server": x.key(), "last": s.lastID})
}

// keepBegun makes a server that has begun to write its first event the only one. The event may never be
// complete, and the other servers would work on the request for as long.
func (s *stream) keepBegun(x *source) {
	switch {
	case x.admitted || len(s.sources) == 1:
	case s.j.begun && s.g.view.softwareOf(x.server()) != s.j.software:
		s.drop(x)
	default:
		s.goOnWith(x)
	}
}

// reserveMeanwhile waits for a reservation while silent servers may go on. It is as eager as for a
// broken stream at first, since the server may be dark; later its caller has most likely left.
func (s *stream) reserveMeanwhile(ctx context.Context) (reservation, bool) {
	g, j := s.g, s.j
	round := func() (reservation, bool) {
		return g.reserveAtAny(ctx, j, g.sizeReservation(j, eventNumber(s.lastID)), func(key string) bool { return !g.silentAsks.allow(key, time.Now()) })
	}
	if p, ok := g.retryReserve(ctx, j, time.Now().Add(lateWait), reserveInterval, round); ok {
		return p, true
	}
	return g.retryReserve(ctx, j, j.until, lateInterval, round)
}

// maxAskedServers is the number of servers from which on a serverPace drops those not asked just now.
const maxAskedServers = 64

// serverPace lets each server be asked once in reserveInterval, by whichever stream comes first.
type serverPace struct {
	mu sync.Mutex
	// asked is when each server was asked last, by its key; guarded by mu.
	asked map[string]time.Time
}

// allow reports whether a server may be asked now.
func (p *serverPace) allow(key string, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if now.Sub(p.asked[key]) < reserveInterval {
		return false
	}
	if len(p.asked) >= maxAskedServers {
		maps.DeleteFunc(p.asked, func(_ string, at time.Time) bool { return now.Sub(at) >= reserveInterval })
	}
	if p.asked == nil {
		p.asked = map[string]time.Time{}
	}
	p.asked[key] = now
	return true
}
