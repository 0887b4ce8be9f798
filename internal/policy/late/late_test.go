package late

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

var start = time.Unix(1000, 0)

// Guards against turns by chance: a less urgent request that goes before a more urgent one.
func TestTurnsGoByRankThenArrival(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var q Queue
		first := &Ticket{Until: start.Add(time.Minute)}
		q.Enter(start, first)
		assert.Equal(t, first.State(), Turn)
		var all []*Ticket
		for _, rank := range rapid.SliceOfN(rapid.IntRange(0, 3), 1, 20).Draw(t, "ranks") {
			x := &Ticket{Rank: rank, Until: start.Add(time.Minute)}
			all = append(all, x)
			q.Enter(start, x)
		}
		at := func(x *Ticket) int {
			for i, o := range all {
				if o == x {
					return i
				}
			}
			return -1
		}
		last := first
		for range all {
			q.Leave(start, last)
			var turn *Ticket
			for _, x := range all {
				if x.State() == Turn && x != last && at(x) >= 0 && x == q.current {
					assert.Assert(t, turn == nil, "two turns at once")
					turn = x
				}
			}
			assert.Assert(t, turn != nil)
			if last != first {
				assert.Assert(t, turn.Rank > last.Rank || turn.Rank == last.Rank && at(turn) > at(last))
			}
			last = turn
		}
		q.Leave(start, last)
		assert.Assert(t, q.current == nil && q.Waiting() == 0)
	})
}

// Guards against requests that wait for a turn that can't come in time, and against those
// that are refused though it can.
func TestHopelessRequestsAreRefusedAtOnce(t *testing.T) {
	var q Queue
	first := &Ticket{}
	q.Enter(start, first)
	now := start.Add(time.Second)
	second := &Ticket{}
	q.Enter(start, second)
	q.Leave(now, first)
	// Turns take a second, and count half.
	wait := func(rank int, until time.Duration) *Ticket {
		x := &Ticket{Rank: rank, Until: now.Add(until), Hopeless: true}
		q.Enter(now, x)
		return x
	}
	a, b, c := wait(2, 100*time.Millisecond), wait(2, 600*time.Millisecond), wait(2, 900*time.Millisecond)
	assert.DeepEqual(t, []State{a.State(), b.State(), c.State()}, []State{Waiting, Waiting, Refused})
	patient := &Ticket{Rank: 2, Until: now.Add(900 * time.Millisecond)}
	q.Enter(now, patient)
	assert.Equal(t, patient.State(), Waiting)
	// A more urgent one takes the places of others.
	changed := 0
	b.OnChange = func() { changed++ }
	urgent := wait(0, 100*time.Millisecond)
	assert.DeepEqual(t, []State{urgent.State(), a.State(), b.State()}, []State{Waiting, Refused, Waiting})
	wait(0, 600*time.Millisecond)
	assert.DeepEqual(t, []State{urgent.State(), b.State()}, []State{Waiting, Refused})
	assert.Equal(t, changed, 1)
	q.Leave(now, second)
	assert.Equal(t, urgent.State(), Turn)
	assert.Equal(t, q.Waiting(), 2)
}

// Guards against a caller who left and keeps its place.
func TestWhoLeavesLosesItsPlace(t *testing.T) {
	var q Queue
	a, b, c := &Ticket{}, &Ticket{}, &Ticket{}
	for _, x := range []*Ticket{a, b, c} {
		q.Enter(start, x)
	}
	q.Leave(start, b)
	q.Leave(start, a)
	assert.Equal(t, c.State(), Turn)
	assert.Equal(t, b.State(), Waiting)
}
