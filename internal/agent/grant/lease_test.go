package grant

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against refusals as unknown_grant without a cause in any log: an entry can't
// distinguish a lapse from a renewal that didn't list its attempt.
func TestUnusedGrantsAreReported(t *testing.T) {
	c := up(t, 3)
	for _, id := range []string{"lapses", "unlisted", "stale", "released"} {
		r := decode(id)
		r.Entry = id + "#1"
		r.Idle = time.Second
		if id == "lapses" {
			r.Idle = 10 * time.Second
		}
		_, _ = c.Reserve(0, r)
		if id == "unlisted" {
			c.Renew(10*ms, r.Entry, 1, nil)
			c.Renew(20*ms, r.Entry, 2, nil)
		}
		if id == "released" {
			c.Release(30*ms, r.Key, r.Entry)
		}
	}
	for now := 100 * ms; now <= lapse; now += 100 * ms {
		c.Tick(now)
	}
	got := map[string]Cause{}
	for _, u := range c.TakeUnused() {
		got[u.Key.Request] = u.Cause
	}
	assert.DeepEqual(t, got, map[string]Cause{"lapses": Lapsed, "unlisted": Unlisted, "stale": Idle})
	assert.Equal(t, len(c.TakeUnused()), 0)
}

// Guards against ending a grant that its entry is about to use: two renewals that timed
// out at the entry are read after the grant, which was requested over the connection
// that replaced theirs. The first renewal that can list the attempt decides.
func TestRenewalsFromBeforeAGrantDoNotEndIt(t *testing.T) {
	c := up(t, 2)
	used, unlisted := decode("used"), decode("unlisted")
	used.ListedFrom, unlisted.ListedFrom = 3, 3
	_, _ = c.Reserve(10*ms, used)
	_, _ = c.Reserve(10*ms, unlisted)
	c.Renew(20*ms, used.Entry, 1, nil)
	c.Renew(30*ms, used.Entry, 2, nil)
	assert.Equal(t, len(c.TakeUnused()), 0)
	c.Renew(40*ms, used.Entry, 3, []Attempt{used.Key.Attempt()})
	assert.Assert(t, c.Start(50*ms, used.Key, used.Entry) == nil)
	assert.Assert(t, !c.HasGrant(unlisted.Key.Attempt()), "its release was lost")
}
