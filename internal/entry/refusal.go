package entry

import (
	"strings"
	"time"

	pb "jayford.example/jayford/api/jayfordv1"
	"jayford.example/jayford/internal/verdict"
)

// codeOf maps an agent's reason to the error code for callers.
func codeOf(r pb.Reason) verdict.Code {
	switch r {
	case pb.Reason_REASON_FULL, pb.Reason_REASON_PAUSED:
		return verdict.Overloaded
	case pb.Reason_REASON_LEAVING:
		return verdict.Leaving
	case pb.Reason_REASON_DEADLINE:
		return verdict.Deadline
	case pb.Reason_REASON_INVALID:
		return verdict.ServerRefused
	case pb.Reason_REASON_CONVICTED:
		return verdict.Crashes
	case pb.Reason_REASON_KV_GONE, pb.Reason_REASON_TRANSFER:
		return verdict.Transfer
	case pb.Reason_REASON_SERVER_DOWN, pb.Reason_REASON_INCARNATION:
		return verdict.Unreachable
	case pb.Reason_REASON_FENCED:
		return verdict.FencedOff
	default:
		return verdict.ServerLost
	}
}

// unavailableRetryAfter is the retry delay for callers whose request found no server that
// took it, if none named another.
const unavailableRetryAfter = time.Second

// withRetryAfter sets the retry delay of err, and returns it, if it has none and the
// request hasn't run for a temporary cause.
func withRetryAfter(err *verdict.Error) *verdict.Error {
	if err.Verdict != verdict.NotRun || err.RetryAfter > 0 {
		return err
	}
	switch err.Code {
	case verdict.Overloaded, verdict.Leaving, verdict.Unreachable, verdict.ServerLost, verdict.Transfer:
		return err.WithRetryAfter(unavailableRetryAfter)
	}
	return err
}

// refusalError converts an agent's refusal to an error.
func refusalError(r *pb.Refusal) *verdict.Error {
	v := verdict.MayHaveRun
	if r.Verdict == pb.Verdict_VERDICT_NOT_RUN {
		v = verdict.NotRun
	}
	code := codeOf(r.Reason)
	if code == verdict.Crashes {
		e := crashRefusal()
		e.Verdict = v
		return e
	}
	msg := r.Detail
	if msg == "" {
		msg = "The server's agent refused: " + strings.ToLower(strings.TrimPrefix(r.Reason.String(), "REASON_")) + "."
	}
	e := verdict.New(v, code, "%s", msg)
	e.RetryAfter = time.Duration(r.RetryAfterMs) * time.Millisecond
	e.Crashed = r.Reason == pb.Reason_REASON_SERVER_LOST
	e.CrashedAlone = r.CrashedAlone
	e.Paused = r.Reason == pb.Reason_REASON_PAUSED
	return e
}
