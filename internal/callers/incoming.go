package callers

import (
	"bytes"
	"errors"
	"io"
	"time"

	"jayford.example/jayford/internal/memory"
)

// incoming is the request that is read from a connection.
type incoming struct {
	head head
	// unread is what has arrived and read hasn't returned: the head, then what came behind it.
	unread []byte
	phase  phase
	// err is what read returns in place of a head that hasn't arrived, failed the last error of a later
	// read. The HTTP library hides some of them in its own.
	err, failed error
	// claim is the memory of the request until it has arrived; nil if there is none.
	claim *memory.Claim
	// cost is what the parsed head takes, worker what the HTTP library's buffers and stacks do. Both
	// are part of the claim.
	cost, worker int64
	// framing is charged for lines that may belong to a trailer. It is part of the claim.
	framing int64
	// passed is how much read has returned after the head. bodyLeft is how much of the body it may
	// still return, -1 if its length isn't known.
	passed, bodyLeft int
	// reads counts the reads since the last progress, pending their bytes. tail has the last of these.
	reads, pending int
	tail           [2]byte
	// isLater: the connection has had a request before.
	isLater bool
}

// errAmbiguousHead: the HTTP library takes another place for the end of the head.
var errAmbiguousHead = errors.New("callers: the head has no clear end")

// phase is what read returns next.
type phase int

const (
	// phaseNext: a further request, whose beginning the HTTP library has in its buffer.
	phaseNext phase = iota
	// phaseHead: a head that has arrived.
	phaseHead
	// phasePrefetch: the bytes behind the head that the library reads before it calls the handler.
	phasePrefetch
	// phaseBody: the body, for the handler.
	phaseBody
)

const (
	// maxEarlyReads bounds the reads between a head and the call of the handler.
	maxEarlyReads = 8
	// collectAfter is after how many reads without progress what arrives is collected. After each
	// read the library parses anew what it has of a head or a trailer.
	collectAfter = 8
	// heavyCost is the cost of a head from which on its parsed form isn't kept for other requests.
	heavyCost = 16 << 10
)

// read returns the next bytes of the request.
func (in *incoming) read(c *Conn, p []byte) (int, error) {
	switch {
	case in.err != nil:
		return 0, in.err
	case in.phase == phaseHead:
		n := copy(p, in.unread)
		if in.unread = in.unread[n:]; len(in.unread) == 0 {
			in.phase, in.unread = phasePrefetch, in.head.rest()
		}
		return n, nil
	}
	in.reads++
	switch in.phase {
	case phasePrefetch:
		if p = p[:min(len(p), 1)]; in.reads > maxEarlyReads {
			return 0, errAmbiguousHead
		}
	case phaseBody:
		if in.bodyLeft >= 0 {
			p = p[:min(len(p), in.bodyLeft)]
		}
		if len(p) == 0 {
			return 0, io.ErrUnexpectedEOF
		}
	case phaseNext, phaseHead:
	}
	n, err := in.readRest(c, p)
	if err != nil && !errors.Is(err, io.EOF) {
		in.failed = err
	}
	in.passed += n
	if in.bodyLeft > 0 {
		in.bodyLeft -= n
	}
	return n, err
}

// readRest returns what came behind the head, or else what the socket has.
func (in *incoming) readRest(c *Conn, p []byte) (n int, err error) {
	hasLines := in.phase == phaseNext || in.phase == phaseBody && in.bodyLeft < 0
	switch {
	case len(in.unread) > 0:
		n = copy(p, in.unread)
		in.unread = in.unread[n:]
	case hasLines && in.reads > collectAfter:
		n, err = in.collect(c, p)
	default:
		in.releaseHead()
		n, err = c.receive(p)
	}
	if hasLines {
		if err := in.chargeLines(c, p[:n]); err != nil {
			return 0, err
		}
	}
	in.pending += n
	in.keepTail(p[:n])
	return n, err
}

// releaseHead returns the buffer of the head.
func (in *incoming) releaseHead() {
	if size := len(in.head.buf); size > 0 && in.claim != nil {
		in.claim.Shrink(int64(size))
	}
	in.head.release()
}

// collect reads as much again as has come since the last progress, or to an empty line, which ends a
// head, a trailer and so a chunked body.
func (in *incoming) collect(c *Conn, p []byte) (n int, err error) {
	p = p[:min(len(p), max(in.pending, 1))]
	for ended := false; n < len(p) && !ended && err == nil; {
		var more int
		more, err = c.receive(p[n:])
		ended = in.endsLines(p[:n], p[n:n+more])
		n += more
	}
	if n > 0 && !errors.Is(err, memory.ErrEvicted) {
		return n, nil
	}
	return 0, err
}

// endsLines reports whether there is an empty line whose end is in the bytes that have come after
// before, which in turn came after the tail.
func (in *incoming) endsLines(before, more []byte) bool {
	last := in.tail
	for _, b := range before[max(0, len(before)-len(last)):] {
		last[0], last[1] = last[1], b
	}
	border := append(last[:len(last):len(last)], more[:min(len(more), len(last))]...)
	return isEmptyLineIn(border) || isEmptyLineIn(more)
}

func isEmptyLineIn(p []byte) bool {
	return bytes.Contains(p, []byte("\n\r\n")) || bytes.Contains(p, []byte("\n\n"))
}

func (in *incoming) keepTail(p []byte) {
	for _, b := range p[max(0, len(p)-len(in.tail)):] {
		in.tail[0], in.tail[1] = in.tail[1], b
	}
}

// chargeLines charges for lines that may belong to a head or a trailer. No more of them can be parsed
// than the library's buffer holds.
func (in *incoming) chargeLines(c *Conn, p []byte) error {
	most := int64(c.server.opts.MaxHeaderBytes/minLine) * trailerLineCost
	n := min(int64(bytes.Count(p, []byte{'\n'}))*trailerLineCost, most-in.framing)
	if err := in.open(c).Grow(n); err != nil {
		return err
	}
	in.framing += n
	return nil
}

// progressed returns what was charged for lines that turned out to be part of the body.
func (in *incoming) progressed() {
	in.reads, in.pending = 0, 0
	if in.framing > 0 {
		in.claim.Shrink(in.framing)
		in.framing = 0
	}
}

// open returns the request's claim.
func (in *incoming) open(c *Conn) *memory.Claim {
	if in.claim == nil {
		c.evicted.Store(false)
		in.claim = c.server.arriving.Open(c.evict)
		c.claim.Store(in.claim)
	}
	return in.claim
}

// await waits for a request and reads its head. It returns false if the connection has ended before
// a request began.
func (in *incoming) await(c *Conn) bool {
	first := c.server.opts.HeaderTimeout
	if in.isLater {
		if first = c.configuredIdleTimeout(); first == 0 {
			first = c.server.opts.IdleTimeout
		}
	}
	_ = c.TCPConn.SetReadDeadline(time.Now().Add(first))
	if len(in.unread) > 0 {
		in.head.restart(in.unread)
		in.unread = nil
	} else if c.readFirst(&in.head) != nil {
		return false
	}
	c.Idle.Store(false)
	in.open(c)
	if in.isLater {
		_ = c.SetReadDeadline(time.Now().Add(c.server.opts.HeaderTimeout))
	}
	if in.err = in.readHead(c); in.err != nil {
		in.abandon()
		return true
	}
	in.unread, in.phase = in.head.bytes(), phaseHead
	return true
}

// readHead reads until the head is complete, and charges it.
func (in *incoming) readHead(c *Conn) error {
	h := &in.head
	if err := in.claim.Grow(int64(len(h.buf))); err != nil {
		return err
	}
	for {
		if err := h.scan(); err != nil {
			return err
		}
		if h.end > 0 {
			break
		}
		if h.n == len(h.buf) {
			if err := in.growHead(c.server.opts.MaxHeaderBytes); err != nil {
				return err
			}
		}
		n, err := c.receive(h.buf[h.n:])
		if err != nil {
			return err
		}
		h.n += n
	}
	if err := in.readSmallBody(c); err != nil {
		return err
	}
	in.cost, in.worker = h.cost(), c.server.queueFor(h).worker
	return in.claim.Grow(in.cost + in.worker)
}

// readSmallBody waits for a body that has room behind its head. Until then the request needs no more
// than that buffer.
func (in *incoming) readSmallBody(c *Conn) error {
	h := &in.head
	if !h.hasSmallBody() {
		return nil
	}
	if h.n < h.end+h.bodyLength {
		_ = c.SetReadDeadline(time.Now().Add(c.server.opts.BodyTimeout))
	}
	for h.n < h.end+h.bodyLength {
		n, err := c.receive(h.buf[h.n:])
		h.n += n
		if errors.Is(err, io.EOF) {
			// The handler finds that the body is cut off.
			return nil
		}
		if err != nil {
			return err
		}
	}
	return nil
}

func (in *incoming) growHead(most int) error {
	size := len(in.head.buf)
	if size >= most {
		return ErrLargeHead
	}
	if err := in.claim.Grow(int64(min(2*size, most))); err != nil {
		return err
	}
	in.head.grow(most)
	in.claim.Shrink(int64(size))
	return nil
}

// beginBody makes read return the body, whose length is -1 if it isn't known.
func (in *incoming) beginBody(length int) {
	in.reads, in.pending, in.bodyLeft = 0, 0, length
	switch {
	case in.phase == phaseNext:
		// How much of the body the library already has isn't known.
		in.bodyLeft = -1
	case length > 0:
		in.bodyLeft = max(0, length-in.passed)
	}
	in.phase = phaseBody
}

// abandon drops what has arrived of the request.
func (in *incoming) abandon() {
	in.unread = nil
	in.head.release()
	in.closeClaim()
}

func (in *incoming) closeClaim() {
	if in.claim != nil {
		in.claim.Close()
		in.claim = nil
	}
}

// end ends the request. What came behind it is kept for the next one.
func (in *incoming) end() {
	in.closeClaim()
	*in = incoming{head: in.head, unread: in.unread, isLater: true}
	if len(in.unread) == 0 {
		in.head.release()
	}
}
