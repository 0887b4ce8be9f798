package agent

import (
	"testing"

	"gotest.tools/v3/assert"

	pb "jayford.example/jayford/api/jayfordv1"
)

// A configuration change during a graceful stop says that the server isn't
// being drained. The agent must keep refusing new work, or it never becomes
// empty and cuts running work in the end.
func TestStoppingAgentStaysLeaving(t *testing.T) {
	b := launch(t, Options{Engine: newFakeEngine()}).up(t)
	b.renew(t, "a")
	assert.Assert(t, b.reserve(t, "a", pb.Phase_PHASE_DECODE) == nil)
	b.stop()
	eventually(t, "leaving", func() bool { return b.agent.Load().GetLeaving() })
	b.agent.SetLeaving(false)
	refusal := b.reserve(t, "b", pb.Phase_PHASE_DECODE)
	assert.Equal(t, refusal.GetReason(), pb.Reason_REASON_LEAVING)
	assert.Equal(t, refusal.GetVerdict(), pb.Verdict_VERDICT_NOT_RUN)
	_, err := b.client.Release(t.Context(), &pb.ReleaseRequest{Attempt: attempt("a"), Phase: pb.Phase_PHASE_DECODE})
	assert.NilError(t, err)
}
