package gossip

import (
	"math"
	"net"
	"net/netip"
	"slices"
	"time"

	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"

	pb "jayford.example/jayford/api/jayfordv1"
)

// sendUpdate sends the engines whose load has changed, or all of them if full is set.
func (e *Exchange) sendUpdate(conn *net.UDPConn, to []string, full bool) {
	n := e.buildUpdate(e.opts.OwnLoad(), full)
	if len(to) == 0 || len(n.Engines)+len(n.Losses)+len(n.Proofs)+len(n.Doubts)+len(n.StageChanges)+len(n.Trials) == 0 && !full {
		return
	}
	text, err := proto.Marshal(n)
	if err != nil || len(text) > maxDatagramBytes {
		e.opts.Log.WithError(err).WithField("bytes", len(text)).Warn("gossip: cannot encode update, or it exceeds the datagram size.")
		return
	}
	for _, peer := range to {
		e.sendTo(conn, peer, text)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.recipients.recordSent(len(text), len(to))
}

// sendTo sends one datagram.
func (e *Exchange) sendTo(conn *net.UDPConn, peer string, text []byte) {
	a, err := netip.ParseAddrPort(peer)
	if err == nil {
		_, err = conn.WriteToUDPAddrPort(text, a)
	}
	if err != nil {
		e.opts.Log.WithError(err).WithField("peer", peer).Debug("gossip: send failed.")
		return
	}
	sent.Inc()
	sentBytes.Add(len(text))
}

// maxEngineBytes bounds the engines in a datagram; the other fields and the losses take
// the rest.
const maxEngineBytes = 960

// fitDatagram returns the longest prefix of the list that fits into a number of bytes.
func fitDatagram(list []*pb.EngineLoad, left int) []*pb.EngineLoad {
	for i, l := range list {
		left -= protowire.SizeTag(1) + protowire.SizeBytes(proto.Size(l))
		if left < 0 {
			return list[:i]
		}
	}
	return list
}

// buildUpdate returns the next update to send. If it is too large, the engines with the
// fewest tokens are left out.
func (e *Exchange) buildUpdate(own map[string]Load, full bool) *pb.News {
	now := make(map[uint64]uint64, len(own))
	e.sequence++
	toAll := !e.sendsToSubset()
	n := &pb.News{Start: e.incarnation, Sequence: e.sequence, Whole: full, ToAll: toAll}
	if full && e.opts.Demand != nil {
		n.Demand = uint32(math.Round(e.opts.Demand() * demandUnit))
	}
	if full && e.opts.OwnPromptRate != nil {
		n.PromptRate = encodePromptRate(e.opts.OwnPromptRate())
	}
	if full && e.opts.PlatformReachableFor != nil {
		n.PlatformMs = uint32(min(e.opts.PlatformReachableFor().Milliseconds(), math.MaxUint32))
	}
	for engine, load := range own {
		key := ServerKey(engine)
		now[key] = load.Revision
		if full || e.lastRevisions[key] != load.Revision {
			n.Engines = append(n.Engines, encode(key, load.Need, toAll))
		}
	}
	for engine := range e.lastRevisions {
		if _, ok := now[engine]; !ok && !full {
			n.Engines = append(n.Engines, &pb.EngineLoad{Engine: engine})
		}
	}
	slices.SortFunc(n.Engines, func(a, b *pb.EngineLoad) int { return int(b.Tokens) - int(a.Tokens) })
	n.Losses, n.Proofs = e.evidence(full, time.Now())
	n.Doubts, n.StageChanges = e.nextDoubts(time.Now()), e.nextStageChanges(time.Now())
	n.Trials = e.nextTrials(time.Now())
	extra := proto.Size(&pb.News{Losses: n.Losses, Proofs: n.Proofs, Doubts: n.Doubts, StageChanges: n.StageChanges, Trials: n.Trials}) - maxEvidenceBytes
	n.Engines = fitDatagram(n.Engines, maxEngineBytes-max(0, extra))
	if full {
		e.addSpeeds(n)
	} else {
		e.lastRevisions = now
	}
	return n
}
