package upstream

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a connection that carries a request's id again: a copy of the first response, however
// late, would be taken for that to the second exchange.
func TestConnectionCarriesAnIDOnce(t *testing.T) {
	var mu sync.Mutex
	ids := map[int][]string{}
	addr := serve(t, func(n int, c net.Conn) {
		r := bufio.NewReader(c)
		for {
			req, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			id := req.Header.Get("X-Id")
			mu.Lock()
			ids[n] = append(ids[n], id)
			mu.Unlock()
			_, _ = fmt.Fprintf(c, "HTTP/1.1 503 No\r\nX-Id: %s\r\nContent-Length: 0\r\n\r\n", id)
		}
	})
	p := newPool()
	for _, id := range []string{"1", "2", "1", "3", "1", "2", "4"} {
		r := request(id)
		r.Body = nil
		resp, err := p.Do(t.Context(), addr, r)
		assert.NilError(t, err)
		assert.Assert(t, resp.Discard())
	}
	mu.Lock()
	defer mu.Unlock()
	assert.DeepEqual(t, ids, map[int][]string{1: {"1", "2"}, 2: {"1", "3"}, 3: {"1", "2", "4"}})
}

// Guards against connections that remember ever more ids.
func TestIDsOfAConnectionAreBounded(t *testing.T) {
	var connections atomic.Int32
	addr := serve(t, func(n int, c net.Conn) {
		connections.Store(int32(n))
		r := bufio.NewReader(c)
		for reply(t, r, c, "", "x") {
		}
	})
	p := newPool()
	for i := range 2*maxIDs + 1 {
		_, err := do(t, p, addr, fmt.Sprint(i))
		assert.NilError(t, err)
	}
	assert.Equal(t, connections.Load(), int32(3))
}

// Guards against the loss of sound connections that are too old for one request alone.
func TestConnectionsTooOldForOneRequestAreKept(t *testing.T) {
	addr := serve(t, func(_ int, c net.Conn) {
		r := bufio.NewReader(c)
		for reply(t, r, c, "", "x") {
		}
	})
	p := newPool()
	for _, id := range []string{"1", "1", "1"} {
		_, err := do(t, p, addr, id)
		assert.NilError(t, err)
	}
	time.Sleep(20 * time.Millisecond)
	r := request("2")
	r.MaxIdle = 10 * time.Millisecond
	resp, err := p.Do(t.Context(), addr, r)
	assert.NilError(t, err)
	assert.Assert(t, resp.Discard())
	p.mu.Lock()
	defer p.mu.Unlock()
	assert.Equal(t, len(p.idle[addr]), 4)
}
