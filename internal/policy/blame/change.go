package blame

import "time"

// ChangeKind says what changed about a request, and why.
type ChangeKind int

// The kinds of change.
const (
	// ChangeLoss: a server was lost under the request.
	ChangeLoss ChangeKind = iota
	// ChangeServerAnswered: a loss no longer counts, as the server turned out to be alive.
	ChangeServerAnswered
	// ChangeSucceeded: a loss no longer counts, as the request has succeeded.
	ChangeSucceeded
	// ChangePeerDisproved: a loss no longer counts, as a peer has disproved it.
	ChangePeerDisproved
	// ChangeOtherConvicted: a loss no longer counts, as another request crashed the server.
	ChangeOtherConvicted
	// ChangeConvicted: the request is refused from now on.
	ChangeConvicted
	// ChangeAcquitted: the request is no longer refused, as its losses don't count any more.
	ChangeAcquitted
	// ChangeExpired: the part is no longer refused, as its conviction has ended by time.
	ChangeExpired
	// ChangeProven: a run has shown that the part doesn't crash servers.
	ChangeProven
	// ChangeHeld: the request is held back, as its rivals explain its losses.
	ChangeHeld
	// ChangeTrial: a trial of the request has reached another state.
	ChangeTrial
)

// String returns the kind as it is logged.
func (k ChangeKind) String() string {
	switch k {
	case ChangeLoss:
		return "loss-recorded"
	case ChangeServerAnswered:
		return "server-answered"
	case ChangeSucceeded:
		return "request-succeeded"
	case ChangePeerDisproved:
		return "peer-disproved"
	case ChangeOtherConvicted:
		return "other-convicted"
	case ChangeConvicted:
		return "convicted"
	case ChangeAcquitted:
		return "acquitted"
	case ChangeExpired:
		return "expired"
	case ChangeProven:
		return "proven"
	case ChangeHeld:
		return "held"
	case ChangeTrial:
		return "trial"
	}
	return "unknown"
}

// Change is a change of what a Ledger holds against a request or a part.
type Change struct {
	Kind ChangeKind
	// Part is the part, 0 if the change is about a request. With has the parts that are
	// refused together with it, Until is the end of that, if it is convicted, or of a hold.
	Part  uint64
	With  []uint64
	Until time.Time
	// Request is the request's fingerprint, Server the hash of the server's incarnation,
	// 0 if the change is about none.
	Request, Server uint64
	// Losses is the number of losses held, Counting that of those in sequence which count.
	Losses, Counting int
	// Rivals has the requests that explain the losses of one that is held back.
	Rivals []uint64
	// Reports, Proofs and Trials are for the peers, empty if they know of the change.
	Reports []Loss
	Proofs  []Proof
	Trials  []Trial
}

// Decisive reports whether the change alters what is believed of a request, rather than only
// what is held against it: one loss is ordinary beside a crash, two in sequence make the request
// a suspect.
func (x Change) Decisive() bool {
	switch x.Kind {
	case ChangeLoss:
		return x.Counting > 1
	case ChangeServerAnswered, ChangeSucceeded, ChangePeerDisproved, ChangeOtherConvicted:
		return x.Counting > 0
	case ChangeTrial:
		return false
	case ChangeConvicted, ChangeAcquitted, ChangeExpired, ChangeProven, ChangeHeld:
	}
	return true
}

// notify reports a change; x is the loss that changed, zero if the change is about none.
func (l *Ledger) notify(k ChangeKind, a *account, x Loss) {
	crashes := a.sequence()
	out := Change{Kind: k, Request: a.id, Server: x.Server, Losses: len(a.losses), Counting: len(crashes)}
	switch k {
	case ChangeServerAnswered, ChangeSucceeded:
		x.Disproved = true
		out.Reports = []Loss{x}
	case ChangeConvicted:
		if !a.reported {
			out.Reports = convictedLosses(crashes[:l.opts.Crashes])
		}
	case ChangeLoss, ChangePeerDisproved, ChangeOtherConvicted, ChangeAcquitted, ChangeExpired, ChangeProven, ChangeHeld, ChangeTrial:
	}
	l.opts.OnChange(out)
}
