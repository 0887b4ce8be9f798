package service

import (
	"context"
	"encoding/json"
	"net"
	"sync"

	"github.com/valyala/fasthttp"
)

// life is one incarnation of the service: a listener that can cut all its
// connections, and the handler behind it.
type life struct {
	net.Listener
	s   *Service
	ctx context.Context // the simulated process's lifetime
	die context.CancelFunc

	mu sync.Mutex
	// open is guarded by mu; nil once the life ended.
	open map[*conn]struct{}
}

// conn leaves its life's set when it is closed.
type conn struct {
	net.Conn
	l *life
}

func newLife(s *Service, ln net.Listener) *life {
	l := &life{Listener: ln, s: s, open: make(map[*conn]struct{})}
	l.ctx, l.die = context.WithCancel(context.Background())
	return l
}

// Accept implements net.Listener.
func (l *life) Accept() (net.Conn, error) {
	raw, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &conn{raw, l}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.open == nil {
		_ = raw.Close()
		return nil, net.ErrClosed
	}
	l.open[c] = struct{}{}
	return c, nil
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.l.mu.Lock()
	delete(c.l.open, c)
	c.l.mu.Unlock()
	return c.Conn.Close()
}

// end refuses connections and cuts those that are open.
func (l *life) end() {
	l.die()
	_ = l.Close()
	l.mu.Lock()
	open := l.open
	l.open = nil
	l.mu.Unlock()
	for c := range open {
		_ = c.Conn.Close()
	}
}

func (l *life) handle(c *fasthttp.RequestCtx) {
	switch string(c.Path()) {
	case PathRecord:
		reply(c, l.s.Record())
	case PathControl:
		var r Control
		if err := json.Unmarshal(c.PostBody(), &r); err != nil {
			c.Error(err.Error(), fasthttp.StatusBadRequest)
			return
		}
		l.s.Control(r)
	default:
		l.call(c)
	}
}

func (l *life) call(c *fasthttp.RequestCtx) {
	for d := l.s.frozen(); d > 0; d = l.s.frozen() {
		if !sleep(l.ctx, d) {
			return
		}
	}
	run, delay, crash := l.s.begin(c)
	if crash {
		l.s.crash(l)
		return
	}
	for d := delay; d > 0; d = l.s.stalled() {
		if !sleep(l.ctx, d) {
			return
		}
	}
	if l.ctx.Err() != nil {
		return
	}
	l.s.echo(c, run)
	l.s.finish(run)
}
