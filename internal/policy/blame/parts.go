package blame

import (
	"slices"
	"time"
)

const (
	// maxReviewed bounds the parts of each list that are compared with each other: those with
	// the latest losses, which a part that goes on crashing servers is among.
	maxReviewed = 64
	// minOthers is how many requests without a part show that it isn't in all of them.
	minOthers = 2
	// DefaultProbation is how long after the end of a part's conviction one loss convicts it
	// again.
	DefaultProbation = time.Hour
	// proofInterval is the least time between two proofs of a part that peers are told.
	proofInterval = 100 * time.Millisecond
	// minSuspicion is the number of losses held against a part from which peers are told of
	// its proofs.
	minSuspicion = 2
)

// lastLoss returns when the part's latest loss happened.
func (a *account) lastLoss() time.Time { return a.losses[len(a.losses)-1].Lost }

// RecordRun records a run that has written events for ProvenTime, which proves the parts of its
// prompt.
func (l *Ledger) RecordRun(r Run, now time.Time) {
	l.proofs.recordModel(r.Model, r.Began)
	suspected := false
	for _, p := range r.Parts {
		l.proofs.record(p, r.Began, now)
		if a := l.parts.find(p, now); a != nil {
			suspected = true
			l.prove(a, r.Began)
			l.tellProof(a, now)
		}
	}
	if suspected {
		l.reviewParts(now)
	}
}

// RecordProof records a proof that a peer has reported, and reports whether it takes losses off
// the part which peers held against it.
func (l *Ledger) RecordProof(p Proof, now time.Time) bool {
	l.proofs.record(p.Part, p.At, now)
	a := l.parts.find(p.Part, now)
	if a == nil {
		return false
	}
	before := len(blamedAfter(a, a.provenAtPeers))
	a.provenAtPeers = later(a.provenAtPeers, p.At)
	isNew := len(blamedAfter(a, a.provenAtPeers)) < before
	l.prove(a, p.At)
	l.reviewParts(now)
	return isNew
}

// ClearPart takes back what is held against a part, and tells the peers.
func (l *Ledger) ClearPart(part uint64, now time.Time) bool {
	a := l.parts.find(part, now)
	if a == nil {
		return false
	}
	l.proofs.record(part, now, now)
	l.prove(a, now)
	l.notifyProof(a, now, now)
	l.reviewParts(now)
	return true
}

// prove takes the losses before a proof off a part, and ends a conviction that rested on them.
func (l *Ledger) prove(a *account, at time.Time) {
	a.proven = later(a.proven, at)
	l.acquitCleared(a)
}

// tellProof tells the peers of the part's latest proof if they may come to convict it.
func (l *Ledger) tellProof(a *account, now time.Time) {
	at := a.proven
	held := len(inSequence(blamedAfter(a, a.provenAtPeers)))
	if at.After(a.provenAtPeers) && held >= minSuspicion && now.Sub(a.toldAt) >= proofInterval {
		l.notifyProof(a, at, now)
	}
}

func (l *Ledger) notifyProof(a *account, at, now time.Time) {
	a.provenAtPeers, a.toldAt = at, now
	l.opts.OnChange(Change{Kind: ChangeProven, Part: a.id, Losses: len(a.losses), Proofs: []Proof{{Part: a.id, At: at}}})
}

// blamePartsFor opens the accounts of a loss's parts.
func (l *Ledger) blamePartsFor(x *heldLoss, now time.Time) {
	for _, p := range x.Parts {
		a := l.parts.open(p, now)
		a.proven = later(a.proven, l.proofs.at(p))
		if len(a.losses) >= maxLosses {
			a.losses = slices.Delete(a.losses, 0, 1)
		}
		a.hold(x)
		a.until = l.endOfPart(a, now)
		l.parts.touch(a)
		l.tellProof(a, now)
	}
}

// endOfPart returns when the account of a part ends.
func (l *Ledger) endOfPart(a *account, now time.Time) time.Time {
	if a.convicted {
		return a.lastLoss().Add(l.opts.RefuseFor + l.opts.Probation)
	}
	return later(a.until, now.Add(l.opts.Window))
}

// narrow leaves of a loss's parts those that a peer refuses for it, and reports whether this
// changes anything.
func (l *Ledger) narrow(x *heldLoss, model uint32, parts []uint64, now time.Time) bool {
	changed := false
	if len(x.Parts) == 0 {
		// The loss was told for a conviction of its request, which leaves the parts out.
		x.Parts, x.Model, changed = slices.Clone(parts), model, true
		l.blamePartsFor(x, now)
	}
	if kept := intersect(x.Parts, parts); len(kept) < len(x.Parts) {
		x.Parts, changed = kept, true
	}
	return l.adopt(parts, now) || changed
}

// adopt records that a peer refuses prompts with all of these parts, and reports whether that
// was unknown.
func (l *Ledger) adopt(parts []uint64, now time.Time) bool {
	changed := false
	for _, p := range parts {
		a := l.parts.find(p, now)
		if a == nil || a.told != nil && len(a.told) <= len(parts) {
			continue
		}
		a.reported, a.told, changed = true, slices.Clone(parts), true
	}
	return changed
}

// candidates returns the cases of all parts that could be convicted, and the losses that count
// against parts without a known proof. Crashes that these explain aren't held against a shielded
// part.
func (l *Ledger) candidates(now time.Time) (cases []*partCase, unproven []*heldLoss) {
	for _, a := range l.parts.latest(maxReviewed) {
		if len(a.losses) < minSuspicion || l.parts.find(a.id, now) == nil {
			continue
		}
		c := l.caseOf(a)
		cases = append(cases, c)
		if !c.shielded && len(c.crashes) >= minSuspicion {
			unproven = append(unproven, c.blamed...)
		}
	}
	for _, c := range cases {
		if c.shielded && !c.convicted {
			c.crashes = c.unexplainedBy(unproven)
		}
	}
	return slices.DeleteFunc(cases, func(c *partCase) bool { return c.decisive() == nil }), unproven
}

// reviewParts convicts and acquits parts by what is known now.
func (l *Ledger) reviewParts(now time.Time) {
	list, unproven := l.candidates(now)
	for _, a := range l.parts.latest(maxReviewed) {
		if a.convicted && !slices.ContainsFunc(list, func(c *partCase) bool { return c.account == a }) {
			l.acquitPart(a, ChangeAcquitted)
		}
	}
	for _, c := range list {
		l.reviewPart(c, list, unproven, now)
	}
}

// reviewPart convicts a part, makes its refusal narrower, or ends it, by what is known now.
func (l *Ledger) reviewPart(c *partCase, list []*partCase, unproven []*heldLoss, now time.Time) {
	if !now.Before(c.lastLoss().Add(l.opts.RefuseFor)) {
		if c.convicted {
			l.acquitPart(c.account, ChangeExpired)
		}
		return
	}
	decisive := c.decisive()
	if decisive == nil {
		// A conviction just before has explained what counted.
		l.acquitCleared(c.account)
		return
	}
	with := l.refusedWith(c, list)
	switch {
	case !now.Before(decisive.Lost.Add(l.opts.SettleTime)) && (l.othersRan(c) || l.isExplained(c, with, unproven)):
	case c.reported:
		with = c.told
	default:
		return
	}
	// What has been told apart stays so, also at gateways that know only a part of the losses.
	if c.reported && len(c.told) < len(with) {
		with = c.told
	}
	if c.convicted && (len(with) >= len(c.refusedWith) || !contains(c.refusedWith, with)) {
		return
	}
	l.convictPart(c, slices.Clone(with), now)
}

// provenAt returns the latest proof of a part, zero if none is known.
func (l *Ledger) provenAt(part uint64) time.Time {
	at := l.proofs.at(part)
	if el, ok := l.parts.records[part]; ok {
		at = later(at, accountOf(el).proven)
	}
	return at
}

// othersRan reports whether a run of the model was proven since the first crash. Otherwise the
// servers or the model may be at fault.
func (l *Ledger) othersRan(c *partCase) bool {
	return l.proofs.models[c.crashes[0].Model].After(c.crashes[0].Lost)
}

// isExplained reports whether the servers of the model crashed under requests with the parts, and
// at most half as often under others, though some of these ran too. A gateway that is cut off
// doesn't know of all requests that were lost with a server. Where servers crash as soon as they
// are back, no run lasts long enough to be proven. Crashes that another part without a known
// proof explains may be that one's.
func (l *Ledger) isExplained(c *partCase, with []uint64, unproven []*heldLoss) bool {
	others := map[uint64]bool{}
	var unexplained []*heldLoss
	for _, a := range l.parts.latest(maxReviewed) {
		for _, x := range a.losses {
			if x.isDisproved() || x.Model != c.blamed[0].Model || x.Lost.Before(c.blamed[0].Lost) {
				continue
			}
			if !contains(x.Parts, with) {
				others[x.Request] = true
			}
			if !explains(c.blamed, x) && !explains(unproven, x) && !explains(unexplained, x) {
				unexplained = append(unexplained, x)
			}
		}
	}
	return len(others) >= minOthers && len(unexplained) <= len(c.crashes)/2
}

// refusedWith returns the parts that can't be told from a part, itself included: those that are
// in all of its lost requests and aren't proven since, and those that explain all but one of its
// crashes.
func (l *Ledger) refusedWith(c *partCase, list []*partCase) []uint64 {
	out := slices.Clone(c.blamed[0].Parts)
	for _, x := range c.blamed[1:] {
		out = intersect(out, x.Parts)
	}
	out = slices.DeleteFunc(out, func(p uint64) bool { return p != c.id && l.provenAt(p).After(c.crashes[0].Lost) })
	for _, o := range list {
		if o.account != c.account && !slices.Contains(out, o.id) && len(c.unexplainedBy(o.blamed)) < minUnexplained && !bothCrash(c, o) {
			out = append(out, o.id)
		}
	}
	slices.Sort(out)
	return out
}

func (l *Ledger) convictPart(c *partCase, with []uint64, now time.Time) {
	a := c.account
	a.refusedWith = with
	if !a.convicted {
		l.parts.setConvicted(a, true)
	}
	a.until = l.endOfPart(a, now)
	out := l.partChange(ChangeConvicted, a, len(c.crashes))
	if a.told == nil || len(with) < len(a.told) {
		a.told = slices.Clone(with)
		out.Reports = l.convictedPartLosses(c)
	}
	l.opts.OnChange(out)
	l.absolveWithout(c)
}

// acquitCleared acquits a part if what is left against it doesn't convict it.
func (l *Ledger) acquitCleared(a *account) {
	if a.convicted && l.caseOf(a).decisive() == nil {
		l.acquitPart(a, ChangeAcquitted)
	}
}

// acquitDisproved acquits the parts that were convicted for a loss which no longer counts.
func (l *Ledger) acquitDisproved(x *heldLoss) {
	for _, p := range x.Parts {
		if el, ok := l.parts.records[p]; ok && x.isDisproved() {
			l.acquitCleared(accountOf(el))
		}
	}
}

func (l *Ledger) acquitPart(a *account, why ChangeKind) {
	l.parts.setConvicted(a, false)
	a.refusedWith, a.told, a.reported = nil, nil, false
	l.opts.OnChange(l.partChange(why, a, 0))
}

func (l *Ledger) partChange(k ChangeKind, a *account, counting int) Change {
	return Change{Kind: k, Part: a.id, With: slices.Clone(a.refusedWith), Losses: len(a.losses), Counting: counting, Until: a.lastLoss().Add(l.opts.RefuseFor)}
}

// convictedPartLosses returns the losses for which a part is refused, as told to peers.
func (l *Ledger) convictedPartLosses(c *partCase) []Loss {
	out := make([]Loss, 0, l.opts.Crashes)
	for _, x := range c.crashes[len(c.crashes)-l.opts.Crashes:] {
		told := x.Loss
		told.Convicted, told.Parts = true, slices.Clone(c.refusedWith)
		out = append(out, told)
	}
	return out
}

// absolveWithout voids the losses, in the crashes that a convicted part explains, of requests
// that don't have all of the parts that are refused with it.
func (l *Ledger) absolveWithout(c *partCase) {
	for _, x := range c.blamed {
		for _, id := range l.lostWith(x.Server) {
			a := accountOf(l.requests.records[id])
			l.void(a, ChangeOtherConvicted, func(o *heldLoss) bool { return o.isSameCrash(x.Loss) && !contains(o.Parts, c.refusedWith) })
		}
	}
}

// hasCulpritPart reports whether a convicted part explains a loss of a request without it.
func (l *Ledger) hasCulpritPart(x Loss) bool {
	for el := l.parts.convicted.Front(); el != nil; el = el.Next() {
		a := accountOf(el)
		if contains(x.Parts, a.refusedWith) {
			continue
		}
		if slices.ContainsFunc(l.caseOf(a).blamed, func(o *heldLoss) bool { return o.isSameCrash(x) }) {
			return true
		}
	}
	return false
}

// JudgeParts judges a request by the parts of its prompt.
func (l *Ledger) JudgeParts(parts []uint64, now time.Time) Judgement {
	var out Judgement
	for _, p := range parts {
		a := l.parts.find(p, now)
		if a == nil {
			continue
		}
		if unsettled := l.settlePart(a, now); unsettled > 0 {
			out.Unsettled = max(out.Unsettled, unsettled)
		}
		if a.convicted && contains(parts, a.refusedWith) {
			return Judgement{Convicted: true, Part: p}
		}
	}
	return out
}

// settlePart reviews a part if only time was missing to convict it, or if its conviction has
// ended. It returns the time that is still missing.
func (l *Ledger) settlePart(a *account, now time.Time) time.Duration {
	if a.convicted {
		if !now.Before(a.lastLoss().Add(l.opts.RefuseFor)) {
			l.acquitPart(a, ChangeExpired)
		}
		return 0
	}
	x := l.caseOf(a).decisive()
	if x == nil {
		return 0
	}
	unsettled := x.Lost.Add(l.opts.SettleTime).Sub(now)
	if unsettled <= 0 {
		l.reviewParts(now)
	}
	return unsettled
}

// Refused returns the parts that are refused together with a convicted part, itself included.
func (l *Ledger) Refused(part uint64) []uint64 {
	el, ok := l.parts.records[part]
	if !ok {
		return nil
	}
	return slices.Clone(accountOf(el).refusedWith)
}

// RefusedParts returns the number of convicted parts.
func (l *Ledger) RefusedParts() int { return l.parts.convicted.Len() }

// HasPart reports whether anything is held against a part.
func (l *Ledger) HasPart(part uint64) bool {
	_, ok := l.parts.records[part]
	return ok
}

// contains reports whether a has all elements of b.
func contains(a, b []uint64) bool {
	return !slices.ContainsFunc(b, func(x uint64) bool { return !slices.Contains(a, x) })
}

// intersect returns the elements of a that are in b.
func intersect(a, b []uint64) []uint64 {
	return slices.DeleteFunc(slices.Clone(a), func(x uint64) bool { return !slices.Contains(b, x) })
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
