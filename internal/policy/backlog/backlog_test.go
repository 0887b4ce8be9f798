package backlog

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

const (
	testEngine = 7
	testPace   = 20 * time.Microsecond
)

var start = time.Unix(1_000, 0)

func after(d time.Duration) time.Time { return start.Add(d) }

func newMachine() *Machine { return New(func(time.Time, uint64) time.Duration { return testPace }) }

// Guards against queues that count prompts that have been read, and those that lack unread ones.
func TestQueueIsReadFromItsFront(t *testing.T) {
	m := newMachine()
	assert.Equal(t, m.Expected(start, testEngine, 5000), 100*time.Millisecond)
	m.Observe(start, testEngine, 5000)
	m.Observe(after(20*time.Millisecond), testEngine, 9000)
	assert.Equal(t, m.Left(after(50*time.Millisecond), testEngine), 6500)
	assert.Equal(t, m.Expected(after(50*time.Millisecond), testEngine, 1000), 150*time.Millisecond)
	m.Observe(after(100*time.Millisecond), testEngine, 4000)
	assert.Equal(t, m.Left(after(100*time.Millisecond), testEngine), 4000)
	m.Observe(after(180*time.Millisecond), testEngine, 0)
	assert.Equal(t, m.Left(after(180*time.Millisecond), testEngine), 0)
	assert.Equal(t, len(m.queues), 0)
}

// Guards against a slow or frozen engine that looks idle: only its first prompt may have been
// read, however long ago that was due.
func TestOverdueQueueKeepsItsOtherPrompts(t *testing.T) {
	m := newMachine()
	m.Observe(start, testEngine, 5000)
	m.Observe(start, testEngine, 9000)
	assert.Equal(t, m.Left(after(time.Minute), testEngine), 4000)
}

// Guards against a prompt that its caller cancels in the queue, and a peer that falls silent: the
// first prompt doesn't count as unread again.
func TestBookingThatEndsEarly(t *testing.T) {
	m := newMachine()
	m.Observe(start, testEngine, 10_000)
	m.Observe(start, testEngine, 18_000)
	m.Observe(after(40*time.Millisecond), testEngine, 10_000)
	assert.Equal(t, m.Left(after(40*time.Millisecond), testEngine), 8000)
	m.Observe(after(50*time.Millisecond), testEngine, 1000)
	assert.Equal(t, m.Left(after(50*time.Millisecond), testEngine), 0)
}

// Guards against memory for engines that are gone.
func TestKeep(t *testing.T) {
	m := newMachine()
	m.Observe(start, testEngine, 10)
	m.Observe(start, testEngine+1, 10)
	m.Keep(func(e uint64) bool { return e == testEngine })
	assert.Equal(t, len(m.queues), 1)
}

// Guards against estimates beyond the package's bounds, whatever is observed and however the
// clock moves.
func TestEstimateIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newMachine()
		now, booked, largest := start, 0, 0
		for range 50 {
			before := m.Left(now, testEngine)
			next := max(0, booked+rapid.IntRange(-12_000, 12_000).Draw(t, "change"))
			m.Observe(now, testEngine, next)
			switch {
			case next == 0:
				largest = 0
			case next > booked:
				largest = max(largest, next-booked)
				assert.Equal(t, m.Left(now, testEngine), before+next-booked)
			}
			booked = next
			now = now.Add(time.Duration(rapid.IntRange(-5, 200).Draw(t, "ms")) * time.Millisecond)
			left := m.Left(now, testEngine)
			assert.Assert(t, left >= max(0, booked-largest) && left <= booked, "%d of %d, largest %d", left, booked, largest)
		}
	})
}

// Guards against a mode that changes with each prompt, or with a wave's trough.
func TestModeHolds(t *testing.T) {
	var m Mode
	step := func(at time.Duration, shortest time.Duration, spread float64) (bool, bool) {
		return m.Update(after(at), Conditions{Shortest: shortest, Objective: 800 * time.Millisecond, Spread: spread})
	}
	for _, c := range []struct {
		at, shortest    time.Duration
		spread          float64
		byTime, changed bool
	}{
		{0, 100 * time.Millisecond, 1.39, false, false},
		{time.Second, 101 * time.Millisecond, 1, true, true},
		{15 * time.Second, 0, 1, true, false},
		{16 * time.Second, 0, 1, false, true},
		{17 * time.Second, 0, 1.4, true, true},
	} {
		byTime, changed := step(c.at, c.shortest, c.spread)
		assert.Equal(t, byTime, c.byTime, "%v", c)
		assert.Equal(t, changed, c.changed, "%v", c)
	}
	byTime, _ := (&Mode{}).Update(start, Conditions{Shortest: time.Second, Spread: 1})
	assert.Assert(t, !byTime, "the route has no objective")
}
