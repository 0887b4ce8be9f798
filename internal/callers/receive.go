package callers

import (
	"errors"
	"io"
	"sync"

	"github.com/valyala/fasthttp"

	"jayford.example/jayford/internal/memory"
)

// ErrBusy is the error of a request for which those that are being served leave no memory.
var ErrBusy = errors.New("callers: no memory for another request")

// IsShortage reports whether a request has to end for lack of memory, through no fault of its own.
func IsShortage(err error) bool {
	return errors.Is(err, ErrBusy) || errors.Is(err, memory.ErrEvicted) || errors.Is(err, memory.ErrFull)
}

// Request is a request that has arrived completely.
type Request struct {
	Body []byte

	mu   sync.Mutex
	pool *memory.Serving
	// All below is guarded by mu: what the request takes, the part of it for its parsed head, and
	// whether the request has ended.
	charged, cost int64
	released      bool
}

// Receive reads the body of the request that a handler has got, up to a size. The request must be
// released when it has ended.
func Receive(ctx *fasthttp.RequestCtx, most int) (*Request, error) {
	c, ok := ctx.Conn().(*Conn)
	if !ok || c.server == nil {
		return nil, errNoConn
	}
	in := &c.incoming
	body, err := in.receive(ctx, c, most)
	if err != nil {
		return nil, err
	}
	r := &Request{Body: body, pool: c.server.serving, charged: in.claim.Bytes(), cost: in.cost + in.framing}
	if !r.pool.Take(r.charged) {
		refusedRequests.Inc()
		return nil, ErrBusy
	}
	in.closeClaim()
	c.evicted.Store(false)
	return r, nil
}

// receive reads the body of a request.
func (in *incoming) receive(ctx *fasthttp.RequestCtx, c *Conn, most int) ([]byte, error) {
	claim := in.open(c)
	if in.worker == 0 {
		in.worker = c.server.large.worker
		if err := claim.Grow(in.worker); err != nil {
			return nil, err
		}
	}
	return readBody(ctx, in, most)
}

// Refuse makes the connection end with the answer to a request that couldn't be received, and drops
// what has come of it. err is the error of Receive or of the HTTP library; Refuse returns its cause.
func Refuse(ctx *fasthttp.RequestCtx, err error) error {
	ctx.Response.SetConnectionClose()
	c, ok := ctx.Conn().(*Conn)
	if !ok {
		return err
	}
	c.Linger.Store(true)
	if c.server == nil {
		return err
	}
	dropHead(ctx, c.incoming.cost+c.incoming.framing)
	c.incoming.abandon()
	if failed := c.incoming.failed; failed != nil {
		return failed
	}
	return err
}

// dropHead frees the parsed form of a head that was costly. The library would keep it for other
// requests.
func dropHead(ctx *fasthttp.RequestCtx, cost int64) bool {
	if cost < heavyCost {
		return false
	}
	ctx.Request.Header = fasthttp.RequestHeader{}
	return true
}

// Decoded frees the head of a request that was decoded. What is kept of it takes half of the cost at
// most.
func (r *Request) Decoded(ctx *fasthttp.RequestCtx) {
	if !dropHead(ctx, r.cost) {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.giveLocked(r.cost / 2)
}

// Charge charges n more bytes, and reports whether they were free and the request hasn't ended.
func (r *Request) Charge(n int64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.released {
		return false
	}
	if !r.pool.Take(n) {
		refusedRequests.Inc()
		return false
	}
	r.charged += n
	return true
}

// Release ends the request. It may be called more than once.
func (r *Request) Release() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.released = true
	r.giveLocked(r.charged)
}

func (r *Request) giveLocked(n int64) {
	n = min(n, r.charged)
	r.charged -= n
	r.pool.Return(n)
}

const (
	// firstBody is the size of the first buffer for a body, bodyGrowth the factor by which a full
	// one grows.
	firstBody  = 4 << 10
	bodyGrowth = 4
)

// readBody reads the body into a buffer that grows as it arrives.
func readBody(ctx *fasthttp.RequestCtx, in *incoming, most int) ([]byte, error) {
	length := ctx.Request.Header.ContentLength()
	if length > most {
		return nil, fasthttp.ErrBodyTooLarge
	}
	in.beginBody(max(-1, length))
	stream := ctx.RequestBodyStream()
	if stream == nil || length == 0 || length < -1 {
		in.bodyLeft = 0
		return nil, nil
	}
	// One byte more tells a body that is too large.
	last := most + 1
	if length > 0 {
		last = length
	}
	var body []byte
	for len(body) < last {
		var n int
		var err error
		if len(body) < cap(body) {
			n, err = stream.Read(body[len(body):cap(body)])
			body = body[:len(body)+n]
		} else {
			body, err = growBody(in, stream, body, last)
		}
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return nil, err
		}
		in.progressed()
	}
	switch {
	case len(body) > most:
		return nil, fasthttp.ErrBodyTooLarge
	case len(body) < length:
		// The library reports the end of the connection as that of the body.
		return nil, io.ErrUnexpectedEOF
	}
	return body, nil
}

// growBody reads on into a larger buffer, unless a full one holds all of the body.
func growBody(in *incoming, stream io.Reader, body []byte, last int) ([]byte, error) {
	var next [512]byte
	n, err := stream.Read(next[:min(len(next), last-len(body))])
	if n == 0 {
		return body, err
	}
	in.progressed()
	grown := min(max(bodyGrowth*cap(body), firstBody), last)
	if grownErr := in.claim.Grow(int64(grown)); grownErr != nil {
		return nil, grownErr
	}
	larger := append(make([]byte, 0, grown), body...)
	in.claim.Shrink(int64(cap(body)))
	return append(larger, next[:n]...), err
}
