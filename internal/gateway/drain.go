package gateway

import (
	"time"

	"github.com/sirupsen/logrus"

	"jayford.example/jayford/internal/callers"
	"jayford.example/jayford/internal/policy/stop"
)

const (
	// drainInterval is the time between two looks at the requests in progress.
	drainInterval = 20 * time.Millisecond
	// refuseBeforeClose is how long all requests are refused before the listener
	// closes, closeDelay the time for the last answers to be sent after that.
	refuseBeforeClose = 150 * time.Millisecond
	closeDelay        = 100 * time.Millisecond
)

// Ends of a drain, in logs.
const (
	drainQuiet    = "quiet"
	drainComplete = "complete"
	drainTimedOut = "timed out"
)

// stop stops the server gracefully.
func (s *Server) stop(l *callers.Listener) {
	handled := time.Now()
	st := stop.Stop{Sent: s.earliestSent(handled), Handled: handled, Within: s.opts.StopWithin}
	s.g.Stop(st)
	s.g.log.WithFields(logrus.Fields{
		"requests": s.g.InFlight(), "within": st.Within.String(), "lateByUpTo": milliseconds(st.Handled.Sub(st.Sent)),
	}).Info("gateway: draining, no longer ready.")
	isQuiet := s.serveUntilQuiet(st)
	end := s.finish(st)
	if isQuiet && end == drainComplete {
		end = drainQuiet
	}
	s.g.log.WithFields(logrus.Fields{"took": milliseconds(time.Since(handled)), "end": end}).Info("gateway: drained.")
	s.close(l)
}

// earliestSent returns the earliest time at which a signal can have been sent that was handled
// at a time.
func (s *Server) earliestSent(handled time.Time) time.Time {
	if s.opts.EarliestSent == nil {
		return handled
	}
	return s.opts.EarliestSent(handled)
}

// serveUntilQuiet serves until no request has been running for a while, and reports whether that
// was so before the remaining requests must be answered. The listener stays open meanwhile: the
// load balancer still sends callers, and a closed listener would reject them without an answer.
func (s *Server) serveUntilQuiet(st stop.Stop) bool {
	idleSince := st.Handled
	for now := st.Handled; now.Before(st.AnswerBy()); now = time.Now() {
		if s.g.InFlight() > 0 {
			idleSince = now
		}
		if st.MayEnd(now, idleSince) {
			return true
		}
		time.Sleep(drainInterval)
	}
	return false
}

// finish refuses new requests and serves those in progress until the end of the stop. Those
// that no server runs are given up on before, as the exit of the process would cut them off
// without an answer. It returns how the drain ended.
func (s *Server) finish(st stop.Stop) string {
	s.g.Close()
	s.waitIdle(st.AnswerBy())
	s.g.inFlight.giveUpWaiting()
	s.waitIdle(st.End())
	aborted := s.g.inFlight.all()
	if len(aborted) == 0 {
		return drainComplete
	}
	s.g.log.WithField("requests", len(aborted)).Warn("gateway: drain timed out, aborting requests.")
	now := time.Now()
	for _, p := range aborted {
		s.g.log.WithFields(p.fields(now, st.Handled)).Warn("gateway: request aborted by the stop.")
	}
	return drainTimedOut
}

// waitIdle waits until no request is in progress, or until a time.
func (s *Server) waitIdle(until time.Time) {
	for s.g.InFlight() > 0 && time.Now().Before(until) {
		time.Sleep(drainInterval)
	}
}

// close closes the listener while all requests are refused. Without the refusals, a request that
// came just after the drain would be cut off by the exit of the process, and its caller
// couldn't tell whether it ran.
func (s *Server) close(l *callers.Listener) {
	time.Sleep(refuseBeforeClose)
	if err := l.Drain(); err != nil {
		s.g.log.WithError(err).Warn("gateway: draining the listener failed, connections may have been reset.")
	}
	time.Sleep(closeDelay)
}
