package pulse

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// steady returns the record of a process that has run for a second without a stall, and the
// time of its last note.
func steady(began time.Time) (Record, time.Time) {
	r := NewRecord(began)
	last := began
	for i := range 10 {
		last = began.Add(time.Duration(i+1) * interval)
		r.Note(last)
	}
	return r, last
}

// Guards against a signal whose sending is dated too late, whether the process handles it
// before or after it notes that it runs again.
func TestSignalSentDuringAStall(t *testing.T) {
	r, stalled := steady(time.Unix(0, 0))
	resumed := stalled.Add(time.Second)
	assert.Equal(t, r.EarliestSent(resumed), stalled, "handled first")
	r.Note(resumed)
	assert.Equal(t, r.EarliestSent(resumed.Add(time.Millisecond)), stalled, "noted first")
	r.Note(resumed.Add(interval))
	assert.Equal(t, r.EarliestSent(resumed.Add(recovery)), stalled, "still recovering")
}

func TestSignalToAProcessThatRuns(t *testing.T) {
	r, last := steady(time.Unix(0, 0))
	assert.Equal(t, r.EarliestSent(last.Add(interval/2)), last)
	assert.Equal(t, r.EarliestSent(last.Add(-time.Millisecond)), last.Add(-interval), "noted after the handling")
}

// Guards against a process that counts a stall that it has long recovered from.
func TestSignalLongAfterAStall(t *testing.T) {
	r, stalled := steady(time.Unix(0, 0))
	last := stalled.Add(time.Second)
	r.Note(last)
	for range 10 {
		last = last.Add(interval)
		r.Note(last)
	}
	assert.Equal(t, r.EarliestSent(last.Add(interval/2)), last)
}

func TestMonitorNotesThatItsProcessRuns(t *testing.T) {
	m := NewMonitor()
	began := m.EarliestSent(time.Now())
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- m.Run(ctx) }()
	for end := time.Now().Add(10 * time.Second); !m.EarliestSent(time.Now()).After(began); time.Sleep(interval / 4) {
		assert.Assert(t, time.Now().Before(end), "nothing noted")
	}
	cancel()
	assert.NilError(t, <-ended)
}
