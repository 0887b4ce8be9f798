package engine

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"jayford.example/jayford/internal/memory"
	"jayford.example/jayford/internal/standin/broken"
)

// Guards against an engine whose responses have no end and take all memory of the machine.
func TestResponsesWithoutEndAreBounded(t *testing.T) {
	const (
		calls  = 8
		room   = 4 << 20
		inWire = 16 << 20 // what the buffers of a connection's sockets may hold
	)
	var sent atomic.Int64
	l := broken.Listen(t, func(c net.Conn) {
		_, err := http.ReadRequest(bufio.NewReader(c))
		for text := "HTTP/1.1 200 OK\r\n\r\n"; err == nil; text = strings.Repeat(" ", 64<<10) {
			var n int
			n, err = io.WriteString(c, text)
			sent.Add(int64(n))
		}
	})
	pool := memory.NewArriving(room, time.Now)
	h := NewHTTP(l.Addr().String(), WithMemory(pool))
	var all sync.WaitGroup
	for range calls {
		all.Go(func() {
			_, err := h.Running(t.Context())
			assert.Check(t, err != nil)
		})
	}
	all.Wait()
	assert.Assert(t, sent.Load() <= room+calls*inWire, "%d MB", sent.Load()>>20)
	assert.Equal(t, pool.Used(), int64(0))
}
