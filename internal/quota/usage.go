package quota

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"

	"jayford.example/jayford/internal/boottime"
	"jayford.example/jayford/internal/catalog"
	"jayford.example/jayford/internal/policy/priority"
	policy "jayford.example/jayford/internal/policy/quota"
)

// maxLabelled bounds the organisations that have metrics of their own.
const maxLabelled = 500

// usage is what an organisation used at this gateway.
type usage struct {
	PerSecond, Burst float64
	// Used is in tokens, Refused counts requests.
	Used    float64
	Refused int
	// RefusedByRank are the same by rank, the most urgent first.
	RefusedByRank [priority.Last + 1]int
	// usedTotal and refusedTotal are nil if too many organisations have metrics.
	usedTotal    *metrics.FloatCounter
	refusedTotal *metrics.Counter
	// Held is how many tokens this gateway holds, ListAge the age of its list of gateways
	// in seconds. Both are set in dumps only.
	Held, ListAge float64
}

func newUsage(organisation string, hasMetrics bool) *usage {
	if !hasMetrics {
		return &usage{}
	}
	return &usage{
		usedTotal:    metrics.GetOrCreateFloatCounter(fmt.Sprintf("jayford_quota_used_total{organisation=%q}", organisation)),
		refusedTotal: metrics.GetOrCreateCounter(fmt.Sprintf("jayford_quota_refusals_total{organisation=%q}", organisation)),
	}
}

// SetOrganisations sets the organisations with their quotas.
func (x *Exchange) SetOrganisations(o *catalog.Organisations) {
	limits := map[string]policy.Limit{}
	if o != nil {
		for name, org := range o.All() {
			if q := org.Quota; q.IsLimited() {
				limits[name] = policy.Limit{PerSecond: q.PerSecond, Burst: q.Burst, Spare: x.opts.Spare}
			}
		}
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	x.machine.SetLimits(boottime.Now(), limits)
	x.setUsageLocked(limits)
}

// setUsageLocked keeps the usage of the limited organisations, and logs new limits.
func (x *Exchange) setUsageLocked(limits map[string]policy.Limit) {
	for name := range x.usage {
		if _, ok := limits[name]; !ok {
			delete(x.usage, name)
		}
	}
	for name, l := range limits {
		u := x.usage[name]
		if u == nil {
			u = newUsage(name, len(x.usage) < maxLabelled)
			x.usage[name] = u
		}
		if u.PerSecond != l.PerSecond || u.Burst != l.Burst {
			x.opts.Log.WithFields(logrus.Fields{"organisation": name, "perSecond": l.PerSecond, "burst": l.Burst}).Info("quota: limit set.")
		}
		u.PerSecond, u.Burst = l.PerSecond, l.Burst
	}
}

// countLocked counts a request that was granted or refused.
func (x *Exchange) countLocked(c *claim, granted bool) {
	u := x.usage[c.organisation]
	if u == nil {
		return
	}
	if granted {
		u.Used += c.cost
	} else {
		u.Refused++
		u.RefusedByRank[c.rank]++
	}
	switch {
	case u.usedTotal == nil:
	case granted:
		u.usedTotal.Add(c.cost)
	default:
		u.refusedTotal.Inc()
	}
}

// dump returns the organisations' usage for the state dump.
func (x *Exchange) dump() any {
	_, read := x.opts.Members()
	x.mu.Lock()
	defer x.mu.Unlock()
	now := boottime.Now()
	out := make(map[string]usage, len(x.usage))
	for name, u := range x.usage {
		c := *u
		c.Held = x.machine.Balance(now, name)
		c.ListAge = (now - read).Truncate(time.Millisecond).Seconds()
		out[name] = c
	}
	return out
}
