package agent

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	pb "jayford.example/jayford/api/jayfordv1"
	"jayford.example/jayford/internal/standin/broken"
)

// Guards against a part of a body being taken for all of it, as the service answered before it had
// read the request and reset the connection while that was still being written.
func TestEarlyAnswerThatIsReset(t *testing.T) {
	for _, size := range []int{1, 100 << 10, 1 << 20, 16 << 20} {
		for _, delay := range []time.Duration{0, time.Millisecond, 20 * time.Millisecond, 100 * time.Millisecond} {
			t.Run(fmt.Sprint(size, " ", delay), func(t *testing.T) {
				t.Parallel()
				b := launchService(t, broken.ServeEarly(t, "a part", delay))
				for n := range 4 {
					r, err := b.client.Call(t.Context(), &pb.CallRequest{
						Attempt: attempt(fmt.Sprint(n)), Method: "POST", Uri: "/", Body: make([]byte, size), DeadlineMs: 5000,
					})
					assert.NilError(t, err)
					assert.Equal(t, r.GetRefusal().GetVerdict(), pb.Verdict_VERDICT_MAY_HAVE_RUN)
					assert.Equal(t, r.GetRefusal().GetReason(), pb.Reason_REASON_SERVER_LOST, "%q counts as complete", r.GetBody())
				}
			})
		}
	}
}
