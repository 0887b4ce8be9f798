package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"

	"jayford.example/jayford/internal/catalog"
	"jayford.example/jayford/internal/verdict"
)

// resumeTimeout bounds the wait for a reservation for a stream that no server runs any more.
const resumeTimeout = time.Second

// replace drops a server that has broken off, and has another one run the request unless one does.
// It returns the cause if none is left.
func (s *stream) replace(x *source, cause error) error {
	s.endSilence(x, silenceLost)
	s.drop(x)
	if s.ctx.Err() != nil {
		return context.Cause(s.ctx)
	}
	s.g.recordFailure(s.ctx, x.server(), verdict.New(verdict.Ran, verdict.ServerLost, "The stream was interrupted."))
	s.j.avoid[x.key()] = true
	if !isWrongAnswer(cause) {
		s.g.reportLoss(s.j, x.server(), x.attempt, cause)
		if len(s.sources) == 0 {
			s.g.crashes.endTrial(s.j, false)
		}
	}
	brokenStreams.Inc()
	s.g.logRequest(s.j, "gateway: stream broke off.", logrus.Fields{"server": x.key(), "last": s.lastID, "cause": cause.Error(), "resumable": s.j.route.Resume})
	if len(s.sources) > 0 || s.seek(s.reserveSoon) {
		return nil
	}
	return cause
}

// reserveSoon waits for a reservation for a stream that no server runs.
func (s *stream) reserveSoon(ctx context.Context) (reservation, bool) {
	return s.g.reserveUntil(ctx, s.j, eventNumber(s.lastID), time.Now().Add(resumeTimeout))
}

// seek has another server run the request from the last event on, and reports whether one does.
// It ends early if one of the sources goes on, and doesn't wait for a reservation any longer if one
// breaks off.
func (s *stream) seek(reserve func(ctx context.Context) (reservation, bool)) bool {
	g, j := s.g, s.j
	ctx, end := context.WithCancel(s.ctx)
	defer end()
	reserving, endReserving := context.WithCancel(ctx)
	defer endReserving()
	s.inbox.watch(func(a arrival) {
		endReserving()
		if a.goesOn() {
			end()
		}
	})
	defer s.inbox.watch(nil)
	for !j.progress.isEnding() && g.refuseCrashing(ctx, j) == nil && g.mayRetry(ctx, j, verdict.Ran) && g.canRetry(j) {
		if j.begun && len(g.usable(j, catalog.Decode)) == 0 {
			if len(s.sources) == 0 {
				g.logNotResumed(j, withinAnswer, resumeNoServer)
			}
			return false
		}
		p, ok := reserve(reserving)
		if !ok {
			return false
		}
		// A request whose answer has begun is never refused for want of a prefill.
		result, err := g.prefill(ctx, j, p, s.lastID)
		if err == nil {
			err = g.recheck(ctx, j)
		}
		if err != nil || ctx.Err() != nil {
			g.abandon(p, result)
			return false
		}
		if s.open(ctx, p, result) {
			return true
		}
		j.avoid[serverKey(p.server)] = true
	}
	return false
}

// open sends the request to the server of a reservation, and reports whether that runs it. The end
// of ctx ends the attempt until then.
func (s *stream) open(ctx context.Context, p reservation, result prefillResult) bool {
	exchange, end := context.WithCancel(s.ctx)
	stop := context.AfterFunc(ctx, end)
	a, err := s.g.decode(exchange, s.j, p, result, s.lastID)
	if err != nil {
		end()
		return false
	}
	x := newSource(p, a, s.j.last, end)
	if !stop() || a.Status != http.StatusOK {
		x.close()
		s.j.progress.leave(x.key())
		return false
	}
	s.add(x)
	return true
}
