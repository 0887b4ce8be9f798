package agent

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	pb "jayford.example/jayford/api/jayfordv1"
	"jayford.example/jayford/internal/standin/broken"
)

// assertNoAnswer checks that a call fails at once as one that may have run, and isn't repeated.
func assertNoAnswer(t *testing.T, answer string) {
	t.Helper()
	t.Parallel()
	s := broken.Serve(t, answer)
	b := launchService(t, s)
	began := time.Now()
	reply := b.call(t, "a")
	assert.Equal(t, reply.GetStatus(), uint32(0), "taken as a response with the body %q", reply.GetBody())
	assert.Equal(t, reply.GetRefusal().GetReason(), pb.Reason_REASON_SERVER_DOWN)
	assert.Equal(t, reply.GetRefusal().GetVerdict(), pb.Verdict_VERDICT_MAY_HAVE_RUN)
	assert.Assert(t, time.Since(began) < time.Second)
	assert.Equal(t, s.Requests.Load(), int32(1))
	poll.WaitOn(t, s.IsClosed, poll.WithTimeout(time.Second), poll.WithDelay(time.Millisecond))
}

// Guards against a status that no response has reaching a caller, above all 000, which the HTTP
// library reads as 200.
func TestMalformedStatusLinesOfAService(t *testing.T) {
	for _, line := range broken.StatusLines {
		t.Run(line, func(t *testing.T) { assertNoAnswer(t, broken.WithStatusLine(line)) })
	}
}

// Guards against a line that is no header field reaching a caller, or deciding how long the body is.
func TestMalformedFieldLinesOfAService(t *testing.T) {
	for _, line := range broken.FieldLines {
		t.Run(line, func(t *testing.T) { assertNoAnswer(t, broken.WithFieldLine(line)) })
	}
}

// Guards against a response without one clear length reaching a caller with a body that isn't the service's.
func TestMalformedFramingsOfAService(t *testing.T) {
	for _, answer := range broken.Framings {
		t.Run(answer, func(t *testing.T) { assertNoAnswer(t, answer) })
	}
}

// Guards against checks that turn away what a service may send, or change it.
func TestLegalAnswersOfAServiceAreWhole(t *testing.T) {
	for _, x := range broken.Legal {
		t.Run(x.Answer, func(t *testing.T) {
			reply := launchService(t, broken.Serve(t, x.Answer)).call(t, "a")
			assert.Assert(t, reply.GetRefusal() == nil, "%v", reply.GetRefusal())
			assert.Equal(t, reply.GetStatus(), uint32(x.Status))
			assert.Equal(t, string(reply.GetBody()), x.Body)
		})
	}
}
