package engine

import (
	"bufio"
	"encoding/json"
	"strings"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"

	"jayford.example/jayford/internal/engine"
)

// Paths of the stand-in, in addition to those of internal/engine.
const (
	PathRecord  = "/v1/record"
	PathControl = "/v1/control"
)

func (p *process) handle(c *fasthttp.RequestCtx) {
	path := string(c.Path())
	switch path {
	case PathRecord:
		reply(c, p.e.Record())
		return
	case PathControl:
		if r, ok := read[Control](c); ok {
			p.e.control(r, c.Conn())
		}
		return
	}
	p.e.gate.wait(p.ctx)
	if name, ok := strings.CutPrefix(path, engine.PathKV); ok {
		p.sendKV(c, name)
		return
	}
	p.handleCall(c, path)
}

func (p *process) handleCall(c *fasthttp.RequestCtx, path string) {
	switch path {
	case engine.PathPrefill:
		p.handlePrefill(c)
	case engine.PathDecode:
		p.handleDecode(c)
	case engine.PathCancel:
		if a, ok := read[engine.Attempt](c); ok {
			p.cancel(a)
		}
	case engine.PathRunning:
		out := []engine.Running{}
		for _, h := range p.held() {
			out = append(out, h.Running)
		}
		reply(c, out)
	case engine.PathLoad:
		reply(c, p.load())
	case engine.PathEvents:
		after := c.QueryArgs().GetUintOrZero("after")
		reply(c, engine.CacheEvents{Incarnation: p.incarnation, Events: p.cache.eventsAfter(uint64(after))})
	case engine.PathOrder:
		if o, ok := read[engine.Order](c); ok {
			if err := p.order(o); err != nil {
				fail(c, err)
			}
		}
	default:
		c.SetStatusCode(fasthttp.StatusNotFound)
	}
}

func (p *process) handlePrefill(c *fasthttp.RequestCtx) {
	r, ok := read[engine.PrefillRequest](c)
	if !ok {
		return
	}
	out, err := p.prefill(r)
	if err != nil {
		fail(c, err)
		return
	}
	reply(c, out)
}

func (p *process) handleDecode(c *fasthttp.RequestCtx) {
	r, ok := read[engine.DecodeRequest](c)
	if !ok {
		return
	}
	j, err := p.startDecode(r)
	if err != nil {
		fail(c, err)
		return
	}
	c.SetContentType("application/x-ndjson")
	c.Response.ImmediateHeaderFlush = true
	c.SetBodyStreamWriter(func(w *bufio.Writer) { p.decode(j, r, w) })
}

// read decodes the request's body. If that fails, it replies with ErrInvalid and
// returns false.
func read[T any](c *fasthttp.RequestCtx) (T, bool) {
	var v T
	if err := json.Unmarshal(c.PostBody(), &v); err != nil {
		fail(c, eris.Wrap(engine.ErrInvalid, err.Error()))
		return v, false
	}
	return v, true
}

func reply(c *fasthttp.RequestCtx, v any) {
	b, err := json.Marshal(v)
	if err != nil {
		fail(c, err)
		return
	}
	c.SetContentType("application/json")
	c.SetBody(b)
}

func fail(c *fasthttp.RequestCtx, err error) {
	status, code := engine.ErrorCode(err)
	c.SetStatusCode(status)
	reply(c, engine.Failure{Code: code, Detail: err.Error()})
}
