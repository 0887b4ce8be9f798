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
	// URI is the path with its query, as the caller sent it.
	URI     string
	Host    string
	Headers []Header
	Body    []byte
	// IDHeader names the header that carries the request's id in both
	// directions; ID is its value. An answer with another id is dropped.
	IDHeader, ID string
	// MaxIdle is the longest rest of a kept connection that may carry the
	// request; 0 stands for any.
	MaxIdle time.Duration
}

// send writes the request. It is written by hand since the path and the
// headers must reach the server as the caller spelt them.
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
	// The writer keeps its first error, so that one look is enough.
	return eris.Wrap(w.Flush(), "write request")
}
