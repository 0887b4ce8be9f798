package gossip

import (
	"math"
	"time"

	"google.golang.org/protobuf/proto"

	pb "jayford.example/jayford/api/jayfordv1"
	"jayford.example/jayford/internal/policy/speed"
)

const (
	// maxSpeedBytes bounds the engine speeds in a full update. maxRotationSpeedBytes does so where
	// peers take turns, as there a gateway may be near broadcastBytesPerSecond and speeds must not
	// make it leave out peers: they add a tenth of that.
	maxSpeedBytes         = 220
	maxRotationSpeedBytes = 60
	// engineSpeedBytes is the greatest size of an engine's speed in a datagram: a fixed number
	// of 8 bytes, two times of up to 5, two weights of up to 2, their tags and the whole's.
	engineSpeedBytes = 8 + 2*5 + 2*2 + 5 + 2
	// weightUnit is the number of units in which datagrams give the weight of one sample.
	weightUnit = 10
)

// addSpeeds adds as many of this gateway's measurements to a full update as the datagram has room
// for. It must be called when all other fields are set.
func (e *Exchange) addSpeeds(n *pb.News) {
	if e.opts.Speeds == nil {
		return
	}
	e.mu.RLock()
	takeTurns := len(e.known) > fullUpdatesPerSecond
	e.mu.RUnlock()
	room := min(maxDatagramBytes-proto.Size(n), maxSpeedBytes)
	if takeTurns {
		room = min(room, maxRotationSpeedBytes)
	}
	for _, r := range e.opts.Speeds(room / engineSpeedBytes) {
		n.Speeds = append(n.Speeds, encodeSpeed(r))
	}
}

func encodeSpeed(r speed.Report) *pb.EngineSpeed {
	weight := func(v speed.Value) uint32 { return uint32(math.Round(v.Weight * weightUnit)) }
	prefill, output := r.Values[speed.Prefill], r.Values[speed.Output]
	return &pb.EngineSpeed{
		Engine: r.Engine, PrefillNs: uint32(prefill.Pace), PrefillWeight: weight(prefill),
		OutputNs: uint32(output.Pace), OutputWeight: weight(output),
	}
}

func decodeSpeed(s *pb.EngineSpeed) speed.Report {
	r := speed.Report{Engine: s.Engine}
	r.Values[speed.Prefill] = speed.Value{Pace: time.Duration(s.PrefillNs), Weight: float64(s.PrefillWeight) / weightUnit}
	r.Values[speed.Output] = speed.Value{Pace: time.Duration(s.OutputNs), Weight: float64(s.OutputWeight) / weightUnit}
	return r
}

// passOn passes on the speeds in an accepted update, and which engines' load it has changed.
func (e *Exchange) passOn(from string, n *pb.News, engines []uint64) {
	if e.opts.OnLoad != nil && len(engines) > 0 {
		e.opts.OnLoad(engines)
	}
	if e.opts.OnSpeeds == nil || len(n.Speeds) == 0 || !n.Whole {
		return
	}
	reports := make([]speed.Report, len(n.Speeds))
	for i, s := range n.Speeds {
		reports[i] = decodeSpeed(s)
	}
	e.opts.OnSpeeds(from, reports)
}

// touchedEngines returns the engines whose load an update may change; before is the peer's state.
func touchedEngines(n *pb.News, before *peer) []uint64 {
	out := make([]uint64, 0, len(n.Engines))
	for _, l := range n.Engines {
		out = append(out, l.Engine)
	}
	if before != nil && (n.Whole || before.incarnation != n.Start) {
		for engine := range before.needs {
			out = append(out, engine)
		}
	}
	return out
}
