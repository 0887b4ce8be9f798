package lease

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"jayford.example/jayford/internal/object"
	"jayford.example/jayford/internal/platform"
)

const term = 15 * time.Second

// world is a store with machines whose calls can be delayed and whose replies can
// be lost.
type world struct {
	now      time.Time
	stored   Stored
	machines []*Machine
	// pending has the call in flight of each machine.
	pending []Action
	// ghosts are writes that take effect after their sender's timeout.
	ghosts []Action
	calls  int
	ops    int
}

func newWorld(n int) *world {
	w := &world{now: time.Unix(1000, 0), pending: make([]Action, n)}
	for i := range n {
		w.machines = append(w.machines, NewMachine(fmt.Sprintf("e%d#1", i), term))
	}
	return w
}

func (w *world) put(a Action) (Outcome, uint64) {
	if a.Version != w.stored.Version {
		return Conflict, 0
	}
	w.stored = Stored{Version: w.stored.Version + 1, Operation: a.Operation, Lease: a.Lease}
	return Written, w.stored.Version
}

func (w *world) tick(i int) {
	w.ops++
	a := w.machines[i].Tick(w.now, true, fmt.Sprint("op", w.ops))
	if a.Kind != ActionNone {
		w.calls++
		w.pending[i] = a
	}
}

// answer completes the call of machine i.
func (w *world) answer(i int) {
	a := w.pending[i]
	w.pending[i] = Action{}
	switch a.Kind {
	case ActionRead:
		w.machines[i].OnRead(w.now, w.stored, true)
	case ActionWrite:
		o, v := w.put(a)
		w.machines[i].OnWrite(w.now, a.Lease, o, v)
	case ActionNone:
	}
}

// lose drops the reply of machine i's call. A write takes effect now or, if late
// is set, when the ghost is applied.
func (w *world) lose(i int, late bool) {
	a := w.pending[i]
	w.pending[i] = Action{}
	switch a.Kind {
	case ActionRead:
		w.machines[i].OnRead(w.now, Stored{}, false)
	case ActionWrite:
		if late {
			w.ghosts = append(w.ghosts, a)
		} else {
			w.put(a)
		}
		w.machines[i].OnWrite(w.now, a.Lease, Unclear, 0)
	case ActionNone:
	}
}

// Processes pause, replies are lost and writes arrive late, in any order. Two
// holders at once would give conflicting orders; if a successor's fencing token
// were below its predecessor's, its orders would be refused and late orders of
// the predecessor carried out.
func TestOneHolderAndRisingFences(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(3)
		var highest uint64
		last := -1
		machine := rapid.IntRange(0, 2)
		t.Repeat(map[string]func(*rapid.T){
			"tick":   func(t *rapid.T) { w.tick(machine.Draw(t, "m")) },
			"answer": func(t *rapid.T) { w.answer(machine.Draw(t, "m")) },
			"lose":   func(t *rapid.T) { w.lose(machine.Draw(t, "m"), rapid.Bool().Draw(t, "late")) },
			"ghost": func(*rapid.T) {
				if len(w.ghosts) > 0 {
					w.put(w.ghosts[0])
					w.ghosts = w.ghosts[1:]
				}
			},
			"time": func(t *rapid.T) {
				w.now = w.now.Add(time.Duration(rapid.IntRange(1, 20000).Draw(t, "ms")) * time.Millisecond)
			},
			"": func(t *rapid.T) {
				holders := 0
				for i, m := range w.machines {
					fence, holds := m.FencingToken(w.now)
					if !holds {
						continue
					}
					holders++
					if i != last && fence <= highest {
						t.Fatalf("machine %d took over with fence %d, not above %d", i, fence, highest)
					}
					last, highest = i, max(highest, fence)
				}
				if holders > 1 {
					t.Fatalf("%d holders", holders)
				}
			},
		})
	})
}

func (w *world) run(d time.Duration) {
	for end := w.now.Add(d); w.now.Before(end); w.now = w.now.Add(term / ticksPerTerm) {
		for i := range w.machines {
			w.tick(i)
			w.answer(i)
		}
	}
}

// Runs three candidates for an hour and checks the call rate that the package
// comment states.
func TestCallsPerSecond(t *testing.T) {
	w := newWorld(Candidates)
	w.run(time.Hour)
	perSecond := float64(w.calls) / time.Hour.Seconds()
	t.Logf("figure: %.2f calls a second for one lease", perSecond)
	assert.Assert(t, perSecond < 0.62)
	var list []platform.Instance
	for i := range 124 {
		list = append(list, platform.Instance{ID: fmt.Sprint("e", i), Role: "entry", Region: "r", State: platform.Live})
	}
	n := 0
	for _, i := range list {
		if IsCandidate(list, "r", "capacity.r", i.ID) {
			n++
		}
	}
	assert.Equal(t, n, Candidates)
}

// The holder's renewal gets no reply. It must not count as the holder until the
// object has been read back, as a successor may have the lease.
func TestUnclearRenewalHoldsNothing(t *testing.T) {
	w := newWorld(1)
	w.run(time.Second)
	first, holds := w.machines[0].FencingToken(w.now)
	assert.Assert(t, holds)
	for w.pending[0].Kind == ActionNone {
		w.now = w.now.Add(term / ticksPerTerm)
		w.tick(0)
	}
	w.lose(0, false)
	_, holds = w.machines[0].FencingToken(w.now)
	assert.Assert(t, !holds, "the lease counts as held after an unclear write")
	w.run(time.Second)
	fence, holds := w.machines[0].FencingToken(w.now)
	assert.Assert(t, holds, "the lease is not held after the write was read back")
	assert.Assert(t, fence > first)
}

// The holder is paused for longer than its term while another candidate takes
// over. By the clock alone it must not count as the holder when it resumes, and
// after a read it must see its successor.
func TestPausedHolder(t *testing.T) {
	w := newWorld(2)
	w.run(term)
	paused, other := 0, 1
	if _, holds := w.machines[0].FencingToken(w.now); !holds {
		paused, other = 1, 0
	}
	for range 3 * ticksPerTerm {
		w.now = w.now.Add(term / ticksPerTerm)
		w.tick(other)
		w.answer(other)
	}
	_, holds := w.machines[paused].FencingToken(w.now)
	assert.Assert(t, !holds)
	_, holds = w.machines[other].FencingToken(w.now)
	assert.Assert(t, holds, "no successor acquired the lease")
	w.run(time.Second)
	assert.Equal(t, w.machines[paused].Holder(), w.stored.Lease.Holder)
	_, holds = w.machines[paused].FencingToken(w.now)
	assert.Assert(t, !holds)
}

// A graceful stop must not leave the scope without a leader for a term.
func TestReleaseFreesAtOnce(t *testing.T) {
	w := newWorld(2)
	w.run(term)
	i := 0
	if _, holds := w.machines[0].FencingToken(w.now); !holds {
		i = 1
	}
	w.now = w.now.Add(time.Second)
	a := w.machines[i].Release(w.now, "bye")
	assert.Equal(t, a.Kind, ActionWrite)
	assert.Equal(t, a.Lease, object.Lease{Format: object.Format, Term: term, Renewals: a.Lease.Renewals})
	w.pending[i] = a
	w.answer(i)
	w.machines = w.machines[1-i : 2-i]
	w.run(term / 2)
	_, holds := w.machines[0].FencingToken(w.now)
	assert.Assert(t, holds)
}
