package test

import (
	"net"
	"sync"
)

const (
	// http2Preface is the length of the HTTP/2 client connection preface.
	http2Preface = 24
	// http2Header is the length of a frame header: three bytes of length, the type,
	// the flags and the stream identifier.
	http2Header  = 9
	http2Headers = 1
)

// delayedRequest delays everything that a client sends on one connection from its first
// request on, until it is released. The handshake before it passes.
type delayedRequest struct {
	mu sync.Mutex
	// All below is guarded by mu. skip is the number of bytes left of the preface or
	// frame.
	skip     int
	header   []byte
	found    bool
	released bool
	buffered []byte
}

func newDelayedRequest() *delayedRequest { return &delayedRequest{skip: http2Preface} }

// write forwards b to to, except for what is delayed.
func (r *delayedRequest) write(to net.Conn, b []byte) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.released {
		_, err := to.Write(b)
		return err
	}
	at := r.requestOffset(b)
	r.buffered = append(r.buffered, b[at:]...)
	_, err := to.Write(b[:at])
	return err
}

// requestOffset returns the offset in b at which the first request begins, or len(b).
func (r *delayedRequest) requestOffset(b []byte) int {
	if r.found {
		return 0
	}
	for i, x := range b {
		if r.skip > 0 {
			r.skip--
			continue
		}
		r.header = append(r.header, x)
		if len(r.header) < http2Header {
			continue
		}
		if r.header[3] == http2Headers {
			r.found = true
			return max(0, i+1-http2Header)
		}
		r.skip = int(r.header[0])<<16 | int(r.header[1])<<8 | int(r.header[2])
		r.header = r.header[:0]
	}
	return len(b)
}

func (r *delayedRequest) isDelaying() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.buffered) > 0
}

// release delivers the delayed bytes, and forwards all that follow.
func (r *delayedRequest) release(to net.Conn) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.released = true
	_, err := to.Write(r.buffered)
	return err
}

// delayRequests delays the requests on connections that are opened until passRequests
// is called. Those already delayed stay so.
func (l *link) delayRequests() { l.setDelay(true) }
func (l *link) passRequests()  { l.setDelay(false) }

func (l *link) setDelay(delay bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.delay = delay
}

// delayedConns returns the connections with a delayed request.
func (l *link) delayedConns() []*linkConn {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []*linkConn
	for c := range l.conns {
		if c.delayed != nil && c.delayed.isDelaying() {
			out = append(out, c)
		}
	}
	return out
}
