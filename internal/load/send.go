package load

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"
)

// Headers of requests and responses.
const (
	headerOrganisation = "Jayford-Organisation"
	headerPriority     = "Jayford-Priority"
	headerDeadline     = "Jayford-Deadline"
	headerVerdict      = "Jayford-Verdict"
	headerAttempts     = "Jayford-Attempts"
)

// Outcome says how a request ended for its caller.
type Outcome string

// Outcomes.
const (
	// Whole: the complete answer arrived, including its end marker.
	Whole Outcome = "whole"
	// Refused: an error with a verdict, before any part of the answer.
	Refused Outcome = "refused"
	// Broken: part of the answer, then an explicit error.
	Broken Outcome = "broken"
	// Cut: part of the answer, then the end of the body without an end marker or
	// an error.
	Cut Outcome = "cut"
	// Failed: neither an answer nor an error with a verdict.
	Failed Outcome = "failed"
	// TimedOut: the client cancelled the request after its deadline and grace
	// period.
	TimedOut Outcome = "timed-out"
	// Wrong: a whole answer that Options.Check rejected.
	Wrong Outcome = "wrong"
)

// Answer is the response to one request. Times count from the start of the run.
type Answer struct {
	Outcome Outcome
	Status  int
	// Verdict and Code are set for errors.
	Verdict  string
	Code     string
	Attempts int
	// Text is the text of a completion or the body of a plain call.
	Text         string
	FinishReason string
	Tokens       int
	First        time.Duration
	Last         time.Duration
	// MaxGap is the longest time between two parts of the answer.
	MaxGap time.Duration
	// Err is the client-side error, for the report's examples of faults.
	Err error
}

type completionBody struct {
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
	Stream    bool   `json:"stream"`
}

type chunk struct {
	Choices []choice   `json:"choices"`
	Usage   *usage     `json:"usage"`
	Error   *errorBody `json:"error"`
}

type choice struct {
	Text         string `json:"text"`
	FinishReason string `json:"finish_reason"`
}

type usage struct {
	CompletionTokens int `json:"completion_tokens"`
}

type errorBody struct {
	Code    string `json:"code"`
	Verdict string `json:"verdict"`
	Message string `json:"message"`
}

// maxErrorBytes limits how much of an error's body is read.
const maxErrorBytes = 64 << 10

var (
	errTooLong  = errors.New("load: answer exceeds the size limit")
	errBadEvent = errors.New("load: event is not valid JSON")
)

// sender sends single requests.
type sender struct {
	client    *http.Client
	start     time.Time
	maxAnswer int64
}

func (s *sender) since() time.Duration { return time.Since(s.start) }

// send sends one request to target ("ip:port") and reads the answer to its end.
func (s *sender) send(ctx context.Context, target string, r Request) Answer {
	request, err := newRequest(ctx, target, r)
	if err != nil {
		return Answer{Outcome: Failed, Err: err}
	}
	response, err := s.client.Do(request)
	if err != nil {
		return Answer{Outcome: timedOutOr(ctx, Failed), Err: err}
	}
	defer response.Body.Close()
	a := Answer{Status: response.StatusCode, First: s.since()}
	a.Attempts, _ = strconv.Atoi(response.Header.Get(headerAttempts))
	a.Verdict = response.Header.Get(headerVerdict)
	body := io.LimitReader(response.Body, s.maxAnswer+1)
	switch {
	case response.StatusCode >= http.StatusBadRequest || a.Verdict != "":
		readRefusal(&a, body)
	case r.Kind == KindCall:
		s.readCall(ctx, &a, body)
	default:
		s.readStream(ctx, &a, body)
	}
	return a
}

func newRequest(ctx context.Context, target string, r Request) (*http.Request, error) {
	method, path, body := http.MethodGet, r.Path, []byte(nil)
	if r.Kind == KindCompletion {
		method, path = http.MethodPost, "/v1/completions"
		text, err := json.Marshal(completionBody{r.Model, r.Prompt, r.MaxTokens, true})
		if err != nil {
			return nil, eris.Wrap(err, "load")
		}
		body = text
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+target+path, bytes.NewReader(body))
	if err != nil {
		return nil, eris.Wrap(err, "load")
	}
	if r.Kind == KindCompletion {
		request.Header.Set("Content-Type", "application/json")
	}
	request.Header.Set(headerOrganisation, r.Organisation)
	request.Header.Set(headerPriority, r.Priority)
	request.Header.Set(headerDeadline, r.Deadline.String())
	return request, nil
}

// timedOutOr returns TimedOut if ctx has ended, otherwise o.
func timedOutOr(ctx context.Context, o Outcome) Outcome {
	if ctx.Err() != nil {
		return TimedOut
	}
	return o
}

// readRefusal sets the outcome and reads the error's code from a body of the form
// {"error": {"code": ...}}.
func readRefusal(a *Answer, body io.Reader) {
	a.Outcome = Refused
	if a.Verdict == "" {
		a.Outcome = Failed
	}
	var c chunk
	if json.NewDecoder(io.LimitReader(body, maxErrorBytes)).Decode(&c) == nil && c.Error != nil {
		a.Code = c.Error.Code
	}
}

func (s *sender) readCall(ctx context.Context, a *Answer, body io.Reader) {
	text, err := io.ReadAll(body)
	a.Last = s.since()
	a.First = a.Last
	a.Text = string(text)
	switch {
	case err != nil:
		a.Outcome, a.Err = timedOutOr(ctx, Cut), err
	case int64(len(text)) > s.maxAnswer:
		a.Outcome, a.Err = Failed, errTooLong
	default:
		a.Outcome = Whole
	}
}

const (
	eventPrefix = "data:"
	eventDone   = "[DONE]"
)

// readStream reads server-sent events up to the final [DONE].
func (s *sender) readStream(ctx context.Context, a *Answer, body io.Reader) {
	lines := bufio.NewScanner(body)
	lines.Buffer(make([]byte, 0, 4<<10), 1<<20)
	var text strings.Builder
	for lines.Scan() {
		data, isEvent := strings.CutPrefix(lines.Text(), eventPrefix)
		if !isEvent {
			continue
		}
		end := s.readEvent(a, &text, strings.TrimSpace(data))
		if end {
			a.Text = text.String()
			return
		}
	}
	a.Text = text.String()
	a.Outcome, a.Err = timedOutOr(ctx, Cut), lines.Err()
}

// readEvent processes one event and reports whether it ends the stream.
func (s *sender) readEvent(a *Answer, text *strings.Builder, data string) bool {
	if data == eventDone {
		a.Outcome = Whole
		return true
	}
	var c chunk
	if err := json.Unmarshal([]byte(data), &c); err != nil {
		a.Outcome, a.Err = Failed, errBadEvent
		return true
	}
	if c.Error != nil {
		s.readStreamError(a, c.Error, text.Len() > 0)
		return true
	}
	if c.Usage != nil {
		a.Tokens = c.Usage.CompletionTokens
	}
	if len(c.Choices) == 0 {
		return false
	}
	if part := c.Choices[0]; part.Text != "" {
		s.recordPart(a, text.Len() == 0, c.Usage == nil)
		text.WriteString(part.Text)
	}
	if reason := c.Choices[0].FinishReason; reason != "" {
		a.FinishReason = reason
	}
	return false
}

func (s *sender) readStreamError(a *Answer, e *errorBody, begun bool) {
	a.Code, a.Verdict, a.Outcome = e.Code, e.Verdict, Broken
	if !begun && e.Verdict != "" {
		a.Outcome = Refused
	}
}

// recordPart records the arrival time of one part of the text. If count is set,
// the part counts as one token; it isn't when the event itself gives the usage.
func (s *sender) recordPart(a *Answer, first, count bool) {
	now := s.since()
	if first {
		a.First = now
	} else {
		a.MaxGap = max(a.MaxGap, now-a.Last)
	}
	a.Last = now
	if count {
		a.Tokens++
	}
}
