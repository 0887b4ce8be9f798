package blame

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"
	"time"
)

// Defaults of LedgerOptions.
const (
	DefaultCrashes    = 3
	DefaultSettleTime = 100 * time.Millisecond
	DefaultMinHold    = time.Second
	DefaultLossWindow = 2 * time.Minute
	DefaultRefuseFor  = 10 * time.Minute
)

const (
	// maxLosses bounds the losses that are held against one suspect.
	maxLosses = 16
	// overlapTolerance is the overlap up to which two runs still count as one after the
	// other: reported times are off by a network delay.
	overlapTolerance = 10 * time.Millisecond
	// holdSpread is the ratio of the longest hold to the shortest.
	holdSpread = 5
)

// LedgerOptions are the options of a Ledger. Zero values select the defaults.
type LedgerOptions struct {
	// Crashes is how many servers must be lost under a request, one after the other,
	// to convict it.
	Crashes int
	// MinHold is the shortest time for which a request is held back if it has more
	// losses than that and others have the same.
	MinHold time.Duration
	// SettleTime is how long after a loss the request isn't judged, until the losses of
	// the other requests on the same server are known.
	SettleTime time.Duration
	// Window is how long a suspect's losses count after the last report, RefuseFor how
	// long a conviction lasts after the last loss. Probation is how long after that one more
	// loss convicts a part again.
	Window, RefuseFor, Probation time.Duration
	// Limit is the maximum number of requests held, convicted or not, and that of parts.
	Limit int
	// Rand draws the ids of trials. The default is the global source.
	Rand func() uint32
	// OnChange is called with each change of what is held against a suspect. It may be nil
	// and must not call the Ledger.
	OnChange func(Change)
}

// Loss is the loss of a server under a request.
type Loss struct {
	// Request is the request's fingerprint, Server a hash of the server's id and, where it
	// says one, its start time.
	Request, Server uint64
	// ID distinguishes the losses of one server under one request, as a server may crash,
	// start again under its id and crash again. NewLossID draws one.
	ID uint32
	// Began is when the server began the request, Lost when the server was lost.
	Began, Lost time.Time
	// Prompt: the server was lost as its connection was closed or reset, not by a timeout.
	// If it crashed, it did so just before Lost. It is known of this gateway's losses only.
	Prompt bool
	// Wrote: the run had written events for ProvenTime, so that the request hardly crashed the server.
	Wrote bool
	// Disproved: whoever reports the loss knows that it doesn't count. Convicted: it refuses
	// the request for this loss and others or, if Parts are given, all requests whose prompts
	// have all of these.
	Disproved, Convicted bool
	// Model is a hash of the model's name. Parts has hashes of the prompt's parts (SharedPart,
	// LastPart), none if the connection wasn't closed or reset, or if the run had written
	// events for ProvenTime.
	Model uint32
	Parts []uint64
}

// Ledger finds the requests, and the parts of prompts, that crash servers from the losses
// alone, for a router that can't have a request run alone and learns only a part of what a
// server runs.
//
// A server takes down all that it runs. These rules keep the others from being convicted:
//   - Losses count only in sequence: of runs that overlapped, one counts. A request that
//     runs on many servers at once loses them all to one failure of a network or a zone.
//   - While others that were lost twice or more explain all losses of a request, it isn't
//     convicted. If it goes on to be lost with them, each is held back for a while of its own
//     length: the next loss is then without the others.
//   - A request under which enough servers were lost, and which isn't convicted, runs on trial: one
//     attempt at a time at all gateways (Admit).
//   - A run that had written for ProvenTime hardly crashed its server. It takes more such losses to
//     convict a request, and they explain none of a run that hadn't.
//   - What a convicted request or part has crashed no longer counts against others.
//   - A loss no longer counts once the request has succeeded, or the same start of the server
//     has answered (Answer).
//
// The last part of a prompt belongs to a request or a session. It is convicted by crashes under two
// requests, as one alone is convicted by itself.
//
// Against a part count at most two losses of each request that has it, and only those since a
// run of any of them has last written events for ProvenTime. Parts that can't be told apart are
// refused only together.
//
// It isn't safe for concurrent use.
type Ledger struct {
	opts            LedgerOptions
	requests, parts *accounts
	proofs          *proofs
	// trials has those of this gateway and its peers.
	trials []*Trial
	// byServer has the fingerprints of the requests that were lost with each server, at any
	// of its starts.
	byServer map[uint64]map[uint64]bool
}

// NewLedger returns an empty Ledger.
func NewLedger(o LedgerOptions) *Ledger {
	o.Crashes = cmp.Or(o.Crashes, DefaultCrashes)
	o.MinHold = cmp.Or(o.MinHold, DefaultMinHold)
	o.SettleTime = cmp.Or(o.SettleTime, DefaultSettleTime)
	o.Window = cmp.Or(o.Window, DefaultLossWindow)
	o.RefuseFor = cmp.Or(o.RefuseFor, DefaultRefuseFor)
	o.Probation = cmp.Or(o.Probation, DefaultProbation)
	o.Limit = cmp.Or(o.Limit, DefaultLimit)
	if o.Rand == nil {
		o.Rand = rand.Uint32
	}
	if o.OnChange == nil {
		o.OnChange = func(Change) {}
	}
	l := &Ledger{opts: o, proofs: newProofs(), byServer: map[uint64]map[uint64]bool{}}
	l.requests = newAccounts(o.Limit, l.unlink)
	l.parts = newAccounts(o.Limit, func(*account) {})
	return l
}

// RecordLoss records a loss, or what a peer knows of one, and reports whether that was
// unknown. Reports of a loss merge to the same result in any order: a disproof takes
// precedence over a conviction, and that over the absolution by another one's conviction.
func (l *Ledger) RecordLoss(x Loss, now time.Time) bool {
	a := l.requests.open(x.Request, now)
	i := slices.IndexFunc(a.losses, func(o *heldLoss) bool { return o.isSame(x) })
	switch {
	case i >= 0:
		if !l.update(a, a.losses[i], x, now) {
			return false
		}
	case len(a.losses) >= maxLosses:
		return false
	default:
		l.add(a, x, now)
	}
	a.reported = a.reported || x.convictsRequest()
	l.requests.touch(a)
	l.review(a, now)
	l.reviewParts(now)
	return true
}

// review draws the conclusions from a changed account.
func (l *Ledger) review(a *account, now time.Time) {
	switch {
	case a.convicted:
		a.until = l.endOfConviction(a)
		l.absolveOthers(a)
	case a.reported && len(a.sequence()) >= l.opts.Crashes && now.Before(l.endOfConviction(a)):
		l.convict(a)
	default:
		a.until = now.Add(l.opts.Window)
		// A conviction that is reported after the fact holds at once.
		l.Judge(a.id, now)
	}
}

// add adds an unknown loss.
func (l *Ledger) add(a *account, x Loss, now time.Time) {
	out := &heldLoss{Loss: x}
	switch {
	case x.Disproved:
		out.void, out.why = true, ChangePeerDisproved
	case !x.convictsRequest() && l.hasCulprit(x, now):
		out.void, out.why = true, ChangeOtherConvicted
	}
	a.hold(out)
	if l.byServer[x.Server] == nil {
		l.byServer[x.Server] = map[uint64]bool{}
	}
	l.byServer[x.Server][x.Request] = true
	l.notify(ChangeLoss, a, x)
	if !x.Disproved {
		l.blamePartsFor(out, now)
	}
	if x.convictsParts() {
		l.adopt(x.Parts, now)
	}
}

// update applies a further report of a known loss, and reports whether it changes anything.
func (l *Ledger) update(a *account, known *heldLoss, x Loss, now time.Time) bool {
	switch {
	case x.Disproved:
		if known.isDisproved() {
			return false
		}
		if known.void {
			known.why = ChangePeerDisproved
			l.acquitDisproved(known)
			return true
		}
		l.void(a, ChangePeerDisproved, func(o *heldLoss) bool { return o.isSame(x) })
		return true
	case x.convictsParts():
		return l.narrow(known, x.Model, x.Parts, now)
	case x.Convicted:
		if known.void && known.why == ChangeOtherConvicted && !l.hasCulpritPart(known.Loss) {
			known.void = false
			return true
		}
		return !known.void && !a.reported
	}
	return false
}

// RecordSuccess records that a request has succeeded.
func (l *Ledger) RecordSuccess(fp uint64, now time.Time) {
	if a := l.requests.find(fp, now); a != nil {
		l.void(a, ChangeSucceeded, func(*heldLoss) bool { return true })
		l.reviewParts(now)
	}
}

// RecordAnswer records an answer of a server: the losses that it disproves no longer count.
func (l *Ledger) RecordAnswer(x Answer, now time.Time) {
	for _, fp := range l.lostWith(x.Server) {
		if a := l.requests.find(fp, now); a != nil {
			l.void(a, ChangeServerAnswered, func(o *heldLoss) bool { return x.disproves(o.Loss, now) })
		}
	}
	if len(l.byServer[x.Server]) > 0 {
		l.reviewParts(now)
	}
}

// Judgement says whether a request may run.
type Judgement struct {
	// Convicted: the request crashes servers.
	Convicted bool
	// Part is the part of its prompt that does, 0 if it is the request alone.
	Part uint64
	// Unsettled is the time after which the request can be judged, 0 for now.
	Unsettled time.Duration
	// Held is the time for which the request is held back, 0 if it isn't.
	Held time.Duration
	// Tried is how long the trial of another attempt of the suspect may last at most, 0 if there
	// is none.
	Tried time.Duration
}

// Judge judges a request.
func (l *Ledger) Judge(fp uint64, now time.Time) Judgement {
	a := l.requests.find(fp, now)
	if a == nil || a.convicted {
		return Judgement{Convicted: a != nil}
	}
	crashes := sequenceOf(a.evidence())
	if len(crashes) < l.opts.Crashes {
		return Judgement{}
	}
	last := crashes[len(crashes)-1].Lost
	if wait := last.Add(l.opts.SettleTime).Sub(now); wait > 0 {
		return Judgement{Unsettled: wait}
	}
	if !now.Before(l.endOfConviction(a)) {
		return Judgement{}
	}
	if !l.hasRival(a, now) {
		l.convict(a)
		return Judgement{Convicted: true}
	}
	held := max(0, last.Add(l.hold(fp, len(crashes))).Sub(now))
	if held > 0 && a.heldFor != len(crashes) {
		a.heldFor = len(crashes)
		l.opts.OnChange(Change{Kind: ChangeHeld, Request: fp, Losses: len(a.losses), Counting: len(crashes), Rivals: l.rivals(a, now), Until: now.Add(held)})
	}
	return Judgement{Held: held}
}

// hold returns how long after its last loss a request is held back that has rivals. All
// gateways hold it for the same time, which doubles with each further loss.
func (l *Ledger) hold(fp uint64, crashes int) time.Duration {
	more := crashes - l.opts.Crashes
	if more <= 0 {
		return 0
	}
	shortest := l.opts.MinHold << (more - 1)
	draw := rand.New(rand.NewPCG(fp, uint64(crashes))).Float64()
	return shortest + time.Duration(draw*(holdSpread-1)*float64(shortest))
}

// Convictions returns the losses of the convicted parts, and behind them those of the convicted
// requests, the latest first, at most limit of them and each conviction's all or none.
func (l *Ledger) Convictions(limit int, now time.Time) []Loss {
	var out []Loss
	for _, x := range l.convictionLosses(now) {
		if len(out)+len(x) > limit {
			break
		}
		out = append(out, x...)
	}
	return out
}

// Suspicions returns the latest losses that count against each part which isn't convicted but
// has minSuspicion crashes, or is only tried: gateways that were cut off or have just started don't
// know them. It returns at most limit of them.
func (l *Ledger) Suspicions(limit int, now time.Time) []Loss {
	var out []Loss
	for _, a := range l.parts.all() {
		if a.convicted || len(a.losses) < minSuspicion || l.parts.find(a.id, now) == nil {
			continue
		}
		c := l.caseOf(a)
		told := c.crashes
		if IsLastPart(a.id) && lostServers(c.blamed) >= l.opts.Crashes {
			told = c.blamed
		}
		if n := len(told); n >= minSuspicion {
			for _, x := range told[max(0, n-l.opts.Crashes):] {
				loss := x.Loss
				if IsLastPart(a.id) {
					// Who has just started doesn't know what has proven the shared parts since.
					loss.Parts = []uint64{a.id}
				}
				out = append(out, loss)
			}
		}
	}
	return out[:min(limit, len(out))]
}

// convictionLosses returns the losses for each conviction.
func (l *Ledger) convictionLosses(now time.Time) [][]Loss {
	var out [][]Loss
	for _, a := range l.parts.all() {
		if c := l.caseOf(a); a.convicted && now.Before(a.lastLoss().Add(l.opts.RefuseFor)) && c.decisive() != nil {
			out = append(out, l.convictedPartLosses(c))
		}
	}
	for _, a := range l.requests.all() {
		if a.convicted && now.Before(a.until) {
			out = append(out, convictedLosses(a.sequence()[:l.opts.Crashes]))
		}
	}
	return out
}

// convictedLosses returns the losses for which a request is refused, as told to peers.
func convictedLosses(crashes []*heldLoss) []Loss {
	out := make([]Loss, 0, len(crashes))
	for _, x := range crashes {
		told := x.Loss
		told.Convicted, told.Parts = true, nil
		out = append(out, told)
	}
	return out
}

// Len returns the number of requests held.
func (l *Ledger) Len() int { return len(l.requests.records) }

// Empty reports whether nothing is held against any request or part, and nothing has been tried lately.
func (l *Ledger) Empty(now time.Time) bool {
	l.forgetTrials(now)
	return len(l.requests.records)+len(l.parts.records)+len(l.trials) == 0
}

// sequence returns the most losses that count of runs which didn't overlap.
func (a *account) sequence() []*heldLoss { return sequenceOf(a.losses) }

func sequenceOf(losses []*heldLoss) []*heldLoss {
	var out []*heldLoss
	for _, x := range losses {
		if !x.void && (len(out) == 0 || x.follows(out[len(out)-1].Loss)) {
			out = append(out, x)
		}
	}
	return out
}

// endOfConviction returns when a conviction of a ends: it counts from the last loss,
// whenever that was reported.
func (l *Ledger) endOfConviction(a *account) time.Time {
	return a.losses[len(a.losses)-1].Lost.Add(l.opts.RefuseFor)
}

func (l *Ledger) convict(a *account) {
	a.until = l.endOfConviction(a)
	l.requests.setConvicted(a, true)
	l.notify(ChangeConvicted, a, Loss{})
	l.absolveOthers(a)
}

// absolveOthers voids the losses of other requests on servers that a has crashed.
func (l *Ledger) absolveOthers(a *account) {
	for _, x := range a.losses {
		if x.void {
			continue
		}
		for _, fp := range l.lostWith(x.Server) {
			other := accountOf(l.requests.records[fp])
			if !other.convicted {
				l.void(other, ChangeOtherConvicted, func(o *heldLoss) bool { return o.isSameCrash(x.Loss) })
			}
		}
	}
}

// hasCulprit reports whether the server was lost under a convicted request or part too.
func (l *Ledger) hasCulprit(x Loss, now time.Time) bool {
	if l.hasCulpritPart(x) {
		return true
	}
	for _, fp := range l.lostWith(x.Server) {
		a := l.requests.find(fp, now)
		if a == nil || !a.convicted {
			continue
		}
		if slices.ContainsFunc(a.losses, func(o *heldLoss) bool { return !o.void && o.isSameCrash(x) }) {
			return true
		}
	}
	return false
}

// void makes losses no longer count, and ends a conviction that rested on them.
func (l *Ledger) void(a *account, why ChangeKind, which func(*heldLoss) bool) {
	disproves := why != ChangeOtherConvicted
	for _, x := range a.losses {
		if which(x) && (!x.void || disproves && !x.isDisproved()) {
			x.void, x.why = true, why
			l.notify(why, a, x.Loss)
			l.acquitDisproved(x)
		}
	}
	if a.convicted && len(a.sequence()) < l.opts.Crashes {
		a.reported = false
		l.requests.setConvicted(a, false)
		l.notify(ChangeAcquitted, a, Loss{})
	}
}

// lostWith returns the requests that were lost with a server, at any of its starts.
func (l *Ledger) lostWith(server uint64) []uint64 {
	return slices.Sorted(maps.Keys(l.byServer[server]))
}

// unlink drops a request's account from the index by server.
func (l *Ledger) unlink(a *account) {
	for _, x := range a.losses {
		delete(l.byServer[x.Server], a.id)
		if len(l.byServer[x.Server]) == 0 {
			delete(l.byServer, x.Server)
		}
	}
}
