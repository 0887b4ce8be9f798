// Package backlog estimates how long a prompt waits at a prefill engine, and decides whether a
// service's engines are compared by it.
//
// The load pattern: prefill is the bottleneck, and all gateways know of each other's prompts
// within some milliseconds. A prompt counts in the booked sum with all of its tokens until its
// answer arrives, though an engine reads all the while. A usual queue is two to three prompts,
// and the first of them is half read.
//
// An engine reads one prompt after the other. All prompts but the first of its queue are unread,
// and the first has been read since the one before it ended, which the booked sum shows.
//
// It guarantees:
//   - The estimate is between the booked sum, and the sum less the first prompt of the queue.
//   - A new booking raises it by its tokens.
//   - While nothing is observed, it falls at the engine's pace.
//
// It isn't safe for concurrent use.
package backlog

import (
	"slices"
	"time"
)

// earlyEnd is the part of the time that an ended booking should have taken, before which it
// can't have been the prompt that was read: it was cancelled, or refused, or a peer is gone. The
// fastest engines take 0.6 of the mean time.
const earlyEnd = 1.0 / 3

// Machine estimates the queues of engines.
type Machine struct {
	pace   func(now time.Time, engine uint64) time.Duration
	queues map[uint64]*queue
}

type queue struct {
	// booked is the last observed sum, prompts the rises of it that haven't fallen again.
	booked  int
	prompts []int
	// readSince is when the engine began with the first prompt.
	readSince time.Time
}

// New returns a Machine; pace returns an engine's time per prompt token.
func New(pace func(now time.Time, engine uint64) time.Duration) *Machine {
	return &Machine{pace: pace, queues: map[uint64]*queue{}}
}

// Observe records the tokens of all prompts that are booked at an engine.
func (m *Machine) Observe(now time.Time, engine uint64, booked int) {
	q := m.queues[engine]
	switch {
	case booked <= 0:
		if q != nil {
			delete(m.queues, engine)
		}
	case q == nil:
		m.queues[engine] = &queue{booked: booked, prompts: []int{booked}, readSince: now}
	case booked > q.booked:
		q.prompts = append(q.prompts, booked-q.booked)
		q.booked = booked
	case booked < q.booked:
		due := float64(q.booked-booked) * float64(m.pace(now, engine))
		if float64(now.Sub(q.readSince)) >= earlyEnd*due {
			q.readSince = now
		}
		q.remove(q.booked - booked)
		q.booked = booked
	}
}

// remove removes the prompt of so many tokens, or, if there is none as several were booked or
// ended at once, so many tokens from the front.
func (q *queue) remove(tokens int) {
	if i := slices.Index(q.prompts, tokens); i >= 0 {
		q.prompts = slices.Delete(q.prompts, i, i+1)
		return
	}
	for tokens > 0 {
		part := min(tokens, q.prompts[0])
		tokens -= part
		q.prompts[0] -= part
		if q.prompts[0] == 0 {
			q.prompts = slices.Delete(q.prompts, 0, 1)
		}
	}
}

// Expected returns the time that a prompt of so many tokens takes at an engine, queue included.
func (m *Machine) Expected(now time.Time, engine uint64, prompt int) time.Duration {
	pace := m.pace(now, engine)
	return time.Duration(prompt+m.left(now, engine, pace)) * pace
}

// Left returns the tokens that are left to read in an engine's queue.
func (m *Machine) Left(now time.Time, engine uint64) int {
	return m.left(now, engine, m.pace(now, engine))
}

func (m *Machine) left(now time.Time, engine uint64, pace time.Duration) int {
	q := m.queues[engine]
	if q == nil {
		return 0
	}
	read := int(max(0, now.Sub(q.readSince)) / max(1, pace))
	return q.booked - min(read, q.prompts[0])
}

// Keep forgets the engines for which keep returns false.
func (m *Machine) Keep(keep func(engine uint64) bool) {
	for engine := range m.queues {
		if !keep(engine) {
			delete(m.queues, engine)
		}
	}
}
