package engine

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"jayford.example/jayford/internal/standin/broken"
)

// assertLost checks that a call and a stream whose answer is no response fail at once, as ones that
// may have run.
func assertLost(t *testing.T, answer string) {
	t.Helper()
	t.Parallel()
	s := broken.Serve(t, answer)
	h := NewHTTP(s.Address())
	began := time.Now()
	assert.ErrorIs(t, h.Order(t.Context(), Order{}), ErrLost)
	assert.ErrorIs(t, h.Decode(t.Context(), DecodeRequest{}, func(Event) error { return nil }), ErrLost)
	assert.Assert(t, time.Since(began) < time.Second)
	assert.Equal(t, s.Requests.Load(), int32(2))
	poll.WaitOn(t, s.IsClosed, poll.WithTimeout(time.Second), poll.WithDelay(time.Millisecond))
}

// Guards against a status that no response has being taken for success: the HTTP library reads 000
// as 200.
func TestMalformedStatusLinesOfAnEngine(t *testing.T) {
	for _, line := range broken.StatusLines {
		t.Run(line, func(t *testing.T) { assertLost(t, broken.WithStatusLine(line)) })
	}
}

// Guards against an answer whose head has a line that is no header field.
func TestMalformedFieldLinesOfAnEngine(t *testing.T) {
	for _, line := range broken.FieldLines {
		t.Run(line, func(t *testing.T) { assertLost(t, broken.WithFieldLine(line)) })
	}
}

// Guards against a response without one clear length being taken for one.
func TestMalformedFramingsOfAnEngine(t *testing.T) {
	for _, answer := range broken.Framings {
		t.Run(answer, func(t *testing.T) { assertLost(t, answer) })
	}
}

// Guards against checks that turn away what an engine may send.
func TestLegalResponsesOfAnEngineAreWhole(t *testing.T) {
	for _, x := range broken.Legal {
		if x.Status == http.StatusOK {
			_, err := NewHTTP(broken.Serve(t, x.Answer).Address()).Load(t.Context())
			assert.NilError(t, err, "%q", x.Answer)
		}
	}
}
