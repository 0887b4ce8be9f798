package confirm

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// zonedFleet describes a fleet of zones of some gateways, perZone of which follow the store.
type zonedFleet struct{ zones, gateways, perZone int }

// settle lets all gateways list and learn of one change, so that all copies have the same newest one.
func (f *fleet) settle() {
	f.runFor(4 * time.Second)
	f.write(change{ofKind: true})
	f.runFor(12 * time.Second)
	f.bytes, f.sent, f.polls = 0, 0, 0
}

// worstAge returns the oldest confirmation of some gateways in a time.
func (f *fleet) worstAge(list []*simGateway, d time.Duration) time.Duration {
	var out time.Duration
	for end := f.now + d; f.now < end; {
		f.runFor(50 * time.Millisecond)
		out = max(out, slices.Max(f.ages(list)))
	}
	return out
}

// Guards the store against polls that grow with the fleet, and gateways against copies that get
// so old that each polls for itself.
func TestFewGatewaysPollForAll(t *testing.T) {
	for _, bound := range []time.Duration{time.Second, 2 * time.Second, 3 * time.Second, 4 * time.Second} {
		for _, x := range []zonedFleet{{1, 5, 2}, {3, 2, 2}, {4, 5, 2}, {5, 14, 2}, {11, 34, 2}} {
			f := newZonedFleet(7, x.zones, x.gateways, x.perZone, bound)
			f.settle()
			worst := f.worstAge(f.gateways, 20*time.Second)
			n, polls := float64(len(f.gateways)), float64(f.polls)/20
			t.Logf("%v, %v: %.1f polls a second in all, %.1f datagrams and %.0f bytes with headers from each, ages up to %v",
				bound, x, polls, float64(f.sent)/20/n, float64(f.bytes+28*f.sent)/20/n, worst)
			assert.Assert(t, worst < bound*3/4, "%v: %v", x, worst)
			// A poll of each gateway at OwnPoll would be two in each bound.
			assert.Assert(t, polls*bound.Seconds() < 14, "%v: %v", x, polls)
		}
	}
}

// Guards against gateways in contact with the store whose copies get older than the bound, as the
// followers of their zone are cut off from it, or all followers are.
func TestCutOffFollowersDontMakeCopiesOld(t *testing.T) {
	for _, bound := range []time.Duration{time.Second, 2 * time.Second, 3 * time.Second, 4 * time.Second} {
		for _, x := range []zonedFleet{{1, 5, 2}, {3, 2, 1}, {4, 5, 2}, {5, 14, 2}} {
			for _, zones := range []int{1, x.zones} {
				f := newZonedFleet(3, x.zones, x.gateways, x.perZone, bound)
				f.settle()
				var others []*simGateway
				for i, g := range f.gateways {
					if i%x.zones < zones && i/x.zones < x.perZone {
						g.cutUntil = f.now + time.Hour
					} else {
						others = append(others, g)
					}
				}
				worst := f.worstAge(others, 10*time.Second)
				t.Logf("%v, %v, followers of %d zones cut off: %.1f polls a second, ages up to %v", bound, x, zones, float64(f.polls)/10, worst)
				assert.Assert(t, worst < bound*3/4, "%v: %v", x, worst)
			}
		}
	}
}
