package test

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"jayford.example/jayford/internal/object"
	"jayford.example/jayford/internal/settings"
	enginestandin "jayford.example/jayford/internal/standin/engine"
)

// The leader sends an order that is delayed in the network, and freezes. Its
// successor sends its own order to the same engine. Then the first order arrives,
// and the old leader thaws while still waiting for the reply. The late order must
// not reach the engine, whether that checks fencing tokens or ignores them, and the
// old leader must neither write its labels nor lead.
func TestThawedLeadersOwnOrderIsRefused(t *testing.T) {
	for _, engine := range []string{"checks fences", "ignores fences"} {
		t.Run(engine, func(t *testing.T) {
			t.Parallel()
			runThawedLeader(t, engine == "checks fences")
		})
	}
}

func runThawedLeader(t *testing.T, checks bool) {
	c := newCluster(t, topology{
		entries: 3, prefill: 1, decode: 3, links: true,
		// The controller learns roles from reports that come about every 5 s; with a
		// shorter Settle it repeats an order that has been carried out, which is
		// harmless. All of it must happen before the agent misses the frozen
		// leader's ping replies, after 4 s, and closes the connection.
		entry: func(e *settings.Entry) {
			shortIntervals(e)
			e.Capacity.LeaseTerm = settings.Duration(time.Second)
			e.Capacity.Every = settings.Duration(100 * time.Millisecond)
			e.Capacity.Settle = settings.Duration(300 * time.Millisecond)
		},
		engineOf: func(_ string, o *enginestandin.Options) { o.ChecksFence = checks },
	})
	// The agents of the leader's zone report to the leader, so its successor would
	// have no reports of them for some seconds.
	old, _ := c.leader(nil)
	n := c.decode[0]
	if n.zone == old.zone {
		n = c.decode[1]
	}
	n.agentLink.delayRequests()
	c.relabel(n, object.RolePrefill)
	eventually(t, 15*time.Second, "an order on its way", func() error {
		if len(n.agentLink.delayedConns()) == 0 {
			return errorf("none")
		}
		return nil
	})
	old, fence := c.leader(nil)
	delayed := n.agentLink.delayedConns()
	old.freeze()
	frozen := time.Now()
	// Otherwise the successor waits 2 s in each round for the old leader's zone.
	old.agentLink.closeAll()
	n.agentLink.passRequests()
	_, after := c.leader(old)
	applied := c.waitOrder(n, object.RolePrefill, fence)
	for _, conn := range delayed {
		assert.NilError(t, conn.delayed.release(conn.b), "the agent has closed the connection")
	}
	arrived := time.Since(frozen)
	old.thaw()
	time.Sleep(3 * time.Second)
	report(t, "leader frozen with an order on its way, fence %d or below; successor leads with %d, its order applied with %d; late order arrives after %s; orders that reached the engine: %d",
		fence, after, applied, arrived.Round(10*time.Millisecond), len(n.orders()))
	for _, o := range n.orders() {
		assert.Check(t, o.Order.Fence >= after, "the engine saw the late order: %+v", o)
	}
	assert.Check(t, strings.Contains(old.logs(), "Order begins"), "the held request wasn't the leader's order")
	c.checkFencesIncrease()
	leader, _ := c.leader(nil)
	assert.Check(t, leader != old, "the thawed leader leads again")
	assert.DeepEqual(t, c.roleChanges(), []string{object.RolePrefill})
}
