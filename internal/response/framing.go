package response

import (
	"bytes"
	"strconv"
)

// framing is what a head says of the length of its body.
type framing struct {
	// length is the Content-Length.
	length    int64
	hasLength bool
	isChunked bool
}

var (
	contentLength    = []byte("Content-Length")
	transferEncoding = []byte("Transfer-Encoding")
	chunked          = []byte("chunked")
)

// add takes in the next field of the head.
func (f *framing) add(name, value []byte) error {
	switch {
	case bytes.EqualFold(name, contentLength):
		return f.addLength(value)
	case bytes.EqualFold(name, transferEncoding):
		if f.isChunked || !bytes.EqualFold(value, chunked) {
			return Malformed("a transfer encoding other than chunked")
		}
		f.isChunked = true
	}
	return nil
}

func (f *framing) addLength(value []byte) error {
	// ParseUint accepts no sign.
	n, err := strconv.ParseUint(string(value), 10, 63)
	if err != nil {
		return Malformed("an invalid length")
	}
	if f.hasLength && f.length != int64(n) {
		return Malformed("two lengths")
	}
	f.length, f.hasLength = int64(n), true
	return nil
}

// check checks the framing of a whole head.
func (f *framing) check(h *head) error {
	switch {
	case f.isChunked && h.isHTTP10:
		// Clients would take the chunks' sizes for a part of the body.
		return Malformed("chunks in HTTP/1.0")
	case h.isInterim() && (f.isChunked || f.length > 0):
		return Malformed("an interim response with a body")
	}
	return nil
}
