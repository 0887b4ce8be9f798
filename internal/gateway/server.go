package gateway

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"
	"github.com/valyala/fasthttp"

	"jayford.example/jayford/internal/callers"
	"jayford.example/jayford/internal/verdict"
)

// Protocol translates between HTTP and the gateway's types. It decides nothing.
type Protocol interface {
	// Decode returns the request, or why it can't be one.
	Decode(ctx *fasthttp.RequestCtx) (*Request, *verdict.Error)
	// Reply writes the head of a server's answer.
	Reply(resp *fasthttp.Response, r *Reply)
	// Refuse writes the gateway's own answer. r is nil if it couldn't be read.
	Refuse(resp *fasthttp.Response, r *Request, e *verdict.Error)
}

// ServerOptions of a Server.
type ServerOptions struct {
	// Listen is for callers; Ready is where the balancer asks ReadyPath.
	Listen, Ready, ReadyPath string
	MaxHeaderBytes           int
	MaxBodyBytes             int
	// HeaderTimeout bounds the arrival of a request's head, BodyTimeout that of
	// the whole request. IdleTimeout is the rest between two requests if the
	// configuration names none.
	HeaderTimeout, BodyTimeout, IdleTimeout time.Duration
	// WriteTimeout bounds one write to a caller.
	WriteTimeout time.Duration
	// MaxHeldBytes bounds the bodies of all running requests together.
	MaxHeldBytes int64
	// StopWithin bounds a graceful stop.
	StopWithin time.Duration
	Protocol   Protocol
}

const (
	// leastStop is how long a stopping gateway goes on taking new connections:
	// the balancer asks once a second and takes two misses for a no.
	leastStop = 2500 * time.Millisecond
	// quietStop is how long there must have been no request before it ends: one
	// that was on its way when the last answer went out is still served.
	quietStop = 500 * time.Millisecond
	stopTick  = 20 * time.Millisecond
	// closeRefuse is how long all requests are refused before the listener
	// closes, closeLinger how long the answers have to leave after it.
	closeRefuse = 150 * time.Millisecond
	closeLinger = 100 * time.Millisecond
	// heldRetryAfter is told to a caller refused for the memory of others.
	heldRetryAfter = time.Second
)

// Server is a gateway's callers' side.
type Server struct {
	g    *Gateway
	opts ServerOptions
	http *fasthttp.Server
	// held counts the bytes of the bodies of running requests.
	held heldBytes
}

// NewServer returns a server; Run starts it.
func NewServer(g *Gateway, o ServerOptions) *Server {
	s := &Server{g: g, opts: o}
	s.http = &fasthttp.Server{
		Handler:                      s.handle,
		ErrorHandler:                 s.malformed,
		HeaderReceived:               s.headerReceived,
		ConnState:                    noteRest,
		ReadBufferSize:               o.MaxHeaderBytes,
		MaxRequestBodySize:           o.MaxBodyBytes,
		ReadTimeout:                  o.HeaderTimeout,
		IdleTimeout:                  o.IdleTimeout,
		NoDefaultServerHeader:        true,
		NoDefaultContentType:         true,
		NoDefaultDate:                true,
		DisablePreParseMultipartForm: true,
		Logger:                       httpLog{g.log},
	}
	return s
}

// httpLog takes the library's own lines. They have addresses in their text; as
// one kind of line they are bounded together.
type httpLog struct{ log *logrus.Entry }

// Printf logs one line.
func (l httpLog) Printf(format string, args ...any) {
	l.log.WithField("detail", fmt.Sprintf(format, args...)).Info("gateway: connection ended with an error.")
}

func (s *Server) headerReceived(*fasthttp.RequestHeader) fasthttp.RequestConfig {
	return fasthttp.RequestConfig{ReadTimeout: s.opts.BodyTimeout}
}

// rest returns how long the configuration in force lets a caller's connection
// rest, 0 if it says nothing.
func (s *Server) rest() time.Duration {
	if c := s.g.Config(); c != nil {
		return c.Limits.IdleTimeout
	}
	return 0
}

func noteRest(c net.Conn, state fasthttp.ConnState) {
	if cc, ok := c.(*callers.Conn); ok {
		cc.Resting.Store(state == fasthttp.StateIdle)
	}
}

// Run serves until ctx ends, then stops without cutting a request.
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
		return eris.New("gateway: the callers' listener isn't TCP")
	}
	failed := make(chan error, 2)
	listener := &callers.Listener{TCPListener: tcp, WriteTimeout: s.opts.WriteTimeout, Rest: s.rest}
	go func() { failed <- s.http.Serve(listener) }()
	probe := &fasthttp.Server{Handler: s.answerReady, NoDefaultServerHeader: true, Logger: httpLog{s.g.log}}
	go func() { failed <- probe.Serve(ready) }()
	s.g.log.WithFields(logrus.Fields{"address": s.opts.Listen, "ready": s.opts.Ready}).Info("gateway: listening.")
	select {
	case err := <-failed:
		return eris.Wrap(err, "gateway: serve")
	case <-ctx.Done():
	}
	s.drain()
	s.close(listener)
	return nil
}

// drain serves as before until nothing runs any more. The listener stays open
// to the end: while the balancer still sends, a closed one would turn callers
// away without an answer.
func (s *Server) drain() {
	began := time.Now()
	s.g.Stop(began.Add(s.opts.StopWithin))
	s.g.log.WithFields(logrus.Fields{"requests": s.g.InFlight(), "within": s.opts.StopWithin.String()}).Info("gateway: stopping, readiness fails now.")
	defer func() {
		s.g.log.WithField("took", milliseconds(time.Since(began))).Info("gateway: drained.")
	}()
	quiet := began
	for time.Since(began) < s.opts.StopWithin {
		time.Sleep(stopTick)
		if s.g.InFlight() > 0 {
			quiet = time.Now()
		}
		if time.Since(began) > leastStop && time.Since(quiet) > quietStop {
			return
		}
	}
	s.g.log.WithField("requests", s.g.InFlight()).Warn("gateway: stop time is up, requests are cut.")
}

// close ends the callers' side. A request that came just when nothing ran any
// more was read and cut by the process's end, so that its caller couldn't know
// whether it ran. Now it is refused, and what comes after that finds no listener.
func (s *Server) close(l *callers.Listener) {
	s.g.Close()
	time.Sleep(closeRefuse)
	if err := l.Drain(); err != nil {
		s.g.log.WithError(err).Warn("gateway: callers may have been cut at the end.")
	}
	time.Sleep(closeLinger)
}

func (s *Server) answerReady(ctx *fasthttp.RequestCtx) {
	switch {
	case string(ctx.Path()) != s.opts.ReadyPath:
		ctx.SetStatusCode(fasthttp.StatusNotFound)
	case !s.g.Ready():
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
	}
}

func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	if s.g.Stopping() {
		// The caller moves to another gateway before this one ends.
		ctx.Response.SetConnectionClose()
	}
	size := int64(len(ctx.Request.Body()))
	if !s.held.take(size, s.opts.MaxHeldBytes) {
		s.refuse(ctx, nil, verdict.New(verdict.NotRun, verdict.Overloaded, "This gateway holds as many requests as it can.").After(heldRetryAfter))
		return
	}
	r, err := s.opts.Protocol.Decode(ctx)
	if err != nil {
		s.held.give(size)
		s.refuse(ctx, nil, err)
		return
	}
	watched, stop := callers.Watch(context.Background(), ctx.Conn())
	reply, err := s.g.Serve(watched, r)
	if err != nil {
		stop()
		s.held.give(size)
		s.refuse(ctx, r, err)
		return
	}
	s.opts.Protocol.Reply(&ctx.Response, reply)
	end := func() {
		stop()
		s.held.give(size)
	}
	ctx.Response.SetBodyStream(&countedBody{ReadCloser: reply.Body, end: end}, int(reply.Length))
}

func (s *Server) refuse(ctx *fasthttp.RequestCtx, r *Request, e *verdict.Error) {
	if errors.Is(e, callers.ErrGone) {
		// Nobody reads the answer.
		ctx.Response.SetConnectionClose()
	}
	s.opts.Protocol.Refuse(&ctx.Response, r, e)
}

// malformed answers a request that can't be read.
func (s *Server) malformed(ctx *fasthttp.RequestCtx, err error) {
	e := verdict.New(verdict.NotRun, verdict.Invalid, "The request can't be read: %v.", err)
	var small *fasthttp.ErrSmallBuffer
	var timeout net.Error
	switch {
	case errors.Is(err, fasthttp.ErrBodyTooLarge), errors.As(err, &small):
		e = verdict.New(verdict.NotRun, verdict.TooLarge, "The request is too large.")
	case errors.As(err, &timeout) && timeout.Timeout():
		e = verdict.New(verdict.NotRun, verdict.Deadline, "The request took too long to arrive.")
	}
	ctx.Response.SetConnectionClose()
	if c, ok := ctx.Conn().(*callers.Conn); ok {
		c.Linger.Store(true)
	}
	s.opts.Protocol.Refuse(&ctx.Response, nil, e)
}

// heldBytes counts bytes that requests hold.
type heldBytes struct {
	mu sync.Mutex
	n  int64
}

func (h *heldBytes) take(n, most int64) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.n+n > most {
		return false
	}
	h.n += n
	return true
}

func (h *heldBytes) give(n int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.n -= n
}
