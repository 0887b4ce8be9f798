package gossip

import (
	"slices"
	"time"

	pb "jayford.example/jayford/api/jayfordv1"
	"jayford.example/jayford/internal/policy/blame"
)

// maxTrials bounds the trials in one datagram, maxAcceptedTrials those that are taken from one.
const maxTrials, maxAcceptedTrials = 4, 16

// trialQueue has the trials to report.
type trialQueue = reportQueue[blame.Trial]

// ReportTrial reports the state of a trial to the peers, in place of an earlier one.
func (e *Exchange) ReportTrial(t blame.Trial) {
	e.mu.Lock()
	e.trials.list = slices.DeleteFunc(e.trials.list, func(q queuedReport[blame.Trial]) bool {
		return q.report.ID == t.ID && q.report.Request == t.Request
	})
	e.trials.add(t, time.Now())
	e.mu.Unlock()
	e.NotifyLoadChange()
}

// nextTrials returns the trials for the next datagram.
func (e *Exchange) nextTrials(now time.Time) []*pb.Trial {
	e.mu.Lock()
	defer e.mu.Unlock()
	var out []*pb.Trial
	for _, t := range e.trials.next(maxTrials, now) {
		out = append(out, &pb.Trial{
			Request: t.Request, LastPart: t.LastPart, Id: t.ID, State: encodeTrialState(t.State), AgeMs: milliseconds(now.Sub(t.Since)),
		})
	}
	return out
}

func encodeTrialState(s blame.TrialState) pb.Trial_State {
	switch s {
	case blame.TrialClaimed:
		return pb.Trial_STATE_CLAIMED
	case blame.TrialRunning:
		return pb.Trial_STATE_RUNNING
	case blame.TrialPassed:
		return pb.Trial_STATE_PASSED
	case blame.TrialEnded:
	}
	return pb.Trial_STATE_ENDED
}

// handleTrials passes on a peer's trials.
func (e *Exchange) handleTrials(list []*pb.Trial, now time.Time) {
	if e.opts.OnTrial == nil || len(list) > maxAcceptedTrials {
		return
	}
	for _, m := range list {
		t := blame.Trial{Request: m.Request, LastPart: m.LastPart, ID: m.Id, Since: now.Add(-time.Duration(m.AgeMs) * time.Millisecond)}
		switch m.State {
		case pb.Trial_STATE_CLAIMED:
			t.State = blame.TrialClaimed
		case pb.Trial_STATE_RUNNING:
			t.State = blame.TrialRunning
		case pb.Trial_STATE_ENDED:
			t.State = blame.TrialEnded
		case pb.Trial_STATE_PASSED:
			t.State = blame.TrialPassed
		case pb.Trial_STATE_UNSPECIFIED:
			continue
		}
		if e.opts.OnTrial(t) && e.sendsToSubset() {
			e.ReportTrial(t)
		}
	}
}
