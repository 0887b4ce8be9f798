package entry

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"jayford.example/jayford/internal/policy/blame"
	"jayford.example/jayford/internal/verdict"
)

const crashingFingerprint = 7

// crashingCall runs an idempotent call at three agents, and returns the number of tries.
// Some of their servers are lost under each try.
func crashingCall(t *testing.T, crashing int) (e *Entry, calls int32, err *verdict.Error) {
	t.Helper()
	agents := make([]*fakeAgent, 3)
	addresses := map[string]string{}
	for i, id := range []string{"a", "b", "c"} {
		agents[i] = &fakeAgent{}
		l := listen(t)
		agents[i].serve(t, l)
		addresses[id] = l.Addr().String()
	}
	for i := range crashing {
		agents[i].crashes.Store(100)
	}
	e, p := serviceEntry(addresses)
	r := &request{
		id: e.nextID(), organisation: "o", method: http.MethodGet, uri: "/face", idempotent: true,
		fingerprint: crashingFingerprint, deadline: time.Now().Add(10 * time.Second),
	}
	_, err = newServiceCall(e, r, destination{targets: p}).run(t.Context())
	for _, a := range agents {
		calls += a.calls.Load()
	}
	return e, calls, err
}

// Guards against a call that is sent to a third server after two have ended while each ran
// it alone.
func TestConvictedCallIsNotTriedAgain(t *testing.T) {
	_, calls, err := crashingCall(t, 3)
	assert.Equal(t, err.Code, verdict.Crashes)
	assert.Equal(t, err.Verdict, verdict.MayHaveRun)
	assert.Equal(t, calls, int32(2))
}

// Guards against a call that stays suspect after it has succeeded: it would run alone for
// minutes, and the next server lost under it would convict it.
func TestSuccessfulCallIsCleared(t *testing.T) {
	for {
		e, calls, err := crashingCall(t, 1)
		assert.Assert(t, err == nil, "%v", err)
		if calls > 1 {
			assert.Equal(t, e.blameState(crashingFingerprint), blame.Clean)
			return
		}
	}
}
