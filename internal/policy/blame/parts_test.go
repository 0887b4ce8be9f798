package blame

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const testModel = 7

// losePart records that a server was lost at a time under a request whose prompt has the parts.
func losePart(l *Ledger, at time.Time, server, request uint64, parts ...uint64) {
	l.RecordLoss(Loss{
		Request: request, Server: server, ID: NewLossID(), Began: at.Add(-runTime), Lost: at, Model: testModel, Parts: parts,
	}, at)
}

// prove records a run with the parts that began to write at a time.
func prove(l *Ledger, at time.Time, parts ...uint64) {
	l.RecordRun(Run{Model: testModel, Parts: parts, Began: at}, at.Add(ProvenTime))
}

func isRefused(l *Ledger, now time.Time, parts ...uint64) bool {
	return l.JudgeParts(parts, now).Convicted
}

// Parts of the tests: guilty crashes servers, the others are sound.
const (
	guilty uint64 = 100 + iota
	first
	otherFirst
	third
)

// loseGuilty has three requests crash servers, one a second.
func loseGuilty(l *Ledger) {
	for i := range uint64(3) {
		losePart(l, after(int(i)), i, 10+i, first+i%2, guilty)
	}
}

// Guards against a part that crashes server after server as no two requests with it are alike.
func TestPartIsConvictedByDifferentRequests(t *testing.T) {
	var told []Loss
	l := NewLedger(LedgerOptions{OnChange: func(c Change) { told = append(told, c.Reports...) }})
	prove(l, after(1), otherFirst)
	prove(l, after(2), first)
	loseGuilty(l)
	assert.Equal(t, l.JudgeParts([]uint64{guilty}, after(2)), Judgement{Unsettled: DefaultSettleTime})
	assert.Equal(t, l.JudgeParts([]uint64{third, guilty}, after(3)), Judgement{Convicted: true, Part: guilty})
	assert.DeepEqual(t, l.Refused(guilty), []uint64{guilty})
	assert.Assert(t, !isRefused(l, after(3), first) && !isRefused(l, after(3), otherFirst))
	assert.Equal(t, len(told), 3)
	assert.DeepEqual(t, told[0].Parts, []uint64{guilty})
	// A gateway that learns of it from these alone refuses the same.
	there := NewLedger(LedgerOptions{})
	for _, x := range told {
		there.RecordLoss(x, after(3))
	}
	assert.Assert(t, isRefused(there, after(3), third, guilty))
	assert.Assert(t, !isRefused(there, after(3), third, first))
}

// Guards against the refusal of sound requests for a part that only guilty ones had so far: it is
// refused together with the guilty one, and no longer once it has run without.
func TestPartsSeenOnlyTogetherAreRefusedOnlyTogether(t *testing.T) {
	l := NewLedger(LedgerOptions{})
	prove(l, after(1), otherFirst)
	for i := range uint64(3) {
		losePart(l, after(int(i)), i, 10+i, first, guilty)
	}
	assert.Assert(t, isRefused(l, after(3), first, guilty))
	assert.Assert(t, !isRefused(l, after(3), first))
	assert.Assert(t, !isRefused(l, after(3), third, guilty))
	prove(l, after(4), first)
	assert.Assert(t, isRefused(l, after(5), third, guilty))
	// Two crashes without the first part show it too.
	l = NewLedger(LedgerOptions{})
	prove(l, after(1), third)
	for i := range uint64(5) {
		assert.Assert(t, !isRefused(l, after(int(i)), third, guilty))
		losePart(l, after(int(i)), i, 10+i, first+i/3, guilty)
	}
	assert.Assert(t, isRefused(l, after(5), third, guilty))
}

// Guards against the refusal of a first part whose sound requests are lost beside the guilty ones
// in each of the crashes, before one has run again.
func TestPartLostBesideTheGuiltyIsServed(t *testing.T) {
	l := NewLedger(LedgerOptions{})
	prove(l, after(1), third)
	for i := range uint64(4) {
		losePart(l, after(int(i)), i, 10+i, first, guilty)
		losePart(l, after(int(i)), i, 20+i, first)
		losePart(l, after(int(i)), i, 30+i, otherFirst)
	}
	prove(l, after(1), otherFirst)
	losePart(l, after(4), 9, 40, first)
	assert.Assert(t, isRefused(l, after(5), first, guilty))
	assert.Assert(t, !isRefused(l, after(5), first) && !isRefused(l, after(5), otherFirst))
}

// Guards against the refusal of all requests with the first part of one that crashes servers by
// itself, sent again and again.
func TestOneRequestConvictsNoPart(t *testing.T) {
	l := NewLedger(LedgerOptions{})
	prove(l, after(1), otherFirst)
	for i := range 8 {
		losePart(l, after(i), uint64(i), 1, first)
	}
	assert.Assert(t, isConvicted(l, 1, after(9)))
	assert.Assert(t, !isRefused(l, after(9), first))
}

// Guards against a part whose few requests crash servers again and again.
func TestTwoRequestsConvictAPartWithFourCrashes(t *testing.T) {
	l := NewLedger(LedgerOptions{})
	prove(l, after(1), otherFirst)
	for i := range 4 {
		assert.Assert(t, !isRefused(l, after(i), guilty))
		losePart(l, after(i), uint64(i), uint64(10+i/2), first, guilty)
		prove(l, after(i).Add(time.Millisecond), first)
	}
	assert.Assert(t, isRefused(l, after(4), guilty))
}

// Guards against guilty parts that go on as their requests are always lost with the same servers,
// so that each explains all crashes of the others.
func TestGuiltyPartsThatAreLostTogetherAreAllConvicted(t *testing.T) {
	l := NewLedger(LedgerOptions{})
	prove(l, after(1), otherFirst)
	for i := range uint64(5) {
		for part := range uint64(3) {
			losePart(l, after(int(i)), i, 10*i+part, first, guilty+100+part)
		}
		losePart(l, after(int(i)), i, 10*i+5, first)
		prove(l, after(int(i)).Add(time.Millisecond), first)
	}
	for part := range uint64(3) {
		assert.Assert(t, isRefused(l, after(5), third, guilty+100+part), "part %d", part)
	}
	assert.Assert(t, !isRefused(l, after(5), first))
}

// Guards against a gateway that starts anew and lets guilty parts in which its peers have told
// apart: the losses that it learns are of the same crashes.
func TestStartingGatewayRefusesPartsThatWereLostTogether(t *testing.T) {
	here, fresh := NewLedger(LedgerOptions{}), NewLedger(LedgerOptions{})
	prove(here, after(1), otherFirst)
	for i := range uint64(5) {
		for part := range uint64(3) {
			losePart(here, after(int(i)), i, 10*i+part, first, guilty+100+part)
		}
		prove(here, after(int(i)).Add(time.Millisecond), first)
	}
	assert.Assert(t, isRefused(here, after(5), guilty+100))
	for _, x := range here.Convictions(24, after(5)) {
		fresh.RecordLoss(x, after(6))
	}
	for part := range uint64(3) {
		assert.Assert(t, isRefused(fresh, after(6), third, guilty+100+part), "part %d", part)
	}
	assert.Assert(t, !isRefused(fresh, after(6), first))
}

// Guards against the refusal of a route's first part where nothing runs: the servers, the model
// or this gateway's network are at fault.
func TestNoPartIsConvictedWhileNothingRuns(t *testing.T) {
	l := NewLedger(LedgerOptions{})
	for i := range 10 {
		losePart(l, after(i), uint64(i), uint64(i), first)
	}
	assert.Assert(t, !isRefused(l, after(11), first))
	// Neither does a run of another model tell.
	l.RecordRun(Run{Model: testModel + 1, Began: after(11)}, after(12))
	assert.Assert(t, !isRefused(l, after(12), first))
}

// Guards against a part that begins to crash servers and is shielded for ever by the answers
// before.
func TestPartThatRanWellBeforeNeedsMoreLosses(t *testing.T) {
	l := NewLedger(LedgerOptions{})
	prove(l, after(0), guilty, first)
	for i := range shieldedCrashes {
		assert.Assert(t, !isRefused(l, after(i+1), guilty))
		losePart(l, after(i+1), uint64(i), 10+uint64(i), first, guilty)
		prove(l, after(i+1).Add(time.Millisecond), first)
	}
	assert.Assert(t, isRefused(l, after(shieldedCrashes+1), guilty))
}

// Guards against a conviction that outlasts the proof that the part is sound.
func TestProofAcquits(t *testing.T) {
	var told []Proof
	here := NewLedger(LedgerOptions{OnChange: func(c Change) { told = append(told, c.Proofs...) }})
	there := NewLedger(LedgerOptions{})
	for _, l := range []*Ledger{here, there} {
		prove(l, after(1), otherFirst)
		loseGuilty(l)
		assert.Assert(t, isRefused(l, after(3), guilty))
	}
	prove(here, after(4), guilty)
	assert.Assert(t, !isRefused(here, after(5), guilty))
	assert.Equal(t, len(told), 1)
	assert.Assert(t, there.RecordProof(told[0], after(5)))
	assert.Assert(t, !there.RecordProof(told[0], after(5)))
	assert.Assert(t, !isRefused(there, after(5), guilty))
	// Reports of the losses that come later don't convict it again.
	for _, x := range here.Convictions(3, after(5)) {
		there.RecordLoss(x, after(6))
	}
	loseGuilty(here)
	assert.Assert(t, !isRefused(here, after(7), guilty))
}

// Guards against gateways that refuse different parts for the same crashes.
func TestGatewaysEndAtTheSameParts(t *testing.T) {
	var told []Loss
	here, there := NewLedger(LedgerOptions{OnChange: func(c Change) { told = append(told, c.Reports...) }}), NewLedger(LedgerOptions{})
	for _, l := range []*Ledger{here, there} {
		prove(l, after(0), otherFirst)
	}
	var losses []Loss
	for i := range uint64(3) {
		losses = append(losses, Loss{
			Request: i, Server: i, ID: 1, Began: after(int(i)).Add(-runTime), Lost: after(int(i)), Model: testModel, Parts: []uint64{first, guilty},
		})
	}
	prove(here, after(1), first)
	prove(there, after(1), otherFirst)
	for _, x := range losses {
		here.RecordLoss(x, after(2))
		there.RecordLoss(x, after(2))
	}
	assert.Assert(t, isRefused(here, after(3), guilty))
	assert.Assert(t, !isRefused(there, after(3), guilty))
	for _, x := range told {
		there.RecordLoss(x, after(3))
	}
	assert.Assert(t, isRefused(there, after(3), guilty))
}

// Guards against a part that crashes servers again each time that its conviction ends.
func TestPartOnProbationIsConvictedByOneLoss(t *testing.T) {
	l := NewLedger(LedgerOptions{})
	prove(l, after(1), otherFirst)
	prove(l, after(2), first)
	loseGuilty(l)
	assert.Assert(t, isRefused(l, after(3), guilty))
	ended := after(2).Add(DefaultRefuseFor)
	assert.Assert(t, !isRefused(l, ended, guilty))
	losePart(l, ended.Add(time.Second), 9, 50, third, guilty)
	assert.Assert(t, isRefused(l, ended.Add(time.Second), otherFirst, guilty))
	assert.Assert(t, !isRefused(l, ended.Add(DefaultRefuseFor+DefaultProbation+time.Minute), guilty))
	assert.Assert(t, !l.HasPart(guilty))
}

// Guards against sound requests that stay refused by themselves after the part is found that
// crashed their servers.
func TestPartAbsolvesTheRequestsBesideIt(t *testing.T) {
	l := NewLedger(LedgerOptions{})
	prove(l, after(1), otherFirst)
	prove(l, after(2), first)
	for i := range uint64(3) {
		losePart(l, after(int(i)), i, 1, first)
	}
	assert.Assert(t, isConvicted(l, 1, after(3)))
	loseGuilty(l)
	assert.Assert(t, isRefused(l, after(3), guilty))
	assert.Assert(t, !isConvicted(l, 1, after(3)))
	assert.Assert(t, l.ClearPart(guilty, after(4)))
	assert.Assert(t, !isRefused(l, after(4), guilty))
	assert.Assert(t, !l.ClearPart(third, after(4)))
}

// Guards against memory without bound for parts that callers make up.
func TestPartsAreBounded(t *testing.T) {
	l := NewLedger(LedgerOptions{Limit: 10})
	prove(l, after(1), otherFirst)
	prove(l, after(2), first, first+1)
	loseGuilty(l)
	assert.Assert(t, isRefused(l, after(3), guilty))
	for i := range uint64(1000) {
		losePart(l, after(4).Add(time.Duration(i)*time.Second/10), i, 1000+i, first, 2000+2*i, 2001+2*i)
		prove(l, after(4), 2000+2*i)
	}
	assert.Assert(t, l.parts.suspects.Len() <= 5 && l.parts.convicted.Len() <= 5)
	assert.Assert(t, len(l.proofs.latest) <= maxProofs)
	for _, a := range l.parts.all() {
		assert.Assert(t, len(a.losses) <= maxLosses)
	}
	assert.Assert(t, isRefused(l, after(5), guilty))
}

// Guards against a conviction among many that outlasts its proof, the disproof of its losses, or
// its time, as only those with the latest losses are compared.
func TestAnOldConvictionEnds(t *testing.T) {
	l := NewLedger(LedgerOptions{})
	for part := range uint64(2 * maxReviewed) {
		at := int(part)
		for i := range uint64(3) {
			losePart(l, after(at+int(i)), 10*part+i, 10*part+i, 1000+part)
			prove(l, after(at+int(i)), first)
		}
		assert.Assert(t, isRefused(l, after(at+3), 1000+part), "part %d", part)
	}
	const now = 2*maxReviewed + 3
	prove(l, after(now), 1020)
	assert.Assert(t, !isRefused(l, after(now), 1020))
	l.RecordSuccess(10*21, after(now))
	assert.Assert(t, !isRefused(l, after(now), 1021))
	assert.Assert(t, isRefused(l, after(now), 1022))
	assert.Equal(t, len(l.Convictions(1000, after(now))), 3*(2*maxReviewed-2))
	assert.Assert(t, !isRefused(l, after(22+2).Add(DefaultRefuseFor), 1022))
}

// Guards against a cleared part that is refused again once a gateway which was cut off tells what
// it held before.
func TestClearedPartStaysCleared(t *testing.T) {
	here, cut := NewLedger(LedgerOptions{}), NewLedger(LedgerOptions{})
	for _, l := range []*Ledger{here, cut} {
		prove(l, after(1), otherFirst)
		prove(l, after(2), first)
		loseGuilty(l)
		assert.Assert(t, isRefused(l, after(3), guilty))
	}
	assert.Assert(t, here.ClearPart(guilty, after(4)))
	for i := range uint64(maxProofs) {
		prove(here, after(40), 1000+i)
		prove(here, after(80), 10000+i)
	}
	for _, x := range cut.Convictions(24, after(120)) {
		here.RecordLoss(x, after(120))
	}
	assert.Assert(t, !isRefused(here, after(121), guilty))
}
