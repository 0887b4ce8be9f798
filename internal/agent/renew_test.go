package agent

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	pb "jayford.example/jayford/api/jayfordv1"
)

// Entries keep their renewal streams open between requests. A graceful stop
// must not wait for them until its timeout, which would slow down the
// replacement of many agents.
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

// A frame lists an attempt once, and the empty frames after it keep its grant;
// when they stop, the grant lapses and its slot is freed.
func TestRenewFramesKeepGrant(t *testing.T) {
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
