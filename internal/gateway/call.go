package gateway

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"

	"jayford.example/jayford/internal/catalog"
	"jayford.example/jayford/internal/policy/doubt"
	"jayford.example/jayford/internal/verdict"
)

const (
	// retryBufferBytes is how much of a plain answer is buffered before its caller
	// gets any of it, so that one that breaks off by then can be retried. Answers of
	// plain services are about a kilobyte.
	retryBufferBytes = 64 << 10
	// firstReplyBytes is the size of the first buffer, replyGrowth the factor by which a full one
	// grows.
	firstReplyBytes = 4 << 10
	replyGrowth     = 4
	// maxIdleOnce bounds the idle time of a pooled connection that carries a request
	// which must not run twice. If the server has silently dropped the connection, the
	// request is answered by a reset, and it is unknown whether it ran.
	maxIdleOnce = time.Second
	// maxIdleRepeatable is the same for requests that may run twice.
	maxIdleRepeatable = 4 * time.Second
)

// call sends a request to a plain service and retries it where that is safe. A
// server's 5xx answer is kept until another server answers, so that the caller
// still gets it if none does.
func (g *Gateway) call(ctx context.Context, j *job) (*Reply, *verdict.Error) {
	var kept *Reply
	var last *verdict.Error
	for {
		if err := g.recheck(ctx, j); err != nil {
			last = err
			break
		}
		if !g.takeRetries(j, j.arrivals.OwedForRun()) {
			break
		}
		s, ok := g.pick(j)
		if !ok {
			last = g.noServerError(j, last)
			break
		}
		reply, err := g.callOnce(ctx, j, s)
		g.logCall(j, s, reply, err)
		j.avoid[serverKey(s)] = true
		ran := verdict.Ran
		if err != nil {
			g.recordFailure(ctx, s, err)
			last, ran = err, err.Verdict
		} else {
			kept.discard()
			kept = reply
		}
		if err == nil && reply.Status < http.StatusInternalServerError || !g.mayRetry(ctx, j, ran) {
			break
		}
		j.progress.leave(serverKey(s))
	}
	if kept != nil {
		return kept, nil
	}
	return nil, last
}

// discard closes a reply that isn't delivered; r may be nil.
func (r *Reply) discard() {
	if r != nil {
		_ = r.Body.Close()
	}
}

func (g *Gateway) logCall(j *job, s catalog.Server, reply *Reply, err *verdict.Error) {
	if err != nil {
		g.logRequest(j, "gateway: call failed.", j.last.logConnection(logrus.Fields{
			"server": serverKey(s), "fingerprint": formatHash(j.fingerprint), "cause": err.Error(), "verdict": err.Verdict.String(),
		}))
		return
	}
	late := ""
	if o := j.route.LatencyObjective; o > 0 && time.Since(j.r.Arrived) > o {
		late = lateAnswer
	}
	g.logRequest(j, "gateway: call answered.", j.last.logConnection(logrus.Fields{"server": serverKey(s), "status": reply.Status, "late": late}))
}

// pick returns the server to send the request to next and counts it against the
// server's rate limit.
func (g *Gateway) pick(j *job) (catalog.Server, bool) {
	list := g.usable(j, catalog.NoStage)
	for {
		best := g.best(j, list, 1, byRequests)
		if len(best) == 0 {
			return catalog.Server{}, false
		}
		// Another request may have used up the server's limit meanwhile.
		if g.limits.take(best[0].key, time.Now()) {
			return best[0].Server, true
		}
	}
}

// noServerError returns the refusal of a request for which pick found no server; last is
// the error of its last attempt, nil if there was none.
func (g *Gateway) noServerError(j *job, last *verdict.Error) *verdict.Error {
	list := g.usable(j, catalog.NoStage)
	if err := g.allPausingError(list); err != nil {
		return err
	}
	if last != nil {
		return last
	}
	if next := g.limits.wait(list, time.Now()); next > 0 {
		return rateLimitedError(next)
	}
	return verdict.New(verdict.NotRun, verdict.NoServer, "The service has no server that works.").WithRetryAfter(noServerRetryAfter)
}

func (g *Gateway) callOnce(ctx context.Context, j *job, s catalog.Server) (*Reply, *verdict.Error) {
	c := Call{Request: j.r, Organisation: j.organisationName(), Timeout: time.Until(j.until), MaxIdle: maxIdleOnce}
	if j.route.Repeatable() {
		c.MaxIdle = maxIdleRepeatable
	}
	end := g.loads.begin(s, 0)
	reply, err := g.sendCall(ctx, j, s, c)
	if err != nil {
		end()
		j.progress.leave(serverKey(s))
		if isLoss(ctx, err) {
			g.recordLoss(j, s, j.last, err)
		}
		return nil, err
	}
	observe(callSeconds, j.last.sentAt)
	g.crashes.endTrial(j, true)
	g.view.recordOutcome(s, doubt.Success)
	last := j.last
	reply.Body = &endHookBody{ReadCloser: reply.Body, left: reply.Length, onEnd: func(err error) { g.replyEnded(ctx, j, s, last, reply, err) }}
	reply.Body = &closeHookBody{ReadCloser: reply.Body, onClose: end}
	return reply, nil
}

// sendCall makes one exchange and reads the reply, or the beginning of a large one.
func (g *Gateway) sendCall(ctx context.Context, j *job, s catalog.Server, c Call) (*Reply, *verdict.Error) {
	if !j.progress.run(serverKey(s)) {
		return nil, stoppingError()
	}
	j.sends++
	j.last = &attempt{sentAt: time.Now()}
	c.Trace = &j.last.trace
	a, err := g.backend.Send(ctx, s, c)
	countSending("call", err)
	g.countRun(j, err)
	if err != nil {
		return nil, err
	}
	if err := verifyAnswer(a); err != nil {
		_ = a.Body.Close()
		return nil, err
	}
	return bufferReply(a, j.r.charge)
}

// replyEnded records how the body of a server's reply ended.
func (g *Gateway) replyEnded(ctx context.Context, j *job, s catalog.Server, a *attempt, r *Reply, err error) {
	switch {
	case errors.Is(err, io.EOF):
		if r.Status < http.StatusInternalServerError {
			g.crashes.recordRun(j, a)
			g.crashes.recordSuccess(j.fingerprint)
		}
	case ctx.Err() == nil && !isWrongAnswer(err):
		g.recordLoss(j, s, a, err)
	}
}

// endHookBody calls onEnd once with the error that ends the body, io.EOF if it is complete.
type endHookBody struct {
	io.ReadCloser
	// left is the number of bytes that are still to be read, negative if it is unknown:
	// who knows the length doesn't read on until io.EOF.
	left  int64
	ended bool
	onEnd func(error)
}

// Read implements io.Reader.
func (b *endHookBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	end := err
	if b.left >= 0 && err == nil {
		if b.left -= int64(n); b.left <= 0 {
			end = io.EOF
		}
	}
	if end != nil && !b.ended {
		b.ended = true
		b.onEnd(end)
	}
	return n, err
}

// errUnproven marks an answer that isn't known to be its server's.
var errUnproven = errors.New("gateway: answer without proof")

// verifyAnswer rejects an answer that lacks the server's proof of identity or has an
// encoding that wasn't requested.
func verifyAnswer(a *Answer) *verdict.Error {
	switch {
	case !a.Verified:
		return verdict.Wrap(errUnproven, verdict.MayHaveRun, verdict.ServerLost, "The server's answer bears no proof.")
	case a.Header.Get("Content-Encoding") != "":
		return verdict.Wrap(errUnproven, verdict.MayHaveRun, verdict.ServerLost, "The server's answer has an encoding that nobody asked for.")
	}
	return nil
}

// bufferReply reads up to retryBufferBytes of a plain answer, in most cases all of it. Beyond
// firstReplyBytes charge is asked for the memory; without it less is buffered.
func bufferReply(a *Answer, charge func(int64) bool) (*Reply, *verdict.Error) {
	r := &Reply{Status: a.Status, Headers: a.Header, Length: a.Length}
	head := make([]byte, 0, firstReplyBytes)
	for {
		if len(head) == cap(head) {
			larger := min(replyGrowth*cap(head), retryBufferBytes)
			if len(head) == larger || !charge(int64(larger)) {
				break
			}
			head = append(make([]byte, 0, larger), head...)
		}
		n, err := a.Body.Read(head[len(head):cap(head)])
		head = head[:len(head)+n]
		if errors.Is(err, io.EOF) {
			_ = a.Body.Close()
			r.Length = int64(len(head))
			r.Body = io.NopCloser(bytes.NewReader(head))
			return r, nil
		}
		if err != nil {
			_ = a.Body.Close()
			return nil, verdict.Wrap(err, verdict.MayHaveRun, verdict.ServerLost, "The server broke its answer off.")
		}
	}
	r.Body = struct {
		io.Reader
		io.Closer
	}{io.MultiReader(bytes.NewReader(head), a.Body), a.Body}
	return r, nil
}

// recordFailure records a failed attempt in the server's health. A caller that left, or a
// lack of descriptors here, is no evidence against the server; a deadline that passed without
// an answer is.
func (g *Gateway) recordFailure(ctx context.Context, s catalog.Server, err *verdict.Error) {
	switch {
	case errors.Is(ctx.Err(), context.Canceled), verdict.IsLocalShortage(err):
		return
	case ctx.Err() != nil:
		g.view.recordOutcome(s, doubt.Timeout)
	case err.Code == verdict.Overloaded:
		g.view.recordOutcome(s, doubt.Refusal)
	case err.Code == verdict.Leaving:
		g.view.recordOutcome(s, doubt.ConnectionLost)
	case err.Code == verdict.Unreachable:
		g.recordUnanswered(s, doubt.ConnectionLost)
	default:
		g.recordUnanswered(s, doubt.Timeout)
	}
}

// mayRetry reports whether the request may be sent to another server if the retry budget
// allows it.
func (g *Gateway) mayRetry(ctx context.Context, j *job, v verdict.Verdict) bool {
	if ctx.Err() != nil || j.sends >= maxSends {
		return false
	}
	if v != verdict.NotRun && (!j.route.Repeatable() || j.runs >= j.route.MaxAttempts) {
		return false
	}
	return time.Until(j.until) >= minAttemptTime
}

const (
	// maxSends bounds the attempts of one request, refused ones included.
	maxSends = 4
	// minAttemptTime is the least remaining time for another attempt: a round trip and
	// some work.
	minAttemptTime = 40 * time.Millisecond
)
