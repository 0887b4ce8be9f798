// Package renewal implements the delta encoding of a renewal stream, on which an
// entry lists its live attempts at one agent, and the agent reports its server's
// load.
//
// A renewal that lists all attempts costs some 180 bytes with the headers of its
// call, most of them the same as in the previous one. On a stream each attempt is
// named once, and a frame or answer without changes is a few bytes.
//
// After each frame, Receiver lists the attempts that Sender was given for it, and
// each answer yields the load that was last sent. This holds within one stream;
// the first messages of a new stream carry the full state. Neither end has I/O,
// goroutines or a clock, and neither is safe for concurrent use.
package renewal

import (
	"errors"

	"google.golang.org/protobuf/proto"

	pb "jayford.example/jayford/api/jayfordv1"
)

// ErrInvalidFrame is returned for a frame that is inconsistent with the earlier
// ones of its stream.
var ErrInvalidFrame = errors.New("renewal: frame doesn't follow from the stream")

// MaxListed bounds the attempts that one entry may list.
const MaxListed = 4096

// Attempt identifies one attempt of a request.
type Attempt struct {
	Request string
	Number  uint32
}

// Sender is the entry's end of a stream.
type Sender struct {
	entry string
	ids   map[Attempt]uint32
	last  uint32
	load  *pb.Load
	// incarnation of the agent, 0 until its first answer.
	incarnation uint64
}

// NewSender returns the entry's end of a new stream; entry is its
// "id#incarnation".
func NewSender(entry string) *Sender {
	return &Sender{entry: entry, ids: make(map[Attempt]uint32)}
}

// Frame returns the next frame, after which exactly the attempts in live are
// listed.
func (s *Sender) Frame(sequence uint64, live map[Attempt]struct{}) *pb.RenewFrame {
	f := &pb.RenewFrame{Sequence: sequence, Entry: s.entry}
	s.entry = ""
	for a, id := range s.ids {
		if _, wanted := live[a]; !wanted {
			f.Dropped = append(f.Dropped, id)
			delete(s.ids, a)
		}
	}
	for a := range live {
		if s.ids[a] == 0 {
			s.last++
			s.ids[a] = s.last
			f.Added = append(f.Added, &pb.NumberedAttempt{Id: s.last, Request: a.Request, Number: a.Number})
		}
	}
	return f
}

// HandleAck handles an answer and returns the agent's load and incarnation. An answer
// contains the load only if it has changed, and the first one the incarnation.
func (s *Sender) HandleAck(ack *pb.RenewAck) (load *pb.Load, incarnation uint64) {
	if ack.GetIncarnation() != 0 {
		s.incarnation = ack.GetIncarnation()
	}
	if l := ack.GetLoad(); l != nil {
		if ack.GetSameEngine() {
			l.EngineIncarnation = s.load.GetEngineIncarnation()
		}
		s.load = l
	}
	return s.load, s.incarnation
}

// Receiver is the agent's end of a stream.
type Receiver struct {
	entry           string
	listed          map[uint32]Attempt
	lastSent        *pb.Load
	incarnationSent bool
}

// NewReceiver returns the agent's end of a new stream.
func NewReceiver() *Receiver { return &Receiver{listed: make(map[uint32]Attempt)} }

// HandleFrame applies the next frame. If it returns ErrInvalidFrame, the caller must
// end the stream.
func (r *Receiver) HandleFrame(f *pb.RenewFrame) error {
	if (r.entry == "") == (f.GetEntry() == "") {
		return ErrInvalidFrame
	}
	if r.entry == "" {
		r.entry = f.GetEntry()
	}
	for _, id := range f.GetDropped() {
		if _, ok := r.listed[id]; !ok {
			return ErrInvalidFrame
		}
		delete(r.listed, id)
	}
	for _, a := range f.GetAdded() {
		if _, ok := r.listed[a.GetId()]; ok || len(r.listed) >= MaxListed {
			return ErrInvalidFrame
		}
		r.listed[a.GetId()] = Attempt{a.GetRequest(), a.GetNumber()}
	}
	return nil
}

// Entry returns the stream's entry, "id#incarnation".
func (r *Receiver) Entry() string { return r.entry }

// Listed returns the attempts that the entry lists, in no particular order.
func (r *Receiver) Listed() []Attempt {
	out := make([]Attempt, 0, len(r.listed))
	for _, a := range r.listed {
		out = append(out, a)
	}
	return out
}

// Ack returns the answer to the last frame.
func (r *Receiver) Ack(incarnation uint64, load *pb.Load) *pb.RenewAck {
	ack := &pb.RenewAck{}
	if !r.incarnationSent {
		ack.Incarnation = incarnation
		r.incarnationSent = true
	}
	if !worthSending(r.lastSent, load) {
		return ack
	}
	ack.Load = proto.CloneOf(load)
	if r.lastSent.GetEngineIncarnation() == load.GetEngineIncarnation() {
		ack.Load.EngineIncarnation = 0
		ack.SameEngine = true
	}
	r.lastSent = load
	return ack
}

// worthSending reports whether load differs enough from old to be sent. The times
// are moving averages that change with each token; entries rank servers by them,
// for which a change by an eighth is insignificant. A change of any other field
// compared here is sent.
func worthSending(old, load *pb.Load) bool {
	if old == nil {
		return true
	}
	return old.GetSlots() != load.GetSlots() ||
		old.GetUsed() != load.GetUsed() ||
		old.GetQueued() != load.GetQueued() ||
		old.GetQueuedTokens() != load.GetQueuedTokens() ||
		old.GetLeaving() != load.GetLeaving() ||
		old.GetDown() != load.GetDown() ||
		old.GetEngineIncarnation() != load.GetEngineIncarnation() ||
		differs(old.GetTokenUs(), load.GetTokenUs()) ||
		differs(old.GetPrefillUs(), load.GetPrefillUs())
}

// toleranceDivisor: a time is sent again when it has changed by more than
// 1/toleranceDivisor.
const toleranceDivisor = 8

func differs(a, b uint32) bool {
	return max(a, b)-min(a, b) > a/toleranceDivisor
}
