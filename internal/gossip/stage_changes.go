package gossip

import (
	"time"

	pb "jayford.example/jayford/api/jayfordv1"
	"jayford.example/jayford/internal/catalog"
)

const (
	// maxStageChanges bounds the announcements in one datagram, maxAcceptedStageChanges those
	// that are taken from one.
	maxStageChanges, maxAcceptedStageChanges = 4, 16
	// maxStageChangeTime bounds how long an engine may be announced to take no new work.
	maxStageChangeTime = time.Minute
)

// StageChange announces that an engine changes its stage.
type StageChange struct {
	// Engine is the engine's ServerKey.
	Engine uint64
	To     catalog.Stage
	// Until is when the engine takes new work again, unless it is listed with the stage before.
	Until time.Time
}

// ReportStageChange announces a change to the peers.
func (e *Exchange) ReportStageChange(x StageChange) {
	e.mu.Lock()
	e.stageChanges.add(x, time.Now())
	e.mu.Unlock()
	e.NotifyLoadChange()
}

// nextStageChanges returns the announcements for the next datagram.
func (e *Exchange) nextStageChanges(now time.Time) []*pb.StageChange {
	e.mu.Lock()
	defer e.mu.Unlock()
	var out []*pb.StageChange
	for _, x := range e.stageChanges.next(maxStageChanges, now) {
		if x.Until.After(now) {
			out = append(out, &pb.StageChange{Engine: x.Engine, Prefill: x.To == catalog.Prefill, RemainingMs: milliseconds(x.Until.Sub(now))})
		}
	}
	return out
}

// handleStageChanges passes on a peer's announcements.
func (e *Exchange) handleStageChanges(list []*pb.StageChange, now time.Time) {
	if e.opts.OnStageChange == nil || len(list) > maxAcceptedStageChanges {
		return
	}
	for _, c := range list {
		remaining := time.Duration(c.RemainingMs) * time.Millisecond
		if remaining > maxStageChangeTime {
			continue
		}
		x := StageChange{Engine: c.Engine, To: catalog.Decode, Until: now.Add(remaining)}
		if c.Prefill {
			x.To = catalog.Prefill
		}
		e.opts.OnStageChange(x)
	}
}
