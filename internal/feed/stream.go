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

// maxEventBytes bounds one event; the whole configuration is its largest.
const maxEventBytes = 64 << 20

// dialPeer opens a connection of its own.
func dialPeer(address string, opts []grpc.DialOption) (*grpc.ClientConn, error) {
	all := append(transport.DialOptions(), grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxEventBytes)))
	return grpc.NewClient("passthrough:///"+address, append(all, opts...)...)
}

// follow reads one stream on a new connection until it ends or ctx does. The
// machine ends it when it is silent.
func (f *Follower) follow(ctx context.Context, a Action) {
	conn, err := dialPeer(a.Address, f.opts.Dial)
	if err != nil {
		log.WithError(err).Warn("feed: Bad peer address.")
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
		log.WithError(err).WithField("peer", a.Address).Debug("feed: Peer can't be followed.")
		return
	}
	t := taker{store: f.opts.Store, additive: a.Resync}
	for {
		ev, err := stream.Recv()
		if err != nil {
			if ctx.Err() == nil {
				log.WithError(err).WithField("peer", a.Address).Debug("feed: Stream ended.")
			}
			return
		}
		h := t.take(ev)
		f.tell(ctx, func(m *Machine, now time.Time) []Action { return m.OnEvent(now, a.Stream, h) })
	}
}

// taker applies the events of one stream to the store.
type taker struct {
	store *config.Store
	// additive: the next event answers a resync. It only adds: a peer whose
	// digest differs may be the one at fault, and must not delete here.
	additive  bool
	instances []platform.Instance
}

func (t *taker) take(ev *pb.FollowEvent) Heard {
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
	return Heard{
		Age:      time.Duration(ev.GetAgeMs()) * time.Millisecond,
		Known:    ev.GetRevision() > 0,
		Mismatch: now.Revision == ev.GetRevision() && now.Digest != ev.GetDigest(),
	}
}
