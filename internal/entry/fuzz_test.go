package entry

import (
	"bufio"
	"bytes"
	"fmt"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"jayford.example/jayford/internal/settings"
	"jayford.example/jayford/internal/verdict"
)

func rawRequest(method, path, headers, body string) []byte {
	return fmt.Appendf(nil, "%s %s HTTP/1.1\r\nHost: h\r\n%sContent-Length: %d\r\n\r\n%s", method, path, headers, len(body), body)
}

// FuzzRequest feeds arbitrary bytes to the request parser. It must not panic, a
// refusal must have the verdict NotRun, and an accepted request must be within
// the limits that later stages rely on.
func FuzzRequest(f *testing.F) {
	seeds := [][]byte{
		rawRequest("POST", pathCompletions, "", `{"model":"m","prompt":"a b","max_tokens":3,"stream":true}`),
		rawRequest("POST", pathCompletions, "", `{"model":"m","prompt":["one"],"max_tokens":-1}`),
		rawRequest("POST", pathCompletions, "", `{"model":"m","prompt":["one","two"]}`),
		rawRequest("POST", pathCompletions, "", `{"model":"m","prompt":{"a":1}}`),
		rawRequest("POST", pathChat, "Jayford-Priority: batch\r\n", `{"model":"m","messages":[{"role":"user","content":"hi"}]}`),
		rawRequest("POST", pathChat, "", `{"model":"m","messages":[{"role":null,"content":[]}]}`),
		rawRequest("POST", pathChat, "Jayford-Deadline: -1s\r\n", `{}`),
		rawRequest("GET", "/faces/7?size=2", "Jayford-Idempotent: false\r\nIdempotency-Key: k\r\nJayford-Deadline: 1h\r\n", ""),
		rawRequest("PATCH", "//../%00", "Jayford-Idempotent: maybe\r\nConnection: x\r\n", "\x00\xff"),
		rawRequest("POST", "/book/1", "Jayford-Deadline: 9999999h\r\nJayford-Organisation: "+string(bytes.Repeat([]byte("o"), 200))+"\r\n", ""),
		[]byte("POST /book HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n"),
	}
	for _, s := range seeds {
		f.Add(s)
	}
	lim := settings.DefaultEntry().Limits
	now := time.Now()
	f.Fuzz(func(t *testing.T, raw []byte) {
		var req fasthttp.Request
		if req.ReadLimitBody(bufio.NewReader(bytes.NewReader(raw)), 1<<20) != nil {
			return
		}
		var ctx fasthttp.RequestCtx
		ctx.Init(&req, nil, nil)
		r, err := parseCommon(&ctx, "id", now, lim)
		if err == nil {
			checkCommon(t, r, now, lim)
			if isGeneration(r.path) {
				err = r.parseGeneration(ctx.PostBody())
			} else {
				r.parseCall(&ctx, ctx.Request.Body())
			}
		}
		switch {
		case err != nil && (err.Verdict != verdict.NotRun || err.Code != verdict.Invalid):
			t.Fatalf("refused with %s, %s", err.Code, err.Verdict)
		case err == nil && isGeneration(r.path) && (r.promptTokens < 1 || r.maxTokens < 1 || r.maxTokens > maxMaxTokens || r.model == ""):
			t.Fatalf("accepted model %q, %d prompt tokens, max_tokens %d", r.model, r.promptTokens, r.maxTokens)
		case err == nil && !isGeneration(r.path):
			checkCall(t, r)
		}
	})
}

func checkCommon(t *testing.T, r *request, now time.Time, lim settings.Limits) {
	t.Helper()
	if d := r.deadline.Sub(now); d <= 0 || d > lim.MaxDeadline.D() {
		t.Fatalf("deadline %s", d)
	}
	if r.organisation == "" || len(r.organisation) > maxNameLength || len(r.key) > maxNameLength || len(r.group) > maxNameLength {
		t.Fatalf("organisation %q, key %q, group %q", r.organisation, r.key, r.group)
	}
	if r.priority != Interactive && r.priority != Batch {
		t.Fatalf("priority %q", r.priority)
	}
}

func checkCall(t *testing.T, r *request) {
	t.Helper()
	for _, h := range r.headers {
		if hopByHopHeaders[h.key] {
			t.Fatalf("header %s is forwarded", h.key)
		}
	}
}
