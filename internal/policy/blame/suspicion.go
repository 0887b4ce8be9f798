package blame

import (
	"iter"
	"slices"
	"time"
)

// writtenCrashes is how many losses in sequence convict a request whose runs had written for a
// while.
const writtenCrashes = 5

// Suspicion is what speaks against a request that isn't convicted.
type Suspicion struct {
	// Crashes is the number of losses in sequence that count.
	Crashes int
	// Rivals has the suspects that explain all of them, requests and last parts.
	Rivals []uint64
}

// Suspicion returns what speaks against a request, zero if that wouldn't convict it.
func (l *Ledger) Suspicion(fp uint64, now time.Time) Suspicion {
	a := l.requests.find(fp, now)
	if a == nil || a.convicted {
		return Suspicion{}
	}
	crashes := sequenceOf(a.evidence())
	if len(crashes) < l.opts.Crashes {
		return Suspicion{}
	}
	return Suspicion{Crashes: len(crashes), Rivals: l.rivals(a, now)}
}

// evidence returns the losses by which a request may be convicted. Those of runs that had written
// for a while are left out unless there are many.
func (a *account) evidence() []*heldLoss {
	manyWrote := len(a.sequence()) >= writtenCrashes
	return slices.DeleteFunc(slices.Clone(a.losses), func(x *heldLoss) bool { return x.void || x.Wrote && !manyWrote })
}

// hasRival reports whether other suspects explain all losses that count against a request.
func (l *Ledger) hasRival(a *account, now time.Time) bool {
	return !slices.ContainsFunc(a.evidence(), func(x *heldLoss) bool {
		for range l.suspectsIn(x, now) {
			return false
		}
		return true
	})
}

// rivals returns the suspects that explain the losses which count against a request, none if one
// loss is left unexplained.
func (l *Ledger) rivals(a *account, now time.Time) []uint64 {
	if !l.hasRival(a, now) {
		return nil
	}
	var out []uint64
	for _, x := range a.evidence() {
		out = slices.AppendSeq(out, l.suspectsIn(x, now))
	}
	slices.Sort(out)
	return slices.Compact(out)
}

// suspectsIn returns the suspects, other requests and their last parts, that may have crashed a
// server instead of the request of a loss.
func (l *Ledger) suspectsIn(x *heldLoss, now time.Time) iter.Seq[uint64] {
	return func(yield func(uint64) bool) {
		for fp := range l.byServer[x.Server] {
			other := l.requests.find(fp, now)
			if other == nil || fp == x.Request {
				continue
			}
			i := slices.IndexFunc(other.losses, func(o *heldLoss) bool { return o.mayExplain(x) })
			if i < 0 {
				continue
			}
			if other.isSuspected() && !yield(fp) {
				return
			}
			for _, p := range other.losses[i].Parts {
				if IsLastPart(p) && !slices.Contains(x.Parts, p) && l.isPartSuspected(p, now) && !yield(p) {
					return
				}
			}
		}
	}
}

// isSuspected reports whether servers were lost, one after the other, under a request.
func (a *account) isSuspected() bool {
	return len(a.losses) >= minSuspicion && len(sequenceOf(a.evidence())) >= minSuspicion
}

// isPartSuspected reports whether servers were lost, one after the other, under a part.
func (l *Ledger) isPartSuspected(part uint64, now time.Time) bool {
	a := l.parts.find(part, now)
	return a != nil && len(a.losses) >= minSuspicion && len(sequenceOf(blamedAfter(a, a.proven))) >= minSuspicion
}

// mayExplain reports whether a crash under one run may be why the server was lost under another
// one. A run that had written for a while hardly crashed the server.
func (x *heldLoss) mayExplain(o *heldLoss) bool {
	return !x.void && (!x.Wrote || o.Wrote) && x.isSameCrash(o.Loss)
}
