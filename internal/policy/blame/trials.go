package blame

import (
	"math"
	"slices"
	"time"
)

const (
	// trialTime is how long a claim or a trial excludes others of the same suspect unless it is
	// renewed: its gateway may have ended.
	trialTime = time.Second
	// trialMemory is how long a trial is remembered, so that a late report doesn't begin it anew.
	trialMemory = 5 * time.Second
	// maxTrials bounds the trials that are remembered.
	maxTrials = 512
)

// TrialState is how far a trial is.
type TrialState int

// The states of a trial, in their order.
const (
	// TrialClaimed: a gateway is about to run the suspect, once its peers had time to object.
	TrialClaimed TrialState = iota
	// TrialRunning: the suspect is being sent to a server, or runs there.
	TrialRunning
	// TrialEnded: the next one may be claimed.
	TrialEnded
	// TrialPassed is TrialEnded of one that ran well.
	TrialPassed
)

// Trial is the run of a suspect, which excludes others of the same request and last part at all
// gateways: what crashes servers then ends one at a time.
type Trial struct {
	// Request is the request's fingerprint, LastPart a hash of its prompt's last part, 0 for none.
	Request, LastPart uint64
	// ID identifies the trial. Of claims at the same time the lowest one goes ahead.
	ID    uint32
	State TrialState
	// Since is when the state was reached, or renewed.
	Since time.Time
}

// isActive reports whether the trial excludes others.
func (t *Trial) isActive(now time.Time) bool {
	return t.State < TrialEnded && now.Before(t.Since.Add(trialTime))
}

// goesBefore reports whether o has to yield to t.
func (t *Trial) goesBefore(o *Trial) bool {
	if t.State != o.State {
		return t.State > o.State
	}
	return t.ID < o.ID
}

// Attempt is a request that is about to be sent to a server.
type Attempt struct {
	// Request is its fingerprint. Parts has hashes of all parts of its prompt, LastPart is that of the
	// last one, 0 for none.
	Request  uint64
	Parts    []uint64
	LastPart uint64
	// trial is the one that it has claimed, nil for none.
	trial *Trial
}

// OnTrial reports whether the attempt runs as the only one of a suspect.
func (x *Attempt) OnTrial() bool { return x.trial != nil }

// Admit judges an attempt before each sending. A suspect runs on trial, which Admit claims:
// the attempt has to ask again once its claim is settled, and to wait while another one is tried.
// EndTrial must be called when the attempt has ended, or is known to run well.
func (l *Ledger) Admit(x *Attempt, now time.Time) Judgement {
	j := l.JudgeParts(x.Parts, now)
	if !j.Convicted {
		unsettled := j.Unsettled
		j = l.Judge(x.Request, now)
		j.Unsettled = max(j.Unsettled, unsettled)
	}
	switch {
	case j.Convicted || j.Held > 0 || !l.isSuspect(x, now):
		l.EndTrial(x, false, now)
		return j
	case j.Unsettled > 0:
		return j
	}
	return l.runOnTrial(x, now)
}

// EndTrial lets others of the attempt's suspect be tried; passed: it has run well.
func (l *Ledger) EndTrial(x *Attempt, passed bool, now time.Time) {
	if x.trial == nil {
		return
	}
	s := TrialEnded
	if passed {
		s = TrialPassed
	}
	l.setTrial(x.trial, s, now)
	x.trial = nil
}

// isSuspect reports whether enough servers were lost under the request, or its last part, to
// convict it if nothing else were known.
func (l *Ledger) isSuspect(x *Attempt, now time.Time) bool {
	if a := l.requests.find(x.Request, now); a != nil && lostServers(a.losses) >= l.opts.Crashes || l.isTried(x, now) {
		return true
	}
	if x.LastPart == 0 {
		return false
	}
	a := l.parts.find(x.LastPart, now)
	return a != nil && lostServers(blamedAfter(a, a.proven)) >= l.opts.Crashes
}

// isTried reports whether the latest trial of the request or last part, by a gateway that knows why,
// hasn't passed.
func (l *Ledger) isTried(x *Attempt, now time.Time) bool {
	var latest *Trial
	for _, t := range l.trials {
		isSame := t.Request == x.Request || x.LastPart != 0 && t.LastPart == x.LastPart
		if isSame && t != x.trial && now.Sub(t.Since) < trialMemory && (latest == nil || t.Since.After(latest.Since)) {
			latest = t
		}
	}
	return latest != nil && latest.State != TrialPassed
}

// lostServers returns the number of servers that were lost, also under runs that overlapped. Those that
// another suspect explains count, since that one may have been there too.
func lostServers(losses []*heldLoss) int {
	var crashes []*heldLoss
	for _, x := range losses {
		if !x.isDisproved() && !explains(crashes, x) {
			crashes = append(crashes, x)
		}
	}
	return len(crashes)
}

// runOnTrial claims a trial for an attempt, or goes on with its trial.
func (l *Ledger) runOnTrial(x *Attempt, now time.Time) Judgement {
	if x.trial != nil && !x.trial.isActive(now) {
		l.EndTrial(x, false, now)
	}
	if x.trial == nil {
		// Whatever has been claimed before goes before a new claim.
		t := &Trial{Request: x.Request, LastPart: x.LastPart, ID: math.MaxUint32}
		if wait := l.blocked(t, now); wait > 0 {
			return Judgement{Tried: wait}
		}
		t.ID = l.opts.Rand()
		x.trial = t
		l.addTrial(t, now)
		l.setTrial(t, TrialClaimed, now)
		return Judgement{Unsettled: l.opts.SettleTime}
	}
	if wait := l.blocked(x.trial, now); wait > 0 {
		l.EndTrial(x, false, now)
		return Judgement{Tried: wait}
	}
	if wait := x.trial.Since.Add(l.opts.SettleTime).Sub(now); x.trial.State == TrialClaimed && wait > 0 {
		return Judgement{Unsettled: wait}
	}
	l.setTrial(x.trial, TrialRunning, now)
	return Judgement{}
}

// blocked returns for how long at most a trial has to wait for those that go before it.
func (l *Ledger) blocked(t *Trial, now time.Time) time.Duration {
	var out time.Duration
	for _, o := range l.trials {
		if o != t && o.isActive(now) && o.goesBefore(t) && l.excludes(o, t, now) {
			out = max(out, o.Since.Add(trialTime).Sub(now))
		}
	}
	return out
}

// excludes reports whether two trials must not run together: they are of the same suspect, or of
// requests that have been lost with the same server and might be again.
func (l *Ledger) excludes(t, o *Trial, now time.Time) bool {
	if t.Request == o.Request || t.LastPart != 0 && t.LastPart == o.LastPart {
		return true
	}
	a, b := l.requests.find(t.Request, now), l.requests.find(o.Request, now)
	return a != nil && b != nil && slices.ContainsFunc(a.losses, func(x *heldLoss) bool { return !x.void && explains(b.losses, x) })
}

// setTrial changes the state of an own trial, and tells the peers.
func (l *Ledger) setTrial(t *Trial, s TrialState, now time.Time) {
	t.State, t.Since = s, now
	l.opts.OnChange(Change{Kind: ChangeTrial, Request: t.Request, Trials: []Trial{*t}})
}

// RecordTrial records a trial that a peer has reported, and reports whether that was unknown.
func (l *Ledger) RecordTrial(t Trial, now time.Time) bool {
	i := slices.IndexFunc(l.trials, func(o *Trial) bool { return o.ID == t.ID && o.Request == t.Request })
	if i < 0 {
		if now.Sub(t.Since) > trialMemory {
			return false
		}
		l.addTrial(&t, now)
		return true
	}
	known := l.trials[i]
	isRenewed := t.State == known.State && t.Since.After(known.Since.Add(l.opts.SettleTime))
	if t.State <= known.State && !isRenewed {
		return false
	}
	*known = t
	return true
}

// forgetTrials drops the trials that are too old to matter.
func (l *Ledger) forgetTrials(now time.Time) {
	l.trials = slices.DeleteFunc(l.trials, func(o *Trial) bool { return now.Sub(o.Since) > trialMemory })
}

func (l *Ledger) addTrial(t *Trial, now time.Time) {
	l.forgetTrials(now)
	if len(l.trials) >= maxTrials {
		l.trials = slices.Delete(l.trials, 0, 1)
	}
	l.trials = append(l.trials, t)
}
