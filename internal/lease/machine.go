// Package lease elects one leader at a time for a scope, through a lease object
// in the platform's object API. There is no consensus protocol here: conditional
// updates of that one object decide who leads.
//
// The fencing token of an order is the version of the last write by which its
// sender acquired or renewed the lease. Versions increase over the whole store,
// so each renewal raises the holder's token, and a successor's first token is
// above all tokens of its predecessor. An agent that has lost the highest token
// it saw reads the object's version instead: it is never above the holder's next
// token, and always above that of a deposed holder. A holder whose order was
// refused because it renewed between the order and that read repeats the order
// with its new token.
//
// At a term of 15 s a lease costs the platform 0.2 writes a second by the holder
// and 0.2 reads a second by each other candidate. With 3 candidates per region
// that is 0.6 calls a second, independent of the number of entries.
package lease

import (
	"time"

	"jayford.example/jayford/internal/object"
)

const (
	// DefaultTerm is three renewal intervals, so that a holder that misses one
	// renewal makes the next in time.
	DefaultTerm = 15 * time.Second
	// callsPerTerm is how many times per term a holder renews and any other
	// candidate reads.
	callsPerTerm = 3
	// clockMargin: the holder stops using the lease 1/clockMargin of the term
	// before its end, as clocks of different processes may run at different
	// rates.
	clockMargin = 10
	// retriesPerTerm is how many times per term an unclear write is read back
	// and a refused write is repeated.
	retriesPerTerm = 30
)

// ActionKind is the kind of a call to the platform.
type ActionKind int

// The kinds of call. At most one call is in flight at a time.
const (
	ActionNone ActionKind = iota
	ActionRead
	ActionWrite
)

// Action is a call that the caller must make. Its outcome must be passed to
// OnRead or OnWrite.
type Action struct {
	Kind ActionKind
	// Version, Lease and Operation are only set for a write.
	Version   uint64
	Lease     object.Lease
	Operation string
}

// Outcome is the result of a write.
type Outcome int

// The outcomes of a write.
const (
	Written Outcome = iota
	// Conflict: the object has another version.
	Conflict
	// Refused: the write did not and will not take effect.
	Refused
	// Unclear: no reply; the write may have taken effect, or may do so later.
	Unclear
)

// Stored is the lease object as read, or zero if it doesn't exist.
type Stored struct {
	Version   uint64
	Operation string
	Lease     object.Lease
}

// Machine is the state machine of one candidate for one lease. It has no clock,
// I/O or goroutine; times must be monotonic. It isn't safe for concurrent use.
type Machine struct {
	self string
	term time.Duration

	candidate bool
	inFlight  bool
	nextCall  time.Time
	sentAt    time.Time
	operation string
	unclear   bool

	// fence and expires are the version and the end of the lease of this
	// process's last write known to have taken effect.
	fence   uint64
	expires time.Time

	// seen is the object as last read or written, and seenSince when this
	// process first saw that version, by its own clock. known is false if the
	// object must be read again.
	seen      Stored
	seenSince time.Time
	known     bool

	// created: a write of this process created the object.
	created bool
	// expected is the version that the write in flight replaces.
	expected uint64
}

// NewMachine returns a machine for the process self, given as "id#incarnation".
func NewMachine(self string, term time.Duration) *Machine {
	return &Machine{self: self, term: term}
}

// FencingToken returns the fencing token for an order sent now, and whether the process
// holds the lease. Call it for each order and after each wait: only the clock
// shows that the process was paused for longer than the term. After an unclear
// write the lease counts as not held until it has been read back, as a successor
// may hold it.
func (m *Machine) FencingToken(now time.Time) (uint64, bool) {
	return m.fence, m.fence != 0 && !m.unclear && now.Before(m.expires)
}

// Holder returns the holder of the lease as last read or written.
func (m *Machine) Holder() string { return m.seen.Lease.Holder }

// Tick returns the call that is due, if any. It must be called many times per
// term. operation is a new id for the write that may follow.
func (m *Machine) Tick(now time.Time, candidate bool, operation string) Action {
	m.candidate = candidate
	if m.inFlight || now.Before(m.nextCall) {
		return Action{}
	}
	_, holds := m.FencingToken(now)
	switch {
	case m.unclear:
		return m.read(now, retriesPerTerm)
	case !candidate && !holds:
		return Action{}
	case holds:
		return m.write(now, m.self, operation)
	case m.known && m.free(now):
		return m.write(now, m.self, operation)
	}
	return m.read(now, callsPerTerm)
}

// Release gives up a held lease, so that a successor needn't wait for a term to
// pass. The process stops holding it whether or not the write succeeds.
func (m *Machine) Release(now time.Time, operation string) Action {
	_, holds := m.FencingToken(now)
	m.expires = time.Time{}
	if !holds || m.inFlight {
		return Action{}
	}
	return m.write(now, "", operation)
}

// free reports whether the lease may be acquired: it was released, is recorded
// for this process, or hasn't changed for a whole term by this process's own
// clock. In the last case its holder has stopped using it, as it counts the term
// from before it sent its last write.
func (m *Machine) free(now time.Time) bool {
	l := m.seen.Lease
	return l.Holder == "" || l.Holder == m.self || now.Sub(m.seenSince) >= max(m.term, l.Term)
}

func (m *Machine) read(now time.Time, perTerm int) Action {
	m.inFlight = true
	m.nextCall = now.Add(m.term / time.Duration(perTerm))
	return Action{Kind: ActionRead}
}

// write records the time before the call, from which the term is counted.
func (m *Machine) write(now time.Time, holder, operation string) Action {
	m.inFlight = true
	m.sentAt, m.operation, m.expected = now, operation, m.seen.Version
	m.nextCall = now.Add(m.term / callsPerTerm)
	return Action{Kind: ActionWrite, Version: m.seen.Version, Operation: operation, Lease: object.Lease{
		Format: object.Format, Holder: holder, Term: m.term, Renewals: m.seen.Lease.Renewals + 1,
	}}
}

// OnRead handles the result of a read; ok is false if the read failed.
func (m *Machine) OnRead(now time.Time, s Stored, ok bool) {
	m.inFlight = false
	if !ok {
		return
	}
	if !m.known || s.Version != m.seen.Version {
		m.seenSince = now
	}
	m.seen, m.known = s, true
	if !m.unclear {
		m.expireIfReplaced(s)
		if m.free(now) {
			m.nextCall = now
		}
		return
	}
	// If the object doesn't have the write's operation, that write may still be
	// in flight. It is conditional on a version: the next write either replaces
	// that version first, or conflicts and is followed by a read.
	m.unclear = false
	if s.Operation == m.operation && s.Lease.Holder == m.self {
		m.fence, m.expires = s.Version, m.sentAt.Add(m.usableTerm())
		return
	}
	m.expireIfReplaced(s)
	m.nextCall = now
}

// expireIfReplaced ends the lease if another process has written the object
// since.
func (m *Machine) expireIfReplaced(s Stored) {
	if s.Version != m.fence {
		m.expires = time.Time{}
	}
}

// OnWrite handles the outcome of a write; version is the new one if Written.
func (m *Machine) OnWrite(now time.Time, l object.Lease, o Outcome, version uint64) {
	m.inFlight = false
	switch o {
	case Written:
		m.seen, m.seenSince = Stored{version, m.operation, l}, now
		m.created = m.created || m.expected == 0
		if l.Holder == m.self {
			m.fence, m.expires = version, m.sentAt.Add(m.usableTerm())
		}
	case Conflict:
		// Another process wrote: the lease is lost, or was never acquired.
		m.expires = time.Time{}
		m.known = false
		m.nextCall = now
	case Refused:
		m.nextCall = now.Add(m.term / retriesPerTerm)
	case Unclear:
		m.unclear = true
		m.nextCall = now.Add(m.term / retriesPerTerm)
	}
}

// usableTerm is how long a holder may use the lease after a write.
func (m *Machine) usableTerm() time.Duration { return m.term - m.term/clockMargin }
