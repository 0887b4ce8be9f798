package test

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"

	enginestandin "jayford.example/jayford/internal/standin/engine"
)

// request is one caller request.
type request struct {
	entry     *node
	prompt    string
	maxTokens int
	stream    bool
	headers   map[string]string
	timeout   time.Duration
	// client sends the request, httpClient if it is nil.
	client *http.Client
}

// answer is the caller's view of the outcome of its request.
type answer struct {
	request    request
	status     int
	text       string
	whole      bool
	verdict    string
	code       string
	message    string
	requestID  string
	retryAfter string
	attempts   string
	err        error
	sent       time.Time
	ttft       time.Duration
	took       time.Duration
}

type answerBody struct {
	Choices []struct {
		Text         string  `json:"text"`
		FinishReason *string `json:"finish_reason"`
	} `json:"choices"`
	Error *struct {
		Code    string `json:"code"`
		Verdict string `json:"verdict"`
		Message string `json:"message"`
	} `json:"error"`
}

var httpClient = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256, DisableKeepAlives: true}}

// complete sends a completion and reads the answer to its end.
func complete(ctx context.Context, a request) answer {
	body, _ := json.Marshal(map[string]any{
		"model": testModel, "prompt": a.prompt, "max_tokens": a.maxTokens, "stream": a.stream,
	})
	return exchange(ctx, a, http.MethodPost, "/v1/completions", body)
}

func exchange(ctx context.Context, a request, method, path string, body []byte) answer {
	out := answer{request: a, sent: time.Now()}
	if a.timeout == 0 {
		a.timeout = time.Minute
	}
	ctx, cancel := context.WithTimeout(ctx, a.timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+a.entry.listen+path, bytes.NewReader(body))
	if err != nil {
		out.err = err
		return out
	}
	for k, v := range a.headers {
		req.Header.Set(k, v)
	}
	client := httpClient
	if a.client != nil {
		client = a.client
	}
	resp, err := client.Do(req)
	if err != nil {
		out.err, out.took = err, time.Since(out.sent)
		return out
	}
	defer resp.Body.Close()
	out.status = resp.StatusCode
	out.verdict = resp.Header.Get("Jayford-Verdict")
	out.requestID = resp.Header.Get("Jayford-Request")
	out.retryAfter = resp.Header.Get("Retry-After")
	out.attempts = resp.Header.Get("Jayford-Attempts")
	if strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream") {
		out.readStream(resp.Body)
	} else {
		out.readBody(resp.Body)
	}
	out.took = time.Since(out.sent)
	return out
}

func (o *answer) readBody(r io.Reader) {
	body, err := io.ReadAll(r)
	o.err = err
	var b answerBody
	if err == nil && json.Unmarshal(body, &b) == nil {
		o.addBody(b)
	}
	o.whole = err == nil && o.status == http.StatusOK
	if len(b.Choices) == 0 {
		o.text = string(body)
	}
}

func (o *answer) addBody(b answerBody) {
	if b.Error != nil {
		o.code, o.message = b.Error.Code, b.Error.Message
		o.verdict = b.Error.Verdict
	}
	for _, c := range b.Choices {
		o.text += c.Text
	}
}

// readStream reads server-sent events; an answer is whole only if it ends with
// [DONE].
func (o *answer) readStream(r io.Reader) {
	sc := bufio.NewScanner(r)
	sc.Buffer(nil, 1<<20)
	for sc.Scan() {
		data, ok := strings.CutPrefix(sc.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			o.whole = true
			continue
		}
		if o.ttft == 0 {
			o.ttft = time.Since(o.sent)
		}
		var b answerBody
		if json.Unmarshal([]byte(data), &b) == nil {
			o.addBody(b)
		}
	}
	o.err = sc.Err()
}

// expected returns the correct answer to a prompt.
func expected(prompt string, maxTokens int) string {
	n, _ := enginestandin.AnswerLength(prompt, maxTokens)
	var sb strings.Builder
	for i := range n {
		sb.WriteString(enginestandin.Answer(testModel, prompt, i))
	}
	return sb.String()
}

// checkAnswer returns an error if a whole answer is not the correct one, or if a
// truncated answer is not a prefix of it.
func (o *answer) checkAnswer() error {
	want := expected(o.request.prompt, o.request.maxTokens)
	switch {
	case o.whole && o.text != want:
		return errorf("request %s: answer %q, want %q", o.requestID, o.text, want)
	case !o.whole && o.status == http.StatusOK && !strings.HasPrefix(want, o.text):
		return errorf("request %s: truncated answer %q is not a prefix of %q", o.requestID, o.text, want)
	}
	return nil
}
