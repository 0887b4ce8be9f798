package gateway

import (
	"context"
	"errors"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
)

// activity is what goes on for a request in progress.
type activity string

// The activities. A request that waits is at no server: it waits for a quota, a reservation or
// another attempt.
const (
	waiting    activity = "waiting"
	prefilling activity = "prefilling"
	running    activity = "running"
)

// progress is what others than its own goroutine may know of a request in progress.
type progress struct {
	id      string
	arrived time.Time
	// cancel ends the request's context.
	cancel context.CancelCauseFunc

	mu sync.Mutex
	// All below is guarded by mu. runningAt has the keys of the servers that run the request,
	// prefillingAt that of the one that prefills its prompt, "" if none does; events counts the
	// events that were passed on to the caller, the last one at lastEventAt. ending: the request is
	// given up on unless a server runs it.
	runningAt    []string
	prefillingAt string
	events       int
	lastEventAt  time.Time
	ending       bool
}

// errStopped is the cause of the context of a request that a graceful stop has given up on.
var errStopped = errors.New("gateway: the process is about to exit")

// run records that a server runs the request from now on, or returns false if the request was
// given up on and mustn't be sent.
func (p *progress) run(server string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.ending {
		return false
	}
	p.runningAt = append(p.runningAt, server)
	return true
}

// leave records that a server no longer runs the request.
func (p *progress) leave(server string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.runningAt = slices.DeleteFunc(p.runningAt, func(s string) bool { return s == server })
	p.endIdleLocked()
}

// prefill records that a server prefills the request's prompt, which doesn't run it yet, or with ""
// that none does.
func (p *progress) prefill(server string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.prefillingAt = server
	p.endIdleLocked()
}

// endIdleLocked ends the request's context if the request is given up on and no server runs it.
func (p *progress) endIdleLocked() {
	if p.ending && len(p.runningAt) == 0 {
		p.cancel(errStopped)
	}
}

// isEnding reports whether the request may be sent to no further server.
func (p *progress) isEnding() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.ending
}

// giveUpWaiting ends the request's context unless a server runs it; in that case it ends as soon
// as none does.
func (p *progress) giveUpWaiting() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.ending = true
	p.endIdleLocked()
}

// countEvent records that an event is passed on to the caller.
func (p *progress) countEvent() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.events++
	p.lastEventAt = time.Now()
}

// fields returns the log fields of a request that is aborted at a time, in a stop that began at
// another. sinceStop is negative for a request that arrived before the stop; sinceEvent is the age
// of the last event, missing before the first.
func (p *progress) fields(now, stopped time.Time) logrus.Fields {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := logrus.Fields{
		"request": p.id, "age": milliseconds(now.Sub(p.arrived)), "sinceStop": milliseconds(p.arrived.Sub(stopped)),
		"activity": string(waiting), "server": p.prefillingAt, "events": p.events,
	}
	switch {
	case len(p.runningAt) > 0:
		out["activity"], out["server"] = string(running), strings.Join(p.runningAt, " ")
	case p.prefillingAt != "":
		out["activity"] = string(prefilling)
	}
	if !p.lastEventAt.IsZero() {
		out["sinceEvent"] = milliseconds(now.Sub(p.lastEventAt))
	}
	return out
}

// inFlight has the requests in progress.
type inFlight struct {
	mu sync.Mutex
	// All below is guarded by mu. closed is set when no request is accepted any more.
	list   map[*progress]struct{}
	closed bool
}

// begin accepts a request, or returns nil once close has been called: after it, only requests
// that are counted can be in progress. cancel ends the request's context.
func (f *inFlight) begin(r *Request, cancel context.CancelCauseFunc) *progress {
	p := &progress{id: r.ID, arrived: r.Arrived, cancel: cancel}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.closed {
		return nil
	}
	if f.list == nil {
		f.list = map[*progress]struct{}{}
	}
	f.list[p] = struct{}{}
	return p
}

// close makes begin accept nothing any more.
func (f *inFlight) close() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.closed = true
}

func (f *inFlight) end(p *progress) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.list, p)
}

func (f *inFlight) count() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.list)
}

func (f *inFlight) all() []*progress {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := make([]*progress, 0, len(f.list))
	for p := range f.list {
		out = append(out, p)
	}
	return out
}

// giveUpWaiting gives up on the requests that no server runs.
func (f *inFlight) giveUpWaiting() {
	for _, p := range f.all() {
		p.giveUpWaiting()
	}
}
