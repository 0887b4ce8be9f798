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
)

const (
	// exitCode of a process that ExitOnCrash ends.
	exitCode = 137
	// listenRetry is the pause before the old port is tried again.
	listenRetry = 20 * time.Millisecond
	// idleTimeout closes connections without a request.
	idleTimeout = time.Minute
	// maxRequest bounds a request's body.
	maxRequest = 64 << 20
)

// debugLog keeps fasthttp's lines on cut connections off the usual log: cutting
// them is what this server is for.
type debugLog struct{ log *logrus.Entry }

// Printf implements fasthttp.Logger.
func (d debugLog) Printf(format string, args ...any) { d.log.Debugf(format, args...) }

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
	conns *conns
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
	addr := ln.Addr().String()
	incarnation := uint64(time.Now().UnixNano())
	for {
		if err := e.live(ctx, ln, incarnation); err != nil {
			return err
		}
		if !sleep(ctx, e.opts.RestartAfter) {
			return nil
		}
		if ln = listen(ctx, addr); ln == nil {
			return nil
		}
		incarnation++
		e.journal.add(Entry{Kind: EntryRestart, Incarnation: incarnation})
	}
}

// live runs one incarnation until its crash or the end of ctx.
func (e *Engine) live(ctx context.Context, ln net.Listener, incarnation uint64) error {
	l := newLife(e, incarnation)
	set := newConns(ln)
	e.mu.Lock()
	e.life, e.conns = l, set
	e.mu.Unlock()
	srv := fasthttp.Server{
		Name:               "standin-engine",
		Handler:            l.handle,
		IdleTimeout:        idleTimeout,
		MaxRequestBodySize: maxRequest,
		Logger:             debugLog{e.log},
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
		set.cut()
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

// listen takes the address again, which another socket may hold for a moment.
func listen(ctx context.Context, addr string) net.Listener {
	for {
		ln, err := net.Listen("tcp", addr)
		if err == nil {
			return ln
		}
		if !sleep(ctx, listenRetry) {
			return nil
		}
	}
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
	set.cut()
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
