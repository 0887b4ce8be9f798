package gateway

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"

	"jayford.example/jayford/internal/policy/retry"
)

var budgetStart = metrics.NewGauge("jayford_gateway_budget_start_time_seconds", nil)

// budgetGauges are the metrics of one service's budget, in retries unless noted.
type budgetGauges struct {
	// firsts counts requests.
	firsts, earned, slack, taken, charged, remaining *metrics.Gauge
}

func newBudgetGauges(service string) *budgetGauges {
	gauge := func(name string) *metrics.Gauge {
		return metrics.GetOrCreateGauge(fmt.Sprintf("%s{service=%q}", name, service), nil)
	}
	return &budgetGauges{
		firsts:    gauge("jayford_gateway_budget_requests"),
		earned:    gauge("jayford_gateway_budget_earned"),
		slack:     gauge("jayford_gateway_budget_slack"),
		taken:     gauge("jayford_gateway_budget_repeats"),
		charged:   gauge("jayford_gateway_budget_repeats_unasked"),
		remaining: gauge("jayford_gateway_budget_remaining"),
	}
}

func (g *budgetGauges) set(u retry.Usage) {
	g.firsts.Set(u.Firsts)
	g.earned.Set(u.Earned)
	g.slack.Set(u.Slack)
	g.taken.Set(u.Retries)
	g.charged.Set(u.Charged)
	g.remaining.Set(u.Remaining)
}

// publishLocked sets the metrics of all services' budgets.
func (b *budget) publishLocked() {
	for _, service := range b.window.Targets() {
		g := b.gauges[service]
		if g == nil {
			g = newBudgetGauges(service)
			b.gauges[service] = g
		}
		g.set(b.window.Usage(service))
	}
}
