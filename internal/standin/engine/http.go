package engine

import (
	"bufio"
	"encoding/json"
	"strings"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"

	"jayford.example/jayford/internal/engine"
)

// Paths beside those of internal/engine.
const (
	PathRecord  = "/v1/record"
	PathControl = "/v1/control"
)

func (l *life) handle(c *fasthttp.RequestCtx) {
	path := string(c.Path())
	switch path {
	case PathRecord:
		reply(c, l.e.Record())
		return
	case PathControl:
		if r, ok := read[Control](c); ok {
			l.e.control(r, c.Conn())
		}
		return
	}
	l.e.gate.wait(l.ctx)
	if name, ok := strings.CutPrefix(path, engine.PathKV); ok {
		l.sendKV(c, name)
		return
	}
	l.handleCall(c, path)
}

func (l *life) handleCall(c *fasthttp.RequestCtx, path string) {
	switch path {
	case engine.PathPrefill:
		l.handlePrefill(c)
	case engine.PathDecode:
		l.handleDecode(c)
	case engine.PathCancel:
		if a, ok := read[engine.Attempt](c); ok {
			l.cancel(a)
		}
	case engine.PathRunning:
		out := []engine.Running{}
		for _, h := range l.held() {
			out = append(out, h.Running)
		}
		reply(c, out)
	case engine.PathLoad:
		reply(c, l.load())
	case engine.PathEvents:
		after := c.QueryArgs().GetUintOrZero("after")
		reply(c, engine.CacheEvents{Incarnation: l.incarnation, Events: l.cache.after(uint64(after))})
	case engine.PathOrder:
		if o, ok := read[engine.Order](c); ok {
			if err := l.order(o); err != nil {
				fail(c, err)
			}
		}
	default:
		c.SetStatusCode(fasthttp.StatusNotFound)
	}
}

func (l *life) handlePrefill(c *fasthttp.RequestCtx) {
	r, ok := read[engine.PrefillRequest](c)
	if !ok {
		return
	}
	out, err := l.prefill(r)
	if err != nil {
		fail(c, err)
		return
	}
	reply(c, out)
}

func (l *life) handleDecode(c *fasthttp.RequestCtx) {
	r, ok := read[engine.DecodeRequest](c)
	if !ok {
		return
	}
	j, err := l.startDecode(r)
	if err != nil {
		fail(c, err)
		return
	}
	c.SetContentType("application/x-ndjson")
	c.Response.ImmediateHeaderFlush = true
	c.SetBodyStreamWriter(func(w *bufio.Writer) { l.decode(j, r, w) })
}

// read decodes the request's body, or answers that it is invalid.
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
