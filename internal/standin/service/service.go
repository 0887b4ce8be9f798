// Package service is a stand-in for a plain HTTP service, for tests and the dev
// role. It echoes each call and keeps a record of the calls that it ran.
package service

import (
	"bytes"
	"context"
	"encoding/json"
	"net"
	"os"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"
	"github.com/valyala/fasthttp"
	"golang.org/x/sync/errgroup"

	"jayford.example/jayford/internal/standin/faultnet"
	"jayford.example/jayford/internal/wait"
)

// Paths of the stand-in itself. Calls to all other paths are echoed.
const (
	PathRecord  = "/v1/record"
	PathControl = "/v1/control"
)

// HeaderRequest carries jayford's request id.
const HeaderRequest = "Jayford-Request"

const (
	// exitCode is the exit code of a crash with ExitOnCrash, as after SIGKILL.
	exitCode            = 137
	defaultRestartAfter = time.Second
	maxRequest          = 16 << 20
)

// Options describe the simulated service.
type Options struct {
	// Name is returned in each echo.
	Name string
	// Delay is the time that a call takes.
	Delay time.Duration
	// EchoHeaders are the request headers to echo, in addition to
	// HeaderRequest and Content-Type.
	EchoHeaders []string
	// CrashMarker crashes the service when a body or URI contains it.
	CrashMarker string
	// ExitOnCrash makes a crash exit the process. Otherwise the crash is
	// simulated, and the service listens again after RestartAfter (default 1 s).
	ExitOnCrash  bool
	RestartAfter time.Duration
}

// Header is an echoed request header.
type Header struct {
	Key   string `json:"key"`
	Value string `json:"value"`
}

// Echo is the response to a call.
type Echo struct {
	// Run numbers the calls of this service, across simulated crashes.
	Run     uint64   `json:"run"`
	Name    string   `json:"name,omitempty"`
	Method  string   `json:"method"`
	Path    string   `json:"path"`
	Query   string   `json:"query,omitempty"`
	Headers []Header `json:"headers"`
	Body    string   `json:"body,omitempty"`
}

// Call is an entry of the record.
type Call struct {
	Run     uint64    `json:"run"`
	Request string    `json:"request"`
	Method  string    `json:"method"`
	URI     string    `json:"uri"`
	Start   time.Time `json:"start"`
	// End is zero while the call runs, and stays zero if a crash interrupts it.
	End time.Time `json:"end,omitzero"`
	// Crashed is set if this call crashed the service.
	Crashed bool `json:"crashed,omitempty"`
}

// Control injects faults. A zero field changes nothing.
type Control struct {
	CrashMarker *string `json:"crashMarker,omitempty"`
	// DelayMs replaces Options.Delay.
	DelayMs *int `json:"delayMs,omitempty"`
	// StallMs stalls running and new calls for this long. New calls are
	// recorded before they stall.
	StallMs int `json:"stallMs,omitempty"`
	// FreezeMs delays the start of new calls for this long. They are recorded
	// only after the freeze.
	FreezeMs int `json:"freezeMs,omitempty"`
	// SilenceConnections blackholes the open connections permanently; new
	// connections work.
	SilenceConnections bool `json:"silenceConnections,omitempty"`
	// Crash crashes the service immediately.
	Crash bool `json:"crash,omitempty"`
}

// Service is a simulated service.
type Service struct {
	opts Options
	log  *logrus.Entry

	mu sync.Mutex
	// The fields below are guarded by mu.
	calls        []Call
	marker       string
	delay        time.Duration
	stalledUntil time.Time
	frozenUntil  time.Time
	current      *process
}

// New returns a service. It handles no calls until Serve is called.
func New(o Options) *Service {
	if o.RestartAfter == 0 {
		o.RestartAfter = defaultRestartAfter
	}
	return &Service{
		opts:   o,
		log:    logrus.WithField("part", "standin-service"),
		marker: o.CrashMarker,
		delay:  o.Delay,
	}
}

// Serve serves on ln until ctx ends. After a simulated crash it listens on the same
// address again. It closes ln.
func (s *Service) Serve(ctx context.Context, ln net.Listener) error {
	addr := ln.Addr().String()
	for {
		if err := s.runProcess(ctx, ln); err != nil {
			return err
		}
		if !wait.Sleep(ctx, s.opts.RestartAfter) {
			return nil
		}
		if ln = faultnet.ListenRetrying(ctx, addr); ln == nil {
			return nil
		}
	}
}

// runProcess runs one incarnation until it crashes or ctx ends.
func (s *Service) runProcess(ctx context.Context, ln net.Listener) error {
	p := newProcess(s, ln)
	s.mu.Lock()
	s.current = p
	s.mu.Unlock()
	srv := fasthttp.Server{
		Name:               "standin-service",
		Handler:            p.handle,
		MaxRequestBodySize: maxRequest,
		Logger:             faultnet.DebugLogger{Entry: s.log},
	}
	var g errgroup.Group
	g.Go(func() error {
		select {
		case <-ctx.Done():
		case <-p.ctx.Done():
		}
		p.shutdown()
		return nil
	})
	err := srv.Serve(p.conns)
	dead := p.ctx.Err() != nil
	p.shutdown()
	_ = g.Wait()
	if dead {
		return nil
	}
	return eris.Wrap(err, "serve")
}

// Record returns all calls in the order in which they began.
func (s *Service) Record() []Call {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Call{}, s.calls...)
}

// Control applies c.
func (s *Service) Control(c Control) { s.control(c, nil) }

// control applies c. SilenceConnections spares the connection that c was received
// on.
func (s *Service) control(c Control, on net.Conn) {
	s.mu.Lock()
	if c.CrashMarker != nil {
		s.marker = *c.CrashMarker
	}
	if c.DelayMs != nil {
		s.delay = time.Duration(*c.DelayMs) * time.Millisecond
	}
	extend(&s.stalledUntil, c.StallMs)
	extend(&s.frozenUntil, c.FreezeMs)
	p := s.current
	s.mu.Unlock()
	if c.SilenceConnections && p != nil {
		p.conns.Silence(on)
	}
	if c.Crash && p != nil {
		s.crash(p)
	}
}

func extend(until *time.Time, ms int) {
	if ms > 0 {
		*until = time.Now().Add(time.Duration(ms) * time.Millisecond)
	}
}

func (s *Service) crash(p *process) {
	if s.opts.ExitOnCrash {
		os.Exit(exitCode)
	}
	p.shutdown()
	s.log.Info("Service crashed.")
}

// begin records the call and returns its run number, its duration, and whether it
// crashes the service.
func (s *Service) begin(c *fasthttp.RequestCtx) (run uint64, delay time.Duration, crash bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	marker := []byte(s.marker)
	crash = len(marker) > 0 && (bytes.Contains(c.PostBody(), marker) || bytes.Contains(c.RequestURI(), marker))
	run = uint64(len(s.calls)) + 1
	s.calls = append(s.calls, Call{
		Run:     run,
		Request: string(c.Request.Header.Peek(HeaderRequest)),
		Method:  string(c.Method()),
		URI:     string(c.RequestURI()),
		Start:   time.Now(),
		Crashed: crash,
	})
	return run, max(s.delay, time.Until(s.stalledUntil)), crash
}

// stallLeft returns the remaining time of a stall.
func (s *Service) stallLeft() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Until(s.stalledUntil)
}

func (s *Service) freezeLeft() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Until(s.frozenUntil)
}

func (s *Service) finish(run uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls[run-1].End = time.Now()
}

func (s *Service) echo(c *fasthttp.RequestCtx, run uint64) {
	e := Echo{
		Run:     run,
		Name:    s.opts.Name,
		Method:  string(c.Method()),
		Path:    string(c.Path()),
		Query:   string(c.QueryArgs().QueryString()),
		Headers: []Header{},
		Body:    string(c.PostBody()),
	}
	for _, k := range append([]string{HeaderRequest, fasthttp.HeaderContentType}, s.opts.EchoHeaders...) {
		if v := c.Request.Header.Peek(k); len(v) > 0 {
			e.Headers = append(e.Headers, Header{k, string(v)})
		}
	}
	reply(c, e)
}

func reply(c *fasthttp.RequestCtx, v any) {
	b, err := json.Marshal(v)
	if err != nil {
		c.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	c.SetContentType("application/json")
	c.SetBody(b)
}
