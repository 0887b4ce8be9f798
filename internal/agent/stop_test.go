package agent

import (
	"testing"

	"gotest.tools/v3/assert"

	pb "jayford.example/jayford/api/jayfordv1"
)

// The agent stops while a stream runs, and the configuration changes meanwhile:
// it says that no operator drains the server. The agent must go on refusing new
// work, or it is never empty and cuts what runs in the end.
func TestStoppingAgentStaysLeaving(t *testing.T) {
	b := launch(t, Options{Engine: newFakeEngine()}).up(t)
	b.renew(t, "a")
	assert.Assert(t, b.reserve(t, "a", pb.Phase_PHASE_DECODE) == nil)
	b.stop()
	eventually(t, "leaving", func() bool { return b.agent.Load().GetLeaving() })
	b.agent.SetLeaving(false)
	no := b.reserve(t, "b", pb.Phase_PHASE_DECODE)
	assert.Equal(t, no.GetReason(), pb.Reason_REASON_LEAVING)
	assert.Equal(t, no.GetVerdict(), pb.Verdict_VERDICT_NOT_RUN)
	_, err := b.client.Release(t.Context(), &pb.ReleaseRequest{Attempt: attempt("a"), Phase: pb.Phase_PHASE_DECODE})
	assert.NilError(t, err)
}
