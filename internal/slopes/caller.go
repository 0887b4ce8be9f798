package slopes

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"sync/atomic"
)

// callerRequest is one request of a caller.
type callerRequest struct {
	model, prompt string
	tokens        int
	// batch requests wait in the queue until their deadline.
	batch bool
}

type completion struct {
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
	Stream    bool   `json:"stream"`
}

// tokenCount counts tokens, whole answers and failed requests.
type tokenCount struct{ tokens, whole, failed atomic.Int64 }

var callers = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1000}}

// stream sends a request and reads its answer to the end.
func (c *tokenCount) stream(ctx context.Context, address string, a callerRequest) {
	body, _ := json.Marshal(completion{a.model, a.prompt, a.tokens, true})
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/v1/completions", bytes.NewReader(body))
	if err != nil {
		return
	}
	req.Header.Set("Jayford-Organisation", "organisation-001")
	if a.batch {
		req.Header.Set("Jayford-Priority", "batch")
	}
	resp, err := callers.Do(req)
	if err != nil {
		if ctx.Err() == nil {
			c.failed.Add(1)
		}
		return
	}
	defer resp.Body.Close()
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		switch {
		case lines.Text() == "data: [DONE]":
			c.whole.Add(1)
			return
		case strings.HasPrefix(lines.Text(), "data: "):
			c.tokens.Add(1)
		}
	}
	if ctx.Err() == nil {
		c.failed.Add(1)
	}
}
