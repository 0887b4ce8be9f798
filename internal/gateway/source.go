package gateway

import (
	"context"
	"errors"
	"io"
	"sync"
	"time"

	"jayford.example/jayford/internal/catalog"
)

// partialEventTimeout is how long a server's first event may be incomplete until the server counts as
// running the request.
const partialEventTimeout = 200 * time.Millisecond

// source is one server's run of a streamed request. Its own goroutine reads the server's events;
// all else belongs to the goroutine of the stream.
type source struct {
	reservation reservation
	answer      *Answer
	attempt     *attempt
	// admitted: the server's first event has been checked.
	admitted bool
	// silentSince is the time of the server's last event, or of the request to it, if it has been
	// silent for stallTimeout; zero otherwise.
	silentSince time.Time

	// end ends the exchange with the server.
	end context.CancelFunc
	// wanted asks the reader for the next event, closed ends it.
	wanted chan struct{}
	closed chan struct{}
}

func newSource(p reservation, a *Answer, at *attempt, end context.CancelFunc) *source {
	return &source{reservation: p, answer: a, attempt: at, end: end, wanted: make(chan struct{}, 1), closed: make(chan struct{})}
}

func (x *source) server() catalog.Server { return x.reservation.server }

func (x *source) key() string { return serverKey(x.reservation.server) }

// read puts the events into the inbox, each once the one before is taken.
func (x *source) read(in *inbox) {
	events := newEvents(x.answer.Body)
	events.awaitFirst()
	begun := time.AfterFunc(partialEventTimeout, func() { in.put(arrival{from: x, begun: true}) })
	for {
		ev, err := events.next()
		begun.Stop()
		in.put(arrival{from: x, event: ev, err: err})
		if err != nil {
			return
		}
		select {
		case <-x.wanted:
		case <-x.closed:
			return
		}
	}
}

// readNext has the reader go on after an event was taken.
func (x *source) readNext() { x.wanted <- struct{}{} }

func (x *source) isClosed() bool {
	select {
	case <-x.closed:
		return true
	default:
		return false
	}
}

// close ends the run at the server, unless it is complete.
func (x *source) close() {
	close(x.closed)
	_ = x.answer.Body.Close()
	x.end()
	x.reservation.end()
}

// arrival is an event of a source, or how its stream ended: io.EOF for a complete one. begun: it is
// neither, but the source's first event has been incomplete for partialEventTimeout.
type arrival struct {
	from  *source
	event event
	err   error
	begun bool
}

// goesOn reports whether the arrival continues the stream, as an event or its end.
func (a arrival) goesOn() bool { return a.err == nil || errors.Is(a.err, io.EOF) }

// inbox has the arrivals of a stream's sources that the stream hasn't taken yet.
type inbox struct {
	// ready receives after an arrival.
	ready chan struct{}

	mu sync.Mutex
	// All below is guarded by mu. watcher is called with each arrival, nil for none.
	list    []arrival
	watcher func(arrival)
}

func newInbox() *inbox { return &inbox{ready: make(chan struct{}, 1)} }

// put adds an arrival. How a source ends that was closed here is of no interest.
func (b *inbox) put(a arrival) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if a.from.isClosed() {
		return
	}
	b.list = append(b.list, a)
	if b.watcher != nil {
		b.watcher(a)
	}
	select {
	case b.ready <- struct{}{}:
	default:
	}
}

// take returns the first arrival, if there is one.
func (b *inbox) take() (arrival, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for len(b.list) > 0 {
		a := b.list[0]
		b.list = b.list[1:]
		if !a.from.isClosed() {
			return a, true
		}
	}
	return arrival{}, false
}

// watch calls f with the arrivals that wait and with each new one, until it is called again.
func (b *inbox) watch(f func(arrival)) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.watcher = f
	if f == nil {
		return
	}
	for _, a := range b.list {
		if !a.from.isClosed() {
			f(a)
		}
	}
}
