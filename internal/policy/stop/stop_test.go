package stop

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
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
}

func TestShortStopAcceptsAllForAPartOfIt(t *testing.T) {
	sent := time.Unix(0, 0)
	s := Stop{Sent: sent, Handled: sent, Within: time.Second}
	assert.Assert(t, s.Accepts(sent.Add(400*time.Millisecond), sent.Add(time.Hour), true))
	assert.Assert(t, !s.Accepts(sent.Add(401*time.Millisecond), sent.Add(time.Hour), true))
}
