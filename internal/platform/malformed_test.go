package platform

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"jayford.example/jayford/internal/standin/broken"
)

// assertNoReply checks that a read whose answer is no response has failed, and that the outcome of a
// write is unknown.
func assertNoReply(t *testing.T, answer string) {
	t.Helper()
	t.Parallel()
	s := broken.Serve(t, answer)
	h := NewHTTP(s.Address(), 10*time.Second)
	began := time.Now()
	_, err := h.Get(t.Context(), "k", "n")
	assert.ErrorIs(t, err, ErrUnavailable)
	_, err = h.Put(t.Context(), Object{Kind: "k", Name: "n"})
	assert.ErrorIs(t, err, ErrOutcomeUnknown)
	assert.Assert(t, time.Since(began) < time.Second)
	assert.Equal(t, s.Requests.Load(), int32(2))
}

// Guards against a status that no response has being taken for a successful read or write: the HTTP
// library reads 000 as 200.
func TestMalformedStatusLinesOfThePlatform(t *testing.T) {
	for _, line := range broken.StatusLines {
		t.Run(line, func(t *testing.T) { assertNoReply(t, broken.WithStatusLine(line)) })
	}
}

// Guards against a reply whose head has a line that is no header field.
func TestMalformedFieldLinesOfThePlatform(t *testing.T) {
	for _, line := range broken.FieldLines {
		t.Run(line, func(t *testing.T) { assertNoReply(t, broken.WithFieldLine(line)) })
	}
}

// Guards against a response without one clear length being taken for one.
func TestMalformedFramingsOfThePlatform(t *testing.T) {
	for _, answer := range broken.Framings {
		t.Run(answer, func(t *testing.T) { assertNoReply(t, answer) })
	}
}
