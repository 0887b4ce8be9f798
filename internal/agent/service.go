package agent

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"

	pb "jayford.example/jayford/api/jayfordv1"
	"jayford.example/jayford/internal/agent/grant"
	"jayford.example/jayford/internal/engine"
	"jayford.example/jayford/internal/memory"
	"jayford.example/jayford/internal/response"
	"jayford.example/jayford/internal/settings"
)

// headerRequest passes the request id to a plain service.
const headerRequest = "Jayford-Request"

const (
	dialTimeout = time.Second
	// maxAnswerBytes bounds the body of an answer. It is there twice: as it is read, and in the
	// message to the entry.
	maxAnswerBytes = 32 << 20
	answerCopies   = 2
)

// hopHeaders are not forwarded: they concern one connection only, or are set
// anew.
var hopHeaders = [...]string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate",
	"Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
	"Content-Length", "Expect", headerRequest,
}

// errNoAnswer is a failure after the request may have reached the service.
var errNoAnswer = errors.New("the service closed without an answer")

// dial opens a connection for one call. Connections aren't reused: the service
// may have closed an idle one unnoticed, and a request lost on it would
// needlessly count as "may have run".
func (a *Agent) dial(ctx context.Context) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	return new(net.Dialer).DialContext(ctx, "tcp", a.cfg.Backend)
}

// exchange sends q over conn and reads the head of the answer. The body is left
// for the caller to read.
//
// By default fasthttp retries a GET whose connection closed without an answer
// up to five times, and the service would run it each time. Both of its retry
// options are off, and a second dial fails.
func exchange(conn net.Conn, q *fasthttp.Request, out *fasthttp.Response) error {
	checked := response.NewConn(conn)
	client := &fasthttp.HostClient{
		Addr:                      conn.RemoteAddr().String(),
		Dial:                      dialOnce(checked),
		MaxIdemponentCallAttempts: 1,
		RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
		StreamResponseBody:        true,
		MaxConns:                  1,
		DisablePathNormalizing:    true,
		NoDefaultUserAgentHeader:  true,
	}
	if err := client.Do(q, out); err != nil {
		return checked.Cause(err)
	}
	return nil
}

var errDialled = errors.New("a call has one connection")

// dialOnce returns a dial function that returns conn once and fails after that.
func dialOnce(conn net.Conn) fasthttp.DialFunc {
	var used atomic.Bool
	return func(string) (net.Conn, error) {
		if used.Swap(true) {
			return nil, errDialled
		}
		return conn, nil
	}
}

// Call runs one request at the plain service.
func (s server) Call(ctx context.Context, q *pb.CallRequest) (*pb.CallReply, error) {
	a, k := s.agent, key(q.GetAttempt(), pb.Phase_PHASE_CALL)
	refusal, err := a.reserveCall(ctx, k, q)
	if err != nil {
		return nil, err
	}
	reply := &pb.CallReply{Incarnation: a.incarnation}
	if refusal == nil {
		refusal = a.call(ctx, k, q, reply)
	}
	reply.Refusal, reply.Load = refusalProto(refusal), a.Load()
	return reply, nil
}

// reserveCall reserves a slot unless the entry already has one.
func (a *Agent) reserveCall(ctx context.Context, k grant.Key, q *pb.CallRequest) (*grant.Refusal, error) {
	if a.cfg.BackendKind != settings.BackendService {
		return &grant.Refusal{Reason: pb.Reason_REASON_INVALID, Verdict: pb.Verdict_VERDICT_NOT_RUN}, nil
	}
	if r := a.refuseIfPaused(); r != nil {
		return r, nil
	}
	entry := q.GetAttempt().GetEntry()
	a.mu.Lock()
	held := a.core.Owns(k, entry)
	a.mu.Unlock()
	if held {
		return nil, nil
	}
	var wait time.Duration
	if q.GetExclusive() {
		wait = timeLimit(q.GetDeadlineMs())
	}
	return a.reserve(ctx, grant.Request{
		Key: k, Entry: entry, ListedFrom: q.GetAttempt().GetListedFrom(), Incarnation: q.GetIncarnation(),
		Fingerprint: q.GetFingerprint(), Exclusive: q.GetExclusive(), Wait: wait,
	})
}

// call starts a granted call and waits for its end. A call can't be attached
// to, so it ends with the RPC of its entry.
func (a *Agent) call(ctx context.Context, k grant.Key, q *pb.CallRequest, reply *pb.CallReply) (refusal *grant.Refusal) {
	var r *run
	entry := q.GetAttempt().GetEntry()
	if refusal = a.refuseIfPaused(); refusal != nil {
		a.release(k, entry)
		return refusal
	}
	a.step(func(c *grant.Core, now time.Duration) {
		r, refusal = a.startRun(c, now, k, entry, timeLimit(q.GetDeadlineMs()))
	})
	if refusal != nil {
		return refusal
	}
	stop := context.AfterFunc(ctx, func() { a.release(k, entry) })
	defer stop()
	// An answer that gives way to others ends with its run.
	claim := a.answers.Open(func() { r.abort(memory.ErrEvicted) })
	defer claim.Close()
	if err := a.forwardCall(r, q, reply, claim); err != nil {
		a.failRun(r, err)
		return r.watch(0).refusal
	}
	a.done(r, 0)
	return nil
}

// forwardCall sends the request to the service and fills reply, whose body claim
// is charged for. Nothing has run at the service until the core has marked r as
// sent.
func (a *Agent) forwardCall(r *run, q *pb.CallRequest, reply *pb.CallReply, claim *memory.Claim) error {
	req, out := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(out)
	if err := fillRequest(req, q, a.cfg.Backend); err != nil {
		return eris.Wrap(engine.ErrInvalid, err.Error())
	}
	out.SkipBody = req.Header.IsHead()
	conn, err := a.dial(r.ctx)
	if err != nil {
		return eris.Wrap(engine.ErrUnreachable, err.Error())
	}
	defer conn.Close()
	// This bounds the call, and tells the service that the caller is gone.
	stop := context.AfterFunc(r.ctx, func() { conn.Close() })
	defer stop()
	if !a.send(r) {
		return engine.ErrCancelled
	}
	if err := exchange(conn, req, out); err != nil {
		return noAnswer(r, err)
	}
	body, err := readAnswer(out, claim)
	if err != nil {
		return noAnswer(r, err)
	}
	a.recordPause(out)
	fillReply(reply, out, body)
	return nil
}

// noAnswer returns the error of a call that may have run.
func noAnswer(r *run, err error) error {
	if errors.Is(context.Cause(r.ctx), memory.ErrEvicted) {
		err = memory.ErrEvicted
	}
	return eris.Wrap(fmt.Errorf("%w: %w", errNoAnswer, err), "call")
}

// readAnswer reads the body of an answer within the memory of claim.
func readAnswer(out *fasthttp.Response, claim *memory.Claim) ([]byte, error) {
	if out.BodyStream() == nil {
		return nil, nil
	}
	body, err := claim.ReadAll(out.BodyStream(), int64(out.Header.ContentLength()), maxAnswerBytes, answerCopies)
	if errors.Is(err, memory.ErrTooLarge) {
		return nil, response.Malformed("the body has no end")
	}
	return body, err
}

func fillRequest(req *fasthttp.Request, q *pb.CallRequest, backend string) error {
	req.Header.DisableNormalizing()
	req.Header.SetMethod(q.GetMethod())
	req.Header.SetHost(backend)
	named := connectionHeaders(q.GetHeaders())
	for _, h := range q.GetHeaders() {
		switch {
		case strings.EqualFold(h.GetKey(), fasthttp.HeaderHost):
			req.Header.SetHostBytes(h.GetValue())
		case forwardable(h.GetKey(), named):
			req.Header.AddBytesV(h.GetKey(), h.GetValue())
		}
	}
	req.SetRequestURI(q.GetUri())
	req.Header.Set(headerRequest, q.GetAttempt().GetRequest())
	req.SetConnectionClose()
	req.SetBodyRaw(q.GetBody())
	return req.URI().Parse(req.Header.Host(), req.Header.RequestURI())
}

func fillReply(reply *pb.CallReply, out *fasthttp.Response, body []byte) {
	reply.Status = uint32(out.StatusCode())
	reply.Body = body
	var all []*pb.Header
	for k, v := range out.Header.All() {
		all = append(all, &pb.Header{Key: string(k), Value: bytes.Clone(v)})
	}
	named := connectionHeaders(all)
	for _, h := range all {
		if forwardable(h.GetKey(), named) {
			reply.Headers = append(reply.Headers, h)
		}
	}
}

// connectionHeaders returns the header names listed in the Connection headers.
func connectionHeaders(all []*pb.Header) []string {
	var out []string
	for _, h := range all {
		if !strings.EqualFold(h.GetKey(), fasthttp.HeaderConnection) {
			continue
		}
		for name := range strings.SplitSeq(string(h.GetValue()), ",") {
			out = append(out, strings.TrimSpace(name))
		}
	}
	return out
}

func forwardable(name string, named []string) bool {
	same := func(other string) bool { return strings.EqualFold(name, other) }
	return !slices.ContainsFunc(hopHeaders[:], same) && !slices.ContainsFunc(named, same)
}
