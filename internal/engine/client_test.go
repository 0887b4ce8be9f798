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

// raw serves each connection with f, after its request was read.
func raw(t *testing.T, f func(net.Conn), opts ...engine.Option) *engine.HTTP {
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

// The server reads a call and closes without an answer, as it may do when it
// dies. The call may have run, so it must reach the server once and no more:
// fasthttp by itself sends a GET five times.
func TestCallWithoutAnswerRunsOnce(t *testing.T) {
	var runs atomic.Int32
	c := raw(t, func(net.Conn) { runs.Add(1) })
	_, err := c.Load(t.Context())
	assert.ErrorIs(t, err, engine.ErrLost)
	assert.ErrorIs(t, c.Cancel(t.Context(), engine.Attempt{}), engine.ErrLost)
	assert.Equal(t, runs.Load(), int32(2))
}

// Nobody listens: no byte was sent, so the error must prove that nothing ran.
func TestRefusedDialIsUnreachable(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	assert.NilError(t, ln.Close())
	_, err = engine.NewHTTP(ln.Addr().String()).Load(t.Context())
	assert.ErrorIs(t, err, engine.ErrUnreachable)
}

// The server reads the call and says nothing more. The call must end by its own
// bound, or at once when its context ends, as lost and not as unreachable.
func TestSilentServerEndsTheCall(t *testing.T) {
	silent := func(net.Conn) { time.Sleep(3 * time.Second) }
	c := raw(t, silent, engine.WithCallTimeout(100*time.Millisecond))
	start := time.Now()
	_, err := c.Load(t.Context())
	assert.ErrorIs(t, err, engine.ErrLost)
	assert.Assert(t, time.Since(start) < time.Second)

	c = raw(t, silent)
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
	c := raw(t, func(conn net.Conn) { _, _ = conn.Write([]byte(streamHead + body)) })
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

// line returns an event line of attempt number with the given part.
func line(number, part string) string {
	return `{"attempt":{"request":"r","number":` + number + `},` + part + "}\n"
}

// A stream holds a doubled token and a line of another attempt, which fall out;
// or it lacks a token, its last one or its end, and then it must not pass for
// a whole answer.
func TestStreamIsWholeOrFails(t *testing.T) {
	first, second := line("1", `"token":{"index":0}`), line("1", `"token":{"index":1}`)
	end := line("1", `"finish":"stop","tokens":2`)
	crossed := line("2", `"token":{"index":1}`) + line("2", `"finish":"stop"`)

	got, err := decode(t, first+first+crossed+second+end)
	assert.NilError(t, err)
	assert.DeepEqual(t, got, []int{0, 1})

	for _, body := range []string{second + end, first + end, first + second, first + "{", ""} {
		_, err := decode(t, body)
		assert.ErrorIs(t, err, engine.ErrLost, body)
	}
	_, err = decode(t, line("1", `"error":"kv-gone"`))
	assert.ErrorIs(t, err, engine.ErrKVGone)
}

// Engines, agents and entries of different builds agree on a prefix by its value
// alone, so the value is pinned: the hash of each word with one space behind it,
// whatever white space the caller sent, and of whole blocks only.
func TestPrefixHashesAreOfWordsWithASpaceBehind(t *testing.T) {
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
