package test

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Invalid requests must get a 4xx status with the verdict "not-run" and must not
// reach a backend server.
func TestBadRequestsCostNothing(t *testing.T) {
	c := newCluster(t, topology{entries: 1, prefill: 1, decode: 1})
	e := request{entry: c.entries[0]}
	cases := []struct {
		name, body string
		headers    map[string]string
		status     int
	}{
		{"no JSON", "{", nil, 400},
		{"no model", `{"prompt":"a"}`, nil, 400},
		{"empty prompt", `{"model":"model-a","prompt":""}`, nil, 400},
		{"two prompts", `{"model":"model-a","prompt":["a","b"]}`, nil, 400},
		{"negative max_tokens", `{"model":"model-a","prompt":"a","max_tokens":-1}`, nil, 400},
		{"huge max_tokens", `{"model":"model-a","prompt":"a","max_tokens":10000000}`, nil, 400},
		{"unknown model", `{"model":"none","prompt":"a"}`, nil, 404},
		{"bad deadline", `{"model":"model-a","prompt":"a"}`, map[string]string{"Jayford-Deadline": "soon"}, 400},
		{"bad priority", `{"model":"model-a","prompt":"a"}`, map[string]string{"Jayford-Priority": "high"}, 400},
		{"bad mark", `{"model":"model-a","prompt":"a"}`, map[string]string{"Jayford-Idempotent": "no"}, 400},
		{"long organisation", `{"model":"model-a","prompt":"a"}`, map[string]string{"Jayford-Organisation": strings.Repeat("x", 200)}, 400},
		{"body over the bound", `{"model":"model-a","prompt":"` + strings.Repeat("x", 5<<20) + `"}`, nil, 413},
	}
	for _, cs := range cases {
		e.headers = cs.headers
		got := exchange(context.Background(), e, http.MethodPost, "/v1/completions", []byte(cs.body))
		assert.Equal(t, got.status, cs.status, "%s: %+v", cs.name, got)
		assert.Equal(t, got.verdict, "not-run", cs.name)
	}
	e.headers = nil
	assert.Equal(t, exchange(context.Background(), e, http.MethodGet, "/nowhere", nil).status, 404)
	assert.Equal(t, exchange(context.Background(), e, http.MethodGet, "/v1/completions", nil).status, 400)
	_, began := c.startCounts()
	assert.Equal(t, len(began), 0, "an engine received a bad request")
}

// Headers over the limit and bytes that are not HTTP must get a 4xx status with the
// verdict "not-run", and the connection is closed.
func TestMalformedRequests(t *testing.T) {
	c := newCluster(t, topology{entries: 1, prefill: 1, decode: 1})
	for name, text := range map[string]string{
		"headers over the bound": "GET /v1/models HTTP/1.1\r\nHost: a\r\nX: " + strings.Repeat("x", 64<<10) + "\r\n\r\n",
		"no HTTP":                "hello\r\n\r\n",
	} {
		conn, err := net.Dial("tcp", c.entries[0].listen)
		assert.NilError(t, err)
		_ = conn.SetDeadline(time.Now().Add(5 * time.Second))
		_, _ = fmt.Fprint(conn, text)
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		assert.NilError(t, err, name)
		resp.Body.Close()
		assert.Assert(t, resp.StatusCode >= 400 && resp.StatusCode < 500, "%s: %s", name, resp.Status)
		assert.Equal(t, resp.Header.Get("Jayford-Verdict"), "not-run", name)
		conn.Close()
	}
}

// One organisation floods the entry. Its excess requests must be refused at once
// with "not-run" and Retry-After, and another organisation's requests must still be
// answered.
func TestFloodIsRefusedAtOnce(t *testing.T) {
	c := newCluster(t, topology{entries: 1, prefill: 1, decode: 1})
	h, other := &history{}, &history{}
	flood := c.load(h, 600, 5*time.Millisecond, func(i int) request {
		return request{prompt: fmt.Sprint("flood ", i), maxTokens: 40, headers: map[string]string{"Jayford-Organisation": "flood"}}
	})
	time.Sleep(time.Second)
	calm := c.load(other, 10, 200*time.Millisecond, func(i int) request {
		return request{prompt: fmt.Sprint("calm ", i), maxTokens: 10, headers: map[string]string{"Jayford-Organisation": "calm"}}
	})
	calm.Wait()
	flood.Wait()
	c.checkHistory(h)
	c.checkHistory(other)
	refused := 0
	worst := time.Duration(0)
	for _, a := range h.all() {
		if a.whole {
			continue
		}
		refused++
		worst = max(worst, a.took)
		assert.Equal(t, a.verdict, "not-run")
		assert.Assert(t, a.retryAfter != "", "no Retry-After: %+v", a)
	}
	report(t, "flood: %s, slowest refusal %s; calm: %s", h.describe(), worst.Round(time.Millisecond), other.describe())
	assert.Assert(t, refused > 100)
	assert.Equal(t, other.tally(), tally{whole: 10}, "%s", other.describe())
}
