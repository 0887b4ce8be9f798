package gossip

import (
	"math"

	"github.com/VictoriaMetrics/metrics"

	pb "jayford.example/jayford/api/jayfordv1"
)

// maxPromptRate bounds a gateway's rate of prompt tokens, in tokens a second: a hundred times what
// large fleets have in all. A higher one in a datagram is impossible.
const maxPromptRate = 100e6

var malformed = metrics.NewCounter("jayford_gossip_malformed_total")

// possible reports whether the values of a datagram can be true.
func possible(n *pb.News) bool { return n.PromptRate <= maxPromptRate }

// encodePromptRate returns a rate for a datagram.
func encodePromptRate(perSecond float64) uint32 {
	return uint32(math.Round(min(max(perSecond, 0), maxPromptRate)))
}

// PromptRate returns the rate of prompt tokens of the listed peers that have reported theirs, how
// many these are, and how many peers are listed.
func (e *Exchange) PromptRate() (perSecond float64, reported, listed int) {
	e.mu.RLock()
	defer e.mu.RUnlock()
	for a := range e.known {
		if p := e.table.peers[a]; p != nil && p.reported {
			perSecond += p.promptRate
			reported++
		}
	}
	return perSecond, reported, len(e.known)
}
