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
	// Take waits at most for patience; requests of a lower rank go first. An error refuses the request.
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
	return g.keys.Recheck(g.view.confirmed(), j.organisation, j.r.Credentials)
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
