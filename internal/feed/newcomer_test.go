package feed

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// All entries start in an outage, with only newcomers to ask. When the platform
// is back, the configuration comes by one call and the list of instances by
// another, which may have failed a moment before. A process that stops asking
// for the list once it has the configuration can place no request until it goes
// around its silent feed, many seconds later.
func TestNewcomerAsksForInstancesUntilItKnowsThem(t *testing.T) {
	list := fleet(1, 3, 3)
	b := newBench(list[0].ID, list[1].ID, list[2].ID)
	b.pass(5*time.Second, func() {
		b.event(Heard{})
		b.answer(Failed)
	})
	assert.Assert(t, !b.m.Ready())
	back := b.now
	known := time.Time{}
	failed := false
	b.pass(6*time.Second, func() {
		// The other newcomers get theirs, so the feed is neither silent nor stale.
		b.event(Heard{Known: true})
		calls := b.calls
		b.calls = nil
		for _, c := range calls {
			switch {
			case c == CallInstances && !failed:
				// It was sent before the platform was back.
				failed = true
				b.do(b.m.OnCall(b.now, c, Failed))
			case c == CallInstances && known.IsZero():
				known = b.now
				b.do(b.m.OnCall(b.now, c, Done))
				b.do(b.m.OnInstances(b.now, list))
			default:
				b.do(b.m.OnCall(b.now, c, Done))
			}
		}
	})
	assert.Assert(t, b.m.Ready())
	assert.Assert(t, !known.IsZero(), "the list of instances isn't asked for")
	assert.Assert(t, known.Sub(back) <= retryMax+instancesTick+2*tickEvery, "instances are known after %s", known.Sub(back))
}

// Only the platform's list says that a server leaves. Until the entry that
// watches for its availability zone has read the list again, the server gets new
// work, which is promised to end within a few seconds.
func TestWatcherReadsTheInstancesEachTwoSeconds(t *testing.T) {
	list := fleet(1, 2, 3)
	b := started(list[0].ID, list)
	assert.Assert(t, b.m.Watches())
	last, worst := b.now, time.Duration(0)
	b.pass(time.Minute, func() {
		if slices.Contains(b.calls, CallInstances) {
			worst = max(worst, b.now.Sub(last))
			last = b.now
		}
		b.answer(Done)
	})
	assert.Assert(t, worst > 0 && worst <= 2*time.Second+2*tickEvery, "read after %s", worst)
}
