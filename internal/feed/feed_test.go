package feed

import (
	"context"
	"fmt"
	"net"
	"sync"
	"testing"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
	"gotest.tools/v3/assert"

	pb "jayford.example/jayford/api/jayfordv1"
	"jayford.example/jayford/internal/config"
	"jayford.example/jayford/internal/object"
	"jayford.example/jayford/internal/platform"
	standin "jayford.example/jayford/internal/standin/platform"
)

const platformTimeout = 2 * time.Second

// cluster is a platform and processes on loopback.
type cluster struct {
	t        *testing.T
	platform *standin.Platform
	address  string
	all      []*process
}

type process struct {
	identity Identity
	store    *config.Store
	follower *Follower
	server   *Server
	stop     func()
}

func newCluster(t *testing.T) *cluster {
	t.Helper()
	c := &cluster{t: t, platform: standin.New(standin.Options{})}
	ln := listen(t)
	c.address = ln.Addr().String()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- c.platform.Serve(ctx, ln) }()
	t.Cleanup(func() {
		cancel()
		assert.NilError(t, <-done)
	})
	return c
}

func listen(t *testing.T) net.Listener {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	return ln
}

// start runs a process; an agent needs no listener but has one all the same.
func (c *cluster) start(id, role, zone string, seeds ...string) *process {
	c.t.Helper()
	ln := listen(c.t)
	p := &process{
		identity: Identity{ID: id, Role: role, Region: "r", AvailabilityZone: zone, Address: ln.Addr().String()},
		store:    config.NewStore(nil),
	}
	client := platform.NewHTTP(c.address, platformTimeout)
	p.follower = NewFollower(Options{
		Identity: p.identity, Seeds: seeds, Store: p.store, Platform: client,
		Dial: []grpc.DialOption{grpc.WithTransportCredentials(insecure.NewCredentials())},
	})
	p.server = NewServer(ServerOptions{
		Identity: p.identity, Store: p.store, Platform: client, Age: p.follower.Age, Writes: p.follower.Writes,
	})
	c.run(p, ln)
	c.all = append(c.all, p)
	return p
}

func (c *cluster) run(p *process, ln net.Listener) {
	g := grpc.NewServer()
	pb.RegisterPeerServer(g, p.server)
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { _ = g.Serve(ln) })
	wg.Go(func() { _ = p.follower.Run(ctx) })
	wg.Go(func() { _ = p.server.Run(ctx) })
	p.stop = sync.OnceFunc(func() {
		p.server.Stop()
		cancel()
		g.Stop()
		wg.Wait()
	})
	c.t.Cleanup(p.stop)
}

// list publishes all processes as live.
func (c *cluster) list() {
	var out []platform.Instance
	for _, p := range c.all {
		i := p.identity
		out = append(out, platform.Instance{
			ID: i.ID, Address: i.Address, Role: i.Role, AvailabilityZone: i.AvailabilityZone,
			Region: i.Region, State: platform.Live,
		})
	}
	c.platform.SetInstances(out)
}

func (c *cluster) put(name string, version uint64) uint64 {
	c.t.Helper()
	v, err := c.platform.Put(platform.Object{
		Kind: object.KindOrganisation, Name: name, Version: version, Spec: []byte(`{"format":1,"share":1}`),
	})
	assert.NilError(c.t, err)
	return v
}

// inForce waits until all processes have the revision, and returns how long.
func (c *cluster) inForce(revision uint64, within time.Duration, ps ...*process) time.Duration {
	c.t.Helper()
	begin := time.Now()
	for _, p := range ps {
		eventually(c.t, within, p.identity.ID, func() bool { return p.store.Current().Revision >= revision })
	}
	return time.Since(begin)
}

func eventually(t *testing.T, within time.Duration, what string, f func() bool) {
	t.Helper()
	end := time.Now().Add(within)
	for !f() {
		assert.Assert(t, time.Now().Before(end), "%s: not within %v", what, within)
		time.Sleep(5 * time.Millisecond)
	}
}

// small returns two zones with three entries and two agents each, all settled.
func small(t *testing.T) *cluster {
	c := newCluster(t)
	v := c.put("first", 0)
	for z := range 2 {
		zone := fmt.Sprint("z", z)
		for i := range 3 {
			c.start(fmt.Sprintf("%s-entry-%d", zone, i), RoleEntry, zone)
		}
		for i := range 2 {
			c.start(fmt.Sprintf("%s-agent-%d", zone, i), RoleAgent, zone)
		}
	}
	c.list()
	c.inForce(v, 5*time.Second, c.all...)
	for _, p := range c.all {
		eventually(t, 5*time.Second, p.identity.ID, func() bool { return len(p.store.Current().Instances) == len(c.all) })
	}
	return c
}

func TestChangeIsSoonInForceEverywhereAndOnlyWatchersAsk(t *testing.T) {
	c := small(t)
	time.Sleep(time.Second)
	before := c.platform.Meter()
	took := c.inForce(c.put("second", 0), 5*time.Second, c.all...)
	t.Logf("in force after %v", took)
	time.Sleep(2 * time.Second)
	after := c.platform.Meter()
	assert.Equal(t, after.List, before.List)
	assert.Assert(t, after.Waiting <= 4, "%d watches wait", after.Waiting)
}

// The platform is down and a process restarts with an empty store. It must get
// the whole configuration from its seeds, and be ready.
func TestRestartDuringAnOutageGetsConfigurationFromPeers(t *testing.T) {
	c := small(t)
	v := c.put("second", 0)
	c.inForce(v, 5*time.Second, c.all...)
	c.platform.SetControl(standin.Control{Outage: standin.OutageHang})
	p := c.start("z0-new", RoleAgent, "z0", c.all[0].identity.Address, c.all[5].identity.Address)
	eventually(t, 5*time.Second, "ready", func() bool {
		select {
		case <-p.follower.Ready():
			return true
		default:
			return false
		}
	})
	assert.Equal(t, p.store.Digest(), c.all[0].store.Digest())
	assert.Equal(t, len(p.store.Current().Organisations), 2)
}

// An outage ends after changes had been made and the watchers had lost their
// watches. All processes get the change; meanwhile none lost the old one.
func TestChangesAfterAnOutage(t *testing.T) {
	c := small(t)
	c.platform.SetControl(standin.Control{Outage: standin.OutageRefuse})
	v := c.put("second", 0)
	time.Sleep(2 * time.Second)
	for _, p := range c.all {
		assert.Equal(t, len(p.store.Current().Organisations), 1)
	}
	c.platform.SetControl(standin.Control{})
	c.inForce(v, 11*time.Second, c.all...)
}

// Both watchers of a zone die together, before the list shows it. Their
// followers must find other sources and have the next change within 11 s.
func TestDeadWatchersAreReplaced(t *testing.T) {
	c := small(t)
	var rest []*process
	for _, p := range c.all {
		if p.identity.AvailabilityZone == "z0" && p.follower.Watches() {
			p.stop()
			continue
		}
		rest = append(rest, p)
	}
	assert.Equal(t, len(rest), len(c.all)-watchersPerZone)
	took := c.inForce(c.put("second", 0), 11*time.Second, rest...)
	t.Logf("in force after %v", took)
}

// A peer accepts connections and never says a word. A newcomer that knows it
// as its first seed must not wait for it beyond silentAfter.
func TestSilentSeedDoesNotHoldUp(t *testing.T) {
	c := newCluster(t)
	c.put("first", 0)
	good := c.start("z0-entry-0", RoleEntry, "z0")
	c.inForce(1, 5*time.Second, good)
	c.platform.SetControl(standin.Control{Outage: standin.OutageHang})
	var seeds []string
	for range newcomerPeers {
		ln := listen(t)
		t.Cleanup(func() { ln.Close() })
		seeds = append(seeds, ln.Addr().String())
	}
	p := c.start("z0-new", RoleAgent, "z0", append(seeds, good.identity.Address)...)
	c.inForce(1, 11*time.Second, p)
}

func TestStatusIsGroupedInOneObjectPerZone(t *testing.T) {
	c := small(t)
	client := platform.NewHTTP(c.address, platformTimeout)
	eventually(t, 20*time.Second, "status", func() bool {
		o, err := client.Get(context.Background(), object.KindStatus, "z0")
		if err != nil {
			return false
		}
		s, err := object.Parse(object.KindStatus, o.Spec)
		assert.NilError(t, err)
		return len(s.(object.Status).Processes) == 5
	})
}

// A follower lacks an object although it has the same revision as its
// upstream. The upstream's full answer adds it; an object that the upstream
// lacks is kept, as only the platform may delete it.
func TestResyncAddsAndNeverDeletes(t *testing.T) {
	org := func(name string, version uint64) platform.Object {
		return platform.Object{Kind: object.KindOrganisation, Name: name, Version: version, Spec: []byte(`{"format":1,"share":1}`)}
	}
	theirs, ours := config.NewStore(nil), config.NewStore(nil)
	theirs.Apply([]platform.Object{org("a", 1), org("b", 2)}, 3, false)
	ours.Apply([]platform.Object{org("a", 1), org("c", 3)}, 3, false)
	tk := taker{store: ours, additive: true}
	h := tk.take((&cursor{store: theirs, age: func() time.Duration { return 0 }}).next())
	assert.Assert(t, h.Mismatch)
	assert.Equal(t, len(ours.Current().Organisations), 3)
}
