package stop

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"jayford.example/jayford/internal/pulse"
)

// Guards against a process that handles its signal late and accepts requests for as long as if the
// signal had been sent then.
func TestAcceptanceCountsFromTheSending(t *testing.T) {
	const late, within = 900 * time.Millisecond, 7500 * time.Millisecond
	sent := time.Unix(0, 0)
	s := Stop{Sent: sent, Handled: sent.Add(late), Within: within}
	end := sent.Add(within)
	for _, x := range []struct {
		at           time.Duration
		until        time.Time
		isGeneration bool
		accepts      bool
	}{
		{late, end.Add(time.Hour), true, true},
		{acceptAllFor, end.Add(time.Hour), true, true},
		{acceptAllFor + 1, sent.Add(4 * time.Second), true, false},
		{acceptAllFor + 1, end, false, true},
		{acceptAllFor + 1, end.Add(1), false, false},
	} {
		assert.Equal(t, s.Accepts(sent.Add(x.at), x.until, x.isGeneration), x.accepts, "%+v", x)
	}
}

// Guards against a late handling of the signal that shortens the time of requests in progress.
func TestEndCountsFromTheHandling(t *testing.T) {
	sent := time.Unix(0, 0)
	s := Stop{Sent: sent, Handled: sent.Add(time.Second), Within: 7 * time.Second}
	assert.Equal(t, s.End(), sent.Add(8*time.Second))
	assert.Equal(t, s.AnswerBy(), sent.Add(6900*time.Millisecond))
}

// Guards against a time of acceptance that is too long for streams sent 3 s after the signal to be
// left out when the signal is handled late by less than the process notices.
func TestAcceptanceEndsBeforeLateSendings(t *testing.T) {
	const lateSending = 3 * time.Second
	sent := time.Unix(0, 0)
	s := Stop{Sent: sent.Add(pulse.MaxUnnoticed), Handled: sent.Add(pulse.MaxUnnoticed), Within: 7500 * time.Millisecond}
	margin := pulse.MaxUnnoticed / 2
	assert.Assert(t, !s.Accepts(sent.Add(lateSending-margin), sent.Add(time.Hour), true))
}

func TestShortStopAcceptsAllForAPartOfIt(t *testing.T) {
	sent := time.Unix(0, 0)
	s := Stop{Sent: sent, Handled: sent, Within: time.Second}
	assert.Assert(t, s.Accepts(sent.Add(400*time.Millisecond), sent.Add(time.Hour), true))
	assert.Assert(t, !s.Accepts(sent.Add(401*time.Millisecond), sent.Add(time.Hour), true))
}

// Guards against a process that ends at once as it handles a signal soon after a long stall: the
// load balancer still sends callers to it.
func TestStopAfterALongStallLastsMinDrain(t *testing.T) {
	handled := time.Unix(100, 0)
	s := Stop{Sent: handled.Add(-8 * time.Second), Handled: handled, Within: 7500 * time.Millisecond}
	assert.Equal(t, s.AnswerBy(), handled.Add(MinDrain))
	s.Within = time.Second
	assert.Equal(t, s.AnswerBy(), handled.Add(time.Second-answerLead))
}

// Guards against a stop that ends while the load balancer still sends callers, or between two of
// their requests.
func TestStopEndsEarlyOnlyAfterAQuietTime(t *testing.T) {
	handled := time.Unix(100, 0)
	s := Stop{Sent: handled, Handled: handled, Within: 7500 * time.Millisecond}
	assert.Assert(t, !s.MayEnd(handled.Add(MinDrain), handled))
	assert.Assert(t, s.MayEnd(handled.Add(MinDrain+1), handled))
	at := handled.Add(2 * MinDrain)
	assert.Assert(t, !s.MayEnd(at, at.Add(-quietPeriod)))
	assert.Assert(t, s.MayEnd(at, at.Add(-quietPeriod-1)))
}
