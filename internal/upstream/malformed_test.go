package upstream

import (
	"context"
	"errors"
	"io"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"jayford.example/jayford/internal/standin/broken"
)

// atOnce bounds the time until an answer is known to be malformed.
const atOnce = time.Second

// assertMalformed checks that an answer is no response, and that this is known at once although the
// server leaves the connection open, and ends the connection.
func assertMalformed(t *testing.T, answer string) {
	t.Helper()
	t.Parallel()
	s := broken.Serve(t, answer)
	began := time.Now()
	ctx, cancel := context.WithTimeout(t.Context(), 4*atOnce)
	defer cancel()
	resp, err := newPool().Do(ctx, s.Address(), request("1"))
	if err == nil {
		body, err := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		t.Fatalf("taken as a response with the body %q: %v", body, err)
	}
	var e *Error
	assert.Assert(t, errors.Is(err, ErrMalformed) && errors.As(err, &e) && e.Sent, "%v", err)
	assert.Assert(t, time.Since(began) < atOnce)
	poll.WaitOn(t, s.IsClosed, poll.WithTimeout(atOnce), poll.WithDelay(time.Millisecond))
}

// Guards against a status that no response has being passed on, or taken for an interim response so
// that the caller waits for the next one until its deadline.
func TestMalformedStatusLines(t *testing.T) {
	for _, line := range broken.StatusLines {
		t.Run(line, func(t *testing.T) { assertMalformed(t, broken.WithStatusLine(line)) })
	}
}

// Guards against the text of a response in a body being taken for the response.
func TestResponseInTheBodyOfAMalformedOne(t *testing.T) {
	inner := broken.WithStatusLine("HTTP/1.1 200 OK")
	assertMalformed(t, "HTTP/1.1 000 OK\r\n"+broken.IDHeader+": "+broken.ID+"\r\n\r\n"+inner)
}

// Guards against a line that is no header field being passed on as one, or deciding how long the
// body is.
func TestMalformedFieldLines(t *testing.T) {
	for _, line := range broken.FieldLines {
		t.Run(line, func(t *testing.T) { assertMalformed(t, broken.WithFieldLine(line)) })
	}
}

// Guards against a response without one clear length being passed on with a body that isn't the server's.
func TestMalformedFramings(t *testing.T) {
	for _, answer := range broken.Framings {
		t.Run(answer, func(t *testing.T) { assertMalformed(t, answer) })
	}
}

// Guards against checks that turn away what a server may send, or change it.
func TestLegalResponsesAreWhole(t *testing.T) {
	for _, x := range broken.Legal {
		t.Run(x.Answer, func(t *testing.T) {
			resp, err := newPool().Do(t.Context(), broken.Serve(t, x.Answer).Address(), request("1"))
			assert.NilError(t, err)
			defer resp.Body.Close()
			body, err := io.ReadAll(resp.Body)
			assert.NilError(t, err)
			assert.Equal(t, resp.Status, x.Status)
			assert.Equal(t, string(body), x.Body)
		})
	}
}
