package test

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
	"gotest.tools/v3/assert"

	pb "jayford.example/jayford/api/jayfordv1"
	"jayford.example/jayford/internal/control"
	"jayford.example/jayford/internal/object"
	"jayford.example/jayford/internal/settings"
	enginestandin "jayford.example/jayford/internal/standin/engine"
	platformstandin "jayford.example/jayford/internal/standin/platform"
)

const leaseTerm = 2 * time.Second

var capacityScope = control.LeaseScope("region")

// shortIntervals shortens the controller's intervals to seconds.
func shortIntervals(e *settings.Entry) {
	e.Capacity = settings.Capacity{
		LeaseTerm: settings.Duration(leaseTerm), Every: settings.Duration(500 * time.Millisecond),
		Smooth: settings.Duration(2 * time.Second), Sustain: settings.Duration(2 * time.Second),
		Stay: settings.Duration(20 * time.Second), Settle: settings.Duration(2 * time.Second),
		DrainWithin: settings.Duration(30 * time.Second),
	}
}

// leaderShape has engines of which only those with an id ending in 0 check fencing
// tokens.
func leaderShape() topology {
	return topology{
		entries: 3, prefill: 1, decode: 3, entry: shortIntervals,
		engineOf: func(id string, o *enginestandin.Options) { o.ChecksFence = strings.HasSuffix(id, "0") },
	}
}

// leader waits until an entry other than not holds the lease, and returns it with
// its fencing token.
func (c *cluster) leader(not *node) (leader *node, fence uint64) {
	c.t.Helper()
	eventually(c.t, 10*time.Second, "a leader", func() error {
		o, err := c.store.Get(context.Background(), object.KindLease, capacityScope)
		if err != nil {
			return err
		}
		var l object.Lease
		if err := json.Unmarshal(o.Spec, &l); err != nil {
			return err
		}
		holder, _, _ := strings.Cut(l.Holder, "#")
		for _, e := range c.entries {
			if e.id == holder && e != not {
				leader, fence = e, o.Version
				return nil
			}
		}
		return errorf("holder is %q", l.Holder)
	})
	return leader, fence
}

// relabel changes a server's role label, as an operator does.
func (c *cluster) relabel(n *node, role string) {
	c.put(object.KindServer, n.id, object.Server{Format: object.Format, Labels: map[string]string{
		object.LabelModel: testModel, object.LabelRole: role,
	}})
}

func (n *node) orders() []enginestandin.Entry {
	n.t.Helper()
	var out []enginestandin.Entry
	for _, e := range n.record().Entries {
		if e.Kind == enginestandin.EntryOrder && e.Detail != "repeated" {
			out = append(out, e)
		}
	}
	return out
}

// waitOrder waits until the engine has applied an order for role with a fencing
// token greater than above.
func (c *cluster) waitOrder(n *node, role string, above uint64) uint64 {
	c.t.Helper()
	var fence uint64
	eventually(c.t, 30*time.Second, n.id+" ordered to "+role, func() error {
		for _, o := range n.orders() {
			if o.Applied && o.Order.Value == role && o.Order.Fence > above {
				fence = o.Order.Fence
				return nil
			}
		}
		return errorf("orders: %+v", n.orders())
	})
	return fence
}

// lateOrder sends an order to an agent, as a deposed leader would.
func (c *cluster) lateOrder(n *node, role string, fence uint64) (*pb.OrderReply, error) {
	conn, err := grpc.NewClient(n.peer, grpc.WithTransportCredentials(insecure.NewCredentials()))
	assert.NilError(c.t, err)
	defer conn.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	return pb.NewAgentClient(conn).Order(ctx, &pb.OrderRequest{
		Fence: fence, Scope: capacityScope, Kind: "set-role", Value: role, Operation: fmt.Sprint("late ", n.id, role),
	})
}

func (c *cluster) checkFenced(n *node, role string, fence uint64) {
	c.t.Helper()
	var reply *pb.OrderReply
	eventually(c.t, 10*time.Second, n.id+" answers the late order", func() error {
		var err error
		reply, err = c.lateOrder(n, role, fence)
		if err == nil && reply.GetRefusal().GetReason() == pb.Reason_REASON_FULL {
			return errorf("another order runs")
		}
		return err
	})
	assert.Assert(c.t, reply.GetRefusal() != nil, "%s accepted an order of a deposed leader", n.id)
	assert.Equal(c.t, reply.GetRefusal().GetReason(), pb.Reason_REASON_FENCED)
}

// checkFencesIncrease checks the engines' records: fencing tokens of applied orders must
// not decrease.
func (c *cluster) checkFencesIncrease() {
	c.t.Helper()
	for _, n := range append(append([]*node(nil), c.prefill...), c.decode...) {
		last := uint64(0)
		for _, o := range n.orders() {
			if !o.Applied {
				continue
			}
			if o.Order.Fence < last {
				c.t.Errorf("%s applied fence %d after %d", n.id, o.Order.Fence, last)
			}
			last = o.Order.Fence
		}
	}
}

// The leader is frozen past its lease. A successor takes over and changes the roles
// that an operator declares, on an engine that checks fencing tokens and on one that
// ignores them. The old leader thaws without having noticed that it lost the lease,
// and one of its orders arrives late. For the second engine only the agent can
// reject it.
func TestFrozenLeaderIsRefused(t *testing.T) {
	t.Parallel()
	c := newCluster(t, leaderShape())
	old, _ := c.leader(nil)
	c.relabel(c.decode[0], object.RolePrefill)
	c.relabel(c.decode[1], object.RolePrefill)
	fence := max(c.waitOrder(c.decode[0], object.RolePrefill, 0), c.waitOrder(c.decode[1], object.RolePrefill, 0))
	_, before := c.leader(nil)
	old.freeze()
	begin := time.Now()
	_, after := c.leader(old)
	report(t, "leader frozen, term %s: successor after %s, fences %d then %d", leaseTerm, time.Since(begin).Round(time.Millisecond), fence, after)
	assert.Assert(t, after > before)
	c.relabel(c.decode[0], object.RoleDecode)
	c.relabel(c.decode[1], object.RoleDecode)
	c.waitOrder(c.decode[0], object.RoleDecode, before)
	c.waitOrder(c.decode[1], object.RoleDecode, before)
	old.thaw()
	c.checkFenced(c.decode[0], object.RolePrefill, before)
	c.checkFenced(c.decode[1], object.RolePrefill, before)
	time.Sleep(2 * leaseTerm)
	leader, _ := c.leader(nil)
	assert.Assert(t, leader != old, "the thawed leader leads again")
	c.checkFencesIncrease()
}

// A restarted agent has lost the highest fencing token, and an order of the former
// leader reaches it first. It must query the platform before it accepts any order,
// and still accept those of the current leader.
func TestRestartedAgentRefusesFormerLeader(t *testing.T) {
	t.Parallel()
	c := newCluster(t, leaderShape())
	old, before := c.leader(nil)
	assert.Assert(t, old.terminate(20*time.Second))
	c.leader(old)
	for _, n := range c.decode[:2] {
		n.restart()
		eventually(t, 5*time.Second, n.id+" back", func() error {
			var v any
			return getJSON(n.operator, "/debug/state", &v)
		})
		c.checkFenced(n, object.RolePrefill, before)
		c.relabel(n, object.RolePrefill)
		c.waitOrder(n, object.RolePrefill, before)
	}
	c.checkFencesIncrease()
}

// The platform hangs, so the leader's renewal gets no reply and the state of its
// lease is unknown. Then an engine restarts in its old role, which requires an
// order. None may be sent until the platform answers again and a lease is held.
func TestNoOrderFromUnclearLease(t *testing.T) {
	t.Parallel()
	c := newCluster(t, leaderShape())
	c.leader(nil)
	n := c.decode[1]
	c.relabel(n, object.RolePrefill)
	fence := c.waitOrder(n, object.RolePrefill, 0)
	c.platformControl(platformstandin.Control{Outage: platformstandin.OutageHang})
	time.Sleep(2 * leaseTerm)
	ordersBefore := len(n.orders())
	// The crash also breaks the connection of this call.
	crash := http.Client{Timeout: 2 * time.Second}
	if resp, err := crash.Post("http://"+n.backendAddress+"/v1/control", "application/json", strings.NewReader(`{"crash":true}`)); err == nil {
		resp.Body.Close()
	}
	// A report and its evaluation take 8 s at most, and Settle 2 s.
	time.Sleep(15 * time.Second)
	assert.Equal(t, len(n.orders()), ordersBefore, "order from an unclear lease: %+v", n.orders())
	c.platformControl(platformstandin.Control{})
	begin := time.Now()
	again := c.waitOrder(n, object.RolePrefill, fence)
	report(t, "platform back: order after %s", time.Since(begin).Round(time.Millisecond))
	assert.Assert(t, again > fence)
	c.checkFencesIncrease()
}

// roleChanges returns the role changes that were written to the labels, in order.
func (c *cluster) roleChanges() []string {
	c.t.Helper()
	var writes []platformstandin.Accepted
	assert.NilError(c.t, getJSON(c.platformAddress, "/record", &writes))
	var out []string
	role := make(map[string]string)
	for _, w := range writes {
		if w.Kind != object.KindServer {
			continue
		}
		var s object.Server
		assert.NilError(c.t, json.Unmarshal(w.Spec, &s))
		if was, known := role[w.Name]; known && was != s.Labels[object.LabelRole] {
			out = append(out, s.Labels[object.LabelRole])
		}
		role[w.Name] = s.Labels[object.LabelRole]
	}
	return out
}

// Demand moves from long prompts with short answers to short prompts with long
// answers. Roles must follow in both directions without an operator, without
// truncated or lost requests, without oscillation, and not below the declared
// minimum. Meanwhile requests that find no capacity are refused as not run.
func TestRolesFollowDemand(t *testing.T) {
	t.Parallel()
	c := newCluster(t, topology{
		entries: 2, prefill: 3, decode: 3, entry: shortIntervals,
		engine: enginestandin.Options{DecodeSlots: 4, PrefillPerThousand: 100 * time.Millisecond, OmitTokenEntries: true},
		agent:  func(a *settings.Agent) { a.Slots = 4 },
	})
	c.put(object.KindIntent, "model", object.Intent{Format: object.Format, Pool: "model", MinPrefill: 2, MinDecode: 2})
	c.leader(nil)
	prefillHeavy, decodeHeavy := &history{}, &history{}
	rnd := rand.New(rand.NewPCG(1, 2))
	// Poisson arrivals that keep 3 prefill engines and later 2.9 decode engines
	// fully loaded.
	pause := func(mean time.Duration) { time.Sleep(time.Duration(rnd.ExpFloat64() * float64(mean))) }
	c.load(prefillHeavy, 400, 0, func(i int) request {
		pause(94 * time.Millisecond)
		return request{prompt: prompt(fmt.Sprint("reader ", i), 2800), maxTokens: 4, stream: i%2 == 0}
	}).Wait()
	first := c.roleChanges()
	report(t, "prefill-heavy for 38 s: changes %v; %s; last third: %s", first, prefillHeavy.describe(), prefillHeavy.lastThird())
	c.load(decodeHeavy, 300, 0, func(i int) request {
		pause(140 * time.Millisecond)
		return request{prompt: prompt(fmt.Sprint("writer ", i), 5), maxTokens: 70, stream: i%2 == 0}
	}).Wait()
	all := c.roleChanges()
	report(t, "then decode-heavy for 42 s: changes %v; %s; last third: %s", all[len(first):], decodeHeavy.describe(), decodeHeavy.lastThird())
	c.checkHistory(prefillHeavy)
	c.checkHistory(decodeHeavy)
	assert.DeepEqual(t, first, []string{object.RolePrefill})
	assert.DeepEqual(t, all[1:], []string{object.RoleDecode, object.RoleDecode})
	for _, h := range []*history{prefillHeavy, decodeHeavy} {
		n := h.tally()
		assert.Equal(t, n.truncated+n.unanswered, 0, "%s", h.describe())
		n = h.lastThird()
		assert.Assert(t, n.whole >= 20*n.refused, "still short of capacity: %s", n)
	}
	c.waitFree(freeBound)
}

// lastThird counts the answers to the last third of the requests by sending time.
func (h *history) lastThird() tally {
	all := h.all()
	slices.SortFunc(all, func(a, b answer) int { return a.sent.Compare(b.sent) })
	last := &history{answers: all[len(all)*2/3:]}
	return last.tally()
}
