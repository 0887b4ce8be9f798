package feed

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// All entries start during an outage, and their peers are starting too. After the
// outage the configuration and the list of instances come by separate calls, of
// which the second may fail just before. A process that stops reading the list
// once it has the configuration can't place requests until it bypasses its feed,
// many seconds later.
func TestNewcomerAsksForInstancesUntilItKnowsThem(t *testing.T) {
	list := fleet(1, 3, 3)
	b := newHarness(list[0].ID, list[1].ID, list[2].ID)
	b.advance(5*time.Second, func() {
		b.event(EventInfo{})
		b.answer(Failed)
	})
	assert.Assert(t, !b.m.Ready())
	back := b.now
	known := time.Time{}
	failed := false
	b.advance(6*time.Second, func() {
		// The other starting processes succeed, so the feed is neither silent nor stale.
		b.event(EventInfo{HasConfig: true})
		calls := b.calls
		b.calls = nil
		for _, c := range calls {
			switch {
			case c == CallInstances && !failed:
				// The call was sent before the platform was back.
				failed = true
				b.record(b.m.OnCall(b.now, c, Failed))
			case c == CallInstances && known.IsZero():
				known = b.now
				b.record(b.m.OnCall(b.now, c, Done))
				b.record(b.m.OnInstances(b.now, list))
			default:
				b.record(b.m.OnCall(b.now, c, Done))
			}
		}
	})
	assert.Assert(t, b.m.Ready())
	assert.Assert(t, !known.IsZero(), "the list of instances wasn't read")
	assert.Assert(t, known.Sub(back) <= retryMax+instancesInterval+2*tickInterval, "instances are known after %s", known.Sub(back))
}

// Only the platform's list shows that a server is leaving. Until its availability
// zone's watcher has read the list again, the server gets new work, which must
// stop within a few seconds.
func TestWatcherReadsTheInstancesEachTwoSeconds(t *testing.T) {
	list := fleet(1, 2, 3)
	b := started(list[0].ID, list)
	assert.Assert(t, b.m.Watches())
	last, worst := b.now, time.Duration(0)
	b.advance(time.Minute, func() {
		if slices.Contains(b.calls, CallInstances) {
			worst = max(worst, b.now.Sub(last))
			last = b.now
		}
		b.answer(Done)
	})
	assert.Assert(t, worst > 0 && worst <= 2*time.Second+2*tickInterval, "read after %s", worst)
}
