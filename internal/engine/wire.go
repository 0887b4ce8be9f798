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

// Errors of the HTTP interface beside those of engine.go.
var (
	// ErrDuplicate: the same attempt runs already. It may have run.
	ErrDuplicate = errors.New("engine: attempt runs already")
	// ErrTransfer: the import of the KV failed or stalled. No token was made.
	ErrTransfer = errors.New("engine: kv transfer failed")
	// ErrLost: the engine, the connection or a part of the stream was lost.
	// The work may have run and may still hold memory there; cancel it.
	ErrLost = errors.New("engine: lost")
)

// wireError pairs a sentinel with its form on the wire.
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

// statusCancelled is the customary code for a request closed by its client.
const statusCancelled = 499

// codeLost is the wire code of each error without a sentinel.
const codeLost = "lost"

// Failure is the JSON body of an answer that isn't 200.
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

// errorOf returns the error of a wire code. An unknown code counts as lost, so
// that it is never taken for proof that nothing ran.
func errorOf(code, detail string) error {
	for _, w := range wireErrors {
		if w.code == code {
			return eris.Wrap(w.err, detail)
		}
	}
	return eris.Wrap(ErrLost, code+" "+detail)
}
