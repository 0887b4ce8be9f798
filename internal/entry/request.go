package entry

import (
	"encoding/json"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/valyala/fasthttp"

	"jayford.example/jayford/internal/engine"
	"jayford.example/jayford/internal/settings"
	"jayford.example/jayford/internal/verdict"
)

// Request headers of the caller API.
const (
	HeaderOrganisation   = "Jayford-Organisation"
	HeaderPriority       = "Jayford-Priority"
	HeaderDeadline       = "Jayford-Deadline"
	HeaderIdempotent     = "Jayford-Idempotent"
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderGroup          = "Jayford-Group"
)

// Response headers of the caller API.
const (
	HeaderRequest  = "Jayford-Request"
	HeaderVerdict  = "Jayford-Verdict"
	HeaderAttempts = "Jayford-Attempts"
)

// Values of HeaderPriority.
const (
	Interactive = "interactive"
	Batch       = "batch"
)

const (
	defaultOrganisation = "default"
	defaultMaxTokens    = 16
	maxMaxTokens        = 32768
	maxNameLength       = 128
)

// request is a caller's request. It is copied from the HTTP library's buffers,
// which are reused as soon as the handler returns.
type request struct {
	id           string
	organisation string
	priority     string
	group        string
	key          string
	idempotent   bool
	arrived      time.Time
	deadline     time.Time
	fingerprint  uint64

	method string
	path   string
	uri    string

	// For generation.
	model        string
	prompt       string
	promptTokens int
	// hashes of the prompt's prefixes, for the prefix index.
	hashes    []uint64
	maxTokens int
	stream    bool
	chat      bool

	// For plain services.
	headers []header
	body    []byte
}

type header struct{ key, value string }

// completionBody holds the fields of an OpenAI-style body that the entry reads.
// It ignores all others.
type completionBody struct {
	Model     string          `json:"model"`
	Prompt    json.RawMessage `json:"prompt"`
	Messages  []chatMessage   `json:"messages"`
	MaxTokens *int            `json:"max_tokens"`
	Stream    bool            `json:"stream"`
}

type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

func invalid(format string, args ...any) *verdict.Error {
	return verdict.New(verdict.NotRun, verdict.Invalid, format, args...)
}

// parseCommon parses the headers common to all requests.
func parseCommon(ctx *fasthttp.RequestCtx, id string, now time.Time, lim settings.Limits) (*request, *verdict.Error) {
	h := &ctx.Request.Header
	r := &request{
		id:           id,
		organisation: string(h.Peek(HeaderOrganisation)),
		priority:     string(h.Peek(HeaderPriority)),
		group:        string(h.Peek(HeaderGroup)),
		key:          string(h.Peek(HeaderIdempotencyKey)),
		arrived:      now,
		method:       string(h.Method()),
		path:         string(ctx.Path()),
		uri:          string(h.RequestURI()),
	}
	if r.organisation == "" {
		r.organisation = defaultOrganisation
	}
	if len(r.organisation) > maxNameLength || len(r.group) > maxNameLength || len(r.key) > maxNameLength {
		return nil, invalid("%s, %s and %s hold at most %d bytes.", HeaderOrganisation, HeaderGroup, HeaderIdempotencyKey, maxNameLength)
	}
	if err := r.parsePriority(); err != nil {
		return nil, err
	}
	if err := r.parseDeadline(string(h.Peek(HeaderDeadline)), lim); err != nil {
		return nil, err
	}
	return r, r.parseIdempotent(string(h.Peek(HeaderIdempotent)))
}

func (r *request) parsePriority() *verdict.Error {
	switch r.priority {
	case "":
		r.priority = Interactive
	case Interactive, Batch:
	default:
		return invalid("%s is %q or %q.", HeaderPriority, Interactive, Batch)
	}
	return nil
}

func (r *request) parseDeadline(text string, lim settings.Limits) *verdict.Error {
	d := lim.DefaultDeadline.D()
	if text != "" {
		var err error
		d, err = time.ParseDuration(text)
		if err != nil || d <= 0 {
			return invalid("%s is a positive duration such as 30s.", HeaderDeadline)
		}
	}
	d = min(d, lim.MaxDeadline.D())
	r.deadline = r.arrived.Add(d)
	return nil
}

// parseIdempotent sets whether the request may be repeated. Without the header,
// completions are idempotent, and other calls are unless their method is POST or
// PATCH.
func (r *request) parseIdempotent(text string) *verdict.Error {
	switch text {
	case "":
		r.idempotent = isGeneration(r.path) || (r.method != "POST" && r.method != "PATCH")
	case "true":
		r.idempotent = true
	case "false":
		r.idempotent = false
	default:
		return invalid("%s is true or false.", HeaderIdempotent)
	}
	return nil
}

func isGeneration(path string) bool {
	return path == pathCompletions || path == pathChat
}

// parseGeneration parses the body of a completion request.
func (r *request) parseGeneration(body []byte) *verdict.Error {
	var b completionBody
	if err := json.Unmarshal(body, &b); err != nil {
		return invalid("The body isn't valid JSON for this path: %v.", err)
	}
	if b.Model == "" || len(b.Model) > maxNameLength {
		return invalid("model is needed, with at most %d bytes.", maxNameLength)
	}
	r.model = strings.Clone(b.Model)
	r.stream = b.Stream
	r.chat = r.path == pathChat
	prompt, err := r.promptOf(&b)
	if err != nil {
		return err
	}
	r.prompt = prompt
	r.promptTokens = engine.CountTokens(prompt)
	if r.promptTokens == 0 {
		return invalid("The prompt is empty.")
	}
	r.maxTokens = defaultMaxTokens
	if b.MaxTokens != nil {
		r.maxTokens = *b.MaxTokens
	}
	if r.maxTokens < 1 || r.maxTokens > maxMaxTokens {
		return invalid("max_tokens is between 1 and %d.", maxMaxTokens)
	}
	// The fingerprint depends on the content alone, since a request that is sent
	// again has a new id.
	r.hashes = engine.PrefixHashes(prompt, engine.CacheBlock)
	r.fingerprint = xxhash.Sum64String(r.model + "\x00" + r.prompt)
	return nil
}

func (r *request) promptOf(b *completionBody) (string, *verdict.Error) {
	if r.chat {
		if len(b.Messages) == 0 {
			return "", invalid("messages is needed, with at least one message.")
		}
		var sb strings.Builder
		for _, m := range b.Messages {
			sb.WriteString(m.Role)
			sb.WriteString(": ")
			sb.WriteString(m.Content)
			sb.WriteString("\n")
		}
		return sb.String(), nil
	}
	var one string
	if json.Unmarshal(b.Prompt, &one) == nil {
		return one, nil
	}
	var many []string
	if json.Unmarshal(b.Prompt, &many) == nil && len(many) == 1 {
		return many[0], nil
	}
	return "", invalid("prompt is a string, or a list with one string.")
}

// hopByHopHeaders apply to a single connection and aren't forwarded.
var hopByHopHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Te": true,
	"Trailer": true, "Transfer-Encoding": true, "Upgrade": true, "Content-Length": true,
}

// parseCall copies the headers to forward to a plain service, and takes the body.
func (r *request) parseCall(ctx *fasthttp.RequestCtx, body []byte) {
	for k, v := range ctx.Request.Header.All() {
		key := string(k)
		if !hopByHopHeaders[key] {
			r.headers = append(r.headers, header{key, string(v)})
		}
	}
	r.body = body
	d := xxhash.New()
	_, _ = d.WriteString(r.method + "\x00" + r.uri + "\x00")
	_, _ = d.Write(r.body)
	r.fingerprint = d.Sum64()
}
