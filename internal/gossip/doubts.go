package gossip

import (
	"time"

	pb "jayford.example/jayford/api/jayfordv1"
)

const (
	// maxDoubts bounds the doubts in one datagram, maxAcceptedDoubts those that are taken from
	// one.
	maxDoubts, maxAcceptedDoubts = 4, 16
	// doubtRepeatPeriod is how long a doubt is repeated: by then each peer that sends requests
	// to the server has found out by itself.
	doubtRepeatPeriod = time.Second
	// maxDoubtAge bounds the age of a doubt that a peer may report.
	maxDoubtAge = 10 * time.Second
)

// doubted is a server that didn't answer at a time.
type doubted struct {
	server uint64
	since  time.Time
}

// doubtQueue has the doubts to report.
type doubtQueue = reportQueue[doubted]

// ReportDoubt tells the peers that a server, given by its ServerKey, hasn't answered a request
// of this gateway.
func (e *Exchange) ReportDoubt(server uint64) {
	now := time.Now()
	e.mu.Lock()
	e.doubts.add(doubted{server, now}, now)
	e.mu.Unlock()
	e.NotifyLoadChange()
}

// nextDoubts returns the doubts for the next datagram.
func (e *Exchange) nextDoubts(now time.Time) []*pb.Doubt {
	e.mu.Lock()
	defer e.mu.Unlock()
	var out []*pb.Doubt
	for _, x := range e.doubts.next(maxDoubts, now) {
		if age := now.Sub(x.since); age < doubtRepeatPeriod {
			out = append(out, &pb.Doubt{Server: x.server, AgeMs: milliseconds(age)})
		}
	}
	return out
}

// handleDoubts passes on a peer's doubts. A doubt's age counts from its arrival, so that
// one that was delayed looks younger than it is; what the server answered meanwhile clears it.
func (e *Exchange) handleDoubts(from string, list []*pb.Doubt, now time.Time) {
	if e.opts.OnDoubt == nil || len(list) > maxAcceptedDoubts {
		return
	}
	for _, d := range list {
		if age := time.Duration(d.AgeMs) * time.Millisecond; age < maxDoubtAge {
			e.opts.OnDoubt(d.Server, from, now.Add(-age))
		}
	}
}
