package grant

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	pb "jayford.example/jayford/api/jayfordv1"
)

const (
	lapse = 2 * time.Second
	ms    = time.Millisecond
)

func testConfig() Config {
	return Config{
		Incarnation: 7, Slots: 2, PrefillQueue: 3, Queue: 4, LapseAfter: lapse,
		MaxWait: 30 * time.Second, MaxIdle: 10 * time.Second, MaxExclusiveWait: 2 * time.Second,
		DedupRetention: time.Minute, MaxDedupRecords: 1000, MaxConvicted: 4,
	}
}

func up(t *testing.T, slots int) *Core {
	t.Helper()
	cfg := testConfig()
	cfg.Slots = slots
	c := New(cfg)
	c.ServerUp(0)
	return c
}

func decode(id string) Request {
	return Request{
		Key:   Key{Request: id, Number: 1, Phase: pb.Phase_PHASE_DECODE},
		Entry: "e1#1", Organisation: "o", Idle: 10 * time.Second, Wait: 10 * time.Second,
	}
}

// mustRun brings a request to the state sent.
func mustRun(t *testing.T, c *Core, now time.Duration, r Request) {
	t.Helper()
	o, refusal := c.Reserve(now, r)
	assert.Equal(t, o, Granted, "%+v", refusal)
	assert.Assert(t, c.Start(now, r.Key, r.Entry) == nil)
	assert.Assert(t, c.Send(now, r.Key))
}

func actions(c *Core) []string {
	var out []string
	for _, a := range c.Ready() {
		out = append(out, fmt.Sprint([...]string{"admit", "refuse", "stop", "lost", "drop"}[a.Kind], " ", a.Key.Request))
	}
	return out
}

// An entry dies, so its renewals stop. Its waiting request is refused, its idle
// grant removed and its running attempt stopped; the slot is freed only when
// the engine has confirmed, otherwise the next attempt would find the engine
// full.
func TestLapseFreesAfterConfirm(t *testing.T) {
	c := up(t, 2)
	mustRun(t, c, 0, decode("run"))
	_, _ = c.Reserve(0, decode("idle"))
	o, _ := c.Reserve(0, decode("wait"))
	assert.Equal(t, o, Waiting)
	for now := time.Duration(0); now <= lapse; now += lapse / 20 {
		c.Tick(now)
	}
	assert.DeepEqual(t, actions(c), []string{"stop run", "refuse wait"})
	assert.Equal(t, c.Load().Used, 1)
	c.Done(lapse, decode("run").Key, 0)
	assert.Equal(t, c.Load().Grants, 0)
}

// The agent is paused for ten seconds. A renewal that waited in its socket may
// come from an entry that died meanwhile, so it doesn't count; one read after
// the settle time proves that the entry is alive and keeps its grants.
func TestOnlyLiveEntriesSurvivePause(t *testing.T) {
	c := up(t, 2)
	alive, dead := decode("alive"), decode("dead")
	dead.Entry = "e2#1"
	mustRun(t, c, 0, alive)
	mustRun(t, c, 0, dead)
	wake := 10 * time.Second
	c.Renew(wake, "e2#1", 1, []Attempt{{"dead", 1}})
	c.Renew(wake, "e1#1", 1, []Attempt{{"alive", 1}})
	assert.Equal(t, len(actions(c)), 0)
	o, refusal := c.Reserve(wake, decode("new"))
	assert.Equal(t, o, Refused)
	assert.Equal(t, refusal.Verdict, pb.Verdict_VERDICT_NOT_RUN)
	c.Renew(wake+lapse/4, "e1#1", 2, []Attempt{{"alive", 1}})
	c.Tick(wake + lapse/graceDivisor)
	assert.DeepEqual(t, actions(c), []string{"stop dead"})
	assert.Equal(t, c.Load().Used, 2)
	// A second pause gives the first entry no second grace time without a renewal
	// in between.
	c.Tick(wake + lapse/graceDivisor + 5*time.Second)
	c.Tick(wake + lapse/graceDivisor + 10*time.Second)
	assert.DeepEqual(t, actions(c), []string{"stop alive"})
}

// A Release is lost. The entry stops listing the attempt; the second renewal
// without it cancels it, and the listed attempt goes on.
func TestUnlistedAttemptIsCancelled(t *testing.T) {
	c := up(t, 2)
	mustRun(t, c, 0, decode("keep"))
	mustRun(t, c, 0, decode("lost"))
	c.Renew(10*ms, "e1#1", 1, []Attempt{{"keep", 1}})
	assert.Equal(t, len(actions(c)), 0)
	unknown := c.Renew(500*ms, "e1#1", 2, []Attempt{{"keep", 1}, {"never", 1}})
	assert.DeepEqual(t, actions(c), []string{"stop lost"})
	assert.DeepEqual(t, unknown, []Attempt{{"never", 1}})
	// A late renewal with a lower sequence changes nothing.
	c.Renew(600*ms, "e1#1", 1, nil)
	assert.Equal(t, len(actions(c)), 0)
}

func TestNewerIncarnationLapsesOlder(t *testing.T) {
	c := up(t, 2)
	mustRun(t, c, 0, decode("old"))
	c.Renew(10*ms, "e1#2", 1, nil)
	assert.DeepEqual(t, actions(c), []string{"stop old"})
	o, refusal := c.Reserve(20*ms, decode("late"))
	assert.Equal(t, o, Refused)
	assert.Equal(t, refusal.Reason, pb.Reason_REASON_CANCELLED)
}

// An attempt is sent again while it runs and after its end, and a release
// arrives before its reservation. Each attempt may start only once.
func TestDuplicates(t *testing.T) {
	c := up(t, 2)
	mustRun(t, c, 0, decode("a"))
	assert.Equal(t, c.Start(0, decode("a").Key, "e1#1").Reason, pb.Reason_REASON_DUPLICATE)
	c.Done(0, decode("a").Key, 0)
	_, refusal := c.Reserve(0, decode("a"))
	assert.Equal(t, refusal.Reason, pb.Reason_REASON_DUPLICATE)
	assert.Equal(t, refusal.Verdict, pb.Verdict_VERDICT_MAY_HAVE_RUN)
	assert.Equal(t, c.Start(0, decode("a").Key, "e1#1").Verdict, pb.Verdict_VERDICT_MAY_HAVE_RUN)

	c.Release(0, decode("b").Key, "e1#1")
	_, refusal = c.Reserve(0, decode("b"))
	assert.Equal(t, refusal.Reason, pb.Reason_REASON_DUPLICATE)
	// Not recorded here, but an earlier incarnation of the agent may have run it.
	assert.Equal(t, c.Start(0, decode("c").Key, "e1#1").Verdict, pb.Verdict_VERDICT_MAY_HAVE_RUN)
}

func TestSeenMemoryIsBoundedAndNeverForgetsYoung(t *testing.T) {
	cfg := testConfig()
	cfg.MaxDedupRecords, cfg.Slots = 2, 10
	c := New(cfg)
	c.ServerUp(0)
	for _, id := range []string{"a", "b"} {
		_, _ = c.Reserve(0, decode(id))
		c.Release(0, decode(id).Key, "e1#1")
	}
	o, refusal := c.Reserve(0, decode("c"))
	assert.Equal(t, o, Refused)
	assert.Equal(t, refusal.Reason, pb.Reason_REASON_FULL)
	o, _ = c.Reserve(cfg.DedupRetention+time.Second, decode("c"))
	assert.Equal(t, o, Granted)
}

// One organisation fills the queue. Another that comes later is served next,
// and an interactive request before all batch requests.
func TestFairShare(t *testing.T) {
	c := up(t, 1)
	mustRun(t, c, 0, decode("run"))
	for i, org := range []string{"big", "big", "small"} {
		r := decode(fmt.Sprint(org, i))
		r.Organisation, r.Batch = org, true
		o, _ := c.Reserve(0, r)
		assert.Equal(t, o, Waiting)
	}
	_, _ = c.Reserve(0, decode("people"))
	var got []string
	last := decode("run").Key
	for range 4 {
		c.Done(0, last, 0)
		ready := c.Ready()
		assert.Equal(t, len(ready), 1)
		last = ready[0].Key
		got = append(got, last.Request)
		_ = c.Start(0, last, "e1#1")
	}
	assert.DeepEqual(t, got, []string{"people", "big0", "small2", "big1"})
}

func TestFullQueueGivesWayToInteractive(t *testing.T) {
	cfg := testConfig()
	cfg.Slots, cfg.Queue = 1, 2
	c := New(cfg)
	c.ServerUp(0)
	mustRun(t, c, 0, decode("run"))
	for _, id := range []string{"b1", "b2", "b3"} {
		r := decode(id)
		r.Batch = true
		_, _ = c.Reserve(0, r)
	}
	o, _ := c.Reserve(0, decode("people"))
	assert.Equal(t, o, Waiting)
	assert.DeepEqual(t, actions(c), []string{"refuse b2"})
}

// A request suspected of crashing servers waits until the server is empty and
// runs alone; a second suspect is refused and all others wait meanwhile.
func TestExclusive(t *testing.T) {
	c := up(t, 2)
	mustRun(t, c, 0, decode("a"))
	s := decode("suspect")
	s.Exclusive = true
	o, _ := c.Reserve(0, s)
	assert.Equal(t, o, Waiting)
	o, _ = c.Reserve(0, decode("b"))
	assert.Equal(t, o, Waiting)
	s2 := decode("suspect2")
	s2.Exclusive = true
	o, _ = c.Reserve(0, s2)
	assert.Equal(t, o, Refused)
	c.Done(0, decode("a").Key, 0)
	assert.DeepEqual(t, actions(c), []string{"admit suspect"})
	assert.Assert(t, c.Start(0, s.Key, s.Entry) == nil)
	assert.Assert(t, c.Send(0, s.Key))
	c.ServerDown(0, true)
	ready := c.Ready()
	assert.Equal(t, len(ready), 2)
	assert.Assert(t, ready[0].Key == decode("b").Key && ready[0].Refusal.Verdict == pb.Verdict_VERDICT_NOT_RUN)
	assert.Assert(t, ready[1].Key == s.Key && ready[1].Refusal.CrashedAlone)
}

// The server crashes while it runs two attempts; their connections break one
// after the other. Neither ran alone, so neither is blamed, and an attempt that
// wasn't sent yet is reported as not run.
func TestServerDownVerdicts(t *testing.T) {
	c := up(t, 3)
	mustRun(t, c, 0, decode("a"))
	mustRun(t, c, 0, decode("b"))
	_, _ = c.Reserve(0, decode("c"))
	assert.Assert(t, c.Start(0, decode("c").Key, "e1#1") == nil)
	c.Broken(5*ms, decode("a").Key)
	c.ServerHealthy(6*ms, 4*ms, pb.Reason_REASON_CONNECTION_LOST) // A heartbeat from before the break.
	assert.Equal(t, len(actions(c)), 0)
	c.Broken(7*ms, decode("b").Key)
	c.ServerDown(8*ms, true)
	want := map[string]pb.Verdict{
		"a": pb.Verdict_VERDICT_MAY_HAVE_RUN, "b": pb.Verdict_VERDICT_MAY_HAVE_RUN,
		"c": pb.Verdict_VERDICT_NOT_RUN,
	}
	ready := c.Ready()
	assert.Equal(t, len(ready), 3)
	for _, a := range ready {
		assert.Equal(t, a.Kind, Lost)
		assert.Equal(t, a.Refusal.Verdict, want[a.Key.Request])
		assert.Assert(t, !a.Refusal.CrashedAlone)
	}
	assert.Equal(t, c.Load().Grants, 0)
}

// A connection breaks but the server is healthy: the attempt is stopped at the
// server, which may still run it, and isn't blamed.
func TestServerHealthyStopsBroken(t *testing.T) {
	c := up(t, 2)
	mustRun(t, c, 0, decode("a"))
	c.Broken(5*ms, decode("a").Key)
	c.ServerHealthy(7*ms, 6*ms, pb.Reason_REASON_CONNECTION_LOST)
	ready := c.Ready()
	assert.Equal(t, len(ready), 1)
	assert.Equal(t, ready[0].Kind, Stop)
	assert.Equal(t, ready[0].Refusal.Reason, pb.Reason_REASON_CONNECTION_LOST)
	assert.Assert(t, !ready[0].Refusal.CrashedAlone)
}

func TestRefusals(t *testing.T) {
	c := up(t, 1)
	c.Convict(0, []uint64{9})
	check := func(r Request, want pb.Reason) {
		t.Helper()
		o, refusal := c.Reserve(0, r)
		assert.Equal(t, o, Refused)
		assert.Equal(t, refusal.Reason, want)
		assert.Equal(t, refusal.Verdict, pb.Verdict_VERDICT_NOT_RUN)
	}
	r := decode("a")
	r.Incarnation = 6
	check(r, pb.Reason_REASON_INCARNATION)
	r = decode("a")
	r.Fingerprint = 9
	check(r, pb.Reason_REASON_CONVICTED)
	r = decode("a")
	r.Entry = "no incarnation"
	check(r, pb.Reason_REASON_INVALID)
	mustRun(t, c, 0, decode("run"))
	r = decode("a")
	r.Wait = 0
	check(r, pb.Reason_REASON_FULL)
	_, _ = c.Reserve(0, decode("wait"))
	c.SetLeaving(0, true)
	assert.DeepEqual(t, actions(c), []string{"refuse wait"})
	check(decode("a"), pb.Reason_REASON_LEAVING)
	c.SetLeaving(0, false)
	c.ServerDown(0, true)
	check(decode("b"), pb.Reason_REASON_SERVER_DOWN)
}

func TestIdleGrantExpires(t *testing.T) {
	c := up(t, 1)
	r := decode("a")
	r.Idle = 100 * ms
	_, _ = c.Reserve(0, r)
	_, _ = c.Reserve(0, decode("b"))
	c.Tick(100 * ms)
	assert.DeepEqual(t, actions(c), []string{"admit b"})
	refusal := c.Start(100*ms, r.Key, r.Entry)
	assert.Equal(t, refusal.Reason, pb.Reason_REASON_UNKNOWN_GRANT)
	assert.Equal(t, refusal.Verdict, pb.Verdict_VERDICT_NOT_RUN)
}

// A deposed controller sends an order to an agent that has just restarted and
// lost the highest fencing token. The order must not pass before the lease was
// read.
func TestFences(t *testing.T) {
	c := up(t, 1)
	assert.Equal(t, c.BeginOrder("m", 5), FenceUnknown)
	c.LearnFence("m", 7)
	assert.Equal(t, c.BeginOrder("m", 5), FenceStale)
	assert.Equal(t, c.BeginOrder("m", 8), FenceOK)
	assert.Equal(t, c.BeginOrder("m", 9), FenceBusy)
	c.OrderDone()
	assert.Equal(t, c.BeginOrder("m", 7), FenceStale)
	// 9 was refused as busy, but 8 is stale since then.
	assert.Equal(t, c.BeginOrder("m", 8), FenceStale)
	assert.Equal(t, c.BeginOrder("m", 9), FenceOK)
}

// A decode engine becomes a prefill engine before the entries learn of it.
// Their requests must be refused so that they try another server, not as
// invalid.
func TestSetRoleClosesPhase(t *testing.T) {
	c := up(t, 2)
	c.SetRole(0, "prefill")
	_, refusal := c.Reserve(0, decode("a"))
	assert.Equal(t, refusal.Reason, pb.Reason_REASON_LEAVING)
	c.SetRole(0, "decode")
	o, _ := c.Reserve(0, decode("b"))
	assert.Equal(t, o, Granted)
	c.SetSwitching(0, true)
	_, refusal = c.Reserve(0, decode("c"))
	assert.Equal(t, refusal.Reason, pb.Reason_REASON_LEAVING)
	assert.Assert(t, !c.Empty())
}

// A finished prefill leaves its KV cache at the engine. It holds no slot, and
// the cache is dropped however the grant ends.
func TestKeptResultIsDropped(t *testing.T) {
	c := up(t, 1)
	r := decode("a")
	r.Key.Phase = pb.Phase_PHASE_PREFILL
	mustRun(t, c, 0, r)
	c.Done(0, r.Key, 800*ms)
	assert.Equal(t, c.Load().Used, 0)
	assert.Assert(t, c.HasGrant(Attempt{"a", 1}))
	c.Release(100*ms, r.Key, r.Entry)
	assert.DeepEqual(t, actions(c), []string{"drop a"})
	assert.Assert(t, !c.HasGrant(Attempt{"a", 1}))

	b := r
	b.Key.Request = "b"
	mustRun(t, c, 200*ms, b)
	c.Release(200*ms, b.Key, b.Entry)
	c.Done(200*ms, b.Key, 800*ms)
	assert.DeepEqual(t, actions(c), []string{"stop b", "drop b"})
}

// The agent was paused so long that the entry holds no attempt here any more
// and sends no renewals. A Reserve read just after the pause may be old and is
// refused; a later one must be granted, or this entry would be refused forever.
func TestReserveAfterPauseIsGranted(t *testing.T) {
	c := up(t, 2)
	mustRun(t, c, 0, decode("a"))
	wake := 10 * time.Second
	o, refusal := c.Reserve(wake, decode("b"))
	assert.Equal(t, o, Refused)
	assert.Equal(t, refusal.Reason, pb.Reason_REASON_FULL)
	late := wake + lapse
	for now := wake; now <= late; now += lapse / 20 {
		c.Tick(now)
	}
	assert.DeepEqual(t, actions(c), []string{"stop a"})
	o, refusal = c.Reserve(late, decode("c"))
	assert.Equal(t, o, Granted, "%+v", refusal)
}

// A suspect waits for the server to be empty while a long stream runs. It may
// block admission for two seconds only; then others are admitted, and no
// suspect may wait for four times as long. On an idle server it runs at once.
func TestExclusiveWaitIsBounded(t *testing.T) {
	c := up(t, 2)
	mustRun(t, c, 0, decode("long"))
	suspect := decode("suspect")
	suspect.Exclusive, suspect.Wait = true, 30*time.Second
	o, _ := c.Reserve(0, suspect)
	assert.Equal(t, o, Waiting)
	other := decode("other")
	other.Wait = 0
	o, _ = c.Reserve(time.Second, other)
	assert.Equal(t, o, Refused)
	c.Renew(1500*ms, "e1#1", 1, []Attempt{{"long", 1}, {"suspect", 1}})
	c.Tick(2 * time.Second)
	assert.DeepEqual(t, actions(c), []string{"refuse suspect"})
	other.Key.Request = "other again"
	o, refusal := c.Reserve(2*time.Second, other)
	assert.Equal(t, o, Granted, "%+v", refusal)
	suspect.Key.Request = "suspect again"
	o, _ = c.Reserve(2500*ms, suspect)
	assert.Equal(t, o, Refused)
	c.Done(2500*ms, decode("long").Key, 0)
	c.Release(2500*ms, other.Key, "e1#1")
	suspect.Key.Number = 2
	o, _ = c.Reserve(2500*ms, suspect)
	assert.Equal(t, o, Granted)
}

// With two slots and a recent interactive request, batch must leave one slot
// free, or the next interactive request waits for a whole batch answer. Without
// interactive requests for a while, batch fills the server.
func TestBatchLeavesHeadroom(t *testing.T) {
	cfg := testConfig()
	cfg.BatchHeadroom = 1
	c := New(cfg)
	c.ServerUp(0)
	batch := func(id string) Request {
		r := decode(id)
		r.Batch = true
		return r
	}
	mustRun(t, c, 0, decode("person"))
	c.Done(ms, decode("person").Key, 0)
	mustRun(t, c, ms, batch("b1"))
	o, _ := c.Reserve(ms, batch("b2"))
	assert.Equal(t, o, Waiting)
	mustRun(t, c, ms, decode("person 2"))
	c.Done(2*ms, decode("person 2").Key, 0)
	assert.DeepEqual(t, actions(c), []string(nil))
	for now := 2 * ms; now < interactiveFor; now += lapse / 20 {
		c.Renew(now, "e1#1", uint64(now/ms), []Attempt{{"b1", 1}, {"b2", 1}})
	}
	c.Tick(interactiveFor + ms)
	assert.DeepEqual(t, actions(c), []string{"refuse b2"})
	mustRun(t, c, interactiveFor+ms, batch("b3"))
	assert.Equal(t, c.Load().Used, 2)
}

// A request gets no slot in time, returns to its entry's queue and reserves
// again, now behind later arrivals. If these go first each time, it is refused
// at its deadline although others waited a fraction of its time.
func TestEarliestArrivalIsAdmittedFirst(t *testing.T) {
	c := up(t, 1)
	mustRun(t, c, 0, decode("run"))
	for _, x := range []struct {
		id     string
		waited time.Duration
	}{{"later", 20 * ms}, {"second", 300 * ms}, {"first", 900 * ms}} {
		r := decode(x.id)
		r.Waited = x.waited
		o, _ := c.Reserve(0, r)
		assert.Equal(t, o, Waiting)
	}
	for i, want := range []string{"first", "second", "later"} {
		now := time.Duration(i+1) * ms
		for k, g := range c.grants {
			if g.holdsSlot() {
				c.Done(now, k, 0)
				break
			}
		}
		assert.DeepEqual(t, actions(c), []string{"admit " + want})
	}
}
