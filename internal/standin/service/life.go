package service

import (
	"context"
	"encoding/json"
	"net"

	"github.com/valyala/fasthttp"

	"jayford.example/jayford/internal/standin/faultnet"
	"jayford.example/jayford/internal/wait"
)

// life is one incarnation of the service.
type life struct {
	s     *Service
	conns *faultnet.Listener
	ctx   context.Context // the simulated process's lifetime
	die   context.CancelFunc
}

func newLife(s *Service, ln net.Listener) *life {
	l := &life{s: s, conns: faultnet.New(ln)}
	l.ctx, l.die = context.WithCancel(context.Background())
	return l
}

// end refuses connections and cuts those that are open.
func (l *life) end() {
	l.die()
	l.conns.Cut()
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
		l.s.control(r, c.Conn())
	default:
		l.call(c)
	}
}

func (l *life) call(c *fasthttp.RequestCtx) {
	for d := l.s.frozen(); d > 0; d = l.s.frozen() {
		if !wait.Sleep(l.ctx, d) {
			return
		}
	}
	run, delay, crash := l.s.begin(c)
	if crash {
		l.s.crash(l)
		return
	}
	for d := delay; d > 0; d = l.s.stalled() {
		if !wait.Sleep(l.ctx, d) {
			return
		}
	}
	if l.ctx.Err() != nil {
		return
	}
	l.s.echo(c, run)
	l.s.finish(run)
}
