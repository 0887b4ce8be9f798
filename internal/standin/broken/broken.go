// Package broken has stand-ins of faulty servers, and the responses that they send. To show that a
// client takes no more for malformed than it should, there are legal ones too.
package broken

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/poll"

	"jayford.example/jayford/internal/standin/faultnet"
)

// IDHeader is the header whose value in a request replaces ID in the response.
const (
	IDHeader = "X-Id"
	ID       = "{id}"
)

// body is JSON, so that it would be taken by every reader.
const body = "{}"

// StatusLines are first lines that no response has.
var StatusLines = []string{
	"HTTP/1.1 000 OK", "HTTP/1.1 001 OK", "HTTP/1.1 099 OK", "HTTP/1.1 101 Switching Protocols",
	"HTTP/1.1 600 Odd", "HTTP/1.1 999 Odd", "HTTP/1.1 20 OK", "HTTP/1.1 2000 OK", "HTTP/1.1 +20 OK", "HTTP/1.1 -20 OK", "HTTP/1.1 2x0 OK", "HTTP/1.1 \u0662\u0660\u0660 OK",
	"HTTP/1.1 200\tOK", "HTTP/1.1\t200 OK", "HTTP/1.1  200 OK", "HTTP/1.1 ", "HTTP/1.1", "HTTP/1.1 200 O\x00K", "HTTP/1.1 200 O\rK",
	"HTTP/0.9 200 OK", "HTTP/2.0 200 OK", "HTTP/9.9 200 OK", "HTTP/1.10 200 OK", "HTTP/1. 200 OK", "http/1.1 200 OK", "HTTPS/1.1 200 OK", "ICY 200 OK", " HTTP/1.1 200 OK", "\r\nHTTP/1.1 200 OK", "200 OK", "{}", "\x00",
}

// WithStatusLine returns bytes that would be a whole response but for their first line.
func WithStatusLine(line string) string {
	return line + "\r\n" + IDHeader + ": " + ID + "\r\nContent-Type: application/json\r\nContent-Length: 2\r\n\r\n" + body
}

// FieldLines are lines that no head has.
var FieldLines = []string{
	"X A: b", "X-A : b", "X-A\t: b", "X\tA: b", " X-A: b", "\tX-A: b", "X-\x01A: b", "X-\x00A: b", "X-\x7fA: b", "X-\xffA: b", "X-\u00c4: b", "X(A): b", "X/A: b", "X-A\rX-B: b",
	": b", ":", "X-A", "X-A b", "Content Length: 1", "Content-Length : 1", " Content-Length: 1", "Transfer-Encoding : chunked", "Content-Encoding : gzip",
	"X-A: \x00", "X-A: b\x01", "X-A: b\x7f", "X-A: b\rX-B: c", "X-A: b\r", "X-A: b\r\n c", "X-A: b\r\n\tc",
}

// WithFieldLine returns bytes that would be a whole response but for a line of its head.
func WithFieldLine(line string) string { return WithStatusLine("HTTP/1.1 200 OK\r\n" + line) }

// framed returns a response whose head has lines that say how long its body is.
func framed(version, lines, body string) string {
	return "HTTP/" + version + " 200 OK\r\n" + IDHeader + ": " + ID + "\r\nContent-Type: application/json\r\n" + lines + "\r\n\r\n" + body
}

// chunked is the body in chunks.
const chunked = "2\r\n" + body + "\r\n0\r\n\r\n"

// Framings are responses whose heads contradict themselves on how long the body is, or don't say it
// in a way that every client reads alike.
var Framings = []string{
	framed("1.1", "Content-Length: +2", body), framed("1.1", "Content-Length: -2", body), framed("1.1", "Content-Length: 0x2", body),
	framed("1.1", "Content-Length:", body), framed("1.1", "Content-Length: 2.0", body), framed("1.1", "Content-Length: 2 2", body), framed("1.1", "Content-Length: 2, 3", body),
	framed("1.1", "Content-Length: 1\r\nContent-Length: 2", body), framed("1.1", "Content-Length: 2\r\nContent-Length: 1", body),
	framed("1.1", "Content-Length: 18446744073709551618", body), framed("1.1", "Content-Length: 99999999999999999999999999", body),
	framed("1.1", "Transfer-Encoding: gzip", chunked), framed("1.1", "Transfer-Encoding: identity", body), framed("1.1", "Transfer-Encoding:", body), framed("1.1", "Transfer-Encoding: chunked, chunked", chunked),
	framed("1.1", "Transfer-Encoding: gzip, chunked", chunked), framed("1.1", "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked", chunked), framed("1.1", "Transfer-Encoding: xchunked", chunked),
	framed("1.0", "Transfer-Encoding: chunked", chunked), framed("1.0", "Transfer-Encoding: chunked\r\nContent-Length: 12", chunked),
	"HTTP/1.1 103 Early Hints\r\nContent-Length: 2\r\n\r\n" + body, "HTTP/1.1 199 Odd\r\n" + IDHeader + ": " + ID + "\r\nContent-Length: 2\r\n\r\n" + body,
	"HTTP/1.1 100 Continue\r\nTransfer-Encoding: chunked\r\n\r\n" + chunked, "HTTP/1.1 100 Continue\r\n\r\n" + body,
}

// Response is a legal response.
type Response struct {
	Answer string
	// Status and Body are what the answer says.
	Status int
	Body   string
}

// Legal are unusual responses.
var Legal = []Response{
	{"HTTP/1.1 100 Continue\r\n\r\n" + framed("1.1", "Content-Length: 2", body), http.StatusOK, body},
	{"HTTP/1.1 100 Continue\r\nContent-Length: 0\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </a>\r\n" + IDHeader + ": " + ID + "\r\n\r\n" + framed("1.1", "Content-Length: 2", body), http.StatusOK, body},
	{strings.Repeat("HTTP/1.1 102 Processing\r\n\r\n", 9) + framed("1.1", "Content-Length: 2", body), http.StatusOK, body},
	{framed("1.1", "Transfer-Encoding: chunked", "2;name=value;other\r\n"+body+"\r\n0;last\r\n\r\n"), http.StatusOK, body},
	{framed("1.1", "Transfer-Encoding: chunked\r\nTrailer: X-Sum", "1\r\n{\r\n01\r\n}\r\n0\r\nX-Sum: 2\r\nX-Other: 3\r\n\r\n"), http.StatusOK, body},
	{framed("1.1", "transfer-encoding: Chunked", chunked), http.StatusOK, body},
	{framed("1.0", "Content-Length: 2", body), http.StatusOK, body},
	{strings.ReplaceAll(framed("1.1", "content-length:2", ""), "\r\n", "\n") + body, http.StatusOK, body},
	{framed("1.1", "X-Empty:\r\nX-Blanks: \t a  b \t\r\n!#$%&'*+-.^_`|~: 1\r\nX-Latin: \xe4\r\nContent-Length: 2", body), http.StatusOK, body},
	{framed("1.1", "X-Long: "+strings.Repeat("l", 3000)+"\r\nContent-Length: 2", body), http.StatusOK, body},
	{"HTTP/1.1 204\r\n" + IDHeader + ": " + ID + "\r\n\r\n", http.StatusNoContent, ""},
	{"HTTP/1.1 204 No Content\r\n" + IDHeader + ": " + ID + "\r\nContent-Length: 0\r\n\r\n", http.StatusNoContent, ""},
	{"HTTP/1.1 304 Not Modified\r\n" + IDHeader + ": " + ID + "\r\nContent-Length: 2\r\n\r\n", http.StatusNotModified, ""},
	{"HTTP/1.1 599 Odd\r\n" + IDHeader + ": " + ID + "\r\nContent-Length: 2\r\n\r\n" + body, 599, body},
}

// Server gives every request the same answer and leaves the connection open.
type Server struct {
	net.Listener
	// Requests counts the requests that were read, Open the connections that its clients
	// haven't closed.
	Requests, Open atomic.Int32
}

// Serve starts a server on loopback that ends with the test.
func Serve(t testing.TB, answer string) *Server {
	t.Helper()
	s := &Server{}
	s.Listener = Listen(t, func(c net.Conn) {
		s.Open.Add(1)
		defer s.Open.Add(-1)
		s.serve(c, answer)
	})
	return s
}

// Listen starts a server on loopback that ends with the test. It calls serve with each connection,
// which it closes afterwards.
func Listen(t testing.TB, serve func(net.Conn)) net.Listener {
	t.Helper()
	tcp, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l := faultnet.New(tcp)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				serve(c)
			}()
		}
	}()
	return l
}

func (s *Server) serve(c net.Conn, answer string) {
	r := bufio.NewReader(c)
	for {
		q, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, q.Body)
		s.Requests.Add(1)
		if _, err := io.WriteString(c, strings.ReplaceAll(answer, ID, q.Header.Get(IDHeader))); err != nil {
			return
		}
	}
}

// IsClosed is a check for poll.WaitOn that the server's clients have closed all connections.
func (s *Server) IsClosed(poll.LogT) poll.Result {
	if n := s.Open.Load(); n > 0 {
		return poll.Continue("%d connections are open", n)
	}
	return poll.Success()
}

// Address returns the server's "ip:port".
func (s *Server) Address() string { return s.Listener.Addr().String() }

// ServeEarly starts a server on loopback that answers a request before it has read its body, with a
// response whose body ends with its connection, and resets the connection after a delay.
func ServeEarly(t testing.TB, part string, delay time.Duration) net.Listener {
	t.Helper()
	return Listen(t, func(c net.Conn) {
		defer faultnet.Reset(c)
		q, err := http.ReadRequest(bufio.NewReader(c))
		if err != nil {
			return
		}
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n"+IDHeader+": "+q.Header.Get(IDHeader)+"\r\n\r\n"+part)
		time.Sleep(delay)
	})
}
