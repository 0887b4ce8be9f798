package platform

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"path"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"jayford.example/jayford/internal/standin/broken"
)

// Guards against an answer that comes a second time, late, being taken for that of the next call on
// the connection: an object, or all of a kind, would be another's.
func TestRepeatedReplyIsNotTheNextCalls(t *testing.T) {
	l := broken.Listen(t, func(c net.Conn) {
		r := bufio.NewReader(c)
		for {
			q, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			body := fmt.Sprintf(`{"kind":"k","name":%q,"version":1}`, path.Base(q.URL.Path))
			answer := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
			_, _ = io.WriteString(c, answer)
			time.Sleep(20 * time.Millisecond)
			_, _ = io.WriteString(c, answer)
		}
	})
	h := NewHTTP(l.Addr().String(), time.Second)
	for _, name := range []string{"a", "b", "c", "d"} {
		o, err := h.Get(t.Context(), "k", name)
		assert.NilError(t, err)
		assert.Equal(t, o.Name, name)
		time.Sleep(50 * time.Millisecond)
	}
	for _, name := range []string{"e", "e"} {
		_, err := h.Put(t.Context(), Object{Kind: "k", Name: name})
		assert.NilError(t, err)
		time.Sleep(50 * time.Millisecond)
	}
}
