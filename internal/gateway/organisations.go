package gateway

import (
	"context"
	"time"

	"jayford.example/jayford/internal/catalog"
	"jayford.example/jayford/internal/quota"
	"jayford.example/jayford/internal/verdict"
)

// Quotas takes the cost of requests from organisations' quotas.
type Quotas interface {
	SetOrganisations(o *catalog.Organisations)
	// Take waits for at most patience, and serves lower ranks first. An error refuses the request.
	Take(ctx context.Context, organisation string, cost float64, rank int, patience time.Duration) (quota.Receipt, *verdict.Error)
	// Return gives back what a request took that hasn't run.
	Return(r quota.Receipt)
}

// LimitOrganisations makes the gateway enforce organisations' quotas. It must be called
// before the first request.
func (g *Gateway) LimitOrganisations(q Quotas) { g.quotas = q }

// organisationName returns the name of the caller's organisation, "" if it has none.
func (j *job) organisationName() string {
	if j.organisation == nil {
		return ""
	}
	return j.organisation.Name
}

// recheckKey checks that the key with which the request was accepted is still in service.
// Between its arrival and its sending a request may have waited for its turn, and the
// process may have been suspended.
func (g *Gateway) recheckKey(j *job) *verdict.Error {
	if err := g.keys.Recheck(g.view.confirmed(), j.organisation, j.r.Credentials); err != nil {
		return g.sendElsewhere(err)
	}
	return nil
}

const (
	// maxReadinessLead is how long before the keys expire a gateway turns unready: two missed
	// readiness checks, a second apart, take it out of the load balancer's rotation. It is at
	// most readinessLeadPart of the keys' expiry.
	maxReadinessLead  = 2 * time.Second
	readinessLeadPart = 0.4
	// elsewhereRetryAfter sends a caller to another gateway in time for its objective.
	elsewhereRetryAfter = 50 * time.Millisecond
)

// isLosingKeys reports whether this gateway won't be able to check keys by the time at which
// the load balancer can have taken it out of rotation, while others may.
func (g *Gateway) isLosingKeys() bool {
	lead := min(maxReadinessLead, time.Duration(readinessLeadPart*float64(g.opts.KeyExpiry)))
	return g.keys.ExpiresWithin(g.view.confirmed(), lead) && !g.isFleetCutOff()
}

// isFleetCutOff reports whether, as far as this gateway knows, the platform can't be reached by
// any gateway. One that doesn't hear most of its peers can't tell.
func (g *Gateway) isFleetCutOff() bool {
	if g.loads.peers == nil || !g.loads.complete() {
		return false
	}
	return g.loads.peers.PlatformReachableSince(time.Now().Add(-contactReportAge)).IsZero()
}

// contactReportAge is the age up to which a peer's report of its contact with the platform
// counts. Each peer reports at least once in two seconds in fleets of up to 48.
const contactReportAge = 2500 * time.Millisecond

// sendElsewhere shortens the Retry-After of a refusal for want of a confirmed configuration,
// unless all gateways lack it: the caller's next attempt reaches another one.
func (g *Gateway) sendElsewhere(err *verdict.Error) *verdict.Error {
	if err.Code != verdict.PlatformDown || g.isFleetCutOff() {
		return err
	}
	return err.WithRetryAfter(elsewhereRetryAfter)
}

const (
	// quotaPatience is the part of its objective that a request may wait for its quota,
	// maxQuotaPatience the most, also without an objective.
	quotaPatience    = 0.4
	maxQuotaPatience = 200 * time.Millisecond
)

// serveWithinQuota serves a request if its organisation's quota allows it. A request that
// hasn't run costs nothing.
func (g *Gateway) serveWithinQuota(ctx context.Context, j *job) (*Reply, *verdict.Error) {
	o := j.organisation
	if g.quotas == nil || o == nil || !o.Quota.IsLimited() {
		return g.serve(ctx, j)
	}
	patience := maxQuotaPatience
	if objective := j.route.LatencyObjective; objective > 0 {
		patience = min(patience, time.Duration(quotaPatience*float64(objective)))
	}
	receipt, err := g.quotas.Take(ctx, o.Name, o.Quota.Cost(j.tokens()), j.rank, patience)
	if err != nil {
		return nil, err
	}
	reply, err := g.serve(ctx, j)
	if err != nil && err.Verdict == verdict.NotRun && j.runs == 0 {
		g.quotas.Return(receipt)
	}
	return reply, err
}

// tokens returns the prompt and output tokens of a generation, 0 for other requests.
func (j *job) tokens() int {
	if x := j.r.Generation; x != nil {
		return x.Prompt + x.MaxOutput
	}
	return 0
}
