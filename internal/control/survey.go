package control

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"google.golang.org/grpc"

	pb "jayford.example/jayford/api/jayfordv1"
	"jayford.example/jayford/internal/capacity"
	"jayford.example/jayford/internal/config"
	"jayford.example/jayford/internal/feed"
	"jayford.example/jayford/internal/object"
	"jayford.example/jayford/internal/platform"
	"jayford.example/jayford/internal/policy/route"
	"jayford.example/jayford/internal/transport"
)

const (
	fetchTimeout = 2 * time.Second
	// maxReportAge is the age at which a report becomes stale. Agents report
	// every 5 s with jitter, so a server becomes unknown only after two lost
	// reports.
	maxReportAge = 20 * time.Second
)

// peers keeps the connections to the entries that aggregate the zones' status.
type peers struct {
	dial []grpc.DialOption

	mu sync.Mutex
	// conns are the connections by address, guarded by mu.
	conns map[string]*grpc.ClientConn
}

func newPeers(dial []grpc.DialOption) *peers {
	return &peers{dial: dial, conns: make(map[string]*grpc.ClientConn)}
}

func (p *peers) conn(address string) (*grpc.ClientConn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c := p.conns[address]; c != nil {
		return c, nil
	}
	c, err := grpc.NewClient("passthrough:///"+address, append(transport.DialOptions(), p.dial...)...)
	if err == nil {
		p.conns[address] = c
	}
	return c, err
}

// drop closes a connection after a failed call, as it may be dead.
func (p *peers) drop(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c := p.conns[address]; c != nil {
		c.Close()
		delete(p.conns, address)
	}
}

func (p *peers) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for a, c := range p.conns {
		c.Close()
		delete(p.conns, a)
	}
}

// zoneReports holds the reports of a region's zones.
type zoneReports struct {
	agents map[string]*pb.AgentLoad
	pools  map[string]*pb.PoolDemand
}

// fetchReports fetches the load from all entries that receive each zone's
// status: the first has nearly all of it, the others what was reported while
// the first didn't answer. Servers without a report get no orders and don't
// count as serving.
func (p *peers) fetchReports(ctx context.Context, snap *config.Snapshot, region string) zoneReports {
	k := zoneReports{agents: make(map[string]*pb.AgentLoad), pools: make(map[string]*pb.PoolDemand)}
	var mu sync.Mutex
	var wg sync.WaitGroup
	for _, zone := range zonesOf(snap.Instances, region) {
		for _, w := range feed.Watchers(snap.Instances, zone) {
			wg.Go(func() {
				reply, err := p.fetchLoads(ctx, w.Address)
				if err != nil {
					log.WithError(err).WithField("entry", w.ID).Warn("control: Fetching the zone's load from an entry failed.")
					return
				}
				mu.Lock()
				defer mu.Unlock()
				k.add(reply)
			})
		}
	}
	wg.Wait()
	return k
}

func zonesOf(list []platform.Instance, region string) []string {
	zones := make(map[string]bool)
	for _, i := range list {
		if i.Region == region {
			zones[i.AvailabilityZone] = true
		}
	}
	return slices.Sorted(maps.Keys(zones))
}

func (p *peers) fetchLoads(ctx context.Context, address string) (*pb.LoadsReply, error) {
	conn, err := p.conn(address)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	reply, err := pb.NewPeerClient(conn).Loads(ctx, &pb.LoadsRequest{})
	if err != nil {
		p.drop(address)
	}
	return reply, err
}

func (k *zoneReports) add(reply *pb.LoadsReply) {
	for _, a := range reply.GetAgents() {
		if old := k.agents[a.GetId()]; old == nil || a.GetAgeMs() < old.GetAgeMs() {
			k.agents[a.GetId()] = a
		}
	}
	for _, d := range reply.GetPools() {
		sum := k.pools[d.GetPool()]
		if sum == nil {
			sum = &pb.PoolDemand{}
			k.pools[d.GetPool()] = sum
		}
		sum.Queued += d.GetQueued()
		sum.Refused += d.GetRefused()
	}
}

// buildPools builds the input of package capacity from configuration and reports,
// and returns the addresses of the region's agents by instance id. A pool's
// minimums apply separately in each region that has engines of it.
func buildPools(snap *config.Snapshot, region string, k zoneReports) (pools []capacity.Pool, agents map[string]string) {
	agents = make(map[string]string)
	for _, i := range snap.Instances {
		if i.Role == feed.RoleAgent && i.Region == region && i.State == platform.Live {
			agents[i.ID] = i.Address
		}
	}
	for _, name := range slices.Sorted(maps.Keys(snap.Pools)) {
		if snap.Pools[name].Model == "" {
			continue
		}
		p := capacity.Pool{Name: name, Queued: int(k.pools[name].GetQueued()), Refused: int(k.pools[name].GetRefused())}
		addIntents(&p, snap)
		for _, id := range members(snap, name) {
			if agents[id] != "" {
				p.Servers = append(p.Servers, server(snap, name, id, k.agents[id]))
			}
		}
		pools = append(pools, p)
	}
	return pools, agents
}

// addIntents applies the pool's intents: the highest minimums, and the version of
// the first intent, by name, that has one.
func addIntents(p *capacity.Pool, snap *config.Snapshot) {
	for _, name := range slices.Sorted(maps.Keys(snap.Intents)) {
		in := snap.Intents[name]
		if in.Pool != p.Name {
			continue
		}
		p.MinPrefill = max(p.MinPrefill, in.MinPrefill)
		p.MinDecode = max(p.MinDecode, in.MinDecode)
		if p.Version == "" {
			p.Version = in.Version
		}
	}
}

func members(snap *config.Snapshot, pool string) []string {
	p := snap.Pools[pool]
	ids := append(route.Servers(snap.Servers, p.Prefill), route.Servers(snap.Servers, p.Decode)...)
	slices.Sort(ids)
	return slices.Compact(ids)
}

func server(snap *config.Snapshot, pool, id string, a *pb.AgentLoad) capacity.Server {
	labels := snap.Servers[id].Labels
	l := a.GetLoad()
	s := capacity.Server{
		ID: id, Role: labels[object.LabelRole], Model: labels[object.LabelModel], Version: labels[object.LabelVersion],
		EngineRole: l.GetEngineRole(), EngineModel: l.GetEngineModel(), EngineVersion: l.GetEngineVersion(),
		Slots: int(l.GetLoad().GetSlots()), Used: int(l.GetEngineUsed()), Queued: int(l.GetEngineQueued()),
	}
	s.Known = a != nil && time.Duration(a.GetAgeMs())*time.Millisecond < maxReportAge
	s.Usable = s.Known &&
		!l.GetLoad().GetDown() && !l.GetLoad().GetLeaving()
	s.Shared = len(poolsOf(snap, labels)) > 1
	s.Movable = !s.Shared && movable(snap, pool, labels)
	return s
}

// poolsOf returns the pools that select a server with these labels.
func poolsOf(snap *config.Snapshot, labels map[string]string) []string {
	one := map[string]object.Server{"": {Labels: labels}}
	var out []string
	for name, p := range snap.Pools {
		if len(route.Servers(one, p.Prefill))+len(route.Servers(one, p.Decode))+len(route.Servers(one, p.Service)) > 0 {
			out = append(out, name)
		}
	}
	return out
}

// movable reports whether a server with its role label changed to the other role
// would be in this pool, in that role, and in no other pool.
func movable(snap *config.Snapshot, pool string, labels map[string]string) bool {
	moved := maps.Clone(labels)
	p := snap.Pools[pool]
	want := p.Prefill
	switch labels[object.LabelRole] {
	case object.RolePrefill:
		moved[object.LabelRole] = object.RoleDecode
		want = p.Decode
	case object.RoleDecode:
		moved[object.LabelRole] = object.RolePrefill
	default:
		return false
	}
	one := map[string]object.Server{"": {Labels: moved}}
	return len(route.Servers(one, want)) > 0 && slices.Equal(poolsOf(snap, moved), []string{pool})
}
