package platform

import (
	"context"
	"encoding/json"
	"errors"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	api "jayford.example/jayford/internal/platform"
)

func (p *Platform) handle(ctx *fasthttp.RequestCtx) {
	parts := strings.Split(strings.Trim(string(ctx.Path()), "/"), "/")
	switch parts[0] {
	case "objects":
		p.handleObjects(ctx, parts[1:])
	case "watch":
		p.handleWatch(ctx)
	case "instances":
		p.handleInstances(ctx)
	case "weights":
		p.handleWeights(ctx)
	case "record":
		writeJSON(ctx, p.Record())
	case "meter":
		writeJSON(ctx, p.Meter())
	case "control":
		p.handleControl(ctx)
	default:
		ctx.Error("no such path", fasthttp.StatusBadRequest)
	}
}

func (p *Platform) handleObjects(ctx *fasthttp.RequestCtx, parts []string) {
	method := string(ctx.Method())
	switch {
	case len(parts) == 0 && method == fasthttp.MethodGet:
		if p.admit(ctx, func(m *Meter) *uint64 { return &m.List }, p.reads) {
			writeJSON(ctx, p.store.list(string(ctx.QueryArgs().Peek("kind"))))
		}
	case len(parts) != 2:
		ctx.Error("no such path", fasthttp.StatusBadRequest)
	case method == fasthttp.MethodGet:
		if p.admit(ctx, func(m *Meter) *uint64 { return &m.Get }, p.reads) {
			o, err := p.store.get(parts[0], parts[1])
			writeResult(ctx, o, err)
		}
	case method == fasthttp.MethodPut:
		if p.admit(ctx, func(m *Meter) *uint64 { return &m.Put }, p.writes) {
			p.handlePut(ctx, parts[0], parts[1])
		}
	case method == fasthttp.MethodDelete:
		if p.admit(ctx, func(m *Meter) *uint64 { return &m.Delete }, p.writes) {
			p.handleDelete(ctx, parts[0], parts[1])
		}
	default:
		ctx.Error("no such method", fasthttp.StatusBadRequest)
	}
}

type putReply struct {
	Version uint64 `json:"version"`
}

func (p *Platform) handlePut(ctx *fasthttp.RequestCtx, kind, name string) {
	var o api.Object
	if err := json.Unmarshal(ctx.PostBody(), &o); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	o.Kind, o.Name, o.Deleted = kind, name, false
	p.write(ctx, o)
}

func (p *Platform) handleDelete(ctx *fasthttp.RequestCtx, kind, name string) {
	version, err := strconv.ParseUint(string(ctx.QueryArgs().Peek("version")), 10, 64)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	p.write(ctx, api.Object{Kind: kind, Name: name, Version: version, Deleted: true})
}

func (p *Platform) write(ctx *fasthttp.RequestCtx, o api.Object) {
	v, err := p.store.put(o)
	if err == nil && p.loseReply() {
		ctx.Conn().Close()
		return
	}
	writeResult(ctx, putReply{v}, err)
}

func (p *Platform) handleWatch(ctx *fasthttp.RequestCtx) {
	if !p.admit(ctx, func(m *Meter) *uint64 { return &m.Watch }, p.reads) {
		return
	}
	args := ctx.QueryArgs()
	revision, err := strconv.ParseUint(string(args.Peek("revision")), 10, 64)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	wait := p.opts.WatchLimit
	if ms, err := args.GetUint("wait"); err == nil {
		wait = min(wait, time.Duration(ms)*time.Millisecond)
	}
	l, err := p.watch(string(args.Peek("kind")), revision, wait)
	if outage, change := p.outage(); outage != "" {
		// An outage also affects the watches that were pending when it began.
		if outage == OutageHang {
			p.wait(maxHang, change)
		}
		ctx.Conn().Close()
		return
	}
	writeResult(ctx, l, err)
}

// watch returns at the first change, after wait, or when an outage begins.
func (p *Platform) watch(kind string, revision uint64, wait time.Duration) (api.Listing, error) {
	p.addWaiting(1)
	defer p.addWaiting(-1)
	end := time.NewTimer(wait)
	defer end.Stop()
	for {
		l, changed, err := p.store.since(kind, revision)
		outage, outageChange := p.outage()
		if err != nil || len(l.Objects) > 0 || outage != "" {
			return l, err
		}
		select {
		case <-changed:
		case <-outageChange:
		case <-p.stop:
			return l, nil
		case <-end.C:
			return l, nil
		}
	}
}

// outage returns the current outage and a channel that closes when it changes.
func (p *Platform) outage() (string, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.control.Outage, p.outageChange
}

func (p *Platform) addWaiting(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.meter.Waiting += n
}

func (p *Platform) handleInstances(ctx *fasthttp.RequestCtx) {
	if ctx.IsPost() {
		var list []api.Instance
		if err := json.Unmarshal(ctx.PostBody(), &list); err != nil {
			ctx.Error(err.Error(), fasthttp.StatusBadRequest)
			return
		}
		p.SetInstances(list)
		return
	}
	if !p.admit(ctx, func(m *Meter) *uint64 { return &m.Instances }, p.reads) {
		return
	}
	list, tag := p.visibleInstances()
	ctx.Response.Header.Set(fasthttp.HeaderETag, tag)
	if string(ctx.Request.Header.Peek(fasthttp.HeaderIfNoneMatch)) == tag {
		ctx.SetStatusCode(fasthttp.StatusNotModified)
		return
	}
	writeJSON(ctx, list)
}

type weightsReply struct {
	Bytes int64 `json:"bytes"`
}

// handleWeights takes the bytes from the rate limiter in chunks of its burst size,
// so that concurrent readers share the rate.
func (p *Platform) handleWeights(ctx *fasthttp.RequestCtx) {
	if !p.admit(ctx, func(m *Meter) *uint64 { return &m.Fetch }, p.reads) {
		return
	}
	if p.weights.Limit() > 0 && p.opts.WeightBytesPerSecond > 0 {
		stop, cancel := context.WithCancel(context.Background())
		defer cancel()
		go func() {
			select {
			case <-p.stop:
				cancel()
			case <-stop.Done():
			}
		}()
		for left := p.opts.WeightBytes; left > 0; {
			chunk := min(left, int64(p.weights.Burst()))
			if p.weights.WaitN(stop, int(chunk)) != nil {
				ctx.Error("stopping", fasthttp.StatusServiceUnavailable)
				return
			}
			left -= chunk
		}
	}
	writeJSON(ctx, weightsReply{p.opts.WeightBytes})
}

func (p *Platform) handleControl(ctx *fasthttp.RequestCtx) {
	var c Control
	if err := json.Unmarshal(ctx.PostBody(), &c); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	p.SetControl(c)
}

func writeResult(ctx *fasthttp.RequestCtx, v any, err error) {
	switch {
	case err == nil:
		writeJSON(ctx, v)
	case errors.Is(err, api.ErrNotFound):
		ctx.Error(err.Error(), fasthttp.StatusNotFound)
	case errors.Is(err, api.ErrConflict):
		ctx.Error(err.Error(), fasthttp.StatusConflict)
	case errors.Is(err, api.ErrCompacted):
		ctx.Error(err.Error(), fasthttp.StatusGone)
	case errors.Is(err, api.ErrTooLarge):
		ctx.Error(err.Error(), fasthttp.StatusRequestEntityTooLarge)
	default:
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
	}
}
