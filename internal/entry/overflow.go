package entry

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"jayford.example/jayford/internal/callers"
	"jayford.example/jayford/internal/verdict"
)

const (
	// overflowRetryAfter is the retry delay for callers over the connection
	// limit.
	overflowRetryAfter = time.Second
	// overflowTimeout bounds the wait for a refused caller's first byte, and
	// separately the wait for its close.
	overflowTimeout = time.Second
	// overflowMaxWaiting bounds the number of refused connections still open.
	overflowMaxWaiting = 1024
	// overflowMaxBytes bounds the bytes read from each of them.
	overflowMaxBytes = 1 << 20
)

// limitListener refuses connections over a limit.
//
// The limit of the HTTP library isn't used because it responds with plain text
// without a verdict and closes the connection at once. The kernel then resets the
// connection when the request arrives, so that the caller can't know that nothing
// ran.
type limitListener struct {
	*callers.Listener
	limit int64
	// open counts the accepted connections that aren't closed.
	open atomic.Int64
	// waiting counts the refused connections that aren't closed.
	waiting atomic.Int64
	refusal *verdict.Error
	answer  []byte
}

func newLimitListener(l *callers.Listener, limit int) *limitListener {
	e := verdict.New(verdict.NotRun, verdict.Overloaded, "This entry has as many connections as it can.").WithRetryAfter(overflowRetryAfter)
	return &limitListener{Listener: l, limit: int64(limit), refusal: e, answer: rawRefusal(e)}
}

// AcceptConn returns the next connection within the limit.
func (l *limitListener) AcceptConn() (*callers.Conn, error) {
	for {
		c, err := l.Listener.AcceptConn()
		if err != nil {
			return nil, err
		}
		if l.open.Add(1) <= l.limit {
			c.OnClose = sync.OnceFunc(func() { l.open.Add(-1) })
			return c, nil
		}
		l.open.Add(-1)
		refusals(l.refusal).Inc()
		l.refuse(c.TCPConn)
	}
}

// refuse responds once the caller has begun to send, since a client that receives
// a response before it sent its request treats the connection as broken and
// retries. It then waits for the caller's close, within bounds, so that no reset
// discards the response.
func (l *limitListener) refuse(c *net.TCPConn) {
	if l.waiting.Add(1) > overflowMaxWaiting {
		l.waiting.Add(-1)
		_ = c.Close()
		return
	}
	go func() {
		defer l.waiting.Add(-1)
		defer func() { _ = c.Close() }()
		if c.SetDeadline(time.Now().Add(overflowTimeout)) != nil {
			return
		}
		var first [1]byte
		if _, err := c.Read(first[:]); err != nil {
			return
		}
		if _, err := c.Write(l.answer); err != nil || c.CloseWrite() != nil {
			return
		}
		if c.SetDeadline(time.Now().Add(overflowTimeout)) == nil {
			_, _ = io.CopyN(io.Discard, c, overflowMaxBytes)
		}
	}()
}

// rawRefusal returns the bytes of a response with the refusal e that closes the
// connection.
func rawRefusal(e *verdict.Error) []byte {
	var r fasthttp.Response
	r.SetConnectionClose()
	setRefusal(&r, "", e)
	var out bytes.Buffer
	w := bufio.NewWriter(&out)
	if r.Write(w) != nil || w.Flush() != nil {
		return nil
	}
	return out.Bytes()
}
