package agent

import (
	"errors"
	"time"

	pb "jayford.example/jayford/api/jayfordv1"
	"jayford.example/jayford/internal/engine"
)

const (
	// leastPatience is how long a connection to the engine may say nothing
	// before the engine is asked what it runs. It is above the pauses of a busy
	// machine, so that a sound stream is rarely asked about.
	leastPatience = time.Second
	// patienceTokens is the same as a multiple of the time between two tokens,
	// for engines so slow that a second is no silence.
	patienceTokens = 20
)

// errSilent: the engine lives and is ahead of what came over the connection.
var errSilent = errors.New("the connection to the engine went silent")

// runningKey names an engine's entry about one attempt. A prefill and its
// result are one entry.
type runningKey struct {
	attempt engine.Attempt
	decode  bool
}

// patience is how long a sound connection may be without a line.
func (a *Agent) patience() time.Duration {
	a.timing.mu.Lock()
	defer a.timing.mu.Unlock()
	return max(leastPatience, patienceTokens*a.timing.perToken)
}

// overdue reports whether a run has heard nothing for longer than its patience.
func (a *Agent) overdue(now time.Time) bool {
	patience := a.patience()
	for _, r := range a.sentRuns() {
		if r.silentFor(now) > patience {
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

// findSilent tells silent connections from slow work. A connection that went
// silent for good never fails, and its caller would wait until the deadline; an
// engine that is slow looks the same from the stream alone. So what the engine
// lists over a new connection is compared with what came: an engine that has
// made more tokens, has finished the prefill or knows nothing of the attempt
// has said so on a connection that doesn't deliver. What was under way when
// the engine was asked arrives before the next heartbeat; only a run that is
// still behind by then is given up here and tried elsewhere.
func (a *Agent) findSilent(list []engine.Running, now time.Time) {
	patience := a.patience()
	listed := make(map[runningKey]engine.Running, len(list))
	for _, e := range list {
		listed[runningKey{e.Attempt, e.Phase == engine.PhaseDecode}] = e
	}
	for _, r := range a.sentRuns() {
		e, ok := listed[runningKey{engineAttempt(r.key), r.key.Phase == pb.Phase_PHASE_DECODE}]
		if r.doubt(now, patience, !ok || r.behind(e)) {
			a.log.WithField("request", r.key.Request).Warn("agent: Connection to the backend server went silent.")
			countSilent()
			r.abort(errSilent)
		}
	}
}

// hear notes a line from the engine; next is the index of the next token.
func (r *run) hear(next int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.heard = time.Now()
	r.next = next
}

// silentFor returns how long nothing came, 0 for a run that has ended.
func (r *run) silentFor(now time.Time) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.ended || r.stopped != nil || r.lost {
		return 0
	}
	return now.Sub(r.heard)
}

// behind reports whether the engine is ahead of what r has heard.
func (r *run) behind(e engine.Running) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.key.Phase == pb.Phase_PHASE_DECODE {
		return e.Tokens > r.next
	}
	return e.Phase != engine.PhasePrefill
}

// doubt takes one comparison with the engine. It returns true at the second in
// a row that finds r behind with nothing heard in between.
func (r *run) doubt(now time.Time, patience time.Duration, behind bool) bool {
	silent := r.silentFor(now) > patience
	r.mu.Lock()
	defer r.mu.Unlock()
	if !silent || !behind {
		r.doubted = time.Time{}
		return false
	}
	if r.doubted.IsZero() {
		r.doubted = now
		return false
	}
	return r.heard.Before(r.doubted) && now.Sub(r.doubted) >= engineHeartbeat/2
}
