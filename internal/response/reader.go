package response

import (
	"bufio"
	"bytes"
	"errors"
	"io"
)

const (
	// bufferSize is the size of the buffer; for a larger head it grows up to maxHeadBytes.
	bufferSize = 4 << 10
	// maxHeadBytes bounds a head, and also the interim responses before a final one.
	maxHeadBytes = 64 << 10
)

// Reader reads the responses of one connection.
type Reader struct {
	*bufio.Reader
	src io.Reader
	// interim has the bytes of the interim responses since the last final one.
	interim int
}

// NewReader returns a reader of the responses in src.
func NewReader(src io.Reader) *Reader {
	return &Reader{Reader: bufio.NewReaderSize(src, bufferSize), src: src}
}

// NextHead checks the head of the next response, which must begin with the next byte. That of a
// final response stays unread, with lines that end with CRLF; an interim response is dropped. The
// error is ErrMalformed, or that of the source: io.EOF only before the first byte.
func (r *Reader) NextHead() (isInterim bool, err error) {
	var h head
	size := 0
	for end := false; !end; {
		line, err := r.peekLine(size)
		if err != nil {
			return false, err
		}
		size += len(line)
		if end, err = h.add(line); err != nil {
			return false, err
		}
	}
	if !h.isInterim() {
		r.interim = 0
		if h.hasBareLF {
			r.endLinesWithCRLF(size)
		}
		return false, nil
	}
	if r.interim += size; r.interim > maxHeadBytes {
		return false, Malformed("too many interim responses")
	}
	_, err = r.Discard(size)
	return true, err
}

// peekLine returns the line at an offset of the buffer with its end. It doesn't read it.
func (r *Reader) peekLine(offset int) ([]byte, error) {
	for seen := offset; ; {
		if n := r.Buffered(); n > seen {
			b, _ := r.Peek(n)
			if i := bytes.IndexByte(b[seen:], '\n'); i >= 0 {
				return b[offset : seen+i+1], nil
			}
			if offset == 0 && !mayBeginResponse(b) {
				return nil, Malformed("not HTTP/1")
			}
			seen = n
		}
		_, err := r.Peek(seen + 1)
		switch {
		case err == nil:
		case errors.Is(err, bufio.ErrBufferFull):
			if r.Size() >= maxHeadBytes {
				return nil, Malformed("the head is too large")
			}
			r.replaceBuffer(maxHeadBytes, r.held())
		case errors.Is(err, io.EOF) && seen > 0:
			return nil, io.ErrUnexpectedEOF
		default:
			return nil, err
		}
	}
}

// Trim gives back the memory that a large head took, if the buffer is empty.
func (r *Reader) Trim() {
	if r.Buffered() == 0 && r.Size() > bufferSize {
		r.replaceBuffer(bufferSize, nil)
	}
}

// endLinesWithCRLF changes the line ends of the head in the first size bytes, as not all HTTP
// libraries read others.
func (r *Reader) endLinesWithCRLF(size int) {
	held := r.held()
	var head []byte
	for line := range bytes.Lines(held[:size]) {
		head = append(append(head, trimLineEnd(line)...), '\r', '\n')
	}
	r.replaceBuffer(r.Size(), append(head, held[size:]...))
}

// held returns a copy of what is in the buffer.
func (r *Reader) held() []byte {
	b, _ := r.Peek(r.Buffered())
	return bytes.Clone(b)
}

// replaceBuffer replaces the buffer by one of a size. What it held is to be read as held.
func (r *Reader) replaceBuffer(size int, held []byte) {
	r.src = io.MultiReader(bytes.NewReader(held), r.src)
	r.Reader = bufio.NewReaderSize(r.src, size)
}
