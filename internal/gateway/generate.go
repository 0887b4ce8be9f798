package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"

	"jayford.example/jayford/internal/verdict"
)

// cleanupTimeout bounds the calls that release unused reservations and results.
const cleanupTimeout = time.Second

// generate runs a request on engines: it reserves a decode slot, then runs the
// prefill, then the decode. A prefill's result expires if no decode engine is found
// within a fraction of a second, so the reservation comes first.
func (g *Gateway) generate(ctx context.Context, j *job) (*Reply, *verdict.Error) {
	g.prompts.count(time.Now(), j.r.Generation.Prompt)
	var last *verdict.Error
	for {
		if err := g.recheck(ctx, j); err != nil {
			return nil, err
		}
		p, err := g.reserve(ctx, j)
		if err != nil {
			if last != nil {
				return nil, last
			}
			return nil, err
		}
		after := j.r.Generation.LastEventID
		result, err := g.prefill(ctx, j, p, after)
		if err == nil {
			err = g.recheck(ctx, j)
		}
		if err != nil {
			g.abandon(p, result)
			return nil, err
		}
		a, err := g.decode(ctx, j, p, result, after)
		if err == nil && a.Status != http.StatusOK {
			// An error response of the server's own is passed on unchanged.
			p.end()
			return bufferReply(a, j.r.charge)
		}
		if err == nil {
			return g.startStream(ctx, j, p, a)
		}
		last = err
		j.avoid[serverKey(p.server)] = true
		if !g.mayRetry(ctx, j, err.Verdict) || !g.canRetry(j) {
			return nil, last
		}
	}
}

// decode sends the request to the server that holds its reservation.
func (g *Gateway) decode(ctx context.Context, j *job, p reservation, result prefillResult, after string) (*Answer, *verdict.Error) {
	if !j.progress.run(serverKey(p.server)) {
		g.abandon(p, result)
		return nil, stoppingError()
	}
	c := Call{
		Request: j.r, Organisation: j.organisationName(), ReservationID: p.hold, LastEventID: after, PrefillServer: result.from, PrefillResult: result.id,
		Timeout: time.Until(j.until), MaxIdle: maxIdleRepeatable, IsRanked: j.isRanked, Rank: j.rank,
	}
	j.sends++
	j.last = &attempt{sentAt: time.Now()}
	c.Trace = &j.last.trace
	a, err := g.backend.Send(ctx, p.server, c)
	countSending("decode", err)
	g.countRun(j, err)
	if err == nil {
		if err = verifyAnswer(a); err != nil {
			_ = a.Body.Close()
		}
	}
	if err == nil {
		g.loads.recordAccepted(p.server)
		g.logRequest(j, "gateway: decode answered.", j.last.logConnection(logrus.Fields{
			"server": serverKey(p.server), "software": loggedSoftware(p.server.Software), "status": a.Status, "from": result.from.ID,
			"after": after, "firstAttempt": j.r.Generation.FirstAttemptID, "parts": j.r.Generation.SharedParts,
		}))
		return a, nil
	}
	p.end()
	if isLoss(ctx, err) {
		g.recordLoss(j, p.server, j.last, err)
	}
	g.logRequest(j, "gateway: decode failed.", j.last.logConnection(logrus.Fields{
		"server": serverKey(p.server), "cause": err.Error(), "verdict": err.Verdict.String(), "from": result.from.ID,
	}))
	if err.Verdict == verdict.NotRun {
		g.loads.recordRefusal(p.server, time.Now())
		g.releaseAsync(p, result)
	}
	g.recordFailure(ctx, p.server, err)
	j.progress.leave(serverKey(p.server))
	return nil, err
}

// abandon ends a reservation that isn't used.
func (g *Gateway) abandon(p reservation, result prefillResult) {
	p.end()
	g.releaseAsync(p, result)
}

// releaseAsync releases the reservation and the prefill's result of a request that
// didn't run, even if its caller has left.
func (g *Gateway) releaseAsync(p reservation, result prefillResult) {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), cleanupTimeout)
		defer cancel()
		if err := g.backend.Release(ctx, p.server, p.hold); err != nil {
			g.log.WithError(err).WithField("server", p.server.ID).Debug("gateway: reservation not released, it will expire.")
		}
		if result.id == "" {
			return
		}
		if err := g.backend.Discard(ctx, result.from, result.id); err != nil {
			g.log.WithError(err).WithField("server", result.from.ID).Debug("gateway: prefill result not released, it will expire.")
		}
	}()
}
