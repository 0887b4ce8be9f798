package pulse

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// steady returns the record of a process that has run for a second without a stall, and the
// time of its last tick.
func steady(began time.Time) (Record, time.Time) {
	r := NewRecord(began)
	last := began
	for i := range 10 {
		last = began.Add(time.Duration(i+1) * interval)
		r.Tick(last)
	}
	return r, last
}

// Guards against a signal whose sending is dated too late, whether the process handles it
// before or after its first tick behind the stall.
func TestSignalSentDuringAStall(t *testing.T) {
	r, stalled := steady(time.Unix(0, 0))
	resumed := stalled.Add(time.Second)
	assert.Equal(t, r.EarliestSent(resumed), stalled, "handled first")
	r.Tick(resumed)
	assert.Equal(t, r.EarliestSent(resumed.Add(time.Millisecond)), stalled, "ticked first")
	r.Tick(resumed.Add(interval))
	assert.Equal(t, r.EarliestSent(resumed.Add(recovery)), stalled, "still recovering")
}

func TestSignalToAProcessThatRuns(t *testing.T) {
	r, last := steady(time.Unix(0, 0))
	assert.Equal(t, r.EarliestSent(last.Add(interval/2)), last)
	assert.Equal(t, r.EarliestSent(last.Add(-time.Millisecond)), last.Add(-interval), "ticked after the handling")
}

// Guards against a process that counts a stall that it has long recovered from.
func TestSignalLongAfterAStall(t *testing.T) {
	r, stalled := steady(time.Unix(0, 0))
	last := stalled.Add(time.Second)
	r.Tick(last)
	for range 10 {
		last = last.Add(interval)
		r.Tick(last)
	}
	assert.Equal(t, r.EarliestSent(last.Add(interval/2)), last)
}

func TestMonitorTicksWhileItsProcessRuns(t *testing.T) {
	m := NewMonitor()
	began := m.EarliestSent(time.Now())
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- m.Run(ctx) }()
	for end := time.Now().Add(10 * time.Second); !m.EarliestSent(time.Now()).After(began); time.Sleep(interval / 4) {
		assert.Assert(t, time.Now().Before(end), "no tick")
	}
	cancel()
	assert.NilError(t, <-ended)
}
