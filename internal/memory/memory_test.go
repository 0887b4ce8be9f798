package memory

import (
	"errors"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// clock is a clock that tests set.
type clock struct{ at time.Time }

func (c *clock) now() time.Time { return c.at }

func TestWhoGivesWay(t *testing.T) {
	const limit = 1 << 20
	type claim struct {
		name string
		kb   int64
		age  time.Duration
	}
	for name, x := range map[string]struct {
		claims []claim
		need   int64
		want   []string
	}{
		"nobody while there is room": {claims: []claim{{"a", 500, time.Second}}, need: 100},
		"nobody who has just begun":  {claims: []claim{{"a", 1000, arrivalTime / 2}}, need: 100},
		"who holds most":             {claims: []claim{{"a", 300, time.Second}, {"b", 700, time.Second}}, need: 100, want: []string{"b"}},
		"who has held it for longest": {
			claims: []claim{{"a", 500, 3 * time.Second}, {"b", 520, time.Second}}, need: 100, want: []string{"a"},
		},
		"who holds little stays, however long": {
			claims: []claim{{"a", 2, 10 * time.Second}, {"b", 1000, 400 * time.Millisecond}}, need: 100, want: []string{"b"},
		},
		"as many as are needed": {
			claims: []claim{{"a", 340, 3 * time.Second}, {"b", 340, 2 * time.Second}, {"c", 340, time.Second}}, need: 700, want: []string{"a", "b", "c"},
		},
	} {
		t.Run(name, func(t *testing.T) {
			c := &clock{at: time.Unix(1000, 0)}
			pool := NewArriving(limit, c.now)
			var evicted []string
			for _, x := range x.claims {
				claim := pool.Open(func() { evicted = append(evicted, x.name) })
				claim.since = c.at.Add(-x.age)
				pool.chargeLocked(claim, x.kb<<10)
			}
			_, err := pool.Open(func() {}).request(x.need << 10)
			assert.NilError(t, err)
			assert.DeepEqual(t, evicted, x.want)
		})
	}
}

// Guards against thousands of small unfinished requests that keep an ordinary one waiting.
func TestTheMoreWaitTheSoonerOthersGiveWay(t *testing.T) {
	c := &clock{at: time.Unix(1000, 0)}
	pool := NewArriving(1<<20, c.now)
	evicted := 0
	for range 1 << 10 {
		claim := pool.Open(func() { evicted++ })
		pool.chargeLocked(claim, 1<<10)
	}
	c.at = c.at.Add(minArrivalTime)
	for range 20 * manyWaiting {
		pool.waiting = append(pool.waiting, &waiter{claim: pool.Open(func() {}), n: 100, done: make(chan error, 1)})
	}
	pool.look()
	assert.Equal(t, evicted, 20*manyWaiting*100/(1<<10))
}

func TestRoomGoesToWhoeverWaits(t *testing.T) {
	c := &clock{at: time.Unix(1000, 0)}
	pool := NewArriving(1<<20, c.now)
	holder := pool.Open(nil)
	assert.NilError(t, holder.Grow(700<<10))
	large, small := pool.Open(func() {}), pool.Open(func() {})
	grown := make(chan string, 2)
	waits := func(claim *Claim, name string, n int64) {
		go func() {
			if claim.Grow(n) == nil {
				grown <- name
			}
		}()
		for waiting := 0; waiting == 0; time.Sleep(time.Millisecond) {
			pool.mu.Lock()
			waiting = len(pool.waiting)
			pool.mu.Unlock()
		}
	}
	waits(large, "large", 400<<10)
	// A small request doesn't wait behind a large one.
	assert.NilError(t, small.Grow(30<<10))
	c.at = c.at.Add(time.Second)
	holder.Close()
	assert.Equal(t, <-grown, "large")
	// The wait doesn't count as a part of its arrival.
	assert.Equal(t, large.since, c.at)
	assert.Equal(t, pool.Used(), int64(430<<10))
	assert.Assert(t, errors.Is(holder.Grow(1), ErrEvicted))
	assert.Assert(t, errors.Is(large.Grow(2<<20), ErrFull))
}

// Guards against bytes that are lost or counted twice, and against a pool that exceeds its limit.
func TestPoolsNeverExceedTheirLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const limit = 1 << 20
		c := &clock{at: time.Unix(1000, 0)}
		pool, serving := NewArriving(limit, c.now), NewServing(limit)
		var open []*Claim
		var taken []int64
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			c.at = c.at.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond)
			n := rapid.Int64Range(0, 300<<10).Draw(t, "bytes")
			switch rapid.IntRange(0, 3).Draw(t, "kind") {
			case 0:
				open = append(open, pool.Open(func() {}))
			case 1:
				if len(open) > 0 {
					_, _ = rapid.SampledFrom(open).Draw(t, "claim").request(n)
				}
			case 2:
				if len(open) > 0 {
					i := rapid.IntRange(0, len(open)-1).Draw(t, "closed")
					open[i].Close()
					open = slices.Delete(open, i, i+1)
				}
			case 3:
				if serving.Take(n) {
					taken = append(taken, n)
				}
			}
			sum := int64(0)
			for _, x := range open {
				sum += x.Bytes()
			}
			assert.Equal(t, pool.Used(), sum)
			assert.Assert(t, pool.Used() <= limit)
			assert.Assert(t, serving.used <= limit)
		}
		for _, x := range open {
			x.Close()
		}
		for _, n := range taken {
			serving.Return(n)
		}
		assert.Equal(t, pool.Used(), int64(0))
		assert.Equal(t, pool.leaving, int64(0))
		assert.Equal(t, len(pool.waiting), 0)
		assert.Equal(t, serving.used, int64(0))
	})
}

func TestLargeRequestsLeaveRoomForSmallOnes(t *testing.T) {
	s := NewServing(4 << 20)
	assert.Assert(t, s.Take(3<<20))
	assert.Assert(t, !s.Take(largeServing))
	assert.Assert(t, s.Take(100<<10))
	s.Return(3 << 20)
	assert.Assert(t, s.Take(largeServing))
}

func TestLimitsFollowTheMachine(t *testing.T) {
	const body = 4 << 20
	for _, mb := range []int64{80, 88, 134, 284, 536} {
		l := Detect(mb << 20)
		assert.Assert(t, l.Arriving+l.Serving+l.Connections*connectionBytes <= l.Runtime, "%d MB", mb)
		assert.Assert(t, l.Runtime+programBytes <= l.Machine, "%d MB", mb)
		assert.Assert(t, l.FitsBody(body), "%d MB", mb)
	}
	assert.Assert(t, Detect(88<<20).Connections >= 3075)
	assert.Equal(t, Of(1), Of(MinMachine))
	assert.Assert(t, Detect(0).Machine >= MinMachine)
}
