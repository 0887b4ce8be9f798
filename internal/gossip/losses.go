package gossip

import (
	"cmp"
	"slices"
	"time"

	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"

	pb "jayford.example/jayford/api/jayfordv1"
	"jayford.example/jayford/internal/policy/blame"
)

const (
	// reportRepeatPeriod is how long a report is repeated in datagrams.
	reportRepeatPeriod = 2500 * time.Millisecond
	// maxLosses and maxProofs bound the reports in one datagram, maxQueuedReports those of one
	// kind that wait for one. A server takes down at most some dozens of a gateway's requests.
	maxLosses, maxProofs = 8, 4
	maxQueuedReports     = 128
	// maxEvidenceBytes is the room in a datagram for losses beside maxEngineBytes of load. A loss
	// with many parts and proofs take more, and the load less.
	maxEvidenceBytes = 200
	// maxFullLosses bounds the losses of Options.Evidence in a full update, maxEvidence those
	// that take turns.
	maxFullLosses = 3
	maxEvidence   = 48
)

// reportQueue has reports for the peers. It isn't safe for concurrent use.
type reportQueue[T any] struct{ list []queuedReport[T] }

type queuedReport[T any] struct {
	report T
	since  time.Time
	// sent counts the datagrams that had it.
	sent int
}

// lossQueue has the losses to report, proofQueue the proofs.
type (
	lossQueue  = reportQueue[blame.Loss]
	proofQueue = reportQueue[blame.Proof]
)

// add queues a report. If there are too many, the oldest is dropped.
func (q *reportQueue[T]) add(x T, now time.Time) {
	if len(q.list) >= maxQueuedReports {
		q.list = slices.Delete(q.list, 0, 1)
	}
	q.list = append(q.list, queuedReport[T]{report: x, since: now})
}

// next returns the reports for the next datagram: those that were sent least often, the
// latest of them first.
func (q *reportQueue[T]) next(limit int, now time.Time) []T {
	return q.nextWithin(limit, now, func(T) bool { return true })
}

// nextWithin is next up to the first report that doesn't fit.
func (q *reportQueue[T]) nextWithin(limit int, now time.Time, fits func(T) bool) []T {
	q.list = slices.DeleteFunc(q.list, func(x queuedReport[T]) bool { return now.Sub(x.since) > reportRepeatPeriod })
	order := make([]*queuedReport[T], len(q.list))
	for i := range q.list {
		order[i] = &q.list[i]
	}
	slices.SortStableFunc(order, func(a, b *queuedReport[T]) int {
		return cmp.Or(cmp.Compare(a.sent, b.sent), b.since.Compare(a.since))
	})
	var out []T
	for _, x := range order[:min(limit, len(order))] {
		if !fits(x.report) {
			break
		}
		x.sent++
		out = append(out, x.report)
	}
	return out
}

// hasUnsent reports whether a report hasn't been in any datagram.
func (q *reportQueue[T]) hasUnsent() bool {
	return slices.ContainsFunc(q.list, func(x queuedReport[T]) bool { return x.sent == 0 })
}

// evidence returns the losses and proofs for the next datagram. A full update has some of the
// losses for which requests are refused, or may come to be, in turn.
func (e *Exchange) evidence(full bool, now time.Time) ([]*pb.Loss, []*pb.Proof) {
	left := maxEvidenceBytes
	var losses []*pb.Loss
	addLoss := func(x blame.Loss) bool {
		l := encodeLoss(x, now)
		left -= protowire.SizeTag(1) + protowire.SizeBytes(proto.Size(l))
		// The first one is sent in any case: no other datagram would have more room.
		if left < 0 && len(losses) > 0 {
			return false
		}
		losses = append(losses, l)
		return true
	}
	e.mu.Lock()
	// Proofs don't yield to losses: without them sound parts are convicted where servers crash
	// one after the other.
	proofs := e.proofs.next(maxProofs, now)
	e.losses.nextWithin(maxLosses, now, addLoss)
	unsent := e.losses.hasUnsent() || e.proofs.hasUnsent()
	e.mu.Unlock()
	if unsent {
		e.NotifyLoadChange()
	}
	if full {
		for _, x := range e.nextEvidence(maxLosses - len(losses)) {
			if !addLoss(x) {
				break
			}
		}
	}
	var out []*pb.Proof
	for _, p := range proofs {
		out = append(out, &pb.Proof{Part: p.Part, AgeMs: milliseconds(now.Sub(p.At))})
	}
	return losses, out
}

// nextEvidence returns the losses of Options.Evidence that are next in turn, at most limit.
func (e *Exchange) nextEvidence(limit int) []blame.Loss {
	if e.opts.Evidence == nil || limit <= 0 {
		return nil
	}
	list := slices.Collect(slices.Chunk(e.opts.Evidence(maxEvidence), maxFullLosses))
	if len(list) == 0 {
		return nil
	}
	e.evidenceSent++
	next := list[e.evidenceSent%len(list)]
	return next[:min(limit, len(next))]
}

// encodeLoss returns a loss for a datagram. Its times are relative, as the clocks of
// instances differ.
func encodeLoss(x blame.Loss, now time.Time) *pb.Loss {
	return &pb.Loss{
		Content: x.Request, Engine: x.Server,
		RanMs: milliseconds(x.Lost.Sub(x.Began)), AgeMs: milliseconds(now.Sub(x.Lost)),
		Disproved: x.Disproved, Convicted: x.Convicted, Id: x.ID, Parts: x.Parts, Model: x.Model, Wrote: x.Wrote,
	}
}

func decodeLoss(l *pb.Loss, now time.Time) blame.Loss {
	lost := now.Add(-time.Duration(l.AgeMs) * time.Millisecond)
	return blame.Loss{
		Request: l.Content, Server: l.Engine, Lost: lost, Began: lost.Add(-time.Duration(l.RanMs) * time.Millisecond),
		Disproved: l.Disproved, Convicted: l.Convicted, ID: l.Id, Parts: l.Parts, Model: l.Model, Wrote: l.Wrote,
	}
}

func milliseconds(d time.Duration) uint32 { return uint32(max(0, min(d, maxLossTime)).Milliseconds()) }

// maxLossTime bounds the times of losses in datagrams.
const maxLossTime = time.Hour
