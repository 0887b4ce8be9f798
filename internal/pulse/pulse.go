// Package pulse estimates when a signal was sent that a process has just handled. A process that
// is stopped, or gets no processor time, handles its signals late, but its parent and its callers
// count from the moment at which they were sent.
package pulse

import (
	"context"
	"sync"
	"time"
)

// MaxUnnoticed is how late a signal may be handled without being noticed: a shorter stall isn't
// recorded.
const MaxUnnoticed = 2 * interval

const (
	// interval is the time between two ticks of a process that runs.
	interval = 100 * time.Millisecond
	// stallAfter is the time without a tick from which on the process counts as stalled.
	stallAfter = MaxUnnoticed
	// recovery is how long after a stall a signal may still be handled that came during it: a
	// tick can come before the signal has passed through the runtime.
	recovery = 5 * interval
)

// Record has the times at which a process is known to have run. It reads no clock.
type Record struct {
	// previous and last are the last two ticks.
	previous, last time.Time
	// The last stall began after stalledFrom and ended by stalledUntil.
	stalledFrom, stalledUntil time.Time
}

// NewRecord returns the record of a process that began at a time.
func NewRecord(began time.Time) Record { return Record{previous: began, last: began} }

// Tick records that the process runs now.
func (r *Record) Tick(now time.Time) {
	if now.Sub(r.last) >= stallAfter {
		r.stalledFrom, r.stalledUntil = r.last, now
	}
	r.previous, r.last = r.last, now
}

// EarliestSent returns the earliest time at which a signal can have been sent that was handled
// at a time.
func (r Record) EarliestSent(handled time.Time) time.Time {
	if !r.stalledUntil.IsZero() && handled.Sub(r.stalledUntil) <= recovery {
		return r.stalledFrom
	}
	if r.last.After(handled) {
		return r.previous
	}
	return r.last
}

// Monitor keeps the record of its process.
type Monitor struct {
	mu sync.Mutex
	// record is guarded by mu.
	record Record
}

// NewMonitor returns a monitor whose record begins now.
func NewMonitor() *Monitor { return &Monitor{record: NewRecord(time.Now())} }

// Run ticks while the process runs, until ctx ends. It returns nil.
func (m *Monitor) Run(ctx context.Context) error {
	t := time.NewTicker(interval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
			m.tick(time.Now())
		}
	}
}

func (m *Monitor) tick(now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.record.Tick(now)
}

// EarliestSent returns the earliest time at which a signal can have been sent that was handled
// at a time.
func (m *Monitor) EarliestSent(handled time.Time) time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.record.EarliestSent(handled)
}
