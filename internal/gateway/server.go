package gateway

import (
	"context"
	"errors"
	"math"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"
	"github.com/valyala/fasthttp"
	"golang.org/x/sys/unix"

	"jayford.example/jayford/internal/accept"
	"jayford.example/jayford/internal/callers"
	"jayford.example/jayford/internal/memory"
	"jayford.example/jayford/internal/verdict"
)

// Protocol translates between HTTP and the gateway's types. It makes no routing
// decisions.
type Protocol interface {
	// Decode returns the request of ctx, whose body has been read, or an error if it is invalid.
	Decode(ctx *fasthttp.RequestCtx, body []byte) (*Request, *verdict.Error)
	// Reply writes the status and headers of a server's answer.
	Reply(resp *fasthttp.Response, r *Reply)
	// Refuse writes an error answer of the gateway. r is nil if the request couldn't
	// be decoded.
	Refuse(resp *fasthttp.Response, r *Request, e *verdict.Error)
}

// ServerOptions of a Server.
type ServerOptions struct {
	// Listen is the address for callers; Ready is the address at which the load
	// balancer polls ReadyPath.
	Listen, Ready, ReadyPath string
	MaxHeaderBytes           int
	MaxBodyBytes             int
	// HeaderTimeout bounds the receipt of a request's headers, BodyTimeout that of the
	// whole request. IdleTimeout applies between two requests if the configuration
	// sets none.
	HeaderTimeout, BodyTimeout, IdleTimeout time.Duration
	// WriteTimeout bounds one write to a caller.
	WriteTimeout time.Duration
	// MaxHeldBytes bounds the bodies of all running requests together.
	MaxHeldBytes int64
	// Memory bounds what callers take up; its zero value stands for what the process finds out.
	Memory memory.Limits
	// StopWithin bounds a graceful stop.
	StopWithin time.Duration
	// EarliestSent returns the earliest time at which a signal can have been sent that was
	// handled at a time. A nil EarliestSent returns that time itself.
	EarliestSent func(handled time.Time) time.Time
	Protocol     Protocol
}

// endedWithError is the message of the HTTP library's lines in the log.
const endedWithError = "gateway: connection ended with an error."

// heldRetryAfter is the Retry-After when the memory for request bodies is used up.
const heldRetryAfter = time.Second

// Server is the HTTP server for callers.
type Server struct {
	g    *Gateway
	opts ServerOptions
	http *callers.Server
	// held counts the bytes of the bodies of requests in progress.
	held byteBudget
	// ready is the answer to the last readiness check.
	ready atomic.Bool
}

// NewServer returns a server; Run starts it.
func NewServer(g *Gateway, o ServerOptions) *Server {
	if o.Memory.Machine == 0 {
		o.Memory = memory.Detect(0)
	}
	s := &Server{g: g, opts: o}
	s.http = callers.NewServer(callers.ServerOptions{
		HTTP: s.newHTTP, MaxHeaderBytes: o.MaxHeaderBytes, HeaderTimeout: o.HeaderTimeout, BodyTimeout: o.BodyTimeout, IdleTimeout: o.IdleTimeout, Limits: o.Memory,
	})
	g.opts.Board.AddView("memory", func() any { return s.http.Usage() })
	return s
}

func (s *Server) newHTTP() *fasthttp.Server {
	return &fasthttp.Server{
		Handler:                      s.handle,
		ErrorHandler:                 s.refuseMalformed,
		HeaderReceived:               s.headerReceived,
		ReadTimeout:                  s.opts.HeaderTimeout,
		IdleTimeout:                  s.opts.IdleTimeout,
		NoDefaultServerHeader:        true,
		NoDefaultContentType:         true,
		NoDefaultDate:                true,
		DisablePreParseMultipartForm: true,
		Logger:                       callers.HTTPLog{Log: s.g.log, Message: endedWithError},
	}
}

func (s *Server) headerReceived(*fasthttp.RequestHeader) fasthttp.RequestConfig {
	return fasthttp.RequestConfig{ReadTimeout: s.opts.BodyTimeout}
}

// idleTimeout returns the configured idle timeout of callers' connections, 0 if none
// is set.
func (s *Server) idleTimeout() time.Duration {
	if c := s.g.Config(); c != nil {
		return c.Limits.IdleTimeout
	}
	return 0
}

// Run serves until ctx ends, then stops gracefully.
func (s *Server) Run(ctx context.Context) error {
	l, err := net.Listen("tcp", s.opts.Listen)
	if err != nil {
		return eris.Wrapf(err, "gateway: listen on %s", s.opts.Listen)
	}
	ready, err := net.Listen("tcp", s.opts.Ready)
	if err != nil {
		return eris.Wrapf(err, "gateway: listen on %s", s.opts.Ready)
	}
	tcp, ok := l.(*net.TCPListener)
	if !ok {
		return eris.New("gateway: listener for callers isn't TCP")
	}
	failed := make(chan error, 2)
	listener := &callers.Listener{TCPListener: tcp, WriteTimeout: s.opts.WriteTimeout, IdleTimeout: s.idleTimeout, MaxOpen: s.maxConnections(), Retrier: accept.Retrier{Log: s.g.log}}
	if err := listener.LimitReceiveBuffer(); err != nil {
		s.g.log.WithError(err).Warn("gateway: the kernel's buffers for callers aren't bounded.")
	}
	go func() { failed <- s.http.Serve(listener.AcceptConn) }()
	go func() { failed <- s.serveReady(ready) }()
	s.g.log.WithFields(logrus.Fields{"address": s.opts.Listen, "ready": s.opts.Ready}).Info("gateway: listening.")
	select {
	case err := <-failed:
		return eris.Wrap(err, "gateway: serve")
	case <-ctx.Done():
	}
	s.stop(listener)
	return nil
}

// Bounds of the listener for readiness checks, which have no bodies.
const (
	maxReadyConnections = 64
	maxReadyBody        = 1 << 10
	readyTimeout        = 3 * time.Second
	readyIdleTimeout    = 30 * time.Second
)

// serveReady answers readiness checks.
func (s *Server) serveReady(l net.Listener) error {
	probe := &fasthttp.Server{
		Handler: s.handleReady, NoDefaultServerHeader: true, Logger: callers.HTTPLog{Log: s.g.log, Message: endedWithError},
		MaxRequestBodySize: maxReadyBody, ReadTimeout: readyTimeout, WriteTimeout: readyTimeout, IdleTimeout: readyIdleTimeout,
	}
	return probe.Serve(&accept.Bounded{Listener: &accept.Listener{Listener: l, Retrier: accept.Retrier{Log: s.g.log}}, Most: maxReadyConnections})
}

// callersPart is the part of the process's descriptors that connections of callers may have. The
// others are for servers, the platform and peers.
const callersPart = 0.75

// maxConnections returns how many connections of callers may be open: those for which there are
// descriptors and memory.
func (s *Server) maxConnections() int64 {
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil {
		s.g.log.WithError(err).Warn("gateway: the number of descriptors isn't known.")
		return s.opts.Memory.Connections
	}
	return min(s.opts.Memory.Connections, int64(callersPart*float64(min(limit.Cur, math.MaxInt32))))
}

func (s *Server) handleReady(ctx *fasthttp.RequestCtx) {
	if string(ctx.Path()) != s.opts.ReadyPath {
		ctx.SetStatusCode(fasthttp.StatusNotFound)
		return
	}
	ready := s.g.Ready()
	if s.ready.Swap(ready) != ready {
		s.g.log.WithFields(logrus.Fields{"ready": ready, "losingKeys": s.g.isLosingKeys(), "stopping": s.g.Stopping()}).Info("gateway: readiness changed.")
	}
	if !ready {
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
	}
}

func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	if s.g.Stopping() || s.g.isLosingKeys() {
		// Makes the caller reconnect to another gateway before this one refuses its requests.
		ctx.Response.SetConnectionClose()
	}
	received, err := callers.Receive(ctx, s.opts.MaxBodyBytes)
	if err != nil {
		s.refuseMalformed(ctx, err)
		return
	}
	size := int64(len(received.Body))
	if !s.held.acquire(size, s.opts.MaxHeldBytes) {
		received.Release()
		s.refuse(ctx, nil, heldError())
		return
	}
	end := func() {
		s.held.release(size)
		received.Release()
	}
	r, refusal := s.opts.Protocol.Decode(ctx, received.Body)
	received.Decoded(ctx)
	if refusal != nil {
		end()
		s.refuse(ctx, nil, refusal)
		return
	}
	r.Charge = received.Charge
	watched, stop := callers.Watch(context.Background(), ctx.Conn())
	reply, refusal := s.g.Serve(watched, r)
	if refusal != nil {
		stop()
		end()
		s.refuse(ctx, r, refusal)
		return
	}
	s.opts.Protocol.Reply(&ctx.Response, reply)
	ctx.Response.SetBodyStream(&closeHookBody{ReadCloser: reply.Body, onClose: func() {
		stop()
		end()
	}}, int(reply.Length))
}

// heldError refuses a request for which there is no memory.
func heldError() *verdict.Error {
	return verdict.New(verdict.NotRun, verdict.Overloaded, "This gateway holds as many requests as it can.").WithRetryAfter(heldRetryAfter)
}

func (s *Server) refuse(ctx *fasthttp.RequestCtx, r *Request, e *verdict.Error) {
	if errors.Is(e, callers.ErrDisconnected) {
		// The caller has disconnected.
		ctx.Response.SetConnectionClose()
	}
	s.opts.Protocol.Refuse(&ctx.Response, r, e)
}

// refuseMalformed answers a request that can't be received.
func (s *Server) refuseMalformed(ctx *fasthttp.RequestCtx, err error) {
	err = callers.Refuse(ctx, err)
	e := receiveError(err)
	countRefusal(e)
	s.g.log.WithFields(logrus.Fields{"code": e.Code, "cause": err.Error()}).Info("gateway: request wasn't received.")
	s.opts.Protocol.Refuse(&ctx.Response, nil, e)
}

// receiveError returns the refusal of a request that can't be received.
func receiveError(err error) *verdict.Error {
	var small *fasthttp.ErrSmallBuffer
	var timeout net.Error
	switch {
	case callers.IsShortage(err):
		return heldError()
	case errors.Is(err, fasthttp.ErrBodyTooLarge), errors.Is(err, callers.ErrLargeHead), errors.As(err, &small):
		return verdict.New(verdict.NotRun, verdict.TooLarge, "The request is too large.")
	case errors.As(err, &timeout) && timeout.Timeout():
		return verdict.New(verdict.NotRun, verdict.Deadline, "The request took too long to arrive.")
	}
	return verdict.New(verdict.NotRun, verdict.Invalid, "The request can't be read: %v.", err)
}

// byteBudget counts the bytes held by requests.
type byteBudget struct {
	mu sync.Mutex
	n  int64
}

func (h *byteBudget) acquire(n, most int64) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.n+n > most {
		return false
	}
	h.n += n
	return true
}

func (h *byteBudget) release(n int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.n -= n
}
