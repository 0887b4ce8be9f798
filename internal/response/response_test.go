package response

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"jayford.example/jayford/internal/standin/broken"
)

// inPieces returns a reader that returns text in pieces of drawn lengths.
func inPieces(t *rapid.T, text string) io.Reader {
	var pieces []io.Reader
	for len(text) > 0 {
		n := rapid.IntRange(1, len(text)).Draw(t, "piece")
		pieces = append(pieces, strings.NewReader(text[:n]))
		text = text[n:]
	}
	return io.MultiReader(pieces...)
}

// readFinal reads interim heads and returns when a final one is next.
func readFinal(r *Reader) error {
	for {
		isInterim, err := r.NextHead()
		if err != nil || !isInterim {
			return err
		}
	}
}

// Guards against a verdict on a head that depends on how its bytes arrive.
func TestMalformedHeadsInPieces(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var texts []string
		for _, line := range broken.StatusLines {
			texts = append(texts, broken.WithStatusLine(line))
		}
		for _, line := range broken.FieldLines {
			texts = append(texts, broken.WithFieldLine(line))
		}
		texts = append(texts, broken.Framings...)
		text := rapid.SampledFrom(texts).Draw(t, "response")
		assert.ErrorIs(t, readFinal(NewReader(inPieces(t, text))), ErrMalformed)
	})
}

// legalHeads are unusual, and allowed.
var legalHeads = []string{
	"HTTP/1.1 200\r\n\r\n", "HTTP/1.1 200 \r\n\r\n", "HTTP/1.1 200 OK\n\n", "HTTP/1.1 200 OK\nX-A: a\r\nX-B: b\n\r\n", "HTTP/1.1 200 OK\n" + strings.Repeat("A:\n", 1500) + "\n", "HTTP/1.0 200 OK\r\n\r\n",
	"HTTP/1.1 200 a\tb \xff\r\n\r\n", "HTTP/1.1 599 Odd\r\n\r\n", "HTTP/1.1 299 Odd\r\n\r\n", "HTTP/1.1 304 Not Modified\r\n\r\n",
	"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 200 OK\r\n\r\n",
	strings.Repeat("HTTP/1.1 102 Processing\r\n\r\n", 100) + "HTTP/1.1 200 OK\r\n\r\n",
	"HTTP/1.1 200 OK\r\nX-A:\r\nX-B:b\r\nX-C: \t c d \t\r\n!#$%&'*+-.^_`|~09: \xff\r\n\r\n",
	"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n", "HTTP/1.0 200 OK\r\ncontent-length:004 \r\n\r\n", "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nContent-Length: 4\r\n\r\n",
	"HTTP/1.1 200 OK\r\ntransfer-encoding: Chunked\t\r\n\r\n", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nContent-Length: 4\r\n\r\n",
	"HTTP/1.1 100 Continue\r\nContent-Length: 0\r\n\r\nHTTP/1.1 204 None\r\nContent-Length: 0\r\n\r\n",
	"HTTP/1.1 200 OK\r\nX-Long: " + strings.Repeat("l", 60_000) + "\r\n\r\n",
}

// Guards against checks that turn away what a server may send, or change more of it than line ends.
func TestLegalHeadsStayWhole(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		text := rapid.SampledFrom(legalHeads).Draw(t, "head")
		r := NewReader(inPieces(t, text+"body"))
		assert.NilError(t, readFinal(r))
		got, err := io.ReadAll(r)
		assert.NilError(t, err)
		final := text[strings.LastIndex(text, "HTTP/1."):]
		crlf := strings.ReplaceAll(strings.ReplaceAll(final, "\r\n", "\n"), "\n", "\r\n")
		assert.Equal(t, string(got), crlf+"body")
		_, err = http.ReadResponse(bufio.NewReader(bytes.NewReader(got)), nil) //nolint:bodyclose // it has no connection
		assert.NilError(t, err)
	})
}

// Guards against heads and interim responses without end that are kept as long as they come.
func TestHeadsAreBounded(t *testing.T) {
	for _, x := range []struct{ begin, next string }{
		{"HTTP/1.1 200 OK\r\n", "X-A: a\r\n"},
		{"HTTP/1.1 200 OK\r\nX-A: ", "a"},
		{"HTTP/1.1 200 ", "a"},
		{"", "HTTP/1.1 102 Processing\r\n\r\n"},
	} {
		src := &countingReader{r: io.MultiReader(strings.NewReader(x.begin), strings.NewReader(strings.Repeat(x.next, 1<<20)))}
		assert.ErrorIs(t, readFinal(NewReader(src)), ErrMalformed, x.next)
		assert.Assert(t, src.n <= maxHeadBytes+bufferSize, "%d bytes", src.n)
	}
}

type countingReader struct {
	r io.Reader
	n int
}

func (c *countingReader) Read(b []byte) (int, error) {
	n, err := c.r.Read(b)
	c.n += n
	return n, err
}

// Guards against the end of a connection within a head that is taken for one between responses.
func TestConnectionThatEndsWithinAHead(t *testing.T) {
	const text = "HTTP/1.1 200 OK\r\nX-A: a\r\n\r\n"
	for n := range text {
		_, err := NewReader(strings.NewReader(text[:n])).NextHead()
		want := io.ErrUnexpectedEOF
		if n == 0 {
			want = io.EOF
		}
		assert.Assert(t, errors.Is(err, want) && !errors.Is(err, ErrMalformed), "%q: %v", text[:n], err)
	}
}

// Guards against connections that keep the memory of a large head while they are idle.
func TestTrimGivesBackALargeHead(t *testing.T) {
	large := "HTTP/1.1 200 OK\r\nX-A: " + strings.Repeat("a", 2*bufferSize) + "\r\n\r\n"
	r := NewReader(strings.NewReader(large + "HTTP/1.1 204 None\r\n\r\n"))
	assert.NilError(t, readFinal(r))
	r.Trim()
	_, err := r.Discard(len(large))
	assert.NilError(t, err)
	assert.NilError(t, readFinal(r))
	_, err = r.Discard(r.Buffered())
	assert.NilError(t, err)
	r.Trim()
	assert.Equal(t, r.Size(), bufferSize)
}
