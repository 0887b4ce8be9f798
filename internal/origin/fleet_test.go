package origin

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// Bounds of the model: streams are taken up until takenUpFor after their begin, and servers go
// on serving for lingering after their entry was removed. Both end within soleWithin.
const (
	soleWithin = 28 * time.Second
	takenUpFor = 20 * time.Second
	lingering  = 5 * time.Second
)

// versionStore is a model of the platform's store: the changes of the number of servers by
// version, in their order, and when they were written.
type versionStore struct {
	changes []versionChange
	servers map[uint64]int
	// removed is when the last server of a version was removed.
	removed map[uint64]time.Time
	now     time.Time
}

type versionChange struct {
	software uint64
	servers  int
}

func (s *versionStore) write(software uint64, servers int) {
	if s.servers[software] > 0 && servers == 0 {
		s.removed[software] = s.now
	}
	s.servers[software] = servers
	s.changes = append(s.changes, versionChange{software, servers})
}

// serves reports whether a server of a version may still take work.
func (s *versionStore) serves(software uint64) bool {
	return s.servers[software] > 0 || s.now.Sub(s.removed[software]) <= lingering
}

// clock is the time of the store in the form of package boottime.
func (s *versionStore) clock() time.Duration { return s.now.Sub(start) + time.Second }

// versionCopy is a model of a gateway that follows the store.
type versionCopy struct {
	store    *versionStore
	history  *History
	listed   map[Served]int
	position int
}

func newVersionCopy(s *versionStore) *versionCopy {
	c := &versionCopy{store: s, history: NewHistory(), listed: map[Served]int{}}
	c.history.SetComplete()
	c.applyUntil(len(s.changes))
	return c
}

// applyUntil applies the changes up to a position, as one answer.
func (c *versionCopy) applyUntil(position int) {
	for ; c.position < position; c.position++ {
		x := c.store.changes[c.position]
		c.listed[Served{1, x.software}] = x.servers
		if x.servers == 0 {
			delete(c.listed, Served{1, x.software})
			continue
		}
		c.history.Observe(Served{1, x.software}, c.store.now)
	}
	c.history.Update(c.listed, c.store.now)
}

// listAnew replaces the copy by a listing, without the changes before it.
func (c *versionCopy) listAnew() {
	clear(c.listed)
	for software, servers := range c.store.servers {
		if servers > 0 {
			c.listed[Served{1, software}] = servers
		}
	}
	c.position = len(c.store.changes)
	c.history.Restart(c.store.now)
	c.history.Update(c.listed, c.store.now)
	c.history.Confirm(c.store.clock())
}

// poll applies all changes and has the copy confirmed as of a moment.
func (c *versionCopy) poll(began time.Duration) {
	c.applyUntil(len(c.store.changes))
	c.history.Confirm(began)
}

// soleAsOf is what a gateway takes for the version of an unknown stream whose caller's attempt
// arrived at a moment, 0 for none.
func (c *versionCopy) soleAsOf(arrived time.Duration) uint64 {
	if !c.history.IsConfirmed(arrived) {
		return 0
	}
	return c.history.Sole([]uint64{1}, soleWithin, c.store.now)
}

type modelStream struct {
	software uint64
	began    time.Time
}

// Guards against unknown streams that go on at another version than the one that began them, at
// gateways that lag behind the store, stand still, are cut off from it or learn of changes from
// others, while servers of other versions come and go.
func TestUnknownStreamsKeepTheirVersionAtGatewaysOutOfStep(t *testing.T) {
	wentOn := 0
	rapid.Check(t, func(t *rapid.T) {
		store := &versionStore{servers: map[uint64]int{}, removed: map[uint64]time.Time{}, now: start}
		store.write(1, 2)
		var gateways []*versionCopy
		for range 3 {
			gateways = append(gateways, newVersionCopy(store))
		}
		var streams []modelStream
		gateway := func(t *rapid.T) *versionCopy { return rapid.SampledFrom(gateways).Draw(t, "gateway") }
		t.Repeat(map[string]func(*rapid.T){
			"write": func(t *rapid.T) {
				store.write(rapid.Uint64Range(1, 3).Draw(t, "version"), rapid.IntRange(0, 2).Draw(t, "servers"))
			},
			"time": func(t *rapid.T) {
				store.now = store.now.Add(rapid.SampledFrom([]time.Duration{100 * time.Millisecond, time.Second, 10 * time.Second}).Draw(t, "passes"))
			},
			"watch": func(t *rapid.T) { gateway(t).poll(store.clock()) },
			"late watch": func(t *rapid.T) {
				// The call began before the last changes, and has some of them.
				c := gateway(t)
				c.applyUntil(rapid.IntRange(c.position, len(store.changes)).Draw(t, "position"))
			},
			"list anew": func(t *rapid.T) { gateway(t).listAnew() },
			"begin": func(t *rapid.T) {
				for s := range gateway(t).listed {
					if store.serves(s.Software) {
						streams = append(streams, modelStream{s.Software, store.now})
					}
				}
			},
			"take up": func(t *rapid.T) {
				c := gateway(t)
				store.now = store.now.Add(time.Microsecond)
				arrived := store.clock()
				if rapid.Bool().Draw(t, "the store answers") {
					c.poll(store.clock())
				}
				sole := c.soleAsOf(arrived)
				for _, s := range streams {
					if sole == 0 || store.now.Sub(s.began) > takenUpFor {
						continue
					}
					assert.Equal(t, sole, s.software, "the version of a stream that began %v ago", store.now.Sub(s.began))
					wentOn++
				}
			},
		})
	})
	assert.Assert(t, wentOn > 0)
	t.Logf("%d went on", wentOn)
}
