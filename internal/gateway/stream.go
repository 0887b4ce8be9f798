package gateway

import (
	"context"
	"errors"
	"io"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"jayford.example/jayford/internal/policy/blame"
	"jayford.example/jayford/internal/policy/doubt"
	"jayford.example/jayford/internal/verdict"
)

// stream is the body of a streamed reply. If the route allows it, it goes on at another server
// after the last event once its server has broken off, or another one has the next event while its
// own is silent. The caller sees one continuous answer.
type stream struct {
	g   *Gateway
	ctx context.Context
	j   *job

	// sources are the servers that run the request, current the one that the stream comes from.
	sources []*source
	current *source
	inbox   *inbox
	// pending is the rest of the last event that is still to be delivered.
	pending []byte
	lastID  string
	// lastEventAt is when the last event arrived, zero before the first; waitingSince is since when
	// the stream waits for the next one.
	lastEventAt, waitingSince time.Time
	// firstEventTime is the time from the request's arrival to the first event,
	// longestPause the longest interval between events after it.
	firstEventTime, longestPause time.Duration
	// ended: the stream is complete. failure is why it can't go on, nil if it can.
	ended     bool
	failure   error
	closeOnce sync.Once
}

// startStream returns the reply once the first event has arrived. Until then a failure
// can be reported to the caller; later a broken stream can only be cut off.
func (g *Gateway) startStream(ctx context.Context, j *job, p reservation, a *Answer) (*Reply, *verdict.Error) {
	s := &stream{g: g, ctx: ctx, j: j, inbox: newInbox(), lastID: j.r.Generation.LastEventID}
	s.current = newSource(p, a, j.last, func() {})
	s.add(s.current)
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

// advance waits for the next event, or the end of the stream.
func (s *stream) advance() error {
	a, err := s.next()
	if err != nil {
		s.failure = err
		return err
	}
	if a.err != nil {
		s.complete()
		return nil
	}
	if a.event.ID != "" {
		s.lastID = a.event.ID
	}
	s.observe()
	s.pending = a.event.Raw
	s.current.readNext()
	return nil
}

// complete records that the stream has reached its end.
func (s *stream) complete() {
	s.ended = true
	s.g.logRequest(s.j, "gateway: stream ended.", s.fields())
	s.g.view.recordOutcome(s.current.server(), doubt.Success)
	s.g.crashes.recordRun(s.j, s.current.attempt)
	s.g.crashes.recordSuccess(s.j.fingerprint)
	s.current.reservation.completed()
	s.g.queues.recordOutput(s.current.reservation.key, s.current.reservation.outputPace())
}

// next returns the next event, of whichever server has it first, or the end of the stream. It
// fails once no server runs the request and none takes it over.
func (s *stream) next() (arrival, error) {
	s.waitingSince = time.Now()
	due := s.waitingSince.Add(stallTimeout)
	silence := time.NewTimer(stallTimeout)
	defer silence.Stop()
	for {
		for a, ok := s.inbox.take(); ok; a, ok = s.inbox.take() {
			if accepted, err := s.accept(&a); accepted || err != nil {
				return a, err
			}
		}
		select {
		case <-s.ctx.Done():
			return arrival{}, context.Cause(s.ctx)
		case <-s.inbox.ready:
		case <-silence.C:
			pause := maxTimerDelay
			if time.Since(due) <= maxTimerDelay {
				s.handleSilence()
				pause = stallTimeout
			}
			due = time.Now().Add(pause)
			silence.Reset(pause)
		}
	}
}

// accept handles an arrival, and reports whether the stream goes on with it. An error means that
// the stream can't go on.
func (s *stream) accept(a *arrival) (bool, error) {
	x := a.from
	if a.begun {
		s.keepBegun(x)
		return false, nil
	}
	if errors.Is(a.err, io.EOF) && !s.isComplete(x) {
		a.err = io.ErrUnexpectedEOF
	}
	switch {
	case !a.goesOn():
		return false, s.replace(x, a.err)
	case a.err == nil && s.isDuplicate(a.event.ID):
		x.readNext()
		return false, nil
	case a.err == nil && !x.admitted:
		if err := s.admitFirstEvent(x); err != nil {
			s.drop(x)
			if len(s.sources) > 0 {
				return false, nil
			}
			return false, err
		}
		x.admitted = true
	}
	s.goOnWith(x)
	return true, nil
}

// isComplete reports whether the stream is complete at the end of a source's answer. The end of the
// connection alone, without an event before it, doesn't show that: neither in a stream without events
// nor while another server runs the request.
func (s *stream) isComplete(x *source) bool {
	if !x.answer.Unframed || x.admitted {
		return true
	}
	return (s.lastID != "" || !s.lastEventAt.IsZero()) && len(s.sources) == 1
}

// recordCut records who ended the stream early.
func (s *stream) recordCut() {
	message, by, cause := "gateway: stream left.", endedByCaller, context.Cause(s.ctx)
	switch {
	case errors.Is(cause, errStopped):
		by = endedByStop
	case errors.Is(cause, context.DeadlineExceeded):
		by = endedByDeadline
	case cause == nil && s.failure != nil:
		message, by, cause = "gateway: stream cut off.", endedByServer, s.failure
	}
	fields := s.fields()
	fields["by"], fields["stopping"] = by, s.g.Stopping()
	if cause != nil {
		fields["cause"] = cause.Error()
	}
	if !s.lastEventAt.IsZero() {
		fields["sinceEvent"] = milliseconds(time.Since(s.lastEventAt))
	}
	countCut(by)
	s.g.logRequest(s.j, message, fields)
}

// Who ended a stream early, in logs and metrics.
const (
	endedByServer   = "server"
	endedByDeadline = "deadline"
	endedByCaller   = "caller"
	endedByStop     = "stop"
)

// observe records the time to the first event, or between two events.
func (s *stream) observe() {
	s.j.progress.countEvent()
	now := time.Now()
	x := s.current
	if x.attempt.wroteAt.IsZero() {
		x.attempt.wroteAt = now
	}
	if x.attempt.writingTime(now) >= blame.ProvenTime {
		s.g.crashes.recordRun(s.j, x.attempt)
	}
	step := eventTokens(s.j.service.Engine)
	written := eventNumber(s.lastID) * step
	if s.lastEventAt.IsZero() {
		s.firstEventTime = now.Sub(s.j.r.Arrived)
		observe(firstEventSeconds, s.j.r.Arrived)
		x.reservation.recordOutput(written, step, 0)
	} else {
		s.longestPause = max(s.longestPause, now.Sub(s.lastEventAt))
		observe(betweenEventsSeconds, s.lastEventAt)
		x.reservation.recordOutput(written, step, now.Sub(s.lastEventAt))
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
		"server": s.current.key(), "last": s.lastID, "first": milliseconds(s.firstEventTime),
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

// add makes a server that runs the request one of the sources.
func (s *stream) add(x *source) {
	s.sources = append(s.sources, x)
	go x.read(s.inbox)
}

// drop ends the run at a source.
func (s *stream) drop(x *source) {
	s.sources = slices.DeleteFunc(s.sources, func(y *source) bool { return y == x })
	x.close()
	s.j.progress.leave(x.key())
}

// Close ends the stream. If it is incomplete, the generation is cancelled at its
// server.
func (s *stream) Close() error {
	s.closeOnce.Do(func() {
		if !s.ended {
			s.recordCut()
		}
		for _, x := range slices.Clone(s.sources) {
			s.endSilence(x, silenceLeft)
			s.drop(x)
		}
	})
	return nil
}
