package quota

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a quota that is used up in name only: tokens that are held where nobody
// needs them. An organisation asks at all gateways for more than its limit.
func TestQuotaIsUsedUnderLoad(t *testing.T) {
	for _, x := range []struct {
		name             string
		gateways, active int
		perSecond, cost  float64
	}{
		{"many gateways", 24, 24, 17_000, 3300},
		{"two gateways", 24, 2, 17_000, 3300},
		{"one gateway", 24, 1, 47_000, 3300},
		{"large fleet", 68, 60, 100_000, 3300},
		{"in requests", 24, 24, 20, 1},
	} {
		t.Run(x.name, func(t *testing.T) {
			const lasts = 40 * time.Second
			f := newFleet(1, x.gateways, Limit{PerSecond: x.perSecond, Burst: x.perSecond, Spare: x.perSecond})
			f.run(15 * time.Second)
			f.load(1.5*x.perSecond/x.cost, lasts, func() float64 { return x.cost * (0.5 + f.rnd.Float64()) }, func() int { return f.rnd.IntN(x.active) })
			allowed := x.perSecond * (lasts.Seconds() + 2)
			t.Logf("granted %d, refused %d, %.2f of the limit", f.granted, f.refused, f.total()/allowed)
			assert.Assert(t, f.total() > 0.9*allowed, "%.2f of the limit", f.total()/allowed)
		})
	}
}
