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
	// overflowRetryAfter is told to a caller over the limit of connections.
	overflowRetryAfter = time.Second
	// overflowWait bounds the wait for a refused caller's first byte, and again
	// for its close.
	overflowTimeout = time.Second
	// overflowAtMost bounds the refused callers that are waited for at once.
	overflowMaxWaiting = 1024
	// overflowBytes bounds what is read from each.
	overflowMaxBytes = 1 << 20
)

// limitListener refuses connections over a limit.
//
// The HTTP library has a limit of its own, but its answer is bare text without
// a verdict, and it closes the connection at once: the kernel answers the
// request that then arrives with a reset, so that the caller sees a broken
// connection and can't know that nothing ran.
type limitListener struct {
	*callers.Listener
	limit int64
	// open counts the connections that were let in and aren't closed.
	open atomic.Int64
	// waiting counts the refused callers that are waited for.
	waiting atomic.Int64
	refusal *verdict.Error
	answer  []byte
}

func newLimitListener(l *callers.Listener, limit int) *limitListener {
	e := verdict.New(verdict.NotRun, verdict.Overloaded, "This entry has as many connections as it can.").After(overflowRetryAfter)
	return &limitListener{Listener: l, limit: int64(limit), refusal: e, answer: rawRefusal(e)}
}

// Accept returns the next connection within the limit.
func (l *limitListener) Accept() (net.Conn, error) {
	for {
		c, err := l.AcceptConn()
		if err != nil {
			return nil, err
		}
		if l.open.Add(1) <= l.limit {
			c.Release = sync.OnceFunc(func() { l.open.Add(-1) })
			return c, nil
		}
		l.open.Add(-1)
		refusals(l.refusal).Inc()
		l.refuse(c.TCPConn)
	}
}

// refuse answers once the caller has begun to send: a client that reads an
// answer before it asked takes the connection for broken and asks anew. Then it
// waits for the caller's close, within bounds, so that no reset overtakes the
// answer.
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

// rawRefusal returns the bytes of an answer that refuses by e and closes the
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
