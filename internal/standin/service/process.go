package service

import (
	"context"
	"encoding/json"
	"net"

	"github.com/valyala/fasthttp"

	"jayford.example/jayford/internal/standin/faultnet"
	"jayford.example/jayford/internal/wait"
)

// process is one incarnation of the simulated service process.
type process struct {
	s     *Service
	conns *faultnet.Listener
	ctx   context.Context // the simulated process's lifetime
	kill  context.CancelFunc
}

func newProcess(s *Service, ln net.Listener) *process {
	p := &process{s: s, conns: faultnet.New(ln)}
	p.ctx, p.kill = context.WithCancel(context.Background())
	return p
}

// shutdown closes the listener and cuts the open connections.
func (p *process) shutdown() {
	p.kill()
	p.conns.Cut()
}

func (p *process) handle(c *fasthttp.RequestCtx) {
	switch string(c.Path()) {
	case PathRecord:
		reply(c, p.s.Record())
	case PathControl:
		var r Control
		if err := json.Unmarshal(c.PostBody(), &r); err != nil {
			c.Error(err.Error(), fasthttp.StatusBadRequest)
			return
		}
		p.s.control(r, c.Conn())
	default:
		p.call(c)
	}
}

func (p *process) call(c *fasthttp.RequestCtx) {
	for d := p.s.freezeLeft(); d > 0; d = p.s.freezeLeft() {
		if !wait.Sleep(p.ctx, d) {
			return
		}
	}
	run, delay, crash := p.s.begin(c)
	if crash {
		p.s.crash(p)
		return
	}
	for d := delay; d > 0; d = p.s.stallLeft() {
		if !wait.Sleep(p.ctx, d) {
			return
		}
	}
	if p.ctx.Err() != nil {
		return
	}
	p.s.echo(c, run)
	p.s.finish(run)
}
