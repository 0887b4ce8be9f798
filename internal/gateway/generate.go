package gateway

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"

	"jayford.example/jayford/internal/catalog"
	"jayford.example/jayford/internal/policy/doubt"
	"jayford.example/jayford/internal/verdict"
	"jayford.example/jayford/internal/wait"
)

const (
	// reserveWithin is the part of the objective that a request may wait for
	// room: the rest is for its prefill, the transfer and the first token.
	reserveWithin = 0.55
	// reserveTries is how many servers are asked in one round; reservePause is
	// the mean wait between two rounds. A server has a place free each some
	// tens of milliseconds at peak.
	reserveTries = 10
	reservePause = 30 * time.Millisecond
	// lateWithin is how long a caller stays whose objective is lost: bursts last
	// some seconds, and one that is refused may come back once only.
	lateWithin = 1500 * time.Millisecond
	// lateFactor is how much more seldom it asks.
	lateFactor = 8
	// fullFor is how long a server that refused is taken for full.
	fullFor = 60 * time.Millisecond
	// roomRetryAfter is told to a caller that found no room: about a
	// generation's time.
	roomRetryAfter = 2 * time.Second
	// prefillWithin bounds a prefill; a dark server is given up after it.
	prefillWithin = 1200 * time.Millisecond
	// prefillQueue is the part of the objective above which the queue at the
	// prefill servers is passed by: the decode server reads the prompt itself,
	// at about half the speed.
	prefillQueue = 0.5
	cleanup      = time.Second
)

// reservation is a slot and memory taken at a decode server. end takes it off
// this gateway's own account; the server frees it when the run ends.
type reservation struct {
	server catalog.Server
	hold   string
	end    func()
}

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

// outputMargin is how much more output than the caller guesses is reserved room
// for. A generation that outgrows its reservation is preempted, read again and
// late by then. Of 0.7, 1, 1.3, 1.6 and 2 times the guess, 1.3 and 1.6 earned most
// on two fleets whose memory is full, 0.02 to 0.03 of the worth more than 1 on the
// one where 1 was tried; 1.5 lies between them.
const outputMargin = 1.5

// need returns the memory that is reserved for a generation, in tokens.
func need(x *Generation) int {
	out := int(outputMargin * float64(x.Hint))
	if out <= 0 {
		out = x.MaxOutput / 2
	}
	return x.Prompt + min(out, x.MaxOutput)
}

// reserve finds a decode server with room. A caller whose objective can still be
// met asks often; one that is late stays for some seconds and asks seldom, so that
// it takes room mostly when others leave it.
func (g *Gateway) reserve(ctx context.Context, j *job) (reservation, *verdict.Error) {
	inTime := j.r.Arrived.Add(time.Duration(reserveWithin * float64(j.route.Objective)))
	if j.late() {
		inTime = j.r.Arrived
	}
	return g.reserveFor(ctx, j, inTime, j.r.Arrived.Add(lateWithin))
}

// freshPatience is the least part of a route's timeout that a caller's first try
// names as its patience: 0.85 to 1 were seen.
const freshPatience = 0.83

// late reports whether the caller was refused or cut before and came back, so
// that the objective, which counts from its first try, can't be met any more.
func (j *job) late() bool {
	return j.r.Patience > 0 && float64(j.r.Patience) < freshPatience*float64(j.route.Timeout)
}

// reserveFor asks often until inTime, then seldom until giveUp.
func (g *Gateway) reserveFor(ctx context.Context, j *job, inTime, giveUp time.Time) (reservation, *verdict.Error) {
	tokens := need(j.r.Generation)
	began := time.Now()
	for round := 1; ; round++ {
		p, ok := g.reserveOnce(ctx, j, tokens)
		if ok {
			observe(reserveSeconds, began)
			return p, nil
		}
		pause := time.Duration((0.5 + rand.Float64()) * float64(reservePause))
		if time.Now().Add(pause).After(inTime) {
			pause *= lateFactor
		}
		if time.Now().Add(pause).After(giveUp) {
			return reservation{}, verdict.New(
				verdict.NotRun, verdict.Overloaded, "No engine has room for %d tokens, asked in %d rounds of up to %d.", tokens, round, reserveTries,
			).After(roomRetryAfter)
		}
		if !wait.Sleep(ctx, pause) {
			return reservation{}, verdict.Wrap(ctx.Err(), verdict.NotRun, verdict.Cancelled, "The caller left.")
		}
	}
}

func (g *Gateway) reserveOnce(ctx context.Context, j *job, tokens int) (reservation, bool) {
	list := g.view.list().usable(j.service.Name, catalog.Decode)
	for i, s := range g.best(j, list, reserveTries, func(x load) int { return x.Tokens }) {
		hold, err := g.backend.Reserve(ctx, s.Server, tokens, j.service.Engine.HoldTTL)
		if err == nil {
			g.note(j, "gateway: room reserved.", logrus.Fields{"server": s.start, "tokens": tokens, "ownLoad": s.load, "asked": i + 1})
			return reservation{server: s.Server, hold: hold, end: g.loads.begin(s.Server, tokens)}, true
		}
		if err.Code == verdict.Overloaded {
			g.loads.full(s.start, time.Now().Add(fullFor))
			continue
		}
		g.judge(ctx, s.Server, err)
	}
	return reservation{}, false
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
		g.crashes.note(j.content, start(p.server), time.Now())
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
	queued := g.loads.get(start(s)).Tokens + tokens
	if w := g.pace.wait(queued); w > time.Duration(prefillQueue*float64(j.route.Objective)) {
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

// pickPrefill returns the prefill server with the shortest queue, if one is fit.
func (g *Gateway) pickPrefill(j *job) (catalog.Server, bool) {
	list := g.view.list().usable(j.service.Name, catalog.Prefill)
	for _, s := range g.best(j, list, 1, func(x load) int { return x.Tokens }) {
		return s.Server, s.against == fit
	}
	return catalog.Server{}, false
}
