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
	// exitCode of a process that ExitOnCrash ends.
	exitCode = 137
	// idleTimeout closes connections without a request.
	idleTimeout = time.Minute
	// maxRequest bounds a request's body.
	maxRequest = 64 << 20
)

// Engine is the stand-in.
type Engine struct {
	opts     Options
	log      *logrus.Entry
	journal  journal
	faults   faults
	gate     gate
	linkGate gate

	mu sync.Mutex
	// life and conns are guarded by mu; nil before Serve.
	life  *life
	conns *faultnet.Listener
}

// New returns an engine that isn't served yet.
func New(o Options) *Engine {
	o = o.withDefaults()
	return &Engine{
		opts:    o,
		log:     logrus.WithField("part", "standin-engine"),
		journal: journal{limit: o.RecordLimit},
		faults:  faults{marker: o.CrashMarker},
	}
}

// Serve serves on ln until ctx ends, over simulated crashes. It closes ln.
func (e *Engine) Serve(ctx context.Context, ln net.Listener) error {
	if e.opts.Account != "" {
		if err := e.journal.open(e.opts.Account); err != nil {
			return eris.Wrap(err, "account")
		}
	}
	addr := ln.Addr().String()
	incarnation := uint64(time.Now().UnixNano())
	for {
		if err := e.live(ctx, ln, incarnation); err != nil {
			return err
		}
		if !wait.Sleep(ctx, e.opts.RestartAfter) {
			return nil
		}
		if ln = faultnet.Listen(ctx, addr); ln == nil {
			return nil
		}
		incarnation++
		e.journal.add(Entry{Kind: EntryRestart, Incarnation: incarnation})
	}
}

// live runs one incarnation until its crash or the end of ctx.
func (e *Engine) live(ctx context.Context, ln net.Listener, incarnation uint64) error {
	l := newLife(e, incarnation)
	set := faultnet.New(ln)
	e.mu.Lock()
	e.life, e.conns = l, set
	e.mu.Unlock()
	srv := fasthttp.Server{
		Name:               "standin-engine",
		Handler:            l.handle,
		IdleTimeout:        idleTimeout,
		MaxRequestBodySize: maxRequest,
		Logger:             faultnet.DebugLog{Entry: e.log},
	}
	var g errgroup.Group
	g.Go(func() error { l.runPrefills(); return nil })
	g.Go(func() error { l.sample(); return nil })
	g.Go(func() error {
		select {
		case <-ctx.Done():
		case <-l.ctx.Done():
		}
		l.die()
		set.Cut()
		return nil
	})
	err := srv.Serve(set)
	dead := l.ctx.Err() != nil
	l.die()
	_ = g.Wait()
	if dead {
		return nil
	}
	return eris.Wrap(err, "serve")
}

// crash ends the life: streams are cut, memory is gone, connections refused.
// Only the first call of a life counts.
func (e *Engine) crash(l *life) {
	if e.opts.ExitOnCrash {
		os.Exit(exitCode)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ctx.Err() != nil {
		return
	}
	for _, j := range l.jobs {
		l.end(j, EntryEnd, reasonLost)
	}
	l.note(Entry{Kind: EntryCrash})
	e.mu.Lock()
	set := e.conns
	e.mu.Unlock()
	l.die()
	set.Cut()
	e.log.Info("Engine crashed.")
}

// Record returns the engine's account.
func (e *Engine) Record() Record {
	e.mu.Lock()
	l := e.life
	e.mu.Unlock()
	r := Record{Held: []Held{}}
	if l != nil {
		r.Incarnation = l.incarnation
		r.Held = l.held()
	}
	r.Entries, r.Dropped = e.journal.snapshot()
	return r
}
