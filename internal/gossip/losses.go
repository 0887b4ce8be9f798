package gossip

import (
	"cmp"
	"slices"
	"time"

	pb "jayford.example/jayford/api/jayfordv1"
	"jayford.example/jayford/internal/policy/blame"
)

const (
	// lossRepeatPeriod is how long a loss is repeated in datagrams.
	lossRepeatPeriod = 2500 * time.Millisecond
	// maxLosses bounds the losses in one datagram, maxQueuedLosses those that wait for
	// one. A server takes down at most some dozens of a gateway's requests.
	maxLosses       = 8
	maxQueuedLosses = 128
	// maxConvictionLosses bounds the losses of convicted requests in a full update: those of
	// the latest request. The gateways' objects in the platform have more.
	maxConvictionLosses = 3
)

// lossQueue has the losses to report. It isn't safe for concurrent use.
type lossQueue struct{ list []queuedLoss }

type queuedLoss struct {
	blame.Loss
	since time.Time
	// sent counts the datagrams that had it.
	sent int
}

// add queues a loss. If there are too many, the oldest is dropped.
func (q *lossQueue) add(x blame.Loss, now time.Time) {
	if len(q.list) >= maxQueuedLosses {
		q.list = slices.Delete(q.list, 0, 1)
	}
	q.list = append(q.list, queuedLoss{Loss: x, since: now})
}

// next returns the losses for the next datagram: those that were sent least often, the
// latest of them first.
func (q *lossQueue) next(limit int, now time.Time) []blame.Loss {
	q.list = slices.DeleteFunc(q.list, func(x queuedLoss) bool { return now.Sub(x.since) > lossRepeatPeriod })
	order := make([]*queuedLoss, len(q.list))
	for i := range q.list {
		order[i] = &q.list[i]
	}
	slices.SortStableFunc(order, func(a, b *queuedLoss) int {
		return cmp.Or(cmp.Compare(a.sent, b.sent), b.since.Compare(a.since))
	})
	var out []blame.Loss
	for _, x := range order[:min(limit, len(order))] {
		x.sent++
		out = append(out, x.Loss)
	}
	return out
}

// hasUnsent reports whether a loss hasn't been in any datagram.
func (q *lossQueue) hasUnsent() bool {
	return slices.ContainsFunc(q.list, func(x queuedLoss) bool { return x.sent == 0 })
}

// encodeLoss returns a loss for a datagram. Its times are relative, as the clocks of
// instances differ.
func encodeLoss(x blame.Loss, now time.Time) *pb.Loss {
	return &pb.Loss{
		Content: x.Request, Engine: x.Server,
		RanMs: milliseconds(x.Lost.Sub(x.Began)), AgeMs: milliseconds(now.Sub(x.Lost)),
		Disproved: x.Disproved, Convicted: x.Convicted, Id: x.ID,
	}
}

func decodeLoss(l *pb.Loss, now time.Time) blame.Loss {
	lost := now.Add(-time.Duration(l.AgeMs) * time.Millisecond)
	return blame.Loss{
		Request: l.Content, Server: l.Engine, Lost: lost, Began: lost.Add(-time.Duration(l.RanMs) * time.Millisecond),
		Disproved: l.Disproved, Convicted: l.Convicted, ID: l.Id,
	}
}

func milliseconds(d time.Duration) uint32 { return uint32(max(0, min(d, maxLossTime)).Milliseconds()) }

// maxLossTime bounds the times of losses in datagrams.
const maxLossTime = time.Hour
