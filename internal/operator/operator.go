// Package operator serves the operators' endpoints of a process: metrics, state
// dump, status and routing explanations. Its listener must not be reachable by
// callers.
package operator

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"
	"github.com/valyala/fasthttp"

	"jayford.example/jayford/internal/accept"
	"jayford.example/jayford/internal/board"
	"jayford.example/jayford/internal/callers"
)

// Paths of the operators' listener.
const (
	PathMetrics = "/metrics"
	PathState   = "/debug/state"
	PathStatus  = "/status"
	PathExplain = "/explain"
	// PathClearPart takes back what a gateway holds against a part of prompts.
	PathClearPart = "/parts/clear"
)

const (
	shutdownTimeout = time.Second
	// maxBody bounds the body of an order, in bytes.
	maxBody        = 64 << 10
	maxConnections = 32
	readTimeout    = 10 * time.Second
	writeTimeout   = 30 * time.Second
	idleTimeout    = time.Minute
)

// Status is the response to PathStatus.
type Status struct {
	ID               string `json:"id"`
	Role             string `json:"role"`
	AvailabilityZone string `json:"availabilityZone"`
	// Revision and Digest of the active configuration.
	Revision    uint64 `json:"revision"`
	Digest      uint64 `json:"digest"`
	Incarnation uint64 `json:"incarnation"`
	// Ready is set once the configuration is active. A new process that is still
	// fetching it from its peers and the platform isn't ready.
	Ready bool `json:"ready"`
	// UptimeSeconds since the process started.
	UptimeSeconds int64 `json:"uptimeSeconds"`
}

// Server serves the operators' endpoints.
type Server struct {
	board   *board.Board
	status  func() Status
	explain func(query *fasthttp.Args) (any, error)
	// actions are the orders of operators by path, set before Run.
	actions map[string]Action
	log     *logrus.Entry
}

// Action carries out an order of an operator and returns the result. An error says what is
// wrong with the order.
type Action func(query *fasthttp.Args) (any, error)

// New returns a Server, and adds the status to the board's dump so that it identifies the
// process. explain may be nil for a role that doesn't route requests.
func New(b *board.Board, status func() Status, explain func(*fasthttp.Args) (any, error), log *logrus.Logger) *Server {
	b.AddView("status", func() any { return status() })
	return &Server{board: b, status: status, explain: explain, actions: map[string]Action{}, log: log.WithField("part", "operator")}
}

// HandleAction makes f carry out the orders that are posted to a path. It must be called before
// Run.
func (s *Server) HandleAction(path string, f Action) { s.actions[path] = f }

// Run serves on address until ctx ends.
func (s *Server) Run(ctx context.Context, address string) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return eris.Wrapf(err, "operator: listen on %s", address)
	}
	return s.Serve(ctx, l)
}

// Serve serves on l until ctx ends.
func (s *Server) Serve(ctx context.Context, l net.Listener) error {
	srv := &fasthttp.Server{
		Handler: s.handle, Name: "jayford", CloseOnShutdown: true,
		Logger:             callers.HTTPLog{Log: s.log, Message: "operator: connection ended with an error."},
		MaxRequestBodySize: maxBody, ReadTimeout: readTimeout, WriteTimeout: writeTimeout, IdleTimeout: idleTimeout,
	}
	failed := make(chan error, 1)
	go func() {
		failed <- srv.Serve(&accept.Bounded{Listener: &accept.Listener{Listener: l, Retrier: accept.Retrier{Log: s.log}}, Most: maxConnections})
	}()
	select {
	case err := <-failed:
		return eris.Wrap(err, "operator: serve")
	case <-ctx.Done():
	}
	shutdownCtx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	err := srv.ShutdownWithContext(shutdownCtx)
	if errors.Is(err, context.DeadlineExceeded) {
		return nil
	}
	return err
}

func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	switch string(ctx.Path()) {
	case PathMetrics:
		ctx.SetContentType("text/plain; charset=utf-8")
		metrics.WritePrometheus(ctx, true)
	case PathState:
		s.serveState(ctx)
	case PathStatus:
		writeJSON(ctx, s.status())
	case PathExplain:
		s.serveExplain(ctx)
	default:
		s.serveAction(ctx)
	}
}

func (s *Server) serveAction(ctx *fasthttp.RequestCtx) {
	f, ok := s.actions[string(ctx.Path())]
	switch {
	case !ok:
		ctx.Error("no such page", fasthttp.StatusNotFound)
		return
	case !ctx.IsPost():
		ctx.Error("only POST", fasthttp.StatusMethodNotAllowed)
		return
	}
	v, err := f(ctx.PostArgs())
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	writeJSON(ctx, v)
}

func (s *Server) serveState(ctx *fasthttp.RequestCtx) {
	dump, err := s.board.Dump()
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(dump)
}

func (s *Server) serveExplain(ctx *fasthttp.RequestCtx) {
	if s.explain == nil {
		ctx.Error("this role routes nothing", fasthttp.StatusNotFound)
		return
	}
	v, err := s.explain(ctx.QueryArgs())
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	writeJSON(ctx, v)
}

func writeJSON(ctx *fasthttp.RequestCtx, v any) {
	body, err := json.Marshal(v)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(append(body, '\n'))
}
