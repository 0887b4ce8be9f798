package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"jayford.example/jayford/internal/catalog"
	"jayford.example/jayford/internal/policy/blame"
	"jayford.example/jayford/internal/policy/doubt"
	"jayford.example/jayford/internal/verdict"
)

// stallTimeout is how long a resumable stream may pause before it is resumed at
// another server. Such a pause already misses the objective; callers disconnect after
// two seconds or more.
const stallTimeout = 1500 * time.Millisecond

var errStalled = errors.New("gateway: stream stalled")

// stream is the body of a streamed reply. If the route allows it, it resumes at
// another server after the last event, so that the caller sees one continuous answer.
type stream struct {
	g   *Gateway
	ctx context.Context
	j   *job

	reservation reservation
	answer      *Answer
	events      *events
	// pending is the rest of the last event that is still to be delivered.
	pending []byte
	lastID  string
	// lastEventAt is when the last event arrived, zero before the first.
	lastEventAt time.Time
	// firstEventTime is the time from the request's arrival to the first event,
	// longestPause the longest interval between events after it.
	firstEventTime, longestPause time.Duration
	ended                        bool
	// admitted: the server's first event has been checked.
	admitted  bool
	closeOnce sync.Once
}

// startStream returns the reply once the first event has arrived. Until then a failure
// can be reported to the caller; later a broken stream can only be cut off.
func (g *Gateway) startStream(ctx context.Context, j *job, p reservation, a *Answer) (*Reply, *verdict.Error) {
	s := &stream{g: g, ctx: ctx, j: j, reservation: p, answer: a, events: newEvents(a.Body), lastID: j.r.Generation.LastEventID}
	if err := s.advance(); err != nil {
		_ = s.Close()
		if errors.Is(err, errOtherSoftware) {
			return nil, verdict.Wrap(err, verdict.MayHaveRun, verdict.ServerLost, "The engine's software has changed.")
		}
		return nil, verdict.Wrap(err, verdict.MayHaveRun, verdict.ServerLost, "The engine broke off before its first event.")
	}
	return &Reply{Status: a.Status, Headers: a.Header, Length: -1, Body: s}, nil
}

// Read returns bytes of complete events as they arrive.
func (s *stream) Read(p []byte) (int, error) {
	for len(s.pending) == 0 {
		if s.ended {
			return 0, io.EOF
		}
		if err := s.advance(); err != nil {
			return 0, err
		}
	}
	n := copy(p, s.pending)
	s.pending = s.pending[n:]
	return n, nil
}

func (s *stream) advance() error {
	ev, err := s.nextEvent()
	if errors.Is(err, io.EOF) && s.answer.Unframed && s.lastID == "" && s.lastEventAt.IsZero() {
		// The end of the connection alone doesn't make a stream without events complete.
		err = io.ErrUnexpectedEOF
	}
	switch {
	case err == nil:
		if s.isDuplicate(ev.ID) {
			return nil
		}
		if !s.admitted {
			if err := s.admitFirstEvent(); err != nil {
				return err
			}
			s.admitted = true
		}
		if ev.ID != "" {
			s.lastID = ev.ID
		}
		s.observe()
		s.pending = ev.Raw
		return nil
	case errors.Is(err, io.EOF):
		s.ended = true
		s.g.logRequest(s.j, "gateway: stream ended.", s.fields())
		s.g.view.recordOutcome(s.reservation.server, doubt.Success)
		s.g.crashes.recordRun(s.j, s.j.last)
		s.g.crashes.recordSuccess(s.j.fingerprint)
		s.reservation.completed()
		s.g.queues.recordOutput(s.reservation.key, s.reservation.outputPace())
		return nil
	}
	if err = s.resume(err); err != nil {
		s.logCut(err)
	}
	return err
}

// logCut logs a stream that ends early, with who ended it.
func (s *stream) logCut(cause error) {
	by := endedByServer
	switch {
	case errors.Is(cause, errStopped):
		by = endedByStop
	case errors.Is(s.ctx.Err(), context.DeadlineExceeded):
		by = endedByDeadline
	case s.ctx.Err() != nil:
		by = endedByCaller
	case errors.Is(cause, errStalled):
		by = endedBySilence
	}
	fields := s.fields()
	fields["cause"], fields["by"], fields["stopping"] = cause.Error(), by, s.g.Stopping()
	if !s.lastEventAt.IsZero() {
		fields["sinceEvent"] = milliseconds(time.Since(s.lastEventAt))
	}
	countCut(by)
	s.g.logRequest(s.j, "gateway: stream cut off.", fields)
}

// Who ended a stream early, in logs and metrics.
const (
	endedByServer   = "server"
	endedBySilence  = "silence"
	endedByDeadline = "deadline"
	endedByCaller   = "caller"
	endedByStop     = "stop"
)

// observe records the time to the first event, or between two events.
func (s *stream) observe() {
	s.j.progress.countEvent()
	now := time.Now()
	if a := s.j.last; a.wroteAt.IsZero() {
		a.wroteAt = now
	}
	if s.j.last.writingTime(now) >= blame.ProvenTime {
		s.g.crashes.recordRun(s.j, s.j.last)
	}
	step := eventTokens(s.j.service.Engine)
	written := eventNumber(s.lastID) * step
	if s.lastEventAt.IsZero() {
		s.firstEventTime = now.Sub(s.j.r.Arrived)
		observe(firstEventSeconds, s.j.r.Arrived)
		s.reservation.recordOutput(written, step, 0)
	} else {
		s.longestPause = max(s.longestPause, now.Sub(s.lastEventAt))
		observe(betweenEventsSeconds, s.lastEventAt)
		s.reservation.recordOutput(written, step, now.Sub(s.lastEventAt))
	}
	s.lastEventAt = now
}

// Reasons why a request missed its objective: lateAnswer for a plain call, the others
// for a stream.
const (
	lateAnswer      = "answer"
	lateRetry       = "came back"
	lateReservation = "room"
	lateFirst       = "first event"
	latePaused      = "pause"
)

// fields returns the fields of the stream's last log line.
func (s *stream) fields() logrus.Fields {
	return logrus.Fields{
		"server": serverKey(s.reservation.server), "last": s.lastID, "first": milliseconds(s.firstEventTime),
		"pause": milliseconds(s.longestPause), "late": s.lateReason(),
	}
}

// lateReason returns why the stream missed its objective, "" if it didn't.
func (s *stream) lateReason() string {
	objective, gap := s.j.route.LatencyObjective, s.j.route.MaxEventGap
	switch {
	case s.j.isCallerRetry():
		return lateRetry
	case objective > 0 && s.firstEventTime > objective && s.j.reserveWait > s.j.reserveDeadline().Sub(s.j.r.Arrived):
		return lateReservation
	case objective > 0 && s.firstEventTime > objective:
		return lateFirst
	case gap > 0 && s.longestPause > gap:
		return latePaused
	}
	return ""
}

// eventNumber returns the number of events up to the one with the id, 0 for none.
func eventNumber(id string) int {
	n, err := strconv.Atoi(id)
	if err != nil {
		return 0
	}
	return max(0, n)
}

// delivered returns how many events of an earlier attempt the caller has received.
func (j *job) delivered() int { return eventNumber(j.r.Generation.LastEventID) }

// isDuplicate reports whether the event was delivered before.
func (s *stream) isDuplicate(id string) bool {
	a, errA := strconv.ParseInt(id, 10, 64)
	b, errB := strconv.ParseInt(s.lastID, 10, 64)
	return errA == nil && errB == nil && a <= b
}

// nextEvent reads the next event. On a resumable route it fails after stallTimeout
// without one.
func (s *stream) nextEvent() (event, error) {
	if !s.j.route.Resume {
		return s.events.next()
	}
	body := s.answer.Body
	stalled := make(chan struct{})
	timer := time.AfterFunc(stallTimeout, func() {
		close(stalled)
		_ = body.Close()
	})
	ev, err := s.events.next()
	if !timer.Stop() {
		<-stalled
		if err != nil {
			return event{}, errStalled
		}
	}
	return ev, err
}

// resume continues the stream at another server after the last event.
func (s *stream) resume(cause error) error {
	_ = s.answer.Body.Close()
	s.reservation.end()
	s.j.progress.leave(serverKey(s.reservation.server))
	if s.ctx.Err() != nil {
		return context.Cause(s.ctx)
	}
	code := verdict.ServerLost
	if errors.Is(cause, errStalled) {
		code = verdict.Deadline
	}
	s.g.recordFailure(s.ctx, s.reservation.server, verdict.New(verdict.Ran, code, "The stream was interrupted."))
	s.j.avoid[serverKey(s.reservation.server)] = true
	if !isWrongAnswer(cause) {
		s.g.recordLoss(s.j, s.reservation.server, s.j.last, cause)
	}
	brokenStreams.Inc()
	s.g.logRequest(s.j, "gateway: stream broke off.", logrus.Fields{"server": serverKey(s.reservation.server), "last": s.lastID, "cause": cause.Error(), "resumable": s.j.route.Resume})
	for s.g.refuseCrashing(s.ctx, s.j) == nil && s.g.mayRetry(s.ctx, s.j, verdict.Ran) && s.g.canRetry(s.j) {
		if s.j.begun && len(s.g.usable(s.j, catalog.Decode)) == 0 {
			s.g.logNotResumed(s.j, withinAnswer, resumeNoServer)
			break
		}
		p, ok := s.g.reserveUntil(s.ctx, s.j, eventNumber(s.lastID), time.Now().Add(resumeTimeout))
		if !ok {
			break
		}
		// A request whose answer has begun is never refused for want of a prefill.
		result, err := s.g.prefill(s.ctx, s.j, p, s.lastID)
		if err == nil {
			err = s.g.recheck(s.ctx, s.j)
		}
		if err != nil {
			s.g.abandon(p, result)
			break
		}
		a, err := s.g.decode(s.ctx, s.j, p, result, s.lastID)
		if err == nil && a.Status == http.StatusOK {
			s.reservation, s.answer, s.events, s.admitted = p, a, newEvents(a.Body), false
			resumesTotal.Inc()
			s.g.logRequest(s.j, "gateway: stream resumed.", logrus.Fields{"server": serverKey(p.server), "last": s.lastID})
			return nil
		}
		if err == nil {
			_ = a.Body.Close()
			p.end()
		}
		s.j.avoid[serverKey(p.server)] = true
	}
	return cause
}

// resumeTimeout bounds the wait for a reservation to resume a stream.
const resumeTimeout = time.Second

// Close ends the stream. If it is incomplete, the generation is cancelled at its
// server.
func (s *stream) Close() error {
	s.closeOnce.Do(func() {
		if !s.ended && s.ctx.Err() != nil {
			fields := s.fields()
			fields["cause"] = context.Cause(s.ctx).Error()
			s.g.logRequest(s.j, "gateway: stream left.", fields)
		}
		_ = s.answer.Body.Close()
		s.reservation.end()
	})
	return nil
}
