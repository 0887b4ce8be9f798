package platform

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

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
	poll.WaitOn(t, s.IsClosed, poll.WithTimeout(time.Second), poll.WithDelay(time.Millisecond))
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

// Guards against checks that turn away what the platform may send.
func TestLegalRepliesOfThePlatformAreWhole(t *testing.T) {
	for _, x := range broken.Legal {
		if x.Status == http.StatusOK {
			h := NewHTTP(broken.Serve(t, x.Answer).Address(), time.Second)
			for range 2 {
				_, err := h.Put(t.Context(), Object{Kind: "k", Name: "n"})
				assert.NilError(t, err, "%q", x.Answer)
			}
		}
	}
}

// Guards against a part of a reply counting as all of it, as the platform replied before it had read
// a large object and reset the connection while that was still being written.
func TestEarlyReplyThatIsReset(t *testing.T) {
	for _, delay := range []time.Duration{0, time.Millisecond, 20 * time.Millisecond, 100 * time.Millisecond} {
		for _, size := range []int{1, MaxValueBytes - 2} {
			h := NewHTTP(broken.ServeEarly(t, `{"version":1}`, delay).Addr().String(), 5*time.Second)
			o := Object{Kind: "k", Name: "n", Spec: []byte(`"` + strings.Repeat("a", size) + `"`)}
			for range 8 {
				_, err := h.Put(t.Context(), o)
				assert.ErrorIs(t, err, ErrOutcomeUnknown)
			}
		}
	}
}
