package blame

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// Three requests run on a server when it crashes, one of them a poison pill that is
// retried. The first crash restricts none of them. The second makes the two that were
// retried suspects, which then run alone: one succeeds and is cleared, the other crashes
// its server and is convicted.
func TestNeighboursAreClearedAndTheCulpritConvicted(t *testing.T) {
	b := New(Options{})
	for _, fp := range []uint64{1, 2, 3} {
		assert.Equal(t, b.RecordCrash(fp, false, start), Seen)
	}
	b.RecordSuccess(1)
	assert.Equal(t, b.RecordCrash(2, false, start), Suspect)
	assert.Equal(t, b.RecordCrash(3, false, start), Suspect)
	b.RecordSuccess(2)
	assert.Equal(t, b.RecordCrash(3, true, start), Convicted)
	b.RecordSuccess(3)
	assert.Equal(t, b.State(1, start), Clean)
	assert.Equal(t, b.State(2, start), Clean)
	assert.Equal(t, b.State(3, start), Convicted)
	assert.Equal(t, b.RecordCrash(3, false, start), Convicted)
	assert.DeepEqual(t, b.Convicted(start), []uint64{3})
	for range 5 {
		assert.Assert(t, b.RecordCrash(4, false, start) != Convicted, "crashes with several requests convict none")
	}
}

// In an idle pool a machine fails while it runs a single request, which is then retried.
// The request must not be refused: only when a second server crashes while it runs alone
// is it convicted.
func TestOneCrashAloneConvictsNobody(t *testing.T) {
	b := New(Options{})
	assert.Equal(t, b.RecordCrash(1, true, start), Seen)
	assert.Equal(t, b.RecordCrash(1, true, start), Convicted)
}

func TestStatesExpireAndAreBounded(t *testing.T) {
	b := New(Options{Limit: 10, SuspectFor: time.Minute, ConvictedFor: time.Hour})
	b.RecordCrash(1, true, start)
	b.RecordCrash(1, true, start)
	for fp := range uint64(100) {
		b.RecordCrash(fp+10, false, start)
	}
	assert.Equal(t, b.Len(), 6)
	assert.Equal(t, b.State(109, start), Seen)
	assert.Equal(t, b.State(109, start.Add(time.Minute)), Clean)
	assert.Equal(t, b.State(1, start.Add(time.Minute)), Convicted)
	assert.Equal(t, b.State(1, start.Add(time.Hour)), Clean)
}
