// Package verdict defines the error type that jayford's packages share. Each error
// says whether the request it concerns may have run on a backend server. Only NotRun
// permits a retry of a non-idempotent request.
package verdict

import (
	"errors"
	"fmt"
	"time"

	"github.com/rotisserie/eris"
)

// Verdict says whether a request may have run.
type Verdict int

const (
	// MayHaveRun is the zero value, so that an error of unknown origin is
	// never taken for proof that nothing ran.
	MayHaveRun Verdict = iota
	// NotRun means it is proved that no backend server began the request.
	NotRun
	// Ran means a backend server ran the request, at least in part.
	Ran
)

// String returns the value of the Jayford-Verdict header. Callers get "may-have-run"
// for Ran too, since a retry may run the request twice in both cases.
func (v Verdict) String() string {
	if v == NotRun {
		return "not-run"
	}
	return "may-have-run"
}

// Code names the kind of failure. Callers see it in the JSON error body.
type Code string

// The codes of failures.
const (
	Invalid       Code = "invalid-request"
	TooLarge      Code = "too-large"
	NoRoute       Code = "no-route"
	NoServer      Code = "no-server"
	Overloaded    Code = "overloaded"
	OverShare     Code = "over-share"
	Deadline      Code = "deadline"
	Leaving       Code = "leaving"
	ServerLost    Code = "server-lost"
	Transfer      Code = "transfer"
	Unreachable   Code = "unreachable"
	Crashes       Code = "crashes-servers"
	Duplicate     Code = "duplicate-key"
	Cancelled     Code = "cancelled"
	PlatformDown  Code = "platform-unavailable"
	Conflict      Code = "conflict"
	FencedOff     Code = "fenced"
	Internal      Code = "internal"
	ServerRefused Code = "server-refused"
	Unauthorized  Code = "unauthorized"
	OverQuota     Code = "over-quota"
)

// Error is an error with a verdict.
type Error struct {
	Verdict Verdict
	Code    Code
	// Message is one sentence for the caller.
	Message string
	// RetryAfter is when a retry may succeed; 0 if waiting doesn't help.
	RetryAfter time.Duration
	// CrashedAlone: the server died while it ran only this request.
	CrashedAlone bool
	// Crashed: the server died while it ran this request among others.
	Crashed bool
	// Paused: the server wants no requests for RetryAfter.
	Paused bool
	cause  error
}

// New returns an Error.
func New(v Verdict, code Code, format string, args ...any) *Error {
	return &Error{Verdict: v, Code: code, Message: fmt.Sprintf(format, args...)}
}

// Wrap returns an Error that keeps cause, with a stack, for the log.
func Wrap(cause error, v Verdict, code Code, format string, args ...any) *Error {
	e := New(v, code, format, args...)
	e.cause = eris.Wrap(cause, string(code))
	return e
}

// WithRetryAfter sets RetryAfter and returns e.
func (e *Error) WithRetryAfter(d time.Duration) *Error {
	e.RetryAfter = d
	return e
}

// Error returns the code, the message and the cause.
func (e *Error) Error() string {
	if e.cause != nil {
		return fmt.Sprintf("%s: %s: %v", e.Code, e.Message, e.cause)
	}
	return fmt.Sprintf("%s: %s", e.Code, e.Message)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.cause }

// Of returns err as an *Error. An error of another type counts as MayHaveRun.
func Of(err error) *Error {
	if err == nil {
		return nil
	}
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return Wrap(err, MayHaveRun, Internal, "Internal error.")
}
