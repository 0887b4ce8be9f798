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

	"jayford.example/jayford/internal/policy/doubt"
	"jayford.example/jayford/internal/verdict"
)

// stallAfter is how long a resumable stream may stand still before it is taken
// up at another server. A pause of this length is late already; callers leave
// after two seconds or more.
const stallAfter = 1500 * time.Millisecond

var errStalled = errors.New("gateway: the stream stands still")

// stream is the body of a streamed reply. It goes on at another server behind
// the last event if the route allows it, so that its caller sees one answer.
type stream struct {
	g   *Gateway
	ctx context.Context
	j   *job

	held   reservation
	answer *Answer
	events *events
	// pending is the rest of the last event.
	pending []byte
	last    string
	// heard is when the last event came, zero before the first.
	heard time.Time
	// first is the time to the first event from when the request had been read, and
	// longest the longest pause since.
	first, longest time.Duration
	ended          bool
	close          sync.Once
}

// streamed returns the reply once its first event is there. Until then the caller
// can still be told of a failure; afterwards a broken stream only breaks off.
func (g *Gateway) streamed(ctx context.Context, j *job, p reservation, a *Answer) (*Reply, *verdict.Error) {
	s := &stream{g: g, ctx: ctx, j: j, held: p, answer: a, events: newEvents(a.Body), last: j.r.Generation.LastEvent}
	if err := s.advance(); err != nil {
		_ = s.Close()
		return nil, verdict.Wrap(err, verdict.MayHaveRun, verdict.ServerLost, "The engine broke off before its first event.")
	}
	return &Reply{Status: a.Status, Headers: a.Header, Length: -1, Body: s}, nil
}

// Read returns bytes of whole events as they come.
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
	switch {
	case err == nil:
		if s.seen(ev.ID) {
			return nil
		}
		if ev.ID != "" {
			s.last = ev.ID
		}
		s.observe()
		s.pending = ev.Raw
		return nil
	case errors.Is(err, io.EOF):
		s.ended = true
		s.g.note(s.j, "gateway: stream ended.", s.fields())
		s.g.view.outcome(s.held.server, doubt.Success)
		s.g.crashes.cleared(s.j.content)
		s.held.finished()
		return nil
	}
	return s.resume(err)
}

// observe notes the time to the first event, or between two.
func (s *stream) observe() {
	now := time.Now()
	step := eventTokens(s.j.service.Engine)
	written := eventNumber(s.last) * step
	if s.heard.IsZero() {
		s.first = now.Sub(s.j.r.Arrived)
		observe(firstEventTime, s.j.r.Arrived)
		s.held.wrote(written, step, 0)
	} else {
		s.longest = max(s.longest, now.Sub(s.heard))
		observe(betweenEvents, s.heard)
		s.held.wrote(written, step, now.Sub(s.heard))
	}
	s.heard = now
}

// Why a request is late: a plain call by its answer, a stream by one of the others.
const (
	lateAnswer = "answer"
	lateCaller = "came back"
	lateRoom   = "room"
	lateFirst  = "first event"
	latePaused = "pause"
)

// fields tell how the stream went, for its last log line.
func (s *stream) fields() logrus.Fields {
	return logrus.Fields{
		"server": start(s.held.server), "last": s.last, "first": milliseconds(s.first),
		"pause": milliseconds(s.longest), "late": s.late(),
	}
}

// late says why the stream misses its objective, "" if it doesn't.
func (s *stream) late() string {
	objective, gap := s.j.route.Objective, s.j.route.Gap
	switch {
	case s.j.late():
		return lateCaller
	case objective > 0 && s.first > objective && s.j.waited > s.j.inTime().Sub(s.j.r.Arrived):
		return lateRoom
	case objective > 0 && s.first > objective:
		return lateFirst
	case gap > 0 && s.longest > gap:
		return latePaused
	}
	return ""
}

// eventNumber is how many events there are up to the one of an id, 0 for none.
func eventNumber(id string) int {
	n, err := strconv.Atoi(id)
	if err != nil {
		return 0
	}
	return max(0, n)
}

// delivered is how many events its caller has of an answer before.
func (j *job) delivered() int { return eventNumber(j.r.Generation.LastEvent) }

// seen reports whether the event was delivered before.
func (s *stream) seen(id string) bool {
	a, errA := strconv.ParseInt(id, 10, 64)
	b, errB := strconv.ParseInt(s.last, 10, 64)
	return errA == nil && errB == nil && a <= b
}

// nextEvent reads the next event. A stream that can go on elsewhere may only
// stand still for stallAfter.
func (s *stream) nextEvent() (event, error) {
	if !s.j.route.Resume {
		return s.events.next()
	}
	body := s.answer.Body
	stalled := make(chan struct{})
	timer := time.AfterFunc(stallAfter, func() {
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

// resume takes the stream up at another server behind the last event.
func (s *stream) resume(cause error) error {
	_ = s.answer.Body.Close()
	s.held.end()
	if s.ctx.Err() != nil {
		return context.Cause(s.ctx)
	}
	code := verdict.ServerLost
	if errors.Is(cause, errStalled) {
		code = verdict.Deadline
	}
	s.g.judge(s.ctx, s.held.server, verdict.New(verdict.Ran, code, "The stream broke off."))
	s.j.avoid[start(s.held.server)] = true
	s.g.engineLost(s.j, s.held.server)
	brokenStreams.Inc()
	s.g.note(s.j, "gateway: stream broke off.", logrus.Fields{"server": start(s.held.server), "last": s.last, "cause": cause.Error(), "resumable": s.j.route.Resume})
	for !s.g.crashes.convicted(s.j.content, time.Now()) && s.g.again(s.ctx, s.j, verdict.Ran) {
		p, ok := s.g.reserveUntil(s.ctx, s.j, eventNumber(s.last), time.Now().Add(resumeWithin))
		if !ok {
			break
		}
		// A prompt of an answer that has begun is never given up.
		read, err := s.g.read(s.ctx, s.j, p, s.last)
		if err != nil {
			s.g.giveBack(p, read)
			break
		}
		a, err := s.g.decode(s.ctx, s.j, p, read, s.last)
		if err == nil && a.Status == http.StatusOK {
			s.held, s.answer, s.events = p, a, newEvents(a.Body)
			resumesTotal.Inc()
			s.g.note(s.j, "gateway: stream resumed.", logrus.Fields{"server": start(p.server), "last": s.last})
			return nil
		}
		if err == nil {
			_ = a.Body.Close()
			p.end()
		}
		s.j.avoid[start(p.server)] = true
	}
	return cause
}

// resumeWithin bounds the wait for room of a stream that is taken up again.
const resumeWithin = time.Second

// Close ends the stream. One that hasn't ended is given up at its server.
func (s *stream) Close() error {
	s.close.Do(func() {
		if !s.ended && s.ctx.Err() != nil {
			s.g.note(s.j, "gateway: stream left.", s.fields())
		}
		_ = s.answer.Body.Close()
		s.held.end()
	})
	return nil
}
