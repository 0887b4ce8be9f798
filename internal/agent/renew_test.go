package agent

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	pb "jayford.example/jayford/api/jayfordv1"
)

// An entry keeps its stream of renewals open between requests. An agent that is
// told to stop must not wait for it: its graceful stop would last until it is
// cut short, and a replacement of many agents with it.
func TestStopDoesNotWaitForRenewals(t *testing.T) {
	b := launch(t, Options{Engine: newFakeEngine()}).up(t)
	s, err := b.client.RenewStream(t.Context())
	assert.NilError(t, err)
	assert.NilError(t, s.Send(&pb.RenewFrame{Entry: "e1#1", Sequence: 1}))
	ack, err := s.Recv()
	assert.NilError(t, err)
	assert.Equal(t, ack.GetIncarnation(), b.agent.Incarnation())
	begin := time.Now()
	b.agent.Stop(t.Context())
	assert.Assert(t, time.Since(begin) < time.Second, "took %v", time.Since(begin))
}

// A frame names an attempt once, and the grant lives by the empty frames after
// it; when these cease, it lapses and its slot is free.
func TestGrantLivesByFrames(t *testing.T) {
	b := launch(t, Options{Engine: newFakeEngine()}).up(t)
	assert.Assert(t, b.reserve(t, "a", pb.Phase_PHASE_DECODE) == nil)
	s, err := b.client.RenewStream(t.Context())
	assert.NilError(t, err)
	f := &pb.RenewFrame{Entry: "e1#1", Added: []*pb.NumberedAttempt{{Id: 1, Request: "a", Number: 1}}}
	lapse := testSettings().LapseAfter.D()
	for begin := time.Now(); time.Since(begin) < 2*lapse; time.Sleep(lapse / 8) {
		f.Sequence++
		assert.NilError(t, s.Send(f))
		_, err := s.Recv()
		assert.NilError(t, err)
		f = &pb.RenewFrame{Sequence: f.GetSequence()}
	}
	assert.Equal(t, b.agent.Load().GetUsed(), uint32(1))
	last := time.Now()
	eventually(t, "the slot is free", func() bool { return b.agent.Load().GetUsed() == 0 })
	assert.Assert(t, time.Since(last) < 2*lapse, "after %v", time.Since(last))
}
