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

// cluster runs a platform and processes on the loopback interface.
type cluster struct {
	t        *testing.T
	platform *standin.Platform
	address  string
	all      []*process
	network  network
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
	ln := c.network.wrap(listen(t))
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

// start runs a process. Agents get a listener too, although they need none.
func (c *cluster) start(id, role, zone string, seeds ...string) *process {
	c.t.Helper()
	ln := c.network.wrap(listen(c.t))
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
		Identity: p.identity, Store: p.store, Platform: client, Age: p.follower.Age, WritesStatus: p.follower.WritesStatus,
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

// publishInstances publishes all processes as live.
func (c *cluster) publishInstances() {
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

func (c *cluster) put(name string) uint64 {
	c.t.Helper()
	v, err := c.platform.Put(platform.Object{
		Kind: object.KindOrganisation, Name: name, Spec: []byte(`{"format":1,"share":1}`),
	})
	assert.NilError(c.t, err)
	return v
}

// waitForRevision waits until the processes have the revision, and returns how long
// that took.
func (c *cluster) waitForRevision(revision uint64, within time.Duration, ps ...*process) time.Duration {
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

// startTwoZones starts two zones with three entries and two agents each, and waits
// until all have the configuration and the list of instances.
func startTwoZones(t *testing.T) *cluster {
	c := newCluster(t)
	v := c.put("first")
	for z := range 2 {
		zone := fmt.Sprint("z", z)
		for i := range 3 {
			c.start(fmt.Sprintf("%s-entry-%d", zone, i), RoleEntry, zone)
		}
		for i := range 2 {
			c.start(fmt.Sprintf("%s-agent-%d", zone, i), RoleAgent, zone)
		}
	}
	c.publishInstances()
	c.waitForRevision(v, 5*time.Second, c.all...)
	for _, p := range c.all {
		eventually(t, 5*time.Second, p.identity.ID, func() bool { return len(p.store.Current().Instances) == len(c.all) })
	}
	// Followers handle a new list slightly later than the stores.
	eventually(t, 5*time.Second, "watchers", func() bool { return c.watchers() == 2*watchersPerZone })
	return c
}

func (c *cluster) watchers() int {
	n := 0
	for _, p := range c.all {
		if p.follower.Watches() {
			n++
		}
	}
	return n
}

func TestChangeReachesAllWhileOnlyWatchersCallThePlatform(t *testing.T) {
	t.Parallel()
	c := startTwoZones(t)
	time.Sleep(time.Second)
	before := c.platform.Meter()
	took := c.waitForRevision(c.put("second"), 5*time.Second, c.all...)
	t.Logf("in force after %v", took)
	time.Sleep(2 * time.Second)
	after := c.platform.Meter()
	assert.Equal(t, after.List, before.List)
	assert.Assert(t, after.Waiting <= 4, "%d watches wait", after.Waiting)
}

// A process restarts with an empty store while the platform is down. It must get
// the whole configuration from its seeds and become ready.
func TestRestartDuringAnOutageGetsConfigurationFromPeers(t *testing.T) {
	t.Parallel()
	c := startTwoZones(t)
	v := c.put("second")
	c.waitForRevision(v, 5*time.Second, c.all...)
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

// A change is made during an outage in which the watchers lose their watches. All
// processes must keep the old configuration, and get the change after the outage.
func TestChangesAfterAnOutage(t *testing.T) {
	t.Parallel()
	c := startTwoZones(t)
	c.platform.SetControl(standin.Control{Outage: standin.OutageRefuse})
	v := c.put("second")
	time.Sleep(2 * time.Second)
	for _, p := range c.all {
		assert.Equal(t, len(p.store.Current().Organisations), 1)
	}
	c.platform.SetControl(standin.Control{})
	c.waitForRevision(v, 11*time.Second, c.all...)
}

// Both watchers of a zone fail before the list of instances shows it. Their
// followers must switch to other sources and have the next change within 11 s.
func TestDeadWatchersAreReplaced(t *testing.T) {
	t.Parallel()
	c := startTwoZones(t)
	var rest []*process
	for _, p := range c.all {
		if p.identity.AvailabilityZone == "z0" && p.follower.Watches() {
			p.stop()
			continue
		}
		rest = append(rest, p)
	}
	assert.Equal(t, len(rest), len(c.all)-watchersPerZone)
	took := c.waitForRevision(c.put("second"), 11*time.Second, rest...)
	t.Logf("in force after %v", took)
}

// All open connections, including those to the platform, stop delivering data
// without an error; new ones work. A change made then must be in force everywhere
// within 11 s.
func TestAllConnectionsGoSilent(t *testing.T) {
	t.Parallel()
	c := startTwoZones(t)
	time.Sleep(time.Second)
	c.network.mute()
	took := c.waitForRevision(c.put("second"), 11*time.Second, c.all...)
	t.Logf("in force after %v", took)
	assert.Assert(t, took > time.Second, "the connections weren't silent")
}

// The first seeds accept connections but never send anything. A starting process
// must not wait for them beyond silentAfter.
func TestSilentSeedDoesNotHoldUp(t *testing.T) {
	t.Parallel()
	c := newCluster(t)
	c.put("first")
	good := c.start("z0-entry-0", RoleEntry, "z0")
	c.waitForRevision(1, 5*time.Second, good)
	c.platform.SetControl(standin.Control{Outage: standin.OutageHang})
	var seeds []string
	for range startupPeers {
		ln := listen(t)
		t.Cleanup(func() { ln.Close() })
		seeds = append(seeds, ln.Addr().String())
	}
	p := c.start("z0-new", RoleAgent, "z0", append(seeds, good.identity.Address)...)
	c.waitForRevision(1, 11*time.Second, p)
}

func TestStatusIsGroupedInOneObjectPerZone(t *testing.T) {
	t.Parallel()
	c := startTwoZones(t)
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

// A follower lacks an object although it has the same revision as its upstream.
// The upstream's full answer must add it; an object that the upstream lacks must
// be kept, as only the platform may delete it.
func TestResyncAddsAndNeverDeletes(t *testing.T) {
	t.Parallel()
	org := func(name string, version uint64) platform.Object {
		return platform.Object{Kind: object.KindOrganisation, Name: name, Version: version, Spec: []byte(`{"format":1,"share":1}`)}
	}
	theirs, ours := config.NewStore(nil), config.NewStore(nil)
	theirs.Apply([]platform.Object{org("a", 1), org("b", 2)}, 3, false)
	ours.Apply([]platform.Object{org("a", 1), org("c", 3)}, 3, false)
	tk := eventApplier{store: ours, additive: true}
	h := tk.apply((&cursor{store: theirs, age: func() time.Duration { return 0 }}).next())
	assert.Assert(t, h.Mismatch)
	assert.Equal(t, len(ours.Current().Organisations), 3)
}
