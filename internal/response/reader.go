package response

import (
	"bufio"
	"bytes"
	"errors"
	"io"
)

const (
	// bufferSize suffices for most heads; the buffer grows up to maxHeadBytes for others.
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
// final response stays unread, in the buffer as a whole; an interim response is dropped. The error
// is ErrMalformed, or that of the source: io.EOF only before the first byte.
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
			r.resize(maxHeadBytes)
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
		r.resize(bufferSize)
	}
}

// resize replaces the buffer.
func (r *Reader) resize(size int) {
	held, _ := r.Peek(r.Buffered())
	r.Reader = bufio.NewReaderSize(io.MultiReader(bytes.NewReader(bytes.Clone(held)), r.src), size)
}
