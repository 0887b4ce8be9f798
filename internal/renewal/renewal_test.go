package renewal

import (
	"testing"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	pb "jayford.example/jayford/api/jayfordv1"
)

// transmit encodes a message and decodes it into empty, as on the wire.
func transmit[M proto.Message](t *rapid.T, m, empty M) M {
	text, err := proto.Marshal(m)
	assert.NilError(t, err)
	assert.NilError(t, proto.Unmarshal(text, empty))
	return empty
}

func genLoad(t *rapid.T) *pb.Load {
	return &pb.Load{
		Slots: 20, Used: rapid.Uint32Range(0, 2).Draw(t, "used"), Down: rapid.Bool().Draw(t, "down"),
		TokenUs:           rapid.Uint32Range(0, 100).Draw(t, "token"),
		EngineIncarnation: rapid.Uint64Range(0, 2).Draw(t, "engine"),
	}
}

// If the agent lists attempts that its entry has dropped, it keeps work that
// nobody needs; if it lacks any, it cancels live work. Both ends must agree
// after each frame, whatever the entry added and dropped.
func TestBothEndsAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s, r := NewSender("e#1"), NewReceiver()
		live := make(map[Attempt]struct{})
		for i := range rapid.IntRange(1, 20).Draw(t, "frames") {
			for range rapid.IntRange(0, 5).Draw(t, "changes") {
				a := Attempt{rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "request"), rapid.Uint32Range(1, 2).Draw(t, "number")}
				if _, ok := live[a]; ok {
					delete(live, a)
				} else {
					live[a] = struct{}{}
				}
			}
			assert.NilError(t, r.HandleFrame(transmit(t, s.Frame(uint64(i+1), live), &pb.RenewFrame{})))
			assert.Equal(t, r.Entry(), "e#1")
			got := make(map[Attempt]struct{})
			for _, a := range r.Listed() {
				got[a] = struct{}{}
			}
			assert.DeepEqual(t, got, live)

			sent := genLoad(t)
			load, incarnation := s.HandleAck(transmit(t, r.Ack(7, sent), &pb.RenewAck{}))
			assert.Equal(t, incarnation, uint64(7))
			assert.Assert(t, !differs(load.GetTokenUs(), sent.GetTokenUs()))
			sent.TokenUs = load.GetTokenUs()
			assert.Assert(t, proto.Equal(load, sent), "%v is not %v", load, sent)
		}
	})
}

func TestFramesThatDontFollow(t *testing.T) {
	for name, frames := range map[string][]*pb.RenewFrame{
		"no entry":      {{}},
		"another entry": {{Entry: "e#1"}, {Entry: "e#2"}},
		"unknown":       {{Entry: "e#1"}, {Dropped: []uint32{3}}},
		"twice":         {{Entry: "e#1", Added: []*pb.NumberedAttempt{{Id: 1}}}, {Added: []*pb.NumberedAttempt{{Id: 1}}}},
	} {
		t.Run(name, func(t *testing.T) {
			r := NewReceiver()
			var err error
			for _, f := range frames {
				err = r.HandleFrame(f)
			}
			assert.ErrorIs(t, err, ErrInvalidFrame)
		})
	}
}
