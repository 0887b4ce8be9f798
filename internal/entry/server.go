package entry

import (
	"bufio"
	"context"
	"net"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"

	"jayford.example/jayford/internal/accept"
	"jayford.example/jayford/internal/callers"
	"jayford.example/jayford/internal/policy/stop"
	"jayford.example/jayford/internal/verdict"
)

// Paths that the entry serves itself. All others are forwarded to plain services.
const (
	pathCompletions = "/v1/completions"
	pathChat        = "/v1/chat/completions"
	pathModels      = "/v1/models"
	pathLive        = "/livez"
	pathReady       = "/readyz"
)

const (
	readTimeout = 30 * time.Second
	idleTimeout = 75 * time.Second
	// heldBytesRetryAfter is the retry delay for callers refused because running
	// requests hold too much memory.
	heldBytesRetryAfter = time.Second
	// generationCopies is how many times the size of its body a generation takes besides it: the
	// parsed body, the prompt and the messages to agents.
	generationCopies = 7
)

// server is the HTTP server of an entry.
type server struct {
	e        *Entry
	http     *callers.Server
	inFlight atomic.Int64
	// heldBytes is the total size of the bodies of running requests.
	heldBytes atomic.Int64
	// stop is the graceful stop in progress, nil before it.
	stop atomic.Pointer[stop.Stop]
	// closed is set when no further request is taken.
	closed atomic.Bool
	// lifetime ends, by giveUp, when the requests in progress must get their final answer.
	lifetime context.Context
	giveUp   context.CancelFunc
}

func newServer(e *Entry) *server {
	s := &server{e: e}
	s.lifetime, s.giveUp = context.WithCancel(context.Background())
	lim := e.settings.Limits
	s.http = callers.NewServer(callers.ServerOptions{
		HTTP: s.newHTTP, MaxHeaderBytes: lim.MaxHeaderBytes, HeaderTimeout: readTimeout, BodyTimeout: readTimeout, IdleTimeout: idleTimeout, Limits: e.memory,
	})
	e.board.AddView("memory", func() any { return s.http.Usage() })
	return s
}

func (s *server) newHTTP() *fasthttp.Server {
	return &fasthttp.Server{
		Handler:       s.handle,
		ErrorHandler:  s.malformed,
		ExpectHandler: s.expect,
		Name:          "jayford",
		// Higher than the limit of limitListener, which counts a connection as
		// closed before the library's worker is free again.
		Concurrency:                  2 * s.e.settings.Limits.MaxConnections,
		ReadTimeout:                  readTimeout,
		IdleTimeout:                  idleTimeout,
		NoDefaultContentType:         true,
		NoDefaultDate:                true,
		DisablePreParseMultipartForm: true,
		CloseOnShutdown:              true,
		Logger:                       callers.HTTPLog{Log: s.e.log, Message: "entry: connection ended with an error."},
	}
}

// run serves until ctx ends, then shuts down gracefully: readiness fails first,
// the listener closes next, and running requests finish.
func (s *server) run(ctx context.Context, l net.Listener) error {
	tcp, ok := l.(*net.TCPListener)
	if !ok {
		return eris.New("entry: the callers' listener isn't TCP")
	}
	failed := make(chan error, 1)
	lim := s.e.settings.Limits
	listener := &callers.Listener{TCPListener: tcp, WriteTimeout: lim.WriteTimeout.D(), Retrier: accept.Retrier{Log: s.e.log}}
	if err := listener.LimitReceiveBuffer(); err != nil {
		s.e.log.WithError(err).Warn("entry: the kernel's buffers for callers aren't bounded.")
	}
	limited := newLimitListener(listener, min(lim.MaxConnections, int(s.e.memory.Connections)))
	go func() { failed <- s.http.Serve(limited.AcceptConn) }()
	select {
	case err := <-failed:
		return err
	case <-ctx.Done():
	}
	return s.shutDown(listener)
}

// expect handles "Expect: 100-continue". A body over the size limit is refused
// before it is sent.
func (s *server) expect(ctx *fasthttp.RequestCtx) int {
	if ctx.Request.Header.ContentLength() > s.e.settings.Limits.MaxBodyBytes {
		s.malformed(ctx, fasthttp.ErrBodyTooLarge)
		return ctx.Response.StatusCode()
	}
	return fasthttp.StatusContinue
}

func (s *server) handle(ctx *fasthttp.RequestCtx) {
	received, err := callers.Receive(ctx, s.e.settings.Limits.MaxBodyBytes)
	if err != nil {
		s.malformed(ctx, err)
		return
	}
	s.begin(received)
	streaming := false
	defer func() {
		if !streaming {
			s.end(received)
		}
	}()
	if s.stop.Load() != nil {
		// The caller moves to another entry before this connection closes.
		ctx.Response.SetConnectionClose()
	}
	if s.closed.Load() {
		s.refuse(ctx, nil, 0, stoppedError(verdict.NotRun))
		return
	}
	switch string(ctx.Path()) {
	case pathLive:
		ctx.SetBodyString("ok\n")
	case pathReady:
		s.ready(ctx)
	case pathModels:
		s.models(ctx)
	case pathCompletions, pathChat:
		streaming = s.generation(ctx, received)
	default:
		s.call(ctx, received)
	}
}

func (s *server) begin(q *callers.Request) {
	s.inFlight.Add(1)
	s.heldBytes.Add(int64(len(q.Body)))
}

func (s *server) end(q *callers.Request) {
	s.heldBytes.Add(-int64(len(q.Body)))
	s.inFlight.Add(-1)
	q.Release()
}

func (s *server) ready(ctx *fasthttp.RequestCtx) {
	if s.stop.Load() != nil || !s.e.ready() {
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		ctx.SetBodyString("not ready\n")
		return
	}
	ctx.SetBodyString("ready\n")
}

// generation handles a completion request. It reports whether the response is
// streamed after the handler returns.
func (s *server) generation(ctx *fasthttp.RequestCtx, q *callers.Request) bool {
	r, err := s.parse(ctx, true)
	if err == nil && !ctx.IsPost() {
		err = invalid("Use POST.")
	}
	if err == nil && !q.Charge(generationCopies*int64(len(q.Body))) {
		err = heldError()
	}
	if err == nil {
		err = r.parseGeneration(q.Body)
	}
	q.Decoded(ctx)
	if err != nil {
		s.refuse(ctx, r, 0, err)
		return false
	}
	// The deadline still applies after the handler returns if the response is
	// streamed.
	base, cancel := context.WithDeadline(context.Background(), r.deadline)
	watched, stop := callers.Watch(base, ctx.Conn())
	// The answer is awaited until its end, which tells whether the request may have run.
	running, release := s.untilStopped(watched)
	end := func() {
		release()
		stop()
		cancel()
	}
	out := newOutput()
	go s.e.generate(running, r, out)
	if !r.stream {
		defer end()
		s.answerWhole(ctx, r, out.waitEnd(watched))
		return false
	}
	first := out.next(watched, 0)
	if first.err != nil || (len(first.tokens) == 0 && !first.done) {
		end()
		s.answerWhole(ctx, r, first)
		return false
	}
	s.startStream(ctx, first.attempts)
	ctx.SetBodyStreamWriter(func(w *bufio.Writer) {
		defer s.end(q)
		defer end()
		writeStream(watched, w, r, out)
	})
	return true
}

// heldError refuses a request for which there is no memory.
func heldError() *verdict.Error {
	return verdict.New(verdict.NotRun, verdict.Overloaded, "This entry holds as many requests as it can.").WithRetryAfter(heldBytesRetryAfter)
}

// parse parses the parts that all requests have, and refuses one that may not end before the
// process does.
func (s *server) parse(ctx *fasthttp.RequestCtx, isGeneration bool) (*request, *verdict.Error) {
	id := s.e.nextID()
	ctx.Response.Header.Set(HeaderRequest, id)
	if s.heldBytes.Load() > s.e.settings.Limits.MaxHeldBytes {
		return nil, heldError()
	}
	r, err := parseCommon(ctx, id, time.Now(), s.e.settings.Limits)
	if st := s.stop.Load(); err == nil && st != nil && !st.Accepts(time.Now(), r.deadline, isGeneration) {
		err = stoppedError(verdict.NotRun)
	}
	return r, err
}

// call forwards any other request to a plain service.
func (s *server) call(ctx *fasthttp.RequestCtx, q *callers.Request) {
	r, err := s.parse(ctx, false)
	if err != nil {
		s.refuse(ctx, r, 0, err)
		return
	}
	r.parseCall(ctx, q.Body)
	q.Decoded(ctx)
	base, cancel := context.WithDeadline(context.Background(), r.deadline)
	defer cancel()
	watched, stop := callers.Watch(base, ctx.Conn())
	defer stop()
	running, release := s.untilStopped(watched)
	defer release()
	reply, attempts, err := s.e.callService(running, r)
	if err != nil {
		s.refuse(ctx, r, attempts, err)
		return
	}
	ctx.SetStatusCode(int(reply.Status))
	for _, h := range reply.Headers {
		ctx.Response.Header.AddBytesV(h.Key, h.Value)
	}
	setAttempts(ctx, attempts)
	ctx.SetBody(reply.Body)
}
