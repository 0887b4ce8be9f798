package gateway

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"jayford.example/jayford/internal/catalog"
	"jayford.example/jayford/internal/origin"
	"jayford.example/jayford/internal/policy/memory"
	"jayford.example/jayford/internal/verdict"
	"jayford.example/jayford/internal/wait"
)

const (
	// reserveShare is the part of the objective in which a reservation must be found;
	// the rest is for the prefill, the transfer and the first token.
	reserveShare = 0.55
	// reserveAttempts is how many servers are tried in one round, reserveInterval the
	// mean pause between two rounds. At peak load a server frees a slot every few tens
	// of milliseconds.
	reserveAttempts = 10
	reserveInterval = 30 * time.Millisecond
	// reserveTimeout bounds one reservation attempt; an engine answers within some
	// milliseconds. An unresponsive engine looks the least loaded of all, as it has no
	// reservations. Without this timeout each request would wait there until the
	// connection fails, and be late.
	reserveTimeout = 150 * time.Millisecond
	// fullBackoff is how long a server counts as full after a refusal.
	fullBackoff = 60 * time.Millisecond
	// capacityRetryAfter is the Retry-After when no engine has capacity: about the
	// duration of a generation.
	capacityRetryAfter = 2 * time.Second
)

const (
	// lateWait is how long a request may wait for a reservation after its objective is
	// missed: bursts last some seconds, and a refused caller may retry only once.
	lateWait = 1500 * time.Millisecond
	// lateInterval is the mean pause between two rounds of a late request.
	lateInterval = 100 * time.Millisecond
	// lateHeadroom is the capacity that must stay free at the engine of a late
	// request, as a part of its own size, so that requests in time take precedence. Less
	// urgent requests leave as much while more urgent ones lack room.
	lateHeadroom = 0.3
)

// reservation is a slot and memory reserved at a decode server. Its run is the load
// that this gateway books for it; the server frees the memory when the generation
// ends.
type reservation struct {
	server catalog.Server
	hold   string
	*run
}

const (
	// reservedOutputShare is the part of the expected output that is reserved with the
	// prompt when the load of all gateways is known. An engine doesn't preempt a
	// generation until it exceeds its reservation, and memory that isn't used yet
	// stays available to others.
	reservedOutputShare = 0.5
	// capacityRisk is the margin that must stay free at an engine, in standard
	// deviations of the expected memory use.
	capacityRisk = 1.65
)

// outputMargin is the factor on the caller's estimate of the output in a full
// reservation. A generation that outgrows its reservation is preempted and prefilled
// again, which makes it late.
const outputMargin = 1.5

// maxExpectedTokens returns the memory that a generation is expected not to exceed, in
// tokens.
func maxExpectedTokens(x *Generation) int {
	out := int(outputMargin * float64(x.Hint))
	if out <= 0 {
		out = x.MaxOutput / 2
	}
	return x.Prompt + min(out, x.MaxOutput)
}

// sizeReservation returns the generation with the size of its reservation. A gateway
// that doesn't know the load of all others can't forecast memory use, and reserves
// maxExpectedTokens.
func (g *Gateway) sizeReservation(j *job, after int) memory.Generation {
	x := j.generation(after)
	if !g.canForecast(j) {
		x.Reserved = maxExpectedTokens(j.r.Generation)
		return x
	}
	x.Reserved = x.Prompt + x.Written + int(reservedOutputShare*float64(g.loads.runs.expected(x)))
	return x
}

// fits reports whether x is expected to fit an engine until its end, with so many
// tokens of headroom.
func (g *Gateway) fits(j *job, key string, x memory.Generation, headroom int) bool {
	if !g.canForecast(j) {
		return true
	}
	return g.loads.runs.fits(j.service.Engine.KVTokens-headroom, g.loads.need(key, g.loads.get(key)), x, g.queues.tokensPerSecond(j.service.Name, key))
}

// canForecast reports whether this gateway can forecast the engines' memory use: it
// needs the load of all gateways and the engines' capacity.
func (g *Gateway) canForecast(j *job) bool {
	return g.loads.complete() && j.service.Engine.KVTokens > 0
}

// reserve finds a decode server with capacity. While the objective can still be met it
// retries often; after that the request takes only capacity that no request in time
// needs.
func (g *Gateway) reserve(ctx context.Context, j *job) (reservation, *verdict.Error) {
	began := time.Now()
	engines := g.usable(j, catalog.Decode)
	if err := g.noVersionError(j, engines); err != nil {
		return reservation{}, err
	}
	if err := g.allPausingError(engines); err != nil {
		return reservation{}, err
	}
	if next := g.limits.wait(engines, began); next > max(0, time.Until(j.reserveDeadline())) {
		return reservation{}, rateLimitedError(next)
	}
	p, ok := g.reserveInTurn(ctx, j)
	if ok {
		observe(reserveSeconds, began)
		return p, nil
	}
	if ctx.Err() != nil {
		return reservation{}, verdict.Wrap(ctx.Err(), verdict.NotRun, verdict.Cancelled, "The caller left.")
	}
	if err := g.allPausingError(engines); err != nil {
		return reservation{}, err
	}
	return reservation{}, verdict.New(
		verdict.NotRun, verdict.Overloaded, "No engine has room for %d tokens, asked in %d rounds of up to %d.",
		maxExpectedTokens(j.r.Generation), j.rounds, reserveAttempts,
	).WithRetryAfter(capacityRetryAfter)
}

// reserveInTurn waits for a reservation as long as the request may.
func (g *Gateway) reserveInTurn(ctx context.Context, j *job) (reservation, bool) {
	if j.begun {
		version := origin.Served{Service: origin.Hash(j.service.Name), Software: j.software}
		g.awaited.add(version, 1)
		defer g.awaited.add(version, -1)
	}
	if !j.isCallerRetry() {
		if p, ok := g.reserveUntil(ctx, j, j.delivered(), j.reserveDeadline()); ok {
			return p, true
		}
	}
	if j.begun {
		return g.reserveResumed(ctx, j)
	}
	return g.reserveLate(ctx, j)
}

// firstTryTimeoutShare is the least part of a route's timeout that callers set as
// their own timeout on a first attempt; they use 0.85 to 1.
const firstTryTimeoutShare = 0.83

// isCallerRetry reports whether the caller retries after a refusal or a broken stream.
// Its objective counts from the first attempt and can't be met any more.
func (j *job) isCallerRetry() bool {
	return j.r.CallerTimeout > 0 && float64(j.r.CallerTimeout) < firstTryTimeoutShare*float64(j.route.Timeout)
}

// reserveDeadline returns the time by which a reservation must be found to meet the
// objective.
func (j *job) reserveDeadline() time.Time {
	return j.r.Arrived.Add(time.Duration(reserveShare * float64(j.route.LatencyObjective)))
}

// objectiveMissed reports whether the objective can't be met any more.
func (j *job) objectiveMissed() bool {
	return j.isCallerRetry() || time.Now().After(j.reserveDeadline())
}

// reserveUntil retries until a reservation is found or the time is up. The events up
// to after have already been delivered.
func (g *Gateway) reserveUntil(ctx context.Context, j *job, after int, until time.Time) (reservation, bool) {
	return g.retryReserve(ctx, j, until, reserveInterval, func() (reservation, bool) {
		return g.reserveOnce(ctx, j, g.sizeReservation(j, after))
	})
}

// retryReserve makes rounds at a mean interval until one finds a reservation or the time is up.
func (g *Gateway) retryReserve(ctx context.Context, j *job, until time.Time, interval time.Duration, round func() (reservation, bool)) (reservation, bool) {
	for {
		if p, ok := round(); ok {
			return p, true
		}
		if g.allEnginesPause(j) {
			return reservation{}, false
		}
		pause := wait.Jittered(interval)
		if time.Now().Add(pause).After(until) || !wait.Sleep(ctx, pause) {
			return reservation{}, false
		}
	}
}

// reserveLate waits for spare capacity. The late requests of a gateway take turns, and only
// the one whose turn it is sends reservation requests: while memory is short, each slot that a
// late request takes makes another one late that could have been in time.
func (g *Gateway) reserveLate(ctx context.Context, j *job) (reservation, bool) {
	until := j.r.Arrived.Add(lateWait)
	ctx, cancel := context.WithDeadline(ctx, until)
	defer cancel()
	ok, end := g.turns.wait(ctx, j, until)
	defer end()
	if !ok || ctx.Err() != nil {
		return reservation{}, false
	}
	for {
		if p, ok := g.reserveWithHeadroom(ctx, j, g.sizeReservation(j, j.delivered())); ok {
			return p, true
		}
		if g.allEnginesPause(j) {
			return reservation{}, false
		}
		if !wait.Sleep(ctx, wait.Jittered(lateInterval)) {
			return reservation{}, false
		}
	}
}

// reserveResumed waits for a reservation for a stream that goes on. It takes no turn among the
// late requests: only engines of its own software version are of use to it, and the others' turns
// would hold it up. Engines that have just refused aren't asked: many streams break at a time.
func (g *Gateway) reserveResumed(ctx context.Context, j *job) (reservation, bool) {
	return g.retryReserve(ctx, j, j.r.Arrived.Add(lateWait), lateInterval, func() (reservation, bool) {
		return g.reserveAtAny(ctx, j, g.sizeReservation(j, j.delivered()), g.loads.isFull)
	})
}

// reserveOnce tries the best engines one after the other.
func (g *Gateway) reserveOnce(ctx context.Context, j *job, x memory.Generation) (reservation, bool) {
	return g.reserveAtAny(ctx, j, x, func(string) bool { return false })
}

// reserveAtAny tries the best engines one after the other, without those to skip.
func (g *Gateway) reserveAtAny(ctx context.Context, j *job, x memory.Generation, skip func(key string) bool) (reservation, bool) {
	headroom := g.shortages.headroom(j)
	for i, s := range g.leastLoaded(j) {
		if !g.fits(j, s.key, x, headroom) || skip(s.key) {
			continue
		}
		hold, err := g.reserveAt(ctx, j, s, x.Reserved)
		if err == nil {
			return g.book(j, s, hold, x, i+1), true
		}
		if err.Code == verdict.Overloaded {
			g.loads.markFull(s.key, time.Now().Add(fullBackoff))
		}
	}
	g.shortages.record(j)
	return reservation{}, false
}

// headroomOf returns the tokens that a request leaves free which others precede.
func headroomOf(j *job) int { return int(lateHeadroom * float64(maxExpectedTokens(j.r.Generation))) }

// reserveWithHeadroom reserves capacity at an engine that has headroom besides: it
// reserves both, releases that and reserves its own size.
func (g *Gateway) reserveWithHeadroom(ctx context.Context, j *job, x memory.Generation) (reservation, bool) {
	headroom := headroomOf(j)
	for i, s := range g.leastLoaded(j) {
		if !g.fits(j, s.key, x, headroom) {
			continue
		}
		both, err := g.reserveAt(ctx, j, s, x.Reserved+headroom)
		if err != nil {
			continue
		}
		if err := g.backend.Release(ctx, s.Server, both); err != nil {
			g.log.WithError(err).WithField("server", s.key).Debug("gateway: reservation not released, it will expire.")
			continue
		}
		hold, err := g.reserveAt(ctx, j, s, x.Reserved)
		if err == nil {
			return g.book(j, s, hold, x, i+1), true
		}
	}
	return reservation{}, false
}

// leastLoaded begins a round and returns the decode engines to try in it. A new request leaves
// those to a waiting stream that can go on nowhere else.
func (g *Gateway) leastLoaded(j *job) []ranked {
	j.rounds++
	list := g.usable(j, catalog.Decode)
	if !j.begun {
		list = g.awaited.leave(j.service.Name, list)
	}
	return g.best(j, list, reserveAttempts, g.byTokens)
}

// reserveAt sends a reservation request to one engine. A refusal for lack of capacity
// isn't recorded as a failure.
func (g *Gateway) reserveAt(ctx context.Context, j *job, s ranked, tokens int) (string, *verdict.Error) {
	if !g.limits.take(s.key, time.Now()) {
		return "", verdict.New(verdict.NotRun, verdict.Overloaded, "The engine is at its rate limit.")
	}
	reserveCtx, cancel := context.WithTimeout(ctx, reserveTimeout)
	defer cancel()
	hold, err := g.backend.Reserve(reserveCtx, s.Server, Reservation{
		Tokens: tokens, TTL: j.service.Engine.ReservationTTL, Organisation: j.organisationName(),
	})
	if err != nil && err.Code != verdict.Overloaded {
		g.recordFailure(ctx, s.Server, err)
	}
	if err == nil && g.view.isLeaving(s.key) {
		g.releaseAsync(reservation{server: s.Server, hold: hold}, prefillResult{})
		return "", verdict.New(verdict.NotRun, verdict.Leaving, "The engine is leaving.")
	}
	return hold, err
}

// book records a reservation that was granted at s after so many attempts in its
// round.
func (g *Gateway) book(j *job, s ranked, hold string, x memory.Generation, asked int) reservation {
	j.reserveWait = time.Since(j.r.Arrived)
	g.recordPlacement()
	g.logRequest(j, "gateway: room reserved.", logrus.Fields{
		"server": s.key, "tokens": x.Reserved, "load": s.load, "asked": asked, "rounds": j.rounds, "late": j.objectiveMissed(),
	})
	return reservation{server: s.Server, hold: hold, run: g.loads.run(s.key, x, g.queues.tokensPerSecond(j.service.Name, s.key))}
}
