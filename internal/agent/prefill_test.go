package agent

import (
	"testing"

	"gotest.tools/v3/assert"

	pb "jayford.example/jayford/api/jayfordv1"
	"jayford.example/jayford/internal/engine"
)

// prefillNow requests a slot and the prefill in one message.
func (b *harness) prefillNow(t *testing.T, id string, reserve *pb.ReserveRequest) *pb.PrefillReply {
	t.Helper()
	r, err := b.client.Prefill(t.Context(), &pb.PrefillRequest{Attempt: attempt(id), Prompt: []byte("p"), Reserve: reserve})
	assert.NilError(t, err)
	return r
}

// An entry sends the reservation with the prefill and loses its connection
// before the reply, so it sends the same message again over a new one. It gets
// the first result, and the engine has run the prefill once. After the release,
// a late copy of the message is refused as a duplicate.
func TestPrefillReservesAndRunsOnce(t *testing.T) {
	f := newFakeEngine()
	b := launch(t, Options{Engine: f}).up(t)
	b.renew(t, "a")
	for range 2 {
		r := b.prefillNow(t, "a", &pb.ReserveRequest{})
		assert.Assert(t, r.GetRefusal() == nil)
		assert.Assert(t, r.GetGranted())
		assert.Equal(t, r.GetKv(), "kv-a")
		assert.Equal(t, r.GetIncarnation(), b.agent.Incarnation())
	}
	_, err := b.client.Release(t.Context(), &pb.ReleaseRequest{Attempt: attempt("a"), Phase: pb.Phase_PHASE_PREFILL})
	assert.NilError(t, err)
	late := b.prefillNow(t, "a", &pb.ReserveRequest{})
	assert.Equal(t, late.GetRefusal().GetReason(), pb.Reason_REASON_DUPLICATE)
	assert.Equal(t, late.GetRefusal().GetVerdict(), pb.Verdict_VERDICT_MAY_HAVE_RUN)
	f.with(func() { assert.Equal(t, f.prefills[engine.Attempt{Request: "a", Number: 1}], 1) })
}

// The entry's hint is stale: the server is full, leaving, restarted or has
// convicted the request. The refusal comes at once even if the entry would
// wait, reports that nothing ran and no slot was granted, and the engine gets
// no request.
func TestPrefillRefusedWithItsReservation(t *testing.T) {
	f := newFakeEngine()
	b := launch(t, Options{Engine: f}).up(t)
	b.renew(t, "a", "b")
	assert.Assert(t, b.reserve(t, "a", pb.Phase_PHASE_PREFILL) == nil)
	assert.Assert(t, b.reserve(t, "b", pb.Phase_PHASE_PREFILL) == nil)
	const convicted = 7
	b.agent.Convict([]uint64{convicted})
	check := func(id string, reserve *pb.ReserveRequest, want pb.Reason) {
		t.Helper()
		r := b.prefillNow(t, id, reserve)
		assert.Equal(t, r.GetRefusal().GetReason(), want)
		assert.Equal(t, r.GetRefusal().GetVerdict(), pb.Verdict_VERDICT_NOT_RUN)
		assert.Assert(t, !r.GetGranted())
		assert.Equal(t, r.GetIncarnation(), b.agent.Incarnation())
	}
	check("full", &pb.ReserveRequest{WaitMs: 60_000}, pb.Reason_REASON_FULL)
	check("old", &pb.ReserveRequest{Incarnation: b.agent.Incarnation() + 1}, pb.Reason_REASON_INCARNATION)
	check("crashes", &pb.ReserveRequest{Fingerprint: convicted}, pb.Reason_REASON_CONVICTED)
	b.agent.SetLeaving(true)
	check("late", &pb.ReserveRequest{}, pb.Reason_REASON_LEAVING)
	b.agent.SetLeaving(false)
	f.with(func() { assert.Equal(t, len(f.prefills), 0) })
}
