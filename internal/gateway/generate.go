package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"

	"jayford.example/jayford/internal/catalog"
	"jayford.example/jayford/internal/policy/doubt"
	"jayford.example/jayford/internal/verdict"
)

const (
	// prefillWithin bounds a prefill; a dark server is given up after it.
	prefillWithin = 1200 * time.Millisecond
	// prefillQueue is the part of the objective above which the queue at the
	// prefill engines is passed by: the decode engine reads the prompt itself, at
	// half the speed, and meanwhile holds up all that it runs. From 0.3 on, 800 of
	// 31,700 requests fewer were in time than from 0.5; from 0.8 on, 30 to 60 more
	// with large fleets, 90 of 15,100 more with one of 18 engines.
	prefillQueue = 0.8
	cleanup      = time.Second
)

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
		a, err := g.decode(ctx, j, p, j.r.Generation.LastEvent)
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

// decode runs the prefill and sends the request to the server that gave room.
func (g *Gateway) decode(ctx context.Context, j *job, p reservation, after string) (*Answer, *verdict.Error) {
	c := Call{Request: j.r, Hold: p.hold, After: after}
	from, result, ok := g.prefill(ctx, j)
	if ok {
		c.From, c.Result = from, result.Result
	}
	c.Left = time.Until(j.until)
	c.MaxIdle = repeatableFresh
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
		g.note(j, "gateway: decode answered.", logrus.Fields{"server": start(p.server), "status": a.Status, "from": from.ID})
		return a, nil
	}
	p.end()
	if err.Verdict != verdict.NotRun && ctx.Err() == nil {
		g.engineLost(j, p.server)
	}
	g.note(j, "gateway: decode failed.", logrus.Fields{"server": start(p.server), "cause": err.Error(), "verdict": err.Verdict.String(), "from": from.ID})
	if err.Verdict != verdict.NotRun {
		j.runs++
	} else {
		g.loads.refused(p.server, time.Now())
		g.free(p, from, result.Result)
	}
	g.judge(ctx, p.server, err)
	return nil, err
}

// free gives back what a request that didn't run had taken. It goes on when
// the caller has left.
func (g *Gateway) free(p reservation, from catalog.Server, result string) {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), cleanup)
		defer cancel()
		if err := g.backend.Release(ctx, p.server, p.hold); err != nil {
			g.log.WithError(err).WithField("server", p.server.ID).Debug("gateway: reservation not given back, it lapses by itself.")
		}
		if result == "" {
			return
		}
		if err := g.backend.Discard(ctx, from, result); err != nil {
			g.log.WithError(err).WithField("server", from.ID).Debug("gateway: prefill's result not given back, it lapses by itself.")
		}
	}()
}

// prefill reads the prompt at a prefill server. If none can in time the decode
// server does it by itself, which costs no further arrival.
func (g *Gateway) prefill(ctx context.Context, j *job) (catalog.Server, Prefilled, bool) {
	tokens := j.r.Generation.Prompt
	s, ok := g.pickPrefill(j)
	if !ok {
		return catalog.Server{}, Prefilled{}, false
	}
	queued := g.loads.tokens(start(s)) + tokens
	if w := g.pace.wait(queued); w > time.Duration(prefillQueue*float64(j.route.Objective)) && !g.holdsUpStreams(j) {
		prefillsSkipped.Inc()
		g.note(j, "gateway: prefill left to the decode server.", logrus.Fields{"best": start(s), "queued": queued, "expected": milliseconds(w)})
		return catalog.Server{}, Prefilled{}, false
	}
	// Only the first such call that a server takes is free of the budget.
	if j.prefills > 0 && !g.afford(j.service.Name) {
		return catalog.Server{}, Prefilled{}, false
	}
	j.prefills++
	end := g.loads.begin(s, tokens)
	defer end()
	began := time.Now()
	ctx, cancel := context.WithTimeout(ctx, prefillWithin)
	defer cancel()
	r, err := g.backend.Prefill(ctx, s, Call{Request: j.r, Left: time.Until(j.until)})
	countSending("prefill", err)
	if err != nil {
		g.judge(ctx, s, err)
		j.avoid[start(s)] = true
		if err.Code == verdict.Overloaded || err.Code == verdict.Leaving {
			g.loads.refused(s, time.Now())
			// A refused call is no first one.
			g.owe(j.service.Name)
			j.prefills--
		}
		g.note(j, "gateway: prefill failed.", logrus.Fields{"server": start(s), "cause": err.Error(), "took": milliseconds(time.Since(began))})
		return catalog.Server{}, Prefilled{}, false
	}
	g.loads.took(s)
	observe(prefillSeconds, began)
	g.pace.took(queued, time.Since(began))
	g.note(j, "gateway: prompt read.", logrus.Fields{"server": start(s), "queued": queued, "took": milliseconds(time.Since(began))})
	g.view.outcome(s, doubt.Success)
	return s, r, true
}

// decodeReadsSlower is how much longer an engine takes to read a prompt that also
// writes.
const decodeReadsSlower = 2

// holdsUpStreams reports whether a decode engine that read the prompt itself would
// hold up all that it writes for longer than callers allow a pause to be. One caller
// in time would make several others late.
func (g *Gateway) holdsUpStreams(j *job) bool {
	if j.route.Gap <= 0 {
		return false
	}
	reading := decodeReadsSlower * g.pace.wait(j.r.Generation.Prompt)
	return reading+g.loads.runs.between(eventTokens(j.service.Engine)) > j.route.Gap
}

// pickPrefill returns the prefill server with the shortest queue, if one is fit.
func (g *Gateway) pickPrefill(j *job) (catalog.Server, bool) {
	list := g.view.list().usable(j.service.Name, catalog.Prefill)
	for _, s := range g.best(j, list, 1, g.byTokens) {
		return s.Server, s.against == fit
	}
	return catalog.Server{}, false
}
