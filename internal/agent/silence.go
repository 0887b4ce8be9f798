package agent

import (
	"errors"
	"time"

	pb "jayford.example/jayford/api/jayfordv1"
	"jayford.example/jayford/internal/engine"
)

const (
	// minSilenceTimeout is the shortest time without a line after which the
	// engine's list of attempts is checked. It exceeds the pauses of a busy
	// machine, so that a healthy stream is rarely checked.
	minSilenceTimeout = time.Second
	// silenceTimeoutTokens is the same as a multiple of the inter-token
	// latency, for engines whose tokens may be more than a second apart.
	silenceTimeoutTokens = 20
)

// errSilent: the engine is up and ahead of what arrived over the connection.
var errSilent = errors.New("the connection to the engine went silent")

// runningKey identifies an item in the engine's list of attempts. A prefill and
// its result are one item.
type runningKey struct {
	attempt engine.Attempt
	decode  bool
}

// silenceTimeout is how long a healthy connection may be without a line.
func (a *Agent) silenceTimeout() time.Duration {
	a.timing.mu.Lock()
	defer a.timing.mu.Unlock()
	return max(minSilenceTimeout, silenceTimeoutTokens*a.timing.perToken)
}

// anySilent reports whether any run has been silent for longer than its
// timeout.
func (a *Agent) anySilent(now time.Time) bool {
	silenceTimeout := a.silenceTimeout()
	for _, r := range a.sentRuns() {
		if r.silentFor(now) > silenceTimeout {
			return true
		}
	}
	return false
}

func (a *Agent) sentRuns() []*run {
	a.mu.Lock()
	defer a.mu.Unlock()
	out := make([]*run, 0, len(a.runs))
	for _, r := range a.runs {
		if r.sent.Load() {
			out = append(out, r)
		}
	}
	return out
}

// abortSilentRuns distinguishes silent connections from slow work. A connection
// that goes silent may never fail, and its caller would wait until the
// deadline; from the stream alone, a slow engine looks the same. So the
// engine's list, read over a new connection, is compared with what arrived: an
// engine that has produced more tokens, has finished the prefill or doesn't
// list the attempt has sent something that was not delivered. Data in flight
// when the list was made arrives before the next heartbeat; only a run that is
// still behind by then is aborted, and its entry retries elsewhere.
func (a *Agent) abortSilentRuns(list []engine.Running, now time.Time) {
	silenceTimeout := a.silenceTimeout()
	listed := make(map[runningKey]engine.Running, len(list))
	for _, e := range list {
		listed[runningKey{e.Attempt, e.Phase == engine.PhaseDecode}] = e
	}
	for _, r := range a.sentRuns() {
		e, ok := listed[runningKey{engineAttempt(r.key), r.key.Phase == pb.Phase_PHASE_DECODE}]
		if r.confirmSilent(now, silenceTimeout, !ok || r.behind(e)) {
			a.log.WithField("request", r.key.Request).Warn("agent: Connection to the backend server went silent.")
			countSilent()
			r.abort(errSilent)
		}
	}
}

// lineReceived records a line from the engine; next is the index of the next
// token.
func (r *run) lineReceived(next int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lastLine = time.Now()
	r.next = next
}

// silentFor returns the time since the last line, or 0 for a run that has
// ended.
func (r *run) silentFor(now time.Time) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.ended || r.stopped != nil || r.lost {
		return 0
	}
	return now.Sub(r.lastLine)
}

// behind reports whether the engine is ahead of what r has received.
func (r *run) behind(e engine.Running) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.key.Phase == pb.Phase_PHASE_DECODE {
		return e.Tokens > r.next
	}
	return e.Phase != engine.PhasePrefill
}

// confirmSilent records one comparison with the engine. It returns true on the
// second in a row that finds r behind, with no line in between.
func (r *run) confirmSilent(now time.Time, timeout time.Duration, behind bool) bool {
	silent := r.silentFor(now) > timeout
	r.mu.Lock()
	defer r.mu.Unlock()
	if !silent || !behind {
		r.behindSince = time.Time{}
		return false
	}
	if r.behindSince.IsZero() {
		r.behindSince = now
		return false
	}
	return r.lastLine.Before(r.behindSince) && now.Sub(r.behindSince) >= engineHeartbeat/2
}
