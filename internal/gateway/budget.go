package gateway

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"jayford.example/jayford/internal/board"
	"jayford.example/jayford/internal/policy/retry"
)

// Budget is the retry budget of all gateways together: it bounds the attempts beyond
// the first of each request.
type Budget struct {
	// Ratio is the number of retries that each request adds.
	Ratio float64
	// Slack is the number of retries allowed besides in any Window.
	Slack  float64
	Window time.Duration
}

const (
	// budgetSafetyFactor is the part of the budget that is used: the servers can count
	// slightly more retries than were decided here. Requests that may have moved from another
	// gateway earn only the rest.
	budgetSafetyFactor = 0.8
	// assumedGateways is the number of gateways assumed while it is unknown. Too high
	// a number only costs retries.
	assumedGateways = 24
	// retryDelay is how long after a retry is taken from the budget it may arrive at its
	// server: the prompt may be read elsewhere first.
	retryDelay = prefillTimeout
)

// share returns one gateway's share of the slack.
func (b Budget) share(gateways int) float64 { return b.Slack * budgetSafetyFactor / float64(gateways) }

// budget is this gateway's share of the retry budgets of all services.
type budget struct {
	opts Budget
	log  *logrus.Entry

	mu sync.Mutex
	// All below is guarded by mu. gateways is the number of gateways that share the slack.
	window   *retry.WindowBudget
	sharers  *retry.Sharers
	gateways int
	gauges   map[string]*budgetGauges
}

// newBudget returns the share of a gateway that starts at now, and adds it to the board's
// dump.
func newBudget(o Budget, now time.Time, b *board.Board, log *logrus.Entry) *budget {
	out := &budget{
		opts: o, log: log, gateways: assumedGateways, gauges: map[string]*budgetGauges{}, sharers: retry.NewSharers(o.Window + retryDelay),
		window: retry.NewWindowBudget(retry.WindowBudgetOptions{
			Ratio: o.Ratio * budgetSafetyFactor, GrowthRatio: o.Ratio * (1 - budgetSafetyFactor), Slack: o.share(assumedGateways),
			Window: o.Window, Delay: retryDelay, Draw: rand.Float64,
		}, now),
	}
	b.AddView("budget", out.dump)
	budgetStart.Set(float64(now.UnixMilli()) / 1000)
	return out
}

// setGateways sets the ids of the gateways that live and share the slack. It is called
// every second, also without a change, and then sets the metrics.
func (b *budget) setGateways(ids []string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	b.window.Advance(now)
	defer b.publishLocked()
	n := b.sharers.Update(ids, now)
	if n == b.gateways {
		return
	}
	b.gateways = n
	b.window.SetSlack(b.opts.share(n))
	budgetSharers.Set(uint64(n))
	fields := logrus.Fields{"gateways": n, "listed": len(ids), "slack": round(b.opts.share(n))}
	b.log.WithFields(fields).Info("gateway: number of gateways that share the retry budget changed.")
}

// countRequest adds a request to the budget of its service.
func (b *budget) countRequest(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.window.Advance(time.Now())
	b.window.RecordFirst(service)
}

// takeRetry takes one retry from the service's budget, and reports whether there was one.
func (b *budget) takeRetry(service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.window.Advance(time.Now())
	if !b.window.Allow(service) {
		budgetEmpty.Inc()
		b.log.WithFields(b.fieldsLocked(service)).Warn("gateway: retry budget exhausted.")
		return false
	}
	retriesTotal.Inc()
	return true
}

// mayAllow reports whether takeRetry may succeed now.
func (b *budget) mayAllow(service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.window.Advance(time.Now())
	return b.window.MayAllow(service)
}

// chargeRetry charges the budget with a retry that wasn't taken from it.
func (b *budget) chargeRetry(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.window.Advance(time.Now())
	b.window.Charge(service)
	retriesUnasked.Inc()
	b.log.WithFields(b.fieldsLocked(service)).Error("gateway: request was sent again without a retry from the budget.")
}

// fieldsLocked describes the service's budget for the log.
func (b *budget) fieldsLocked(service string) logrus.Fields {
	u := b.window.Usage(service)
	return logrus.Fields{
		"service": service, "gateways": b.gateways, "firsts": u.Firsts, "earned": round(u.Earned), "retries": round(u.Retries), "charged": u.Charged,
		"slack": round(u.Slack), "remaining": round(u.Remaining), "counts": milliseconds(time.Since(u.Since)),
	}
}

// budgetUsage is a service's part of the dump.
type budgetUsage struct {
	retry.Usage
	Gateways int
}

func (b *budget) dump() any {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.window.Advance(time.Now())
	out := map[string]budgetUsage{}
	for _, service := range b.window.Targets() {
		out[service] = budgetUsage{b.window.Usage(service), b.gateways}
	}
	return out
}
