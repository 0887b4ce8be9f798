package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"

	"jayford.example/jayford/internal/verdict"
)

// cleanup bounds the calls that give back what wasn't used.
const cleanup = time.Second

// generate runs a request on engines: room for its decode first, then its
// prefill, then its decode. A prefill's result is lost if no room is found
// within a fraction of a second, so room is reserved before it is paid for.
func (g *Gateway) generate(ctx context.Context, j *job) (*Reply, *verdict.Error) {
	var last *verdict.Error
	for {
		p, err := g.reserve(ctx, j)
		if err != nil {
			if last != nil {
				return nil, last
			}
			return nil, err
		}
		after := j.r.Generation.LastEvent
		read, err := g.read(ctx, j, p, after)
		if err != nil {
			g.giveBack(p, read)
			return nil, err
		}
		a, err := g.decode(ctx, j, p, read, after)
		if err == nil && a.Status != http.StatusOK {
			// The server's own failure, which its caller gets as it is.
			p.end()
			return whole(a)
		}
		if err == nil {
			return g.streamed(ctx, j, p, a)
		}
		last = err
		j.avoid[start(p.server)] = true
		if !g.again(ctx, j, err.Verdict) {
			return nil, last
		}
	}
}

// decode sends the request to the server that gave room.
func (g *Gateway) decode(ctx context.Context, j *job, p reservation, read prefilled, after string) (*Answer, *verdict.Error) {
	c := Call{
		Request: j.r, Hold: p.hold, After: after, From: read.from, Result: read.result,
		Left: time.Until(j.until), MaxIdle: repeatableFresh,
	}
	j.sends++
	a, err := g.backend.Send(ctx, p.server, c)
	countSending("decode", err)
	if err == nil {
		if err = proved(a); err != nil {
			_ = a.Body.Close()
		}
	}
	if err == nil {
		j.runs++
		g.loads.took(p.server)
		g.note(j, "gateway: decode answered.", logrus.Fields{"server": start(p.server), "status": a.Status, "from": read.from.ID})
		return a, nil
	}
	p.end()
	if err.Verdict != verdict.NotRun && ctx.Err() == nil {
		g.engineLost(j, p.server)
	}
	g.note(j, "gateway: decode failed.", logrus.Fields{"server": start(p.server), "cause": err.Error(), "verdict": err.Verdict.String(), "from": read.from.ID})
	if err.Verdict != verdict.NotRun {
		j.runs++
	} else {
		g.loads.refused(p.server, time.Now())
		g.free(p, read)
	}
	g.judge(ctx, p.server, err)
	return nil, err
}

// giveBack ends a reservation that isn't used.
func (g *Gateway) giveBack(p reservation, read prefilled) {
	p.end()
	g.free(p, read)
}

// free gives back what a request that didn't run had taken. It goes on when
// the caller has left.
func (g *Gateway) free(p reservation, read prefilled) {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), cleanup)
		defer cancel()
		if err := g.backend.Release(ctx, p.server, p.hold); err != nil {
			g.log.WithError(err).WithField("server", p.server.ID).Debug("gateway: reservation not given back, it lapses by itself.")
		}
		if read.result == "" {
			return
		}
		if err := g.backend.Discard(ctx, read.from, read.result); err != nil {
			g.log.WithError(err).WithField("server", read.from.ID).Debug("gateway: prefill's result not given back, it lapses by itself.")
		}
	}()
}
