package engine

import (
	"errors"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"
)

// Paths of an engine's HTTP interface.
const (
	PathPrefill = "/v1/prefill"
	PathDecode  = "/v1/decode"
	PathCancel  = "/v1/cancel"
	PathRunning = "/v1/running"
	PathLoad    = "/v1/load"
	PathEvents  = "/v1/cache/events"
	PathOrder   = "/v1/order"
	PathKV      = "/v1/kv/"
)

// Phases of Running.
const (
	PhasePrefill = "prefill"
	PhaseKV      = "kv"
	PhaseDecode  = "decode"
)

// Values of Event.Finish.
const (
	FinishStop   = "stop"
	FinishLength = "length"
)

// Errors of the HTTP interface in addition to those of engine.go.
var (
	// ErrDuplicate: the same attempt is already running. It may have run.
	ErrDuplicate = errors.New("engine: attempt runs already")
	// ErrTransfer: the import of the KV cache failed or stalled. No token was
	// generated.
	ErrTransfer = errors.New("engine: kv transfer failed")
	// ErrLost: the engine or the connection failed, or the response was invalid
	// or incomplete. The work may have run and may still use engine memory, so
	// cancel it.
	ErrLost = errors.New("engine: lost")
)

// wireError maps a sentinel error to its HTTP status and wire code.
type wireError struct {
	err    error
	status int
	code   string
}

var wireErrors = []wireError{
	{ErrBusy, fasthttp.StatusServiceUnavailable, "busy"},
	{ErrKVGone, fasthttp.StatusGone, "kv-gone"},
	{ErrInvalid, fasthttp.StatusBadRequest, "invalid"},
	{ErrFenced, fasthttp.StatusPreconditionFailed, "fenced"},
	{ErrCancelled, statusCancelled, "cancelled"},
	{ErrTransfer, fasthttp.StatusBadGateway, "transfer"},
	{ErrDuplicate, fasthttp.StatusConflict, "duplicate"},
}

// statusCancelled is the nonstandard status that nginx uses for a request closed
// by its client.
const statusCancelled = 499

// codeLost is the wire code of all errors without a sentinel.
const codeLost = "lost"

// Failure is the JSON body of a response with a status other than 200.
type Failure struct {
	Code   string `json:"code"`
	Detail string `json:"detail,omitempty"`
}

// ErrorCode returns the HTTP status and the wire code of err, for servers.
func ErrorCode(err error) (status int, code string) {
	for _, w := range wireErrors {
		if errors.Is(err, w.err) {
			return w.status, w.code
		}
	}
	return fasthttp.StatusInternalServerError, codeLost
}

// errorOf returns the error of a wire code. An unknown code is ErrLost, since it
// doesn't prove that nothing ran.
func errorOf(code, detail string) error {
	for _, w := range wireErrors {
		if w.code == code {
			return eris.Wrap(w.err, detail)
		}
	}
	return eris.Wrap(ErrLost, code+" "+detail)
}
