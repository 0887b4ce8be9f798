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

// lateRequest delays everything that a client sends on one connection from its first
// request on, until it is released. The handshake before it passes.
type lateRequest struct {
	mu sync.Mutex
	// All below is guarded by mu. skip is the number of bytes left of the preface or
	// frame.
	skip   int
	header []byte
	found  bool
	let    bool
	kept   []byte
}

func newLateRequest() *lateRequest { return &lateRequest{skip: http2Preface} }

// write forwards b to to, except for what is delayed.
func (r *lateRequest) write(to net.Conn, b []byte) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.let {
		_, err := to.Write(b)
		return err
	}
	at := r.request(b)
	r.kept = append(r.kept, b[at:]...)
	_, err := to.Write(b[:at])
	return err
}

// request returns the offset in b at which the first request begins, or len(b).
func (r *lateRequest) request(b []byte) int {
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

func (r *lateRequest) isHeld() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.kept) > 0
}

// letGo delivers the delayed bytes, and forwards all that follow.
func (r *lateRequest) letGo(to net.Conn) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.let = true
	_, err := to.Write(r.kept)
	return err
}

// holdRequests delays the requests on connections that are opened until passRequests
// is called. Those already delayed stay so.
func (l *link) holdRequests() { l.setHold(true) }
func (l *link) passRequests() { l.setHold(false) }

func (l *link) setHold(hold bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.hold = hold
}

// held returns the connections with a delayed request.
func (l *link) held() []*linkConn {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []*linkConn
	for c := range l.conns {
		if c.late != nil && c.late.isHeld() {
			out = append(out, c)
		}
	}
	return out
}
