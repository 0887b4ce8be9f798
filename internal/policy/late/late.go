// Package late decides which late request may reserve memory next.
//
// It answers the load pattern of bursts in which memory is short: each late request that
// takes memory makes another one late that could have been in time. So the late requests of
// a gateway take turns, one at a time.
//
// The package guarantees:
//   - At most one request has its turn.
//   - Turns go by rank, and among requests of a rank by arrival.
//   - A request that has Hopeless set doesn't wait for a turn that isn't expected to come in
//     time; it is refused at once, also when more urgent requests arrive later.
//
// It holds no clock, lock or goroutine; all values are passed in.
package late

import (
	"slices"
	"time"
)

const (
	// turnWeight is the weight of one turn in the average duration of turns.
	turnWeight = 0.2
	// turnShare is the part of the average duration that a turn is counted with. Turns vary
	// by a multiple, and a request that waits in vain costs less than one that is refused
	// and could have been served.
	turnShare = 0.5
)

// State is the state of a request in the queue.
type State int

// The states.
const (
	Waiting State = iota
	// Turn: the request may reserve.
	Turn
	// Refused: its turn can't be expected in time.
	Refused
)

// Ticket is one request's place in the queue.
type Ticket struct {
	// Rank is how urgent the request is; 0 goes first.
	Rank int
	// Until is when it stops waiting.
	Until time.Time
	// Hopeless: the request is refused once its turn can't be expected in time.
	Hopeless bool
	// OnChange is called once, when the request gets its turn or is refused.
	OnChange func()

	state State
	began time.Time
}

// State returns the request's state.
func (t *Ticket) State() State { return t.state }

func (t *Ticket) set(s State, now time.Time) {
	t.state, t.began = s, now
	if t.OnChange != nil {
		t.OnChange()
	}
}

// Queue orders the late requests of one gateway. The zero value is empty.
type Queue struct {
	current *Ticket
	// waiting are sorted by rank and then by arrival.
	waiting []*Ticket
	// turn is the average duration of turns, 0 if none has ended yet.
	turn time.Duration
}

// Enter adds a request.
func (q *Queue) Enter(now time.Time, t *Ticket) {
	at := len(q.waiting)
	for at > 0 && q.waiting[at-1].Rank > t.Rank {
		at--
	}
	q.waiting = slices.Insert(q.waiting, at, t)
	q.advance(now)
	q.refuse(now)
}

// Leave removes a request, whatever its state.
func (q *Queue) Leave(now time.Time, t *Ticket) {
	if q.current != t {
		q.waiting = slices.DeleteFunc(q.waiting, func(o *Ticket) bool { return o == t })
		return
	}
	took := now.Sub(t.began)
	if q.turn == 0 {
		q.turn = took
	}
	q.turn += time.Duration(turnWeight * float64(took-q.turn))
	q.current = nil
	q.advance(now)
}

// Waiting returns the number of requests that wait for their turn.
func (q *Queue) Waiting() int { return len(q.waiting) }

func (q *Queue) advance(now time.Time) {
	if q.current != nil || len(q.waiting) == 0 {
		return
	}
	q.current = q.waiting[0]
	q.waiting = q.waiting[1:]
	q.current.set(Turn, now)
}

// refuse refuses the requests whose turn can't be expected in time. Those behind one that is
// refused move up.
func (q *Queue) refuse(now time.Time) {
	ahead := 0
	q.waiting = slices.DeleteFunc(q.waiting, func(t *Ticket) bool {
		// The present turn may end at any moment.
		expected := time.Duration(turnShare * float64(ahead) * float64(q.turn))
		if t.Hopeless && now.Add(expected).After(t.Until) {
			t.set(Refused, now)
			return true
		}
		ahead++
		return false
	})
}
