package quota

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against accounts that create nothing until they are used: the first requests
// after an idle start were refused though the quota was unused.
func TestIdleFleetGrantsFirstRequests(t *testing.T) {
	const gateways, cost = 32, 5267
	f := newFleet(1, gateways, Limit{PerSecond: 47_000, Burst: 47_000, Spare: 5000})
	f.latency = 900 * time.Microsecond
	f.run(14 * time.Second)
	for i := range gateways {
		// A request that waits for less than the pause between two asks asks once.
		f.request(i, cost, 39*time.Millisecond)
		f.run(125 * time.Millisecond)
	}
	assert.Equal(t, f.refused, 0)
	assert.Equal(t, f.granted, gateways)
}

// Guards against an organisation that a new configuration adds, and whose account creates
// nothing until it is used.
func TestAccountCreatesSinceItsOrganisationWasAdded(t *testing.T) {
	now := time.Hour
	m := NewMachine("g0")
	m.SetListed([]string{"g0"}, now, now)
	m.SetLimits(now, map[string]Limit{"org": {PerSecond: 1000, Burst: 1000}})
	_, o, _ := m.Take(now+500*time.Millisecond, "org", 450, 0)
	assert.Equal(t, o, Granted)
}
