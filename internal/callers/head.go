package callers

import (
	"bytes"
	"errors"
	"strconv"
	"sync"
)

// Errors of requests whose heads don't reach the HTTP library.
var (
	// ErrLargeHead: the head has no end within the bound.
	ErrLargeHead = errors.New("callers: the head is too large")
	// ErrEmptyLines: there are too many empty lines before a request.
	ErrEmptyLines = errors.New("callers: too many empty lines before the request")
)

const (
	// headBuffer is the size of the first buffer for a head, which is enough for most.
	headBuffer = 4 << 10
	// maxEmptyLines bounds the empty lines before a request. Some clients send one.
	maxEmptyLines = 16
)

// Estimates of what a head costs while it is parsed and decoded, in bytes: copies of each of its
// bytes, the parsed forms of a line, and that of an element of a list. A line of a trailer isn't
// decoded.
const (
	headByteCopies  = 4
	headLineCost    = 160
	headCommaCost   = 24
	trailerLineCost = 120
)

// minLine is the length of the shortest line with a name, "a:\n".
const minLine = 3

// Beginnings of header lines that are looked for. What they say decides only when and with
// which buffers the HTTP library gets the request.
var (
	transferEncoding = []byte("transfer-encoding")
	contentLength    = []byte("content-length:")
	expect           = []byte("expect:")
)

func hasPrefixFold(text, prefix []byte) bool {
	return len(text) >= len(prefix) && bytes.EqualFold(text[:len(prefix)], prefix)
}

// head is the head of a request as it arrives. Each byte is looked at once, however many there are
// in a piece. What is found serves to bound what the HTTP library gets; it parses the head itself.
type head struct {
	// buf has n bytes that have arrived. The head is those from start, behind leading empty lines, to
	// end, which is 0 until the head has arrived.
	buf           []byte
	n, start, end int
	// line is where the line begins that is arriving, scanned how far the search for its end has come.
	line, scanned int
	lines, empty  int
	// isChunked: the body seems to come in chunks. expects: its caller seems to wait for a first answer
	// before the body, whose announced length seems to be bodyLength.
	isChunked, expects bool
	bodyLength         int
}

var headBuffers = sync.Pool{New: func() any { return new([headBuffer]byte) }}

// begin gives the head its first buffer.
func (h *head) begin() {
	b, ok := headBuffers.Get().(*[headBuffer]byte)
	if !ok {
		b = new([headBuffer]byte)
	}
	*h = head{buf: b[:]}
}

// release returns the buffer. What it holds must not be used afterwards.
func (h *head) release() {
	if cap(h.buf) == headBuffer {
		headBuffers.Put((*[headBuffer]byte)(h.buf[:headBuffer]))
	}
	*h = head{}
}

// restart makes the head begin with bytes that may be in its buffer.
func (h *head) restart(begin []byte) {
	n := copy(h.buf, begin)
	*h = head{buf: h.buf, n: n}
}

// grow doubles the buffer, up to a size.
func (h *head) grow(most int) {
	larger := make([]byte, min(2*len(h.buf), most))
	copy(larger, h.buf[:h.n])
	if cap(h.buf) == headBuffer {
		headBuffers.Put((*[headBuffer]byte)(h.buf[:headBuffer]))
	}
	h.buf = larger
}

// scan looks for the end of the head in what has arrived since the last call.
func (h *head) scan() error {
	for h.end == 0 {
		i := bytes.IndexByte(h.buf[h.scanned:h.n], '\n')
		if i < 0 {
			h.scanned = h.n
			return nil
		}
		next := h.scanned + i + 1
		text := bytes.TrimSuffix(h.buf[h.line:next-1], []byte{'\r'})
		h.line, h.scanned = next, next
		switch {
		case len(text) > 0:
			h.lines++
			h.note(text)
		case h.lines > 0:
			h.end = next
		case h.empty >= maxEmptyLines:
			return ErrEmptyLines
		default:
			h.empty++
			h.start = next
		}
	}
	return nil
}

// note looks at a line of the head.
func (h *head) note(text []byte) {
	switch {
	case hasPrefixFold(text, transferEncoding):
		h.isChunked = true
	case hasPrefixFold(text, expect):
		h.expects = true
	case hasPrefixFold(text, contentLength):
		n, err := strconv.Atoi(string(bytes.TrimSpace(text[len(contentLength):])))
		if err == nil && n > 0 {
			h.bodyLength = n
		}
	}
}

// hasSmallBody reports whether the body will have room behind the head, and will come by itself.
func (h *head) hasSmallBody() bool {
	return !h.isChunked && !h.expects && h.bodyLength > 0 && h.bodyLength <= len(h.buf)-h.end
}

// bytes returns the head that has arrived, rest what came behind it.
func (h *head) bytes() []byte { return h.buf[h.start:h.end] }
func (h *head) rest() []byte  { return h.buf[h.end:h.n] }

// cost estimates what the head will cost besides its buffer.
func (h *head) cost() int64 {
	b := h.bytes()
	return int64(headByteCopies*len(b) + headLineCost*h.lines + headCommaCost*bytes.Count(b, []byte{','}))
}
