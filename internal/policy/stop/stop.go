// Package stop decides which requests a process accepts during a graceful stop, and how long
// those in progress may take.
package stop

import "time"

const (
	// acceptAllFor is how long after the signal of a graceful stop all requests are
	// accepted: by then the load balancer has noticed it, and most of the stop's time is
	// left to finish them. After it, only plain calls that end before the stop are.
	acceptAllFor = 2500 * time.Millisecond
	// maxAcceptAllShare bounds acceptAllFor as a part of a short stop.
	maxAcceptAllShare = 0.4
	// answerLead is how long before the end of the stop requests are answered that no server
	// runs.
	answerLead = 100 * time.Millisecond
	// quietPeriod is how long no request must have been running before the stop ends, so
	// that a request on its way is still served.
	quietPeriod = 500 * time.Millisecond
)

// MinDrain is how long a stopping process goes on accepting connections: the load balancer polls
// once a second and takes it out after two failures.
const MinDrain = 2500 * time.Millisecond

// Stop is a graceful stop of a process. A process that stalls handles its signal late, but
// its callers, and whoever kills it, count from the time at which the signal was sent.
type Stop struct {
	// Sent is the earliest time at which the signal can have been sent, Handled when it was
	// handled.
	Sent, Handled time.Time
	// Within is how long the stop may take.
	Within time.Duration
}

// Accepts reports whether a request is accepted that takes until a time at most. The length of a
// generation isn't known beforehand.
func (s Stop) Accepts(now, until time.Time, isGeneration bool) bool {
	window := min(acceptAllFor, time.Duration(maxAcceptAllShare*float64(s.Within)))
	if now.Sub(s.Sent) <= window {
		return true
	}
	return !isGeneration && !until.After(s.Sent.Add(s.Within))
}

// AnswerBy returns when requests that no server runs must get their final answer. It counts from
// the sending of the signal, so that they get it before the process is killed, but leaves MinDrain
// if the stop has it: the signal may have been sent long after the earliest time.
func (s Stop) AnswerBy() time.Time {
	by := s.Sent.Add(s.Within - answerLead)
	if least := s.Handled.Add(min(MinDrain, s.Within-answerLead)); by.Before(least) {
		return least
	}
	return by
}

// End returns when the stop ends. It counts from the handling of the signal, since the
// process may have as long; an earlier end would cut off requests that could complete.
func (s Stop) End() time.Time { return s.Handled.Add(s.Within) }

// MayEnd reports whether the stop may end early, as no request has been running since a time.
func (s Stop) MayEnd(now, idleSince time.Time) bool {
	return now.Sub(s.Handled) > MinDrain && now.Sub(idleSince) > quietPeriod
}
