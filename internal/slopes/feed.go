package slopes

import (
	"context"
	"encoding/json"
	"fmt"
	"strconv"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	pb "jayford.example/jayford/api/jayfordv1"
	"jayford.example/jayford/internal/object"
	"jayford.example/jayford/internal/settings"
	"jayford.example/jayford/internal/transport"
)

const reportEvery = 5 * time.Second

// follow simulates a process that follows an entry: it opens one stream and sends a
// report every reportEvery.
func (b *Bench) follow(id, address string, m *meter) error {
	opts := append(transport.DialOptions(),
		grpc.WithTransportCredentials(insecure.NewCredentials()), grpc.WithContextDialer(m.dial),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(64<<20)))
	cc, err := grpc.NewClient("passthrough:///"+address, opts...)
	if err != nil {
		return err
	}
	peer := pb.NewPeerClient(cc)
	stream, err := peer.Follow(b.ctx, &pb.FollowRequest{Follower: id, AvailabilityZone: benchZone})
	if err != nil {
		return err
	}
	b.group.Go(func() error {
		defer cc.Close()
		for {
			if _, err := stream.Recv(); err != nil {
				return nil
			}
		}
	})
	b.group.Go(func() error { b.report(peer, id); return nil })
	return nil
}

func (b *Bench) report(peer pb.PeerClient, id string) {
	t := time.NewTicker(reportEvery)
	defer t.Stop()
	for {
		select {
		case <-b.ctx.Done():
			return
		case <-t.C:
		}
		_, _ = peer.Report(b.ctx, &pb.ReportRequest{Reports: []*pb.StatusReport{{
			Id: id, Role: "agent", AvailabilityZone: benchZone, Revision: 1e6, Digest: 1 << 62,
			Incarnation: 1 << 60, UptimeS: 1e6,
		}}})
	}
}

// change updates server labels at the given rate, directly in the platform
// stand-in.
func (b *Bench) change(ctx context.Context, perSecond float64) {
	t := time.NewTicker(time.Duration(float64(time.Second) / perSecond))
	defer t.Stop()
	versions := b.versions(object.KindServer)
	for i := 0; ; i++ {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		name := serverName(i % len(versions))
		o := marshal(object.KindServer, name, object.Server{Format: object.Format, Labels: map[string]string{
			object.LabelModel: modelName(0), object.LabelRole: object.RoleDecode, object.LabelVersion: strconv.Itoa(i),
		}})
		o.Version = versions[name]
		if v, err := b.platform.Put(o); err == nil {
			versions[name] = v
		}
	}
}

func (b *Bench) versions(kind string) map[string]uint64 {
	out := make(map[string]uint64)
	for _, w := range b.platform.Record() {
		if w.Kind == kind {
			out[w.Name] = w.Version
		}
	}
	return out
}

// measureFollowers measures an entry with n followers at the given rate of
// configuration changes.
func (b *Bench) measureFollowers(f fleet, n int, changes float64) (cost, error) {
	var out cost
	err := b.runScenario(f, func() error {
		p, e, err := b.entry("entry-0", benchZone)
		if err != nil {
			return err
		}
		b.publish()
		if err := waitStatus(e.Operator); err != nil {
			return err
		}
		var wire meter
		for i := range n {
			if err := b.follow(fmt.Sprintf("follower-%d", i), e.Peer, &wire); err != nil {
				return err
			}
		}
		if changes > 0 {
			b.group.Go(func() error { b.change(b.ctx, changes); return nil })
		}
		time.Sleep(settleTime)
		out, err = b.measure(p, &wire)
		return err
	})
	return out, err
}

type costSeries struct{ core, resident, bytes series }

func newCostSeries(name, x string) *costSeries {
	return &costSeries{
		series{name: name, x: x, y: "% of a core"},
		series{name: name, x: x, y: "MB resident"},
		series{name: name, x: x, y: "bytes/s"},
	}
}

func (c *costSeries) add(x float64, s cost) {
	c.core.add(x, s.core)
	c.resident.add(x, s.resident)
	c.bytes.add(x, s.bytes)
}

func (c *costSeries) print(b *Bench, sizes ...float64) {
	c.core.print(b.Out, sizes...)
	c.resident.print(b.Out, sizes...)
	c.bytes.print(b.Out, sizes...)
}

// Feed measures the cost of followers for an entry that watches the platform.
func Feed(b *Bench) error {
	followers := newCostSeries("feed, an entry at rest", "followers")
	for _, n := range []int{0, 20, 40, 80, 160} {
		s, err := b.measureFollowers(fullFleet(deadAddress), n, 0)
		if err != nil {
			return err
		}
		followers.add(float64(n), s)
	}
	followers.print(b, fullFollowers)
	changes := newCostSeries(fmt.Sprintf("feed, an entry with %d followers", fullFollowers), "changes/s")
	for _, c := range []float64{0, 1, 2, 4, 8} {
		s, err := b.measureFollowers(fullFleet(deadAddress), fullFollowers, c)
		if err != nil {
			return err
		}
		changes.add(c, s)
	}
	changes.print(b, 0.015)
	sizes := newCostSeries(fmt.Sprintf("feed, an entry with %d followers", fullFollowers), "servers")
	for _, n := range []int{50, 200, 600, 1100} {
		f := fullFleet(deadAddress)
		f.servers, f.entries = n, n*fullEntries/fullServers
		s, err := b.measureFollowers(f, fullFollowers, 0)
		if err != nil {
			return err
		}
		sizes.add(float64(n), s)
	}
	sizes.print(b, fullServers)
	return nil
}

// deadAddress is an address without a listener.
const deadAddress = "127.0.0.1:9"

// Rest measures an idle entry and an idle agent as a function of the size of the
// configuration.
func Rest(b *Bench) error {
	entry := newCostSeries("an entry at rest, alone", "servers")
	agent := newCostSeries("an agent at rest, with its engine", "servers")
	for _, n := range []int{50, 200, 600, 1100} {
		f := fullFleet(deadAddress)
		f.servers, f.entries = n, n*fullEntries/fullServers
		err := b.runScenario(f, func() error {
			one, two, err := b.restPair()
			if err != nil {
				return err
			}
			entry.add(float64(n), one)
			agent.add(float64(n), two)
			return nil
		})
		if err != nil {
			return err
		}
	}
	entry.print(b, fullServers)
	agent.print(b, fullServers)
	return nil
}

func (b *Bench) restPair() (entry, agent cost, err error) {
	p, e, err := b.entry("entry-0", benchZone)
	if err != nil {
		return entry, agent, err
	}
	engine, err := b.serve(newEngine(settings.DefaultAgent().Slots, quickPrefill), new(meter))
	if err != nil {
		return entry, agent, err
	}
	a, as, err := b.agent("agent-0", benchZone, engine, settings.DefaultAgent().Slots)
	if err != nil {
		return entry, agent, err
	}
	b.publish()
	for _, operator := range []string{e.Operator, as.Operator} {
		if err := waitStatus(operator); err != nil {
			return entry, agent, err
		}
	}
	time.Sleep(settleTime)
	if entry, err = b.measure(p, &b.platformWire); err != nil {
		return entry, agent, err
	}
	agent, err = b.measure(a, nil)
	return entry, agent, err
}

func statusBytes(n int) int {
	s := object.Status{Format: object.Format}
	for i := range n {
		s.Processes = append(s.Processes, object.ProcessStatus{
			ID: serverName(i), Role: "agent", AvailabilityZone: benchZone, Revision: 1e6,
			Digest: 1 << 62, Incarnation: 1 << 60, UptimeSeconds: 1e6,
		})
	}
	text, _ := json.Marshal(s)
	return len(text)
}
