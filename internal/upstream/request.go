package upstream

import (
	"bufio"
	"net/http"
	"strconv"
	"time"

	"github.com/rotisserie/eris"
)

// Header is one header field.
type Header struct{ Name, Value string }

// Request is one request to a backend server.
type Request struct {
	Method string
	// URI is the path and query as the caller sent them.
	URI     string
	Host    string
	Headers []Header
	Body    []byte
	// ID is the request's id, which Headers have too; "" if it has none.
	ID string
	// Shared lets a request without an id share connections with others. Any copy of a response
	// without an id then passes for its own, so what a wrong one costs must be less than a
	// connection for each request.
	Shared bool
	// MaxIdle is how long a reused connection may have been idle before the
	// request; 0 means any time within the pool's idle timeout.
	MaxIdle time.Duration
	// Trace is set by Pool.Do, also if that fails; nil if it isn't wanted.
	Trace *Trace
}

// Trace says over which connection an exchange went, and what was there that isn't its response.
type Trace struct {
	// Connection numbers the connections of the process, from 1. It is 0 if none was established.
	Connection uint64
	// Use counts the exchanges over the connection, with this one.
	Use int
	// Dropped counts the responses to other requests that were read before its own.
	Dropped int
	// Surplus counts the idle connections that were closed before it, as the server had sent bytes
	// behind its last response there.
	Surplus int
}

// mayShare reports whether other exchanges may come before and after the request on its connection.
func (r *Request) mayShare() bool { return r.ID != "" || r.Shared }

// send writes the request. It doesn't use http.Request.Write, since the path and
// the headers must reach the server exactly as the caller sent them.
func (r *Request) send(w *bufio.Writer) error {
	for _, s := range []string{r.Method, " ", r.URI, " HTTP/1.1\r\nHost: ", r.Host, "\r\n"} {
		_, _ = w.WriteString(s)
	}
	for _, h := range r.Headers {
		for _, s := range []string{h.Name, ": ", h.Value, "\r\n"} {
			_, _ = w.WriteString(s)
		}
	}
	if len(r.Body) > 0 || r.Method != http.MethodGet && r.Method != http.MethodHead {
		_, _ = w.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	_, _ = w.WriteString("\r\n")
	_, _ = w.Write(r.Body)
	// bufio.Writer keeps its first error and returns it from Flush.
	return eris.Wrap(w.Flush(), "write request")
}
