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

// quick lets the controller act within seconds.
func quick(e *settings.Entry) {
	e.Capacity = settings.Capacity{
		LeaseTerm: settings.Duration(leaseTerm), Every: settings.Duration(500 * time.Millisecond),
		Smooth: settings.Duration(2 * time.Second), Sustain: settings.Duration(2 * time.Second),
		Stay: settings.Duration(20 * time.Second), Settle: settings.Duration(2 * time.Second),
		DrainWithin: settings.Duration(30 * time.Second),
	}
}

// leaderShape has engines of which the odd ones ignore fencing numbers.
func leaderShape() shape {
	return shape{
		entries: 3, prefill: 1, decode: 3, entry: quick,
		engineOf: func(id string, o *enginestandin.Options) { o.ChecksFence = strings.HasSuffix(id, "0") },
	}
}

// leader waits for a leader other than not, and returns it with its fence.
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

// relabel is an operator's change of a server's role.
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

// waitOrder waits until the engine has applied an order to role above a fence.
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

// lateOrder sends an order to an agent as a deposed leader would.
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

func (c *cluster) mustRefuse(n *node, role string, fence uint64) {
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
	assert.Assert(c.t, reply.GetRefusal() != nil, "%s obeyed a deposed leader", n.id)
	assert.Equal(c.t, reply.GetRefusal().GetReason(), pb.Reason_REASON_FENCED)
}

// risingFences checks the engines' own accounts.
func (c *cluster) risingFences() {
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

// The leader is frozen past its lease. A successor takes over and changes the
// roles that an operator declares, on an engine that checks fencing numbers and
// on one that ignores them. The old leader thaws and still believes it leads;
// an order of its arrives late. Only the agent can refuse it for both engines.
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
	c.mustRefuse(c.decode[0], object.RolePrefill, before)
	c.mustRefuse(c.decode[1], object.RolePrefill, before)
	time.Sleep(2 * leaseTerm)
	leader, _ := c.leader(nil)
	assert.Assert(t, leader != old, "the thawed leader leads again")
	c.risingFences()
}

// An agent is restarted and has forgotten the highest fencing number. An order
// of the former leader reaches it first. It must ask the platform before it
// obeys anyone, and still obey the present leader.
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
		c.mustRefuse(n, object.RolePrefill, before)
		c.relabel(n, object.RolePrefill)
		c.waitOrder(n, object.RolePrefill, before)
	}
	c.risingFences()
}

// The platform hangs, so the leader's renewal gets no reply and its lease is
// unclear. Then an engine restarts in its old role, which calls for an order.
// None may come until the platform answers again and a lease is held.
func TestNoOrderFromUnclearLease(t *testing.T) {
	t.Parallel()
	c := newCluster(t, leaderShape())
	c.leader(nil)
	n := c.decode[1]
	c.relabel(n, object.RolePrefill)
	fence := c.waitOrder(n, object.RolePrefill, 0)
	c.platformControl(platformstandin.Control{Outage: platformstandin.OutageHang})
	time.Sleep(2 * leaseTerm)
	given := len(n.orders())
	// The crash takes the connection of this call along.
	crash := http.Client{Timeout: 2 * time.Second}
	if resp, err := crash.Post("http://"+n.backendAddress+"/v1/control", "application/json", strings.NewReader(`{"crash":true}`)); err == nil {
		resp.Body.Close()
	}
	// A report and a look at it take 8 s at most, and Settle 2 s.
	time.Sleep(15 * time.Second)
	assert.Equal(t, len(n.orders()), given, "order from an unclear lease: %+v", n.orders())
	c.platformControl(platformstandin.Control{})
	begin := time.Now()
	again := c.waitOrder(n, object.RolePrefill, fence)
	report(t, "platform back: order after %s", time.Since(begin).Round(time.Millisecond))
	assert.Assert(t, again > fence)
	c.risingFences()
}

// roleChanges returns the roles written to the labels by the controller.
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
// answers, as when a term's readers become its writers. Roles must follow in
// both directions without an operator, without cutting or losing a request,
// without going back and forth, and not below the declared minimum. While they
// follow, what finds no capacity is refused as not run.
func TestRolesFollowDemand(t *testing.T) {
	t.Parallel()
	c := newCluster(t, shape{
		entries: 2, prefill: 3, decode: 3, entry: quick,
		engine: enginestandin.Options{DecodeSlots: 4, PrefillPerThousand: 100 * time.Millisecond, OmitTokenEntries: true},
		agent:  func(a *settings.Agent) { a.Slots = 4 },
	})
	c.put(object.KindIntent, "model", object.Intent{Format: object.Format, Pool: "model", MinPrefill: 2, MinDecode: 2})
	c.leader(nil)
	readers, writers := &history{}, &history{}
	rnd := rand.New(rand.NewPCG(1, 2))
	// Arrivals by chance, 3 prefill engines and later 2.9 decode engines full.
	pause := func(mean time.Duration) { time.Sleep(time.Duration(rnd.ExpFloat64() * float64(mean))) }
	c.load(readers, 400, 0, func(i int) ask {
		pause(94 * time.Millisecond)
		return ask{prompt: prompt(fmt.Sprint("reader ", i), 2800), maxTokens: 4, stream: i%2 == 0}
	}).Wait()
	first := c.roleChanges()
	report(t, "prefill-heavy for 38 s: changes %v; %s; last third: %s", first, readers.describe(), readers.lastThird())
	c.load(writers, 300, 0, func(i int) ask {
		pause(140 * time.Millisecond)
		return ask{prompt: prompt(fmt.Sprint("writer ", i), 5), maxTokens: 70, stream: i%2 == 0}
	}).Wait()
	all := c.roleChanges()
	report(t, "then decode-heavy for 42 s: changes %v; %s; last third: %s", all[len(first):], writers.describe(), writers.lastThird())
	c.checkHistory(readers)
	c.checkHistory(writers)
	assert.DeepEqual(t, first, []string{object.RolePrefill})
	assert.DeepEqual(t, all[1:], []string{object.RoleDecode, object.RoleDecode})
	for _, h := range []*history{readers, writers} {
		n := h.tally()
		assert.Equal(t, n.cut+n.lost, 0, "%s", h.describe())
		n = h.lastThird()
		assert.Assert(t, n.whole >= 20*n.refused, "still short of capacity: %s", n)
	}
	c.waitFree(freeBound)
}

// lastThird counts the answers to the requests that were sent last.
func (h *history) lastThird() tally {
	all := h.all()
	slices.SortFunc(all, func(a, b answer) int { return a.sent.Compare(b.sent) })
	last := &history{answers: all[len(all)*2/3:]}
	return last.tally()
}
