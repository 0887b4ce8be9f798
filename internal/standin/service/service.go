// Package service is a stand-in for a plain HTTP service, for tests and the dev
// role. It echoes each call and keeps an account of the calls it ran.
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

// Paths of the stand-in itself; all others are echoed.
const (
	PathRecord  = "/v1/record"
	PathControl = "/v1/control"
)

// HeaderRequest carries jayford's request id.
const HeaderRequest = "Jayford-Request"

const (
	// exitCode of a process that ExitOnCrash ends.
	exitCode            = 137
	defaultRestartAfter = time.Second
	maxRequest          = 16 << 20
)

// Options describe the service that is stood in for.
type Options struct {
	// Name is told in each echo.
	Name string
	// Delay is how long a call takes.
	Delay time.Duration
	// EchoHeaders are the request headers that an echo shows, beside
	// HeaderRequest and Content-Type.
	EchoHeaders []string
	// CrashMarker crashes the service when a body or URI contains it.
	CrashMarker string
	// ExitOnCrash: a crash ends the real process. Otherwise it is simulated,
	// and the service listens again after RestartAfter (default 1 s).
	ExitOnCrash  bool
	RestartAfter time.Duration
}

// Header is one header of an echo.
type Header struct {
	Key   string `json:"key"`
	Value string `json:"value"`
}

// Echo is the answer to a call.
type Echo struct {
	// Run is unique among the calls of this service, over its crashes.
	Run     uint64   `json:"run"`
	Name    string   `json:"name,omitempty"`
	Method  string   `json:"method"`
	Path    string   `json:"path"`
	Query   string   `json:"query,omitempty"`
	Headers []Header `json:"headers"`
	Body    string   `json:"body,omitempty"`
}

// Call is one line of the account. Its place says when the call began.
type Call struct {
	Run     uint64    `json:"run"`
	Request string    `json:"request"`
	Method  string    `json:"method"`
	URI     string    `json:"uri"`
	Start   time.Time `json:"start"`
	// End is zero while the call runs and after a crash in it.
	End time.Time `json:"end,omitzero"`
	// Crashed: the service crashed on this call.
	Crashed bool `json:"crashed,omitempty"`
}

// Control provokes failures. The zero value of a field leaves things as they are.
type Control struct {
	CrashMarker *string `json:"crashMarker,omitempty"`
	// DelayMs replaces Options.Delay.
	DelayMs *int `json:"delayMs,omitempty"`
	// StallMs: calls that came already or come now stand still for so long,
	// then go on. Their run is counted when they begin.
	StallMs int `json:"stallMs,omitempty"`
	// FreezeMs: calls that come now aren't begun for so long.
	FreezeMs int `json:"freezeMs,omitempty"`
	// SilenceConnections makes the present connections silent for good; new
	// ones work.
	SilenceConnections bool `json:"silenceConnections,omitempty"`
	// Crash: crash now.
	Crash bool `json:"crash,omitempty"`
}

// Service is the stand-in.
type Service struct {
	opts Options
	log  *logrus.Entry

	mu sync.Mutex
	// All below is guarded by mu.
	calls        []Call
	marker       string
	delay        time.Duration
	stalledUntil time.Time
	frozenUntil  time.Time
	current      *life
}

// New returns a service that isn't served yet.
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

// Serve serves on ln until ctx ends, over simulated crashes. It closes ln.
func (s *Service) Serve(ctx context.Context, ln net.Listener) error {
	addr := ln.Addr().String()
	for {
		if err := s.live(ctx, ln); err != nil {
			return err
		}
		if !wait.Sleep(ctx, s.opts.RestartAfter) {
			return nil
		}
		if ln = faultnet.Listen(ctx, addr); ln == nil {
			return nil
		}
	}
}

// live runs one incarnation until its crash or the end of ctx.
func (s *Service) live(ctx context.Context, ln net.Listener) error {
	l := newLife(s, ln)
	s.mu.Lock()
	s.current = l
	s.mu.Unlock()
	srv := fasthttp.Server{
		Name:               "standin-service",
		Handler:            l.handle,
		MaxRequestBodySize: maxRequest,
		Logger:             faultnet.DebugLog{Entry: s.log},
	}
	var g errgroup.Group
	g.Go(func() error {
		select {
		case <-ctx.Done():
		case <-l.ctx.Done():
		}
		l.end()
		return nil
	})
	err := srv.Serve(l.conns)
	dead := l.ctx.Err() != nil
	l.end()
	_ = g.Wait()
	if dead {
		return nil
	}
	return eris.Wrap(err, "serve")
}

// Record returns the account of all calls, in order of their begin.
func (s *Service) Record() []Call {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Call{}, s.calls...)
}

// Control applies c.
func (s *Service) Control(c Control) { s.control(c, nil) }

// control applies c. The connection that it came on isn't made silent.
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
	l := s.current
	s.mu.Unlock()
	if c.SilenceConnections && l != nil {
		l.conns.Silence(on)
	}
	if c.Crash && l != nil {
		s.crash(l)
	}
}

func extend(until *time.Time, ms int) {
	if ms > 0 {
		*until = time.Now().Add(time.Duration(ms) * time.Millisecond)
	}
}

func (s *Service) crash(l *life) {
	if s.opts.ExitOnCrash {
		os.Exit(exitCode)
	}
	l.end()
	s.log.Info("Service crashed.")
}

// begin writes the call down and returns its run number and how long it takes.
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

// stalled returns how long a stall goes on.
func (s *Service) stalled() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Until(s.stalledUntil)
}

func (s *Service) frozen() time.Duration {
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
