package test

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"jayford.example/jayford/internal/settings"
)

// refusal is the content of a refusal as a caller can read it.
type refusal struct {
	status         int
	verdict, retry string
	body           struct {
		Error struct {
			Code, Message, Verdict string
			RetryAfterMs           int64
		}
	}
}

// sendRaw sends text over a new connection and reads the answer.
func sendRaw(address, text string) (refusal, error) {
	var r refusal
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return r, err
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(10 * time.Second))
	// A refusal may arrive before all of the text is sent.
	_, _ = fmt.Fprint(conn, text)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return r, err
	}
	defer resp.Body.Close()
	r.status, r.verdict, r.retry = resp.StatusCode, resp.Header.Get("Jayford-Verdict"), resp.Header.Get("Retry-After")
	text2, err := io.ReadAll(resp.Body)
	if err != nil {
		return r, err
	}
	if err := json.Unmarshal(text2, &r.body); err != nil {
		return r, errorf("no JSON: %q", text2)
	}
	return r, nil
}

// The HTTP library itself refuses some requests before any code of the entry sees
// them. Programs that read the verdict must find it there as in each other refusal,
// and no Retry-After, since the same bytes would be refused again.
func TestLibraryRefusalsCarryAVerdict(t *testing.T) {
	c := newCluster(t, topology{entries: 1, prefill: 1, decode: 1})
	post := "POST /v1/completions HTTP/1.1\r\nHost: a\r\n"
	for _, cs := range []struct {
		name, text, code string
		status           int
	}{
		{"header too large", "GET / HTTP/1.1\r\nHost: a\r\nX: " + strings.Repeat("x", 64<<10) + "\r\n\r\n", "too-large", 413},
		{"request line too large", "GET /" + strings.Repeat("x", 64<<10) + " HTTP/1.1\r\nHost: a\r\n\r\n", "too-large", 413},
		{"body too large by its length", post + "Content-Length: 999999999\r\n\r\n{", "too-large", 413},
		{"body too large in chunks", post + "Transfer-Encoding: chunked\r\n\r\n500000\r\n" + strings.Repeat("x", 5<<20), "too-large", 413},
		{"body too large after continue", post + "Expect: 100-continue\r\nContent-Length: 999999999\r\n\r\n", "too-large", 413},
		{"no HTTP", "hello\r\n\r\n", "invalid-request", 400},
		{"no length", post + "Content-Length: some\r\n\r\n{}", "invalid-request", 400},
		{"no chunk", post + "Transfer-Encoding: chunked\r\n\r\nzz\r\n", "invalid-request", 400},
		{"no URI", "GET http://[::1 HTTP/1.1\r\nHost: a\r\n\r\n", "invalid-request", 400},
	} {
		got, err := sendRaw(c.entries[0].listen, cs.text)
		assert.Check(t, err == nil, "%s: %v", cs.name, err)
		assert.Check(t, got.status == cs.status, "%s: status %d", cs.name, got.status)
		assert.Check(t, got.verdict == "not-run" && got.body.Error.Verdict == "not-run", "%s: %+v", cs.name, got)
		assert.Check(t, got.body.Error.Code == cs.code, "%s: %+v", cs.name, got)
		assert.Check(t, got.retry == "", "%s: Retry-After %s", cs.name, got.retry)
	}
	_, began := c.startCounts()
	assert.Equal(t, len(began), 0)
}

// With limits.maxConnections connections open, each further one must be refused at
// once, whatever it sends, by a complete answer with "not run" and a Retry-After;
// open connections are not affected, and after one closes another is accepted.
func TestConnectionsOverTheLimitCarryAVerdict(t *testing.T) {
	const limit, over = 16, 200
	c := newCluster(t, topology{entries: 1, prefill: 1, decode: 1, entry: func(e *settings.Entry) { e.Limits.MaxConnections = limit }})
	address := c.entries[0].listen
	get := "GET /livez HTTP/1.1\r\nHost: a\r\n\r\n"
	var held []net.Conn
	eventually(t, 10*time.Second, "connections of the startup checks closed", func() error {
		for len(held) < limit {
			conn, err := net.Dial("tcp", address)
			if err != nil {
				return err
			}
			if err := livez(conn, get); err != nil {
				conn.Close()
				return err
			}
			held = append(held, conn)
		}
		return nil
	})
	var wg sync.WaitGroup
	begin := time.Now()
	var mu sync.Mutex
	worst := time.Duration(0)
	for range over {
		wg.Go(func() {
			got, err := sendRaw(address, "POST /v1/completions HTTP/1.1\r\nHost: a\r\nContent-Length: 50000\r\n\r\n"+strings.Repeat("x", 50_000))
			mu.Lock()
			defer mu.Unlock()
			worst = max(worst, time.Since(begin))
			assert.Check(t, err == nil, "%v", err)
			assert.Check(t, got.status == http.StatusServiceUnavailable && got.body.Error.Code == "overloaded", "%+v", got)
			assert.Check(t, got.verdict == "not-run" && got.body.Error.Verdict == "not-run", "%+v", got)
			assert.Check(t, got.retry != "" && got.body.Error.RetryAfterMs > 0, "%+v", got)
		})
	}
	wg.Wait()
	report(t, "%d connections over the limit: the slowest was refused after %s", over, worst.Round(time.Millisecond))
	for _, conn := range held {
		assert.NilError(t, livez(conn, get))
	}
	held[0].Close()
	eventually(t, 2*time.Second, "a connection accepted again", func() error {
		conn, err := net.Dial("tcp", address)
		if err != nil {
			return err
		}
		defer conn.Close()
		return livez(conn, get)
	})
	for _, conn := range held {
		conn.Close()
	}
}

// livez requests /livez over an open connection.
func livez(conn net.Conn, get string) error {
	_ = conn.SetDeadline(time.Now().Add(5 * time.Second))
	if _, err := fmt.Fprint(conn, get); err != nil {
		return err
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return errorf("status %d", resp.StatusCode)
	}
	_, err = io.Copy(io.Discard, resp.Body)
	return err
}
