package entry

import (
	"context"
	"errors"
	"net"
	"time"

	"jayford.example/jayford/internal/callers"
	"jayford.example/jayford/internal/policy/stop"
	"jayford.example/jayford/internal/verdict"
)

const (
	// drainDelay is how long a stopping entry still accepts connections, so that
	// the load balancer sees the failing readiness check first; it is no more than
	// maxDelayShare of the stop.
	drainDelay    = 2 * time.Second
	maxDelayShare = 0.25
	// closeLinger is how long idle connections stay open after the listener has
	// closed, so that a request already in transit is served.
	closeLinger = time.Second
	// drainInterval is the time between two looks at the requests in progress.
	drainInterval = 10 * time.Millisecond
	// refuseBeforeClose is how long all requests are refused before the
	// connections close, shutdownTimeout the time for the last answers after that.
	refuseBeforeClose = 100 * time.Millisecond
	shutdownTimeout   = time.Second
	// stoppedRetryAfter is the retry delay for callers whom a stopping entry
	// refused: another one serves.
	stoppedRetryAfter = 100 * time.Millisecond
)

// errStopped is the cause of the context of a request that a graceful stop has given up on.
var errStopped = errors.New("entry: the process is about to exit")

// stoppedError ends a request as the process is about to exit.
func stoppedError(v verdict.Verdict) *verdict.Error {
	if v == verdict.NotRun {
		return verdict.New(v, verdict.Leaving, "This entry is about to end.").WithRetryAfter(stoppedRetryAfter)
	}
	return verdict.New(v, verdict.ServerLost, "This entry ends before the answer is complete.")
}

// untilStopped returns a context that also ends when the stop gives up on the requests in
// progress. release frees it.
func (s *server) untilStopped(parent context.Context) (ctx context.Context, release func()) {
	ctx, cancel := context.WithCancelCause(parent)
	stop := context.AfterFunc(s.lifetime, func() { cancel(errStopped) })
	return ctx, func() {
		stop()
		cancel(nil)
	}
}

// shutDown stops gracefully: readiness fails first, the listener closes next, requests that
// can end before the process does are served, and all get an answer.
func (s *server) shutDown(l *callers.Listener) error {
	now := time.Now()
	st := &stop.Stop{Sent: now, Handled: now, Within: s.e.settings.StopWithin.D()}
	s.stop.Store(st)
	s.e.log.Info("entry: stopping; the readiness check fails from now on.")
	time.Sleep(min(drainDelay, time.Duration(maxDelayShare*float64(st.Within))))
	if err := l.Drain(); err != nil {
		s.e.log.WithError(err).Warn("entry: listener didn't drain, new connections may have been reset.")
	}
	s.drain(st)
	s.refuseAll(st)
	limit, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	err := s.http.Shutdown(limit)
	if errors.Is(err, context.DeadlineExceeded) || errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}

// drain waits until no request has been running for closeLinger, or until those that still run
// must get their final answer.
func (s *server) drain(st *stop.Stop) {
	quiet := time.Now()
	for now := quiet; now.Before(st.AnswerBy()) && now.Sub(quiet) <= closeLinger; now = time.Now() {
		if s.inFlight.Load() > 0 {
			quiet = now
		}
		time.Sleep(drainInterval)
	}
}

// refuseAll refuses new requests and lets those in progress end, by their final answer if need be.
func (s *server) refuseAll(st *stop.Stop) {
	s.closed.Store(true)
	if n := s.waitIdle(st.AnswerBy()); n > 0 {
		s.e.log.WithField("requests", n).Warn("entry: stop timeout reached, giving up on running requests.")
	}
	s.giveUp()
	s.waitIdle(st.End())
	time.Sleep(refuseBeforeClose)
}

// waitIdle waits until no request runs, or until a time, and returns how many do.
func (s *server) waitIdle(until time.Time) int64 {
	for s.inFlight.Load() > 0 && time.Now().Before(until) {
		time.Sleep(drainInterval)
	}
	return s.inFlight.Load()
}
