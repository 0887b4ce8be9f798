package entry

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"math"
	"net"
	"strconv"
	"strings"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/valyala/fasthttp"

	"jayford.example/jayford/internal/callers"
	"jayford.example/jayford/internal/verdict"
)

// errorBody is the JSON body of a refusal.
type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Code    verdict.Code `json:"code"`
	Message string       `json:"message"`
	Verdict string       `json:"verdict"`
	Request string       `json:"request,omitempty"`
	// RetryAfterMs is set if the request may succeed after that delay.
	RetryAfterMs int64 `json:"retryAfterMs,omitempty"`
}

// statusOf maps a failure to an HTTP status.
func statusOf(e *verdict.Error) int {
	switch e.Code {
	case verdict.Invalid:
		return fasthttp.StatusBadRequest
	case verdict.TooLarge:
		return fasthttp.StatusRequestEntityTooLarge
	case verdict.NoRoute:
		return fasthttp.StatusNotFound
	case verdict.Duplicate, verdict.Conflict:
		return fasthttp.StatusConflict
	case verdict.OverShare:
		return fasthttp.StatusTooManyRequests
	case verdict.Overloaded, verdict.NoServer, verdict.Leaving, verdict.PlatformDown:
		return fasthttp.StatusServiceUnavailable
	case verdict.Deadline:
		return fasthttp.StatusGatewayTimeout
	case verdict.Crashes:
		return fasthttp.StatusUnprocessableEntity
	case verdict.Cancelled:
		return statusClientClosed
	default:
		return fasthttp.StatusBadGateway
	}
}

// statusClientClosed is the non-standard status, introduced by nginx, for a
// caller that closed its connection.
const statusClientClosed = 499

// refuse responds with the error and its verdict, and logs it.
func (s *server) refuse(ctx *fasthttp.RequestCtx, r *request, attempts int, e *verdict.Error) {
	refusals(e).Inc()
	id := ""
	if r != nil {
		id = r.id
		s.e.log.WithFields(logrus.Fields{
			"request": r.id, "organisation": r.organisation, "code": e.Code, "verdict": e.Verdict.String(),
			"attempts": attempts, "retryAfter": e.RetryAfter.Seconds(),
		}).WithError(e).Info("entry: refused.")
	}
	setAttempts(ctx, attempts)
	setRefusal(&ctx.Response, id, e)
}

// setRefusal fills resp with the refusal of the request with the given id, which
// may be empty.
func setRefusal(resp *fasthttp.Response, id string, e *verdict.Error) {
	d := errorDetail{Code: e.Code, Message: e.Message, Verdict: e.Verdict.String(), Request: id}
	if e.RetryAfter > 0 {
		d.RetryAfterMs = e.RetryAfter.Milliseconds()
		resp.Header.Set("Retry-After", strconv.Itoa(int(math.Ceil(e.RetryAfter.Seconds()))))
	}
	resp.Header.Set(HeaderVerdict, d.Verdict)
	setJSON(resp, statusOf(e), errorBody{d})
}

func setAttempts(ctx *fasthttp.RequestCtx, n int) {
	ctx.Response.Header.Set(HeaderAttempts, strconv.Itoa(n))
}

func writeJSON(ctx *fasthttp.RequestCtx, status int, v any) { setJSON(&ctx.Response, status, v) }

func setJSON(resp *fasthttp.Response, status int, v any) {
	body, err := json.Marshal(v)
	if err != nil {
		resp.SetStatusCode(fasthttp.StatusInternalServerError)
		return
	}
	resp.SetStatusCode(status)
	resp.Header.SetContentType("application/json")
	resp.SetBody(append(body, '\n'))
}

// malformed responds to a request that the HTTP library couldn't read.
func (s *server) malformed(ctx *fasthttp.RequestCtx, err error) {
	err = callers.Refuse(ctx, err)
	e := invalid("The request can't be read: %v.", err)
	var small *fasthttp.ErrSmallBuffer
	var timeout net.Error
	switch {
	case callers.IsShortage(err):
		e = heldError()
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		e = verdict.New(verdict.NotRun, verdict.TooLarge, "The body is over %d bytes.", s.e.settings.Limits.MaxBodyBytes)
	case errors.As(err, &small), errors.Is(err, callers.ErrLargeHead):
		e = verdict.New(verdict.NotRun, verdict.TooLarge, "The headers are over %d bytes.", s.e.settings.Limits.MaxHeaderBytes)
	case errors.As(err, &timeout) && timeout.Timeout():
		e = verdict.New(verdict.NotRun, verdict.Deadline, "The request took over %s to arrive.", readTimeout)
	}
	s.e.log.WithFields(logrus.Fields{"code": e.Code, "cause": err.Error()}).Info("entry: request wasn't received.")
	s.refuse(ctx, nil, 0, e)
}

// completion is an OpenAI-style response, or one chunk of a streamed one.
type completion struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
	// Error is set in the last chunk of a stream that can't be completed.
	Error *errorDetail `json:"error,omitempty"`
}

type choice struct {
	Index        int       `json:"index"`
	Text         *string   `json:"text,omitempty"`
	Message      *chatPart `json:"message,omitempty"`
	Delta        *chatPart `json:"delta,omitempty"`
	FinishReason *string   `json:"finish_reason"`
}

type chatPart struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

type usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

func (r *request) completion(object string, c choice) completion {
	return completion{ID: r.id, Object: object, Created: r.arrived.Unix(), Model: r.model, Choices: []choice{c}}
}

func (r *request) usage(tokens int) *usage {
	return &usage{r.promptTokens, tokens, r.promptTokens + tokens}
}

func (s *server) answerWhole(ctx *fasthttp.RequestCtx, r *request, v view) {
	if !v.done {
		v.err = verdict.New(verdict.MayHaveRun, verdict.Deadline, "The deadline passed.")
	}
	if v.err != nil {
		s.refuse(ctx, r, v.attempts, v.err)
		return
	}
	text := strings.Join(v.tokens, "")
	c := choice{FinishReason: &v.finish}
	object := "text_completion"
	if r.chat {
		object = "chat.completion"
		c.Message = &chatPart{Role: "assistant", Content: text}
	} else {
		c.Text = &text
	}
	body := r.completion(object, c)
	body.Usage = r.usage(len(v.tokens))
	setAttempts(ctx, v.attempts)
	writeJSON(ctx, fasthttp.StatusOK, body)
}

func (s *server) startStream(ctx *fasthttp.RequestCtx, attempts int) {
	ctx.SetContentType("text/event-stream")
	ctx.Response.Header.Set("Cache-Control", "no-cache")
	setAttempts(ctx, attempts)
}

// writeStream writes an answer as server-sent events. The stream ends with [DONE]
// if the answer is complete and with an error event otherwise, so that a caller
// can detect a truncated answer.
func writeStream(ctx context.Context, w *bufio.Writer, r *request, out *output) {
	sent := 0
	for {
		v := out.next(ctx, sent)
		if len(v.tokens) > 0 {
			if writeEvent(w, r.chunk(strings.Join(v.tokens, ""), nil)) != nil {
				return
			}
			sent += len(v.tokens)
			continue
		}
		last := r.chunk("", &v.finish)
		switch {
		case v.done && v.err == nil:
			last.Usage = r.usage(sent)
			if writeEvent(w, last) == nil {
				_, _ = w.WriteString("data: [DONE]\n\n")
				_ = w.Flush()
			}
			return
		case v.err == nil:
			v.err = verdict.New(verdict.MayHaveRun, verdict.Deadline, "The deadline passed in the middle of the answer.")
		}
		last.Choices = nil
		last.Error = &errorDetail{Code: v.err.Code, Message: v.err.Message, Verdict: verdict.MayHaveRun.String(), Request: r.id}
		_ = writeEvent(w, last)
		return
	}
}

func (r *request) chunk(text string, finish *string) completion {
	c := choice{FinishReason: finish}
	if r.chat {
		c.Delta = &chatPart{Content: text}
		return r.completion("chat.completion.chunk", c)
	}
	c.Text = &text
	return r.completion("text_completion", c)
}

func writeEvent(w *bufio.Writer, c completion) error {
	body, err := json.Marshal(c)
	if err != nil {
		return err
	}
	_, _ = w.WriteString("data: ")
	_, _ = w.Write(body)
	_, _ = w.WriteString("\n\n")
	return w.Flush()
}

type modelList struct {
	Object string      `json:"object"`
	Data   []modelItem `json:"data"`
}

type modelItem struct {
	ID     string `json:"id"`
	Object string `json:"object"`
}

// models lists the configured models. Before the entry has a configuration it
// refuses, since a script that waits for the first 200 would take an empty list as
// the complete one.
func (s *server) models(ctx *fasthttp.RequestCtx) {
	if !s.e.ready() {
		s.refuse(ctx, nil, 0, verdict.New(verdict.NotRun, verdict.PlatformDown, "No configuration is in force yet.").WithRetryAfter(time.Second))
		return
	}
	list := modelList{Object: "list", Data: []modelItem{}}
	for _, m := range s.e.models() {
		list.Data = append(list.Data, modelItem{m, "model"})
	}
	writeJSON(ctx, fasthttp.StatusOK, list)
}

// contextVerdict returns the error for a request that hasn't run because ctx
// ended.
func contextVerdict(ctx context.Context) *verdict.Error {
	if errors.Is(context.Cause(ctx), callers.ErrDisconnected) {
		return verdict.New(verdict.NotRun, verdict.Cancelled, "The caller left.")
	}
	if errors.Is(context.Cause(ctx), errStopped) {
		return stoppedError(verdict.NotRun)
	}
	return verdict.New(verdict.NotRun, verdict.Deadline, "The deadline passed before a server was free.").WithRetryAfter(time.Second)
}

// endedError returns the error for a request with a verdict because ctx ended.
func endedError(ctx context.Context, v verdict.Verdict) *verdict.Error {
	if errors.Is(context.Cause(ctx), errStopped) {
		return stoppedError(v)
	}
	err := contextVerdict(ctx)
	err.Verdict = v
	return err
}
