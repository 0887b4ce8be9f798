package slopes

import (
	"context"
	"fmt"
	"net"
	"slices"
	"time"

	"github.com/rotisserie/eris"
	"google.golang.org/grpc"

	pb "jayford.example/jayford/api/jayfordv1"
	"jayford.example/jayford/internal/control"
	"jayford.example/jayford/internal/lease"
	"jayford.example/jayford/internal/object"
	"jayford.example/jayford/internal/platform"
	"jayford.example/jayford/internal/transport"
)

// otherZones are the other availability zones of the bench's region.
var otherZones = []int{3, 6, 9}

// simulatedWatcher reports a zone's load, as the entry that aggregates it does.
type simulatedWatcher struct {
	pb.UnimplementedPeerServer
	reply *pb.LoadsReply
	asked chan struct{}
}

func (s *simulatedWatcher) Loads(context.Context, *pb.LoadsRequest) (*pb.LoadsReply, error) {
	select {
	case s.asked <- struct{}{}:
	default:
	}
	return s.reply, nil
}

// Serve implements the bench's server.
func (s *simulatedWatcher) Serve(ctx context.Context, l net.Listener) error {
	srv := grpc.NewServer(transport.ServerOptions()...)
	pb.RegisterPeerServer(srv, s)
	stop := context.AfterFunc(ctx, srv.Stop)
	defer stop()
	return srv.Serve(l)
}

// loadOf returns the load that the agent of server i reports. The server has the
// role in its labels and is busy enough that no controller changes it.
func (f fleet) loadOf(i int) *pb.ProcessLoad {
	l := simulatedLoad()
	l.EngineIncarnation += uint64(i)
	return &pb.ProcessLoad{
		Load: l, EngineRole: f.roleOf(i), EngineModel: modelName(i % f.models), EngineVersion: serverVersion,
		EngineUsed: 12, EngineQueued: 1,
	}
}

// loads returns the reply for one zone.
func (f fleet) loads(zone int) *pb.LoadsReply {
	out := &pb.LoadsReply{}
	for i := range f.servers {
		if i%fullZones == zone {
			out.Agents = append(out.Agents, &pb.AgentLoad{Id: serverName(i), AgeMs: uint32(i % 5000), Load: f.loadOf(i)})
		}
	}
	for m := range f.models {
		out.Pools = append(out.Pools, &pb.PoolDemand{Pool: modelName(m), Queued: 1})
	}
	return out
}

// candidate returns an entry id that is a candidate for the region's lease when
// added to list.
func candidate(list []platform.Instance, region string) (string, error) {
	for i := range 100 {
		id := fmt.Sprintf("entry-%d", i)
		with := append(slices.Clone(list), platform.Instance{ID: id, Role: "entry", Region: region, State: platform.Live})
		if lease.IsCandidate(with, region, control.LeaseScope(region), id) {
			return id, nil
		}
	}
	return "", eris.New("no entry id is a candidate for the lease")
}

// leaderCost is the cost of leading a region for an entry.
type leaderCost struct {
	cost
	writes, reads float64
}

// measureLeader measures an entry that leads its region or, if leader is false, one
// that only watches the lease and otherwise does the same. Bytes are those
// exchanged with the other zones' watchers and the platform.
func (b *Bench) measureLeader(f fleet, leader bool) (leaderCost, error) {
	var out leaderCost
	f.entries = 0
	err := b.runScenario(f, func() error {
		var wire meter
		asked := make(chan struct{}, 1)
		for _, z := range otherZones {
			address, err := b.serve(&simulatedWatcher{reply: f.loads(z), asked: asked}, &wire)
			if err != nil {
				return err
			}
			for i := range 2 {
				b.instances = append(b.instances, platform.Instance{
					ID: fmt.Sprintf("watcher-%d-%d", z, i), Address: address, Role: "entry",
					AvailabilityZone: zoneName(z), Region: regionOf(z), State: platform.Live,
				})
			}
		}
		id, err := candidate(b.instances, regionOf(0))
		if err != nil {
			return err
		}
		if !leader {
			if err := b.holdLease(); err != nil {
				return err
			}
		}
		p, e, err := b.entry(id, benchZone)
		if err != nil {
			return err
		}
		b.publish()
		if err := waitStatus(e.Operator); err != nil {
			return err
		}
		if leader {
			select {
			case <-asked:
			case <-time.After(readyWithin):
				return eris.New("the entry didn't become leader in time")
			}
		}
		time.Sleep(settleTime)
		from := b.platform.Meter()
		platformBytes, begin := b.platformWire.total(), time.Now()
		out.cost, err = b.measure(p, &wire)
		s := time.Since(begin).Seconds()
		to := b.platform.Meter()
		out.bytes += (b.platformWire.total() - platformBytes) / s
		out.writes, out.reads = (writes(to)-writes(from))/s, (reads(to)-reads(from))/s
		return err
	})
	return out, err
}

// holdLease takes the region's lease for a nonexistent holder and renews it, so
// that the entry under measurement only watches the lease.
func (b *Bench) holdLease() error {
	o := marshal(object.KindLease, control.LeaseScope(regionOf(0)), object.Lease{
		Format: object.Format, Holder: "elsewhere#1", Term: 15 * time.Second, Renewals: 1,
	})
	v, err := b.platform.Put(o)
	if err != nil {
		return err
	}
	b.group.Go(func() error {
		t := time.NewTicker(time.Second)
		defer t.Stop()
		for n := uint64(2); ; n++ {
			select {
			case <-b.ctx.Done():
				return nil
			case <-t.C:
			}
			next := marshal(object.KindLease, o.Name, object.Lease{
				Format: object.Format, Holder: "elsewhere#1", Term: 15 * time.Second, Renewals: n,
			})
			next.Version = v
			if v, err = b.platform.Put(next); err != nil {
				return err
			}
		}
	})
	return nil
}

// Control measures the cost of leading a region of 4 availability zones, with two
// watchers in each of the 3 other zones.
func Control(b *Bench) error {
	bySize := func(n int) fleet {
		return fleet{servers: n, organisations: fullOrganisations, models: fullModels, address: deadAddress}
	}
	byModels := func(n int) fleet {
		return fleet{servers: fullServers, organisations: fullOrganisations, models: n, address: deadAddress}
	}
	sizes := []int{50, 200, 600, fullServers}
	if err := b.measureLeaders("an entry that leads its region", "servers, 13 models", true, sizes, bySize); err != nil {
		return err
	}
	if err := b.measureLeaders("a candidate that doesn't lead", "servers, 13 models", false, sizes, bySize); err != nil {
		return err
	}
	return b.measureLeaders("an entry that leads its region", "models, 1,100 servers", true, []int{1, 4, 8, fullModels}, byModels)
}

func (b *Bench) measureLeaders(name, x string, leader bool, points []int, of func(n int) fleet) error {
	costs := newCostSeries(name, x)
	calls := series{name: name, x: x, y: "platform writes/s"}
	for _, n := range points {
		l, err := b.measureLeader(of(n), leader)
		if err != nil {
			return err
		}
		costs.add(float64(n), l.cost)
		calls.add(float64(n), l.writes)
	}
	size := float64(points[len(points)-1])
	costs.print(b, size)
	if leader {
		calls.print(b.Out, size)
	}
	return nil
}
