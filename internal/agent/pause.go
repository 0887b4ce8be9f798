package agent

import (
	"net/http"
	"time"

	"github.com/valyala/fasthttp"

	pb "jayford.example/jayford/api/jayfordv1"
	"jayford.example/jayford/internal/agent/grant"
	"jayford.example/jayford/internal/upstream"
)

// recordPause records the pause that a plain service asks for with a 503. A pause is never
// shortened.
func (a *Agent) recordPause(out *fasthttp.Response) {
	if out.StatusCode() != http.StatusServiceUnavailable {
		return
	}
	text := string(out.Header.Peek(fasthttp.HeaderRetryAfter))
	d, ok := upstream.ParseRetryAfter(text)
	if !ok {
		a.log.WithField("retryAfter", text).Warn("agent: Invalid Retry-After in an answer of the service.")
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if until := time.Now().Add(d); until.After(a.pausedUntil) {
		a.pausedUntil = until
		a.log.WithField("pause", d.Seconds()).Info("agent: The service asked for a pause.")
	}
}

// refuseIfPaused refuses a call while the service pauses.
func (a *Agent) refuseIfPaused() *grant.Refusal {
	a.mu.Lock()
	defer a.mu.Unlock()
	rest := time.Until(a.pausedUntil)
	if rest <= 0 {
		return nil
	}
	return &grant.Refusal{
		Reason: pb.Reason_REASON_PAUSED, Verdict: pb.Verdict_VERDICT_NOT_RUN, RetryAfter: rest, Detail: "The service has asked for a pause.",
	}
}
