// Package lease lets one process at a time lead a scope, by a lease object in
// the platform's object API. There is no consensus of our own: who leads is
// decided by conditional updates of that one object.
//
// The fencing number of an order is the version of the last write by which its
// sender held the lease. Versions rise over the whole store, so the renewals of
// a holder only raise its number, and a successor's first number is above all
// of the holder's before. An agent that forgot the highest number reads the
// object's version: it is never above the holder's next number, and always
// above that of a deposed one. A holder refused because it renewed between its
// order and that reading repeats the order with its new number.
//
// A lease costs the platform, at Term 15 s: 0.2 writes a second by the holder,
// and 0.2 reads a second by each other candidate. With 3 candidates a region
// that is 0.6 calls a second, however many entries there are.
package lease

import (
	"time"

	"jayford.example/jayford/internal/object"
)

const (
	// DefaultTerm lets a holder miss two renewals.
	DefaultTerm = 15 * time.Second
	// callsPerTerm is how often a holder renews and an observer reads.
	callsPerTerm = 3
	// margin: the holder counts on one part in so many less than the term, as
	// its clock and an observer's need not run at the same rate.
	margin = 10
	// settlesPerTerm is how often an unclear write is read back.
	settlesPerTerm = 30
)

// ActionKind is a kind of call to the platform.
type ActionKind int

// The calls. At most one is under way at a time.
const (
	ActionNone ActionKind = iota
	ActionRead
	ActionWrite
)

// Action is a call that the machine asks for. Its outcome must be told.
type Action struct {
	Kind ActionKind
	// Version, Lease and Operation are those of the write.
	Version   uint64
	Lease     object.Lease
	Operation string
}

// Outcome is what became of a write.
type Outcome int

// The outcomes of a write.
const (
	Written Outcome = iota
	// Conflict: the object has another version.
	Conflict
	// Refused: surely not written.
	Refused
	// Unclear: no reply; it may have taken effect, or still may.
	Unclear
)

// Stored is the lease object as read; the zero Stored if there is none.
type Stored struct {
	Version   uint64
	Operation string
	Lease     object.Lease
}

// Machine is the state of one candidate for one lease. It has no clock, I/O or
// goroutine; times must be monotonic. It isn't safe for several goroutines.
type Machine struct {
	self string
	term time.Duration

	candidate bool
	busy      bool
	next      time.Time
	asked     time.Time
	operation string
	unclear   bool

	// fence and until are those of the last write known to have taken effect.
	fence uint64
	until time.Time

	// seen is the object as last known, and since when it has stood still by
	// this process's clock.
	seen      Stored
	seenSince time.Time
	known     bool

	// founded: this process's write made the object.
	founded bool
	// expected is the version that the write under way replaces.
	expected uint64
}

// NewMachine returns a machine for the process self, "id#incarnation".
func NewMachine(self string, term time.Duration) *Machine {
	return &Machine{self: self, term: term}
}

// Fence returns the fencing number for an order sent now, and whether the
// process holds the lease. Ask at each order and after each wake-up: a process
// may have been paused for longer than the term without any sign but the clock.
// Nothing is held from an unclear write until it has been read back: the other
// outcome is that a successor holds the lease.
func (m *Machine) Fence(now time.Time) (uint64, bool) {
	return m.fence, m.fence != 0 && !m.unclear && now.Before(m.until)
}

// Holder returns who held the lease when it was last read.
func (m *Machine) Holder() string { return m.seen.Lease.Holder }

// Tick must be called several times in each part of a term. operation is a new
// id for the write that may follow.
func (m *Machine) Tick(now time.Time, candidate bool, operation string) Action {
	m.candidate = candidate
	if m.busy || now.Before(m.next) {
		return Action{}
	}
	_, holds := m.Fence(now)
	switch {
	case m.unclear:
		return m.read(now, settlesPerTerm)
	case !candidate && !holds:
		return Action{}
	case holds:
		return m.write(now, m.self, operation)
	case m.known && m.free(now):
		return m.write(now, m.self, operation)
	}
	return m.read(now, callsPerTerm)
}

// Release gives up a lease that is held, so that a successor needn't wait for
// a term to pass. The process holds it no longer, whatever becomes of the write.
func (m *Machine) Release(now time.Time, operation string) Action {
	_, holds := m.Fence(now)
	m.until = time.Time{}
	if !holds || m.busy {
		return Action{}
	}
	return m.write(now, "", operation)
}

// free says whether the lease may be taken: given up, left by this process, or
// standing still for a whole term by this process's own clock. Its holder
// counted the term from before it asked for that write, so it has stopped.
func (m *Machine) free(now time.Time) bool {
	l := m.seen.Lease
	return l.Holder == "" || l.Holder == m.self || now.Sub(m.seenSince) >= max(m.term, l.Term)
}

func (m *Machine) read(now time.Time, perTerm int) Action {
	m.busy = true
	m.next = now.Add(m.term / time.Duration(perTerm))
	return Action{Kind: ActionRead}
}

// write counts the lease from before it asks.
func (m *Machine) write(now time.Time, holder, operation string) Action {
	m.busy = true
	m.asked, m.operation, m.expected = now, operation, m.seen.Version
	m.next = now.Add(m.term / callsPerTerm)
	return Action{Kind: ActionWrite, Version: m.seen.Version, Operation: operation, Lease: object.Lease{
		Format: object.Format, Holder: holder, Term: m.term, Renewals: m.seen.Lease.Renewals + 1,
	}}
}

// OnRead takes the object as read; ok is false if the read failed.
func (m *Machine) OnRead(now time.Time, s Stored, ok bool) {
	m.busy = false
	if !ok {
		return
	}
	if !m.known || s.Version != m.seen.Version {
		m.seenSince = now
	}
	m.seen, m.known = s, true
	if !m.unclear {
		m.foreign(s)
		if m.free(now) {
			m.next = now
		}
		return
	}
	// Without the operation the write may still be under way. It is conditional
	// on a version: the next write either takes that version away from it, or
	// conflicts with it and reads again.
	m.unclear = false
	if s.Operation == m.operation && s.Lease.Holder == m.self {
		m.fence, m.until = s.Version, m.asked.Add(m.counted())
		return
	}
	m.foreign(s)
	m.next = now
}

// foreign drops a lease that somebody else has written since.
func (m *Machine) foreign(s Stored) {
	if s.Version != m.fence {
		m.until = time.Time{}
	}
}

// OnWrite takes the outcome of a write; version is the new one if Written.
func (m *Machine) OnWrite(now time.Time, l object.Lease, o Outcome, version uint64) {
	m.busy = false
	switch o {
	case Written:
		m.seen, m.seenSince = Stored{version, m.operation, l}, now
		m.founded = m.founded || m.expected == 0
		if l.Holder == m.self {
			m.fence, m.until = version, m.asked.Add(m.counted())
		}
	case Conflict:
		// Somebody else wrote: the lease is lost, or was never won.
		m.until = time.Time{}
		m.known = false
		m.next = now
	case Refused:
		m.next = now.Add(m.term / settlesPerTerm)
	case Unclear:
		m.unclear = true
		m.next = now.Add(m.term / settlesPerTerm)
	}
}

func (m *Machine) counted() time.Duration { return m.term - m.term/margin }
