package engine_test

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"gotest.tools/v3/assert"

	"jayford.example/jayford/internal/engine"
)

// serveRaw starts a server that reads the request on each connection and then
// calls f. It returns a client of the server.
func serveRaw(t *testing.T, f func(net.Conn), opts ...engine.Option) *engine.HTTP {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
					f(c)
				}
			}()
		}
	}()
	return engine.NewHTTP(ln.Addr().String(), opts...)
}

// The server reads a request and closes the connection without a response, as it
// may when it crashes. The call may have run, so it must not be sent again:
// fasthttp by default sends a GET five times.
func TestCallWithoutAnswerRunsOnce(t *testing.T) {
	var runs atomic.Int32
	c := serveRaw(t, func(net.Conn) { runs.Add(1) })
	_, err := c.Load(t.Context())
	assert.ErrorIs(t, err, engine.ErrLost)
	assert.ErrorIs(t, c.Cancel(t.Context(), engine.Attempt{}), engine.ErrLost)
	assert.Equal(t, runs.Load(), int32(2))
}

// The connection is refused. No byte was sent, so the error must say that nothing
// ran.
func TestRefusedDialIsUnreachable(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	assert.NilError(t, ln.Close())
	_, err = engine.NewHTTP(ln.Addr().String()).Load(t.Context())
	assert.ErrorIs(t, err, engine.ErrUnreachable)
}

// The server reads the request and never responds. The call must end at its own
// timeout, or at once when its context ends, with ErrLost and not ErrUnreachable.
func TestCallToUnresponsiveServerEnds(t *testing.T) {
	silent := func(net.Conn) { time.Sleep(3 * time.Second) }
	c := serveRaw(t, silent, engine.WithCallTimeout(100*time.Millisecond))
	start := time.Now()
	_, err := c.Load(t.Context())
	assert.ErrorIs(t, err, engine.ErrLost)
	assert.Assert(t, time.Since(start) < time.Second)

	c = serveRaw(t, silent)
	ctx, cancel := context.WithCancel(t.Context())
	time.AfterFunc(20*time.Millisecond, cancel)
	start = time.Now()
	_, err = c.Prefill(ctx, engine.PrefillRequest{})
	assert.ErrorIs(t, err, engine.ErrLost)
	assert.ErrorIs(t, err, context.Canceled)
	assert.Assert(t, time.Since(start) < time.Second)
}

const streamHead = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"

func decode(t *testing.T, body string) ([]int, error) {
	t.Helper()
	c := serveRaw(t, func(conn net.Conn) { _, _ = conn.Write([]byte(streamHead + body)) })
	var got []int
	r := engine.DecodeRequest{Attempt: engine.Attempt{Request: "r", Number: 1}}
	err := c.Decode(t.Context(), r, func(ev engine.Event) error {
		if ev.Token != nil {
			got = append(got, ev.Token.Index)
		}
		return nil
	})
	return got, err
}

// eventLine returns an event of the given attempt number with the fields in part.
func eventLine(number, part string) string {
	return `{"attempt":{"request":"r","number":` + number + `},` + part + "}\n"
}

// Duplicate tokens and events of another attempt must be dropped. A stream without
// one of its tokens, its last token or its final event must fail.
func TestIncompleteStreamFails(t *testing.T) {
	first, second := eventLine("1", `"token":{"index":0}`), eventLine("1", `"token":{"index":1}`)
	end := eventLine("1", `"finish":"stop","tokens":2`)
	crossed := eventLine("2", `"token":{"index":1}`) + eventLine("2", `"finish":"stop"`)

	got, err := decode(t, first+first+crossed+second+end)
	assert.NilError(t, err)
	assert.DeepEqual(t, got, []int{0, 1})

	for _, body := range []string{second + end, first + end, first + second, first + "{", ""} {
		_, err := decode(t, body)
		assert.ErrorIs(t, err, engine.ErrLost, body)
	}
	_, err = decode(t, eventLine("1", `"error":"kv-gone"`))
	assert.ErrorIs(t, err, engine.ErrKVGone)
}

// Engines, agents and entries of different releases compare prefix hashes, so the
// values must not change: each is the hash of the words, each followed by one space
// whatever white space the prompt has, and covers whole blocks only.
func TestPrefixHashesAreStable(t *testing.T) {
	h := engine.PrefixHashes(strings.Repeat("word  \n", 600), engine.CacheBlock)
	assert.Equal(t, len(h), 2)
	assert.Equal(t, h[0], xxhash.Sum64String(strings.Repeat("word ", 256)))
	assert.Equal(t, h[1], xxhash.Sum64String(strings.Repeat("word ", 512)))
}

func TestPrefixHashes(t *testing.T) {
	prompt := strings.Repeat("some words  here ", 300)
	all := engine.PrefixHashes(prompt, engine.CacheBlock)
	assert.Equal(t, len(all), engine.CountTokens(prompt)/engine.CacheBlock)
	assert.Equal(t, all[1], engine.PrefixHash(prompt, 2*engine.CacheBlock))
	assert.Assert(t, engine.PrefixHash("ab c", 2) != engine.PrefixHash("a bc", 2))
}
