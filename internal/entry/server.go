package entry

import (
	"bufio"
	"context"
	"errors"
	"net"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"

	"jayford.example/jayford/internal/accept"
	"jayford.example/jayford/internal/callers"
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
	// drainDelay is how long a stopping entry still accepts connections, so that
	// the load balancer sees the failing readiness check first.
	drainDelay = 2 * time.Second
	// closeLinger is how long idle connections stay open after the listener has
	// closed, so that a request already in transit is served.
	closeLinger = time.Second
	// heldBytesRetryAfter is the retry delay for callers refused because running
	// requests hold too much memory.
	heldBytesRetryAfter = time.Second
)

// server is the HTTP server of an entry.
type server struct {
	e        *Entry
	http     *fasthttp.Server
	inFlight atomic.Int64
	// heldBytes is the total size of the bodies of running requests.
	heldBytes atomic.Int64
	stopping  atomic.Bool
}

func newServer(e *Entry) *server {
	s := &server{e: e}
	lim := e.settings.Limits
	s.http = &fasthttp.Server{
		Handler:            s.handle,
		ErrorHandler:       s.malformed,
		ExpectHandler:      s.expect,
		Name:               "jayford",
		ReadBufferSize:     lim.MaxHeaderBytes,
		MaxRequestBodySize: lim.MaxBodyBytes,
		// Higher than the limit of limitListener, which counts a connection as
		// closed before the library's worker is free again.
		Concurrency:                  2 * lim.MaxConnections,
		ReadTimeout:                  readTimeout,
		IdleTimeout:                  idleTimeout,
		NoDefaultContentType:         true,
		NoDefaultDate:                true,
		DisablePreParseMultipartForm: true,
		CloseOnShutdown:              true,
		Logger:                       e.log,
	}
	return s
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
	go func() { failed <- s.http.Serve(newLimitListener(listener, lim.MaxConnections)) }()
	select {
	case err := <-failed:
		return err
	case <-ctx.Done():
	}
	s.stopping.Store(true)
	s.e.log.Info("entry: stopping; the readiness check fails from now on.")
	time.Sleep(min(drainDelay, s.e.settings.StopWithin.D()/4))
	if err := listener.Drain(); err != nil {
		s.e.log.WithError(err).Warn("entry: listener didn't drain, new connections may have been reset.")
	}
	s.drain(s.e.settings.StopWithin.D())
	limit, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	err := s.http.ShutdownWithContext(limit)
	if errors.Is(err, context.DeadlineExceeded) || errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}

// drain waits until no request has been running for closeLinger, or until limit
// has passed.
func (s *server) drain(limit time.Duration) {
	end := time.Now().Add(limit)
	quiet := time.Now()
	for time.Now().Before(end) {
		if s.inFlight.Load() > 0 {
			quiet = time.Now()
		}
		if time.Since(quiet) > closeLinger {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	s.e.log.WithField("requests", s.inFlight.Load()).Warn("entry: stop timeout reached, closing connections with running requests.")
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
	size := int64(len(ctx.Request.Body()))
	s.begin(size)
	streaming := false
	defer func() {
		if !streaming {
			s.end(size)
		}
	}()
	if s.stopping.Load() {
		// The caller moves to another entry before this connection closes.
		ctx.Response.SetConnectionClose()
	}
	switch string(ctx.Path()) {
	case pathLive:
		ctx.SetBodyString("ok\n")
	case pathReady:
		s.ready(ctx)
	case pathModels:
		s.models(ctx)
	case pathCompletions, pathChat:
		streaming = s.generation(ctx)
	default:
		s.call(ctx)
	}
}

func (s *server) begin(size int64) {
	s.inFlight.Add(1)
	s.heldBytes.Add(size)
}

func (s *server) end(size int64) {
	s.heldBytes.Add(-size)
	s.inFlight.Add(-1)
}

func (s *server) ready(ctx *fasthttp.RequestCtx) {
	if s.stopping.Load() || !s.e.ready() {
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		ctx.SetBodyString("not ready\n")
		return
	}
	ctx.SetBodyString("ready\n")
}

// generation handles a completion request. It reports whether the response is
// streamed after the handler returns.
func (s *server) generation(ctx *fasthttp.RequestCtx) bool {
	r, err := s.parse(ctx)
	if err == nil && !ctx.IsPost() {
		err = invalid("Use POST.")
	}
	if err == nil {
		err = r.parseGeneration(ctx.PostBody())
	}
	if err != nil {
		s.refuse(ctx, r, 0, err)
		return false
	}
	// The deadline still applies after the handler returns if the response is
	// streamed.
	base, cancel := context.WithDeadline(context.Background(), r.deadline)
	watched, stop := callers.Watch(base, ctx.Conn())
	end := func() {
		stop()
		cancel()
	}
	out := newOutput()
	go s.e.generate(watched, r, out)
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
	size := int64(len(ctx.PostBody()))
	ctx.SetBodyStreamWriter(func(w *bufio.Writer) {
		defer s.end(size)
		defer end()
		writeStream(watched, w, r, out)
	})
	return true
}

func (s *server) parse(ctx *fasthttp.RequestCtx) (*request, *verdict.Error) {
	id := s.e.nextID()
	ctx.Response.Header.Set(HeaderRequest, id)
	if s.heldBytes.Load() > s.e.settings.Limits.MaxHeldBytes {
		return nil, verdict.New(verdict.NotRun, verdict.Overloaded, "This entry holds as many requests as it can.").WithRetryAfter(heldBytesRetryAfter)
	}
	return parseCommon(ctx, id, time.Now(), s.e.settings.Limits)
}

// call forwards any other request to a plain service.
func (s *server) call(ctx *fasthttp.RequestCtx) {
	r, err := s.parse(ctx)
	if err != nil {
		s.refuse(ctx, r, 0, err)
		return
	}
	r.parseCall(ctx)
	base, cancel := context.WithDeadline(context.Background(), r.deadline)
	defer cancel()
	watched, stop := callers.Watch(base, ctx.Conn())
	defer stop()
	reply, attempts, err := s.e.callService(watched, r)
	if err != nil {
		s.refuse(ctx, r, attempts, err)
		return
	}
	ctx.SetStatusCode(int(reply.Status))
	for _, h := range reply.Headers {
		ctx.Response.Header.Add(h.Key, h.Value)
	}
	setAttempts(ctx, attempts)
	ctx.SetBody(reply.Body)
}
