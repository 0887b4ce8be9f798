package gateway

import (
	"context"
	"sync"
	"time"

	"jayford.example/jayford/internal/origin"
	"jayford.example/jayford/internal/policy/late"
	"jayford.example/jayford/internal/policy/priority"
)

// turns has the late requests of this gateway, of which one at a time may reserve.
type turns struct {
	mu sync.Mutex
	// queue is guarded by mu.
	queue late.Queue
}

// wait waits for the turn of a late request until ctx ends at until, and reports false if it
// doesn't come. end must be called in any case.
func (t *turns) wait(ctx context.Context, j *job, until time.Time) (ok bool, end func()) {
	changed := make(chan struct{})
	x := &late.Ticket{Rank: j.rank, Until: until, Hopeless: j.isRanked, OnChange: func() { close(changed) }}
	t.mu.Lock()
	t.queue.Enter(time.Now(), x)
	t.mu.Unlock()
	select {
	case <-changed:
	case <-ctx.Done():
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if x.State() == late.Refused {
		lateRefusals.Inc()
	}
	return x.State() == late.Turn, func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		t.queue.Leave(time.Now(), x)
	}
}

// awaited counts the streams that wait to go on, by the service and software version of the
// engines that can take them.
type awaited struct {
	mu sync.Mutex
	// streams is guarded by mu.
	streams map[origin.Served]int
}

// add changes the number of streams that wait for engines of a version.
func (a *awaited) add(s origin.Served, n int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.streams == nil {
		a.streams = map[origin.Served]int{}
	}
	if a.streams[s] += n; a.streams[s] == 0 {
		delete(a.streams, s)
	}
}

// leave returns the engines of a service for which no stream waits, or all if streams wait for
// each of them.
func (a *awaited) leave(service string, list []candidate) []candidate {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.streams) == 0 {
		return list
	}
	var out []candidate
	for i := range list {
		if a.streams[origin.Served{Service: origin.Hash(service), Software: list[i].software}] == 0 {
			out = append(out, list[i])
		}
	}
	if len(out) == 0 {
		return list
	}
	return out
}

// shortages knows for each service whether urgent requests find no room for decoding.
type shortages struct {
	mu sync.Mutex
	// services is guarded by mu.
	services map[string]*priority.Shortage
}

// record records that the request found no room in its first round.
func (s *shortages) record(j *job) {
	if !j.isRanked || j.rounds != 1 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	x := s.services[j.service.Name]
	if x == nil {
		x = &priority.Shortage{}
		s.services[j.service.Name] = x
	}
	x.Record(j.rank, j.r.Arrived.Add(j.route.LatencyObjective))
}

// headroom returns the tokens that the request leaves free at an engine for more urgent ones.
func (s *shortages) headroom(j *job) int {
	if !j.isRanked || j.rank == priority.First {
		return 0
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if x := s.services[j.service.Name]; x == nil || !x.Yields(time.Now(), j.rank) {
		return 0
	}
	return headroomOf(j)
}
