package callers

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"jayford.example/jayford/internal/memory"
)

const maxTestBody = 4 << 20

// testServer records the requests that reach its handler.
type testServer struct {
	*Server
	address string

	mu sync.Mutex
	// seen is guarded by mu: "ID BODY" of each request.
	seen []string
}

func newTestServer(t testing.TB, limits memory.Limits) *testServer {
	t.Helper()
	tcp, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	assert.NilError(t, err)
	s := &testServer{address: tcp.Addr().String()}
	s.Server = NewServer(ServerOptions{
		HTTP: func() *fasthttp.Server {
			return &fasthttp.Server{Handler: s.handle, ErrorHandler: refuse, ReadTimeout: time.Second, Logger: log.New(io.Discard, "", 0)}
		},
		MaxHeaderBytes: 32 << 10, HeaderTimeout: time.Second, BodyTimeout: time.Second, IdleTimeout: 2 * time.Second, Limits: limits,
	})
	l := &Listener{TCPListener: tcp, WriteTimeout: time.Second}
	go func() { _ = s.Serve(l.AcceptConn) }()
	// The HTTP library counts its two listeners once they are served.
	eventually(t, "the server runs", func() bool { return s.open() == 0 })
	t.Cleanup(func() {
		_ = l.Close()
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_ = s.Shutdown(ctx)
	})
	return s
}

func refuse(ctx *fasthttp.RequestCtx, err error) {
	ctx.SetStatusCode(http.StatusBadRequest)
	if IsShortage(Refuse(ctx, err)) {
		ctx.SetStatusCode(http.StatusServiceUnavailable)
	}
}

func (s *testServer) handle(ctx *fasthttp.RequestCtx) {
	q, err := Receive(ctx, maxTestBody)
	if err != nil {
		refuse(ctx, err)
		return
	}
	defer q.Release()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.seen = append(s.seen, string(ctx.Request.Header.Peek("Id"))+" "+string(q.Body))
	q.Decoded(ctx)
}

// open returns how many connections the HTTP library has.
func (s *testServer) open() int32 {
	return s.small.http.GetOpenConnectionsCount() + s.large.http.GetOpenConnectionsCount()
}

func (s *testServer) dial(t *testing.T) net.Conn {
	t.Helper()
	c, err := net.DialTimeout("tcp", s.address, time.Second)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	return c
}

// eventually waits until f is true.
func eventually(t testing.TB, what string, f func() bool) {
	t.Helper()
	for end := time.Now().Add(3 * time.Second); !f(); time.Sleep(5 * time.Millisecond) {
		assert.Assert(t, time.Now().Before(end), what)
	}
}

// isEmpty reports whether nothing is held for any request.
func (s *testServer) isEmpty() bool {
	u := s.Usage()
	return s.open() == 0 && u.Arriving == 0 && u.Serving == 0
}

// Guards against a head that is parsed anew for each piece that arrives.
func TestHeadIsHandedOverOnceItIsComplete(t *testing.T) {
	s := newTestServer(t, memory.Of(0))
	c := s.dial(t)
	r := bufio.NewReader(c)
	head := "\r\nPOST /x HTTP/1.1\r\nHost: h\r\nId: 1\r\nContent-Length: 2\r\n\r\n"
	for i := range head {
		assert.Equal(t, s.open(), int32(0), "after %q", head[:i])
		_, err := io.WriteString(c, head[i:i+1])
		assert.NilError(t, err)
		if i%10 == 0 {
			time.Sleep(2 * time.Millisecond)
		}
	}
	_, err := io.WriteString(c, "ab")
	assert.NilError(t, err)
	resp, err := http.ReadResponse(r, nil)
	assert.NilError(t, err)
	assert.NilError(t, resp.Body.Close())
	assert.DeepEqual(t, s.seen, []string{"1 ab"})
}

// Guards against buffers and a parsed head that stay with an idle connection.
func TestIdleConnectionHoldsNothing(t *testing.T) {
	s := newTestServer(t, memory.Of(0))
	c := s.dial(t)
	r := bufio.NewReader(c)
	for n := range 3 {
		_, err := fmt.Fprintf(c, "POST /x HTTP/1.1\r\nHost: h\r\n%sId: %d\r\nContent-Length: 1\r\n\r\nx", strings.Repeat("a:\r\n", 3000), n)
		assert.NilError(t, err)
		resp, err := http.ReadResponse(r, nil)
		assert.NilError(t, err)
		assert.NilError(t, resp.Body.Close())
		eventually(t, "the connection is parked", s.isEmpty)
	}
	assert.DeepEqual(t, s.seen, []string{"0 x", "1 x", "2 x"})
}

// Guards against a body that is cut off and counts as whole.
func TestTruncatedBodyIsRefused(t *testing.T) {
	for _, framing := range []string{"Content-Length: 10\r\n\r\nabc", "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n"} {
		s := newTestServer(t, memory.Of(0))
		c := s.dial(t)
		_, err := io.WriteString(c, "POST /x HTTP/1.1\r\nHost: h\r\nId: 1\r\n"+framing)
		assert.NilError(t, err)
		tcp, ok := c.(*net.TCPConn)
		assert.Assert(t, ok)
		assert.NilError(t, tcp.CloseWrite())
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		assert.NilError(t, err)
		assert.NilError(t, resp.Body.Close())
		assert.Equal(t, resp.StatusCode, http.StatusBadRequest)
		assert.Equal(t, len(s.seen), 0)
		eventually(t, "all is released", s.isEmpty)
	}
}

// Guards against a body of legal size that is refused on the smallest machine for what it is made of:
// each line end might be one of a trailer.
func TestBodyOfLineEndsIsServedInCalm(t *testing.T) {
	s := newTestServer(t, memory.Of(memory.MinMachine+8<<20))
	body := strings.Repeat("\n", maxTestBody)
	text := "POST /x HTTP/1.1\r\nHost: h\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n" + chunked(body, 64<<10) + "\r\n"
	c := s.dial(t)
	go func() { _, _ = io.WriteString(c, text) }()
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	assert.NilError(t, err)
	assert.NilError(t, resp.Body.Close())
	assert.Equal(t, resp.StatusCode, http.StatusOK)
	assert.Equal(t, len(s.seen[0]), len("1 ")+len(body))
}

// Guards against requests that never end and keep others out, and against answers to those that give
// way which don't say that they may come again.
func TestUnfinishedRequestsGiveWay(t *testing.T) {
	limits := memory.Of(0)
	limits.Arriving = 1 << 20
	s := newTestServer(t, limits)
	var unfinished []net.Conn
	for n := range 60 {
		c := s.dial(t)
		framing := fmt.Sprintf("Content-Length: 60000\r\n\r\n%s", strings.Repeat("x", 50000))
		if n%2 == 0 {
			framing = "Transfer-Encoding: chunked\r\n\r\n" + strings.TrimSuffix(chunked(strings.Repeat("x", 50000), 100), "\r\n0\r\n")
		}
		_, err := io.WriteString(c, "POST /x HTTP/1.1\r\nHost: h\r\n"+framing)
		assert.NilError(t, err)
		unfinished = append(unfinished, c)
	}
	time.Sleep(50 * time.Millisecond)
	c := s.dial(t)
	_, err := io.WriteString(c, "POST /x HTTP/1.1\r\nHost: h\r\nId: 1\r\nContent-Length: 1\r\n\r\nx")
	assert.NilError(t, err)
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	assert.NilError(t, err)
	assert.NilError(t, resp.Body.Close())
	assert.Equal(t, resp.StatusCode, http.StatusOK)
	answers := 0
	for _, c := range unfinished {
		_ = c.SetReadDeadline(time.Now().Add(10 * time.Millisecond))
		if resp, err := http.ReadResponse(bufio.NewReader(c), nil); err == nil {
			assert.Equal(t, resp.StatusCode, http.StatusServiceUnavailable)
			assert.NilError(t, resp.Body.Close())
			answers++
		}
	}
	assert.Assert(t, answers > 0)
}

// A request as a caller sends it, and as the handler gets it: "" if it may be refused.
type sentRequest struct{ text, want string }

// oddFramings are requests with the id "odd" that must not be taken for two: behind each, and in each,
// is one with the id "inner" in a place where some parser could begin a request.
var oddFramings = []string{
	"Content-Length: 6\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
	"Content-Length: 3\r\nContent-Length: 6\r\n\r\nabc",
	"Content-Length: +3\r\n\r\nabc",
	"Content-Length: 0x3\r\n\r\nabc",
	"Content-Length: 3 \r\nContent-Length: 3\r\n\r\nabc",
	"Content-Length : 3\r\n\r\nabc",
	"Transfer-Encoding : chunked\r\n\r\n0\r\n\r\n",
	"Transfer-Encoding: xchunked\r\n\r\n0\r\n\r\n",
	"Transfer-Encoding: chunked, chunked\r\n\r\n0\r\n\r\n",
	"Transfer-Encoding: identity\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
	"Transfer-Encoding:\tchunked\r\n\r\n10000000000000000\r\nabc\r\n",
	"Transfer-Encoding: chunked\r\n\r\n-1\r\n",
	"Transfer-Encoding: chunked\r\n\r\n3;\nabc\r\n",
	"A: b\r\n Content-Length: 9\r\nContent-Length: x\r\n\r\n",
	"A: \x00\r\n\r\n",
	"A: b\rContent-Length: 90\r\nContent-Length: 1e1\r\n\r\n",
}

const innerRequest = "POST /x HTTP/1.1\r\nHost: h\r\nId: inner\r\nContent-Length: 0\r\n\r\n"

// drawRequests draws requests in a row on one connection. The last may be odd.
func drawRequests(t *rapid.T) []sentRequest {
	var out []sentRequest
	for n := range rapid.IntRange(1, 4).Draw(t, "requests") {
		lines := strings.Repeat(rapid.SampledFrom([]string{"a:\r\n", "B: \t\r\n", "c: d, e,f\r\n"}).Draw(t, "line"), rapid.SampledFrom([]int{0, 1, 50, 1500}).Draw(t, "lines"))
		body := rapid.SampledFrom([]string{"", "x", innerRequest, "\r\n\r\n", strings.Repeat("0\r\n\r\n", 1500), strings.Repeat("ab", 20000)}).Draw(t, "body")
		head := fmt.Sprintf("%sPOST /x HTTP/1.1\r\nHost: h\r\nId: %d\r\n%s", rapid.SampledFrom([]string{"", "\r\n", "\n"}).Draw(t, "before"), n, lines)
		framed := fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body)
		if rapid.Bool().Draw(t, "chunked") {
			framed = "Transfer-Encoding: chunked\r\n\r\n" + chunked(body, rapid.SampledFrom([]int{1, 7, 5000}).Draw(t, "chunk")) +
				rapid.SampledFrom([]string{"\r\n", "T: 1\r\n\r\n", strings.Repeat("t:\r\n", 1000) + "\r\n"}).Draw(t, "trailer")
		}
		out = append(out, sentRequest{head + framed, fmt.Sprint(n, " ", body)})
	}
	if rapid.Bool().Draw(t, "odd") {
		odd := rapid.SampledFrom(oddFramings).Draw(t, "framing")
		out = append(out, sentRequest{text: "POST /x HTTP/1.1\r\nHost: h\r\nId: odd\r\n" + odd + innerRequest})
	}
	return out
}

// chunked returns a body in chunks, with its last chunk and without a trailer.
func chunked(body string, size int) string {
	var b strings.Builder
	for len(body) > 0 {
		n := min(size, len(body))
		fmt.Fprintf(&b, "%x\r\n%s\r\n", n, body[:n])
		body = body[n:]
	}
	return b.String() + "0\r\n"
}

// Guards against two requests out of one, and requests that weren't sent, at the border between the
// head and what follows.
func TestRequestsArriveAsTheyWereSent(t *testing.T) {
	s := newTestServer(t, memory.Of(0))
	rapid.Check(t, func(rt *rapid.T) {
		requests := drawRequests(rt)
		var text, want []string
		for _, r := range requests {
			text = append(text, r.text)
			if r.want != "" {
				want = append(want, r.want)
			}
		}
		s.mu.Lock()
		s.seen = nil
		s.mu.Unlock()
		all := strings.Join(text, "")
		size := rapid.SampledFrom([]int{1 << 20, 9000, 4096, 1000, 100}).Draw(rt, "piece")
		send(rt, s.address, all, size, len(requests))
		s.mu.Lock()
		defer s.mu.Unlock()
		for i, got := range s.seen {
			assert.Assert(rt, !strings.HasPrefix(got, "inner "), "%q", all)
			if strings.HasPrefix(got, "odd ") {
				assert.Equal(rt, i, len(want), "%q", all)
				continue
			}
			assert.Assert(rt, i < len(want) && got == want[i], "request %d of %q: %q", i, all, got)
		}
		assert.Assert(rt, len(s.seen) >= len(want), "%d of %d requests of %q", len(s.seen), len(want), all)
	})
}

// send sends a text in pieces and reads so many answers, or until the connection ends.
func send(t *rapid.T, address, text string, size, answers int) {
	c, err := net.DialTimeout("tcp", address, time.Second)
	assert.NilError(t, err)
	defer c.Close()
	go func() {
		for len(text) > 0 {
			n := min(size, len(text))
			if _, err := io.WriteString(c, text[:n]); err != nil {
				return
			}
			text = text[n:]
		}
	}()
	_ = c.SetReadDeadline(time.Now().Add(3 * time.Second))
	r := bufio.NewReader(c)
	for range answers {
		resp, err := http.ReadResponse(r, nil)
		if err != nil {
			if !errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) {
				t.Logf("answer: %v", err)
			}
			return
		}
		var body bytes.Buffer
		_, _ = body.ReadFrom(resp.Body)
		_ = resp.Body.Close()
	}
}
