package doubt

import (
	"maps"
	"time"
)

// RecordPeer records that a server didn't answer a request of a peer at a time.
//
// A dead server whose packets vanish costs each request to it a time-out, and a process that
// has to find it by itself pays that twice. A peer counts as one missed response, however
// often it reports one: it may itself be the one that is cut off. Two peers, or one and an own
// missed response, are enough, as a wrong doubt costs only a probe and a lower rank meanwhile.
// What a peer missed before the server last answered this process doesn't count.
func (s *Set) RecordPeer(id, peer string, at, now time.Time) {
	x, ok := s.servers[id]
	if !ok || x.state != Trusted || !at.After(x.lastAlive) || now.Sub(at) > s.opts.FailureWindow || at.After(now) {
		return
	}
	maps.DeleteFunc(x.peerDoubts, func(_ string, at time.Time) bool { return now.Sub(at) > s.opts.FailureWindow })
	if now.Sub(x.lastFailure) > s.opts.FailureWindow {
		x.failures, x.missedBeats = 0, 0
	}
	if _, known := x.peerDoubts[peer]; known {
		return
	}
	if x.peerDoubts == nil {
		x.peerDoubts = map[string]time.Time{}
	}
	x.peerDoubts[peer] = at
	s.weigh(x, now)
}
