package engine

import (
	"context"
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

const (
	// exitCode is the exit code of a crash with ExitOnCrash, as after SIGKILL.
	exitCode    = 137
	idleTimeout = time.Minute
	maxRequest  = 64 << 20
)

// Engine is a simulated model engine.
type Engine struct {
	opts     Options
	log      *logrus.Entry
	journal  journal
	faults   faults
	gate     gate
	linkGate gate

	mu sync.Mutex
	// process and conns are guarded by mu; nil before Serve.
	process *process
	conns   *faultnet.Listener
}

// New returns an engine. It handles no requests until Serve is called.
func New(o Options) *Engine {
	o = o.withDefaults()
	return &Engine{
		opts:    o,
		log:     logrus.WithField("part", "standin-engine"),
		journal: journal{limit: o.RecordLimit},
		faults:  faults{marker: o.CrashMarker},
	}
}

// Serve serves on ln until ctx ends. After a simulated crash it listens on the same
// address again. It closes ln.
func (e *Engine) Serve(ctx context.Context, ln net.Listener) error {
	if e.opts.RecordFile != "" {
		if err := e.journal.open(e.opts.RecordFile); err != nil {
			return eris.Wrap(err, "open record file")
		}
	}
	addr := ln.Addr().String()
	incarnation := uint64(time.Now().UnixNano())
	for {
		if err := e.runProcess(ctx, ln, incarnation); err != nil {
			return err
		}
		if !wait.Sleep(ctx, e.opts.RestartAfter) {
			return nil
		}
		if ln = faultnet.ListenRetrying(ctx, addr); ln == nil {
			return nil
		}
		incarnation++
		e.journal.add(Entry{Kind: EntryRestart, Incarnation: incarnation})
	}
}

// runProcess runs one incarnation until it crashes or ctx ends.
func (e *Engine) runProcess(ctx context.Context, ln net.Listener, incarnation uint64) error {
	p := newProcess(e, incarnation)
	conns := faultnet.New(ln)
	e.mu.Lock()
	e.process, e.conns = p, conns
	e.mu.Unlock()
	srv := fasthttp.Server{
		Name:               "standin-engine",
		Handler:            p.handle,
		IdleTimeout:        idleTimeout,
		MaxRequestBodySize: maxRequest,
		Logger:             faultnet.DebugLogger{Entry: e.log},
	}
	var g errgroup.Group
	g.Go(func() error { p.runPrefills(); return nil })
	g.Go(func() error { p.sample(); return nil })
	g.Go(func() error {
		select {
		case <-ctx.Done():
		case <-p.ctx.Done():
		}
		p.kill()
		conns.Cut()
		return nil
	})
	err := srv.Serve(conns)
	dead := p.ctx.Err() != nil
	p.kill()
	_ = g.Wait()
	if dead {
		return nil
	}
	return eris.Wrap(err, "serve")
}

// crash ends an incarnation: its streams are cut, its memory is lost and new
// connections are refused. Further calls for the same incarnation do nothing.
func (e *Engine) crash(p *process) {
	if e.opts.ExitOnCrash {
		os.Exit(exitCode)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.ctx.Err() != nil {
		return
	}
	for _, j := range p.jobs {
		p.end(j, EntryEnd, reasonLost)
	}
	p.record(Entry{Kind: EntryCrash})
	e.mu.Lock()
	conns := e.conns
	e.mu.Unlock()
	p.kill()
	conns.Cut()
	e.log.Info("Engine crashed.")
}

// Record returns the engine's record of what it ran.
func (e *Engine) Record() Record {
	e.mu.Lock()
	p := e.process
	e.mu.Unlock()
	r := Record{Held: []Held{}}
	if p != nil {
		r.Incarnation = p.incarnation
		r.Held = p.held()
	}
	r.Entries, r.Dropped = e.journal.snapshot()
	return r
}
