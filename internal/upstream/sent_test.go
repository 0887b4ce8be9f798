package upstream

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	// sentRounds is how many requests are sent over the connections of one case.
	sentRounds = 40
	// settleTime is how long a server may take to read what has reached its socket.
	settleTime = 200 * time.Millisecond
)

// readRequests has the ids of the requests that servers have read, whole or in part.
type readRequests struct {
	mu sync.Mutex
	// ids is guarded by mu.
	ids map[string]bool
}

func (x *readRequests) add(id string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.ids[id] = true
}

func (x *readRequests) has(id string) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.ids[id]
}

// reset ends a connection with a TCP reset.
func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

// answerWithID reads the rest of a request and answers it.
func answerWithID(c net.Conn, q *http.Request) bool {
	_, readErr := io.Copy(io.Discard, q.Body)
	_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Id: %s\r\nContent-Length: 0\r\n\r\n", q.Header.Get("X-Id"))
	return readErr == nil && err == nil
}

// faultyConnections are what servers do to their connections, with each request whose head they have
// read. They report whether the connection is to be served on.
var faultyConnections = map[string]func(c net.Conn, q *http.Request) bool{
	"reset before the body":  func(c net.Conn, _ *http.Request) bool { reset(c); return false },
	"closed before the body": func(net.Conn, *http.Request) bool { return false },
	"reset within the body": func(c net.Conn, q *http.Request) bool {
		_, _ = io.CopyN(io.Discard, q.Body, 1<<10)
		reset(c)
		return false
	},
	"reset after the body": func(c net.Conn, q *http.Request) bool {
		_, _ = io.Copy(io.Discard, q.Body)
		reset(c)
		return false
	},
	"closed after the body": func(_ net.Conn, q *http.Request) bool {
		_, _ = io.Copy(io.Discard, q.Body)
		return false
	},
	"reset behind the answer": func(c net.Conn, q *http.Request) bool {
		if answerWithID(c, q) {
			time.AfterFunc(rand.N(time.Millisecond), func() { reset(c) })
		}
		return true
	},
	"closed behind the answer": func(c net.Conn, q *http.Request) bool {
		if answerWithID(c, q) {
			time.AfterFunc(rand.N(time.Millisecond), func() { _ = c.Close() })
		}
		return true
	},
	"answered": answerWithID,
}

// Guards against a request that counts as not sent, and goes out again, though its server has read it:
// the connection was reset or closed before, while or after it was written, or its context ended.
func TestRequestThatItsServerHasReadCountsAsSent(t *testing.T) {
	for name, fault := range faultyConnections {
		for _, size := range []int{1, 100 << 10, 1 << 20} {
			for _, isCancelled := range []bool{false, true} {
				t.Run(fmt.Sprint(name, " ", size, " ", isCancelled), func(t *testing.T) {
					t.Parallel()
					checkSent(t, fault, size, isCancelled)
				})
			}
		}
	}
}

func checkSent(t *testing.T, fault func(net.Conn, *http.Request) bool, size int, isCancelled bool) {
	read := &readRequests{ids: map[string]bool{}}
	addr := serve(t, func(_ int, c net.Conn) {
		for r := bufio.NewReader(c); ; {
			q, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			read.add(q.Header.Get("X-Id"))
			if !fault(c, q) {
				return
			}
		}
	})
	p := newPool()
	var unsent []string
	for n := range sentRounds {
		ctx, cancel := t.Context(), func() {}
		if isCancelled {
			ctx, cancel = context.WithTimeout(t.Context(), rand.N(time.Millisecond))
		}
		r := request(fmt.Sprint(n))
		r.Body = make([]byte, size)
		resp, err := p.Do(ctx, addr, r)
		if err == nil {
			resp.Discard()
		}
		var e *Error
		if errors.As(err, &e) && !e.Sent {
			unsent = append(unsent, r.ID)
		}
		cancel()
	}
	time.Sleep(settleTime)
	t.Logf("%d of %d requests count as not sent", len(unsent), sentRounds)
	for _, id := range unsent {
		assert.Check(t, !read.has(id), "request %s was read", id)
	}
}

// Guards against a response that is taken for that of another request with the same id, sent at the
// same time or later, as a caller uses the id again and the server sends responses twice.
func TestRequestsThatShareAnIDGetTheirOwnResponses(t *testing.T) {
	const callers, rounds = 8, 40
	addr := serve(t, func(_ int, c net.Conn) {
		last := ""
		for r := bufio.NewReader(c); ; {
			q, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			body, _ := io.ReadAll(q.Body)
			own := fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Id: %s\r\nContent-Length: %d\r\n\r\n%s", q.Header.Get("X-Id"), len(body), body)
			if _, err := io.WriteString(c, last); err != nil {
				return
			}
			if _, err := io.WriteString(c, own); err != nil {
				return
			}
			last = own
		}
	})
	p := newPool()
	var all sync.WaitGroup
	for caller := range callers {
		all.Go(func() {
			for n := range rounds {
				r := request(fmt.Sprint("shared-", n%3))
				want := fmt.Sprint(caller, "-", n)
				r.Body = []byte(want)
				resp, err := p.Do(t.Context(), addr, r)
				assert.Check(t, err)
				if err != nil {
					return
				}
				got, err := io.ReadAll(resp.Body)
				assert.Check(t, err)
				assert.Check(t, string(got) == want, "%s got %q", want, got)
				_ = resp.Body.Close()
			}
		})
	}
	all.Wait()
}
