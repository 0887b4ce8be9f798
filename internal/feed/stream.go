package feed

import (
	"context"
	"time"

	"google.golang.org/grpc"

	pb "jayford.example/jayford/api/jayfordv1"
	"jayford.example/jayford/internal/config"
	"jayford.example/jayford/internal/platform"
	"jayford.example/jayford/internal/transport"
)

// maxEventBytes bounds one event; the largest carries the whole configuration.
const maxEventBytes = 64 << 20

// dialPeer opens a connection that isn't shared.
func dialPeer(address string, opts []grpc.DialOption) (*grpc.ClientConn, error) {
	all := append(transport.DialOptions(), grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxEventBytes)))
	return grpc.NewClient("passthrough:///"+address, append(all, opts...)...)
}

// follow reads one stream on a new connection until the stream or ctx ends. The
// machine closes a silent stream.
func (f *Follower) follow(ctx context.Context, a Action) {
	conn, err := dialPeer(a.Address, f.opts.Dial)
	if err != nil {
		log.WithError(err).Warn("feed: Invalid peer address.")
		return
	}
	defer conn.Close()
	snap := f.opts.Store.Current()
	req := &pb.FollowRequest{
		Follower:         f.opts.Identity.ID,
		AvailabilityZone: f.opts.Identity.AvailabilityZone,
		Revision:         snap.Revision,
		Digest:           snap.Digest,
	}
	if a.Resync {
		req.Revision = 0
	}
	stream, err := pb.NewPeerClient(conn).Follow(ctx, req)
	if err != nil {
		log.WithError(err).WithField("peer", a.Address).Debug("feed: Opening a stream to a peer failed.")
		return
	}
	t := eventApplier{store: f.opts.Store, additive: a.Resync}
	for {
		ev, err := stream.Recv()
		if err != nil {
			if ctx.Err() == nil {
				log.WithError(err).WithField("peer", a.Address).Debug("feed: Stream ended.")
			}
			return
		}
		h := t.apply(ev)
		f.submit(ctx, func(m *Machine, now time.Time) []Action { return m.OnEvent(now, a.Stream, h) })
	}
}

// eventApplier applies the events of one stream to the store.
type eventApplier struct {
	store *config.Store
	// additive is set if the next event answers a resync. That event only adds
	// objects: a peer with a different digest may itself be wrong and must not
	// cause deletions.
	additive  bool
	instances []platform.Instance
}

func (t *eventApplier) apply(ev *pb.FollowEvent) EventInfo {
	if ev.GetHasInstances() {
		t.instances = instancesFromProto(ev.GetInstances())
		t.store.ApplyInstances(t.instances)
	} else if len(ev.GetInstances()) > 0 {
		t.instances = mergeInstances(t.instances, instancesFromProto(ev.GetInstances()))
		t.store.ApplyInstances(t.instances)
	}
	objs := objectsFromProto(ev.GetObjects())
	if t.additive {
		t.additive = false
		t.store.Apply(objs, 0, false)
	} else {
		t.store.Apply(objs, ev.GetRevision(), ev.GetFull())
	}
	now := t.store.Current()
	return EventInfo{
		Age:       time.Duration(ev.GetAgeMs()) * time.Millisecond,
		HasConfig: ev.GetRevision() > 0,
		Mismatch:  now.Revision == ev.GetRevision() && now.Digest != ev.GetDigest(),
	}
}
