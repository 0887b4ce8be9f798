// Package renewal keeps the two ends of a stream of renewals: what an entry
// still wants at one agent, and what the agent says of its server.
//
// A renewal that names all attempts anew costs some 180 bytes with the headers
// of its call, most of them the same as in the one before. On a stream an
// attempt is named once, and a frame or answer without news is a few bytes.
//
// Guarantees: after each frame, Receiver lists what Sender was given for it,
// and each answer yields the load that was last told. Both hold for one stream
// only; a new stream begins with everything. Neither end has I/O, goroutines or
// a clock, and neither is safe for concurrent use.
package renewal

import (
	"errors"

	"google.golang.org/protobuf/proto"

	pb "jayford.example/jayford/api/jayfordv1"
)

// ErrFrame is for a frame that doesn't fit the ones before it.
var ErrFrame = errors.New("renewal: frame doesn't follow from the stream")

// MaxListed bounds the attempts that one entry may list.
const MaxListed = 4096

// Attempt names one try of one request.
type Attempt struct {
	Request string
	Number  uint32
}

// Sender is an entry's end.
type Sender struct {
	entry string
	ids   map[Attempt]uint32
	last  uint32
	load  *pb.Load
	// incarnation of the agent, once told.
	incarnation uint64
}

// NewSender returns the end of a new stream of entry, "id#incarnation".
func NewSender(entry string) *Sender {
	return &Sender{entry: entry, ids: make(map[Attempt]uint32)}
}

// Frame returns the renewal that lists live and nothing else.
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

// Heard returns what the agent says with an answer, told again or not.
func (s *Sender) Heard(ack *pb.RenewAck) (load *pb.Load, incarnation uint64) {
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

// Receiver is an agent's end.
type Receiver struct {
	entry  string
	listed map[uint32]Attempt
	told   *pb.Load
	begun  bool
}

// NewReceiver returns the end of a new stream.
func NewReceiver() *Receiver { return &Receiver{listed: make(map[uint32]Attempt)} }

// Take takes the next frame. It returns ErrFrame if the frame can't follow; the
// stream is to be ended then.
func (r *Receiver) Take(f *pb.RenewFrame) error {
	if (r.entry == "") == (f.GetEntry() == "") {
		return ErrFrame
	}
	if r.entry == "" {
		r.entry = f.GetEntry()
	}
	for _, id := range f.GetDropped() {
		if _, ok := r.listed[id]; !ok {
			return ErrFrame
		}
		delete(r.listed, id)
	}
	for _, a := range f.GetAdded() {
		if _, ok := r.listed[a.GetId()]; ok || len(r.listed) >= MaxListed {
			return ErrFrame
		}
		r.listed[a.GetId()] = Attempt{a.GetRequest(), a.GetNumber()}
	}
	return nil
}

// Entry returns the stream's entry, "id#incarnation".
func (r *Receiver) Entry() string { return r.entry }

// Listed returns what the entry wants, in no order.
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
	if !r.begun {
		ack.Incarnation = incarnation
		r.begun = true
	}
	if !matters(r.told, load) {
		return ack
	}
	ack.Load = proto.CloneOf(load)
	if r.told.GetEngineIncarnation() == load.GetEngineIncarnation() {
		ack.Load.EngineIncarnation = 0
		ack.SameEngine = true
	}
	r.told = load
	return ack
}

// matters tells whether a load is news after old. The times are moving averages
// that change with each token; an entry ranks servers by them, for which an
// eighth more or less decides nothing. All else is told as it is.
func matters(old, load *pb.Load) bool {
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

// tolerance of a time is one in so many.
const tolerance = 8

func differs(a, b uint32) bool {
	return max(a, b)-min(a, b) > a/tolerance
}
