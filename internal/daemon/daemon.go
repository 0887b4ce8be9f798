// Package daemon runs a role as a process: it wires up the settings, logs,
// configuration feed, operator listener and the role itself.
package daemon

import (
	"context"
	"errors"
	"net"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"
	"google.golang.org/grpc"

	pb "jayford.example/jayford/api/jayfordv1"
	"jayford.example/jayford/internal/accept"
	"jayford.example/jayford/internal/board"
	"jayford.example/jayford/internal/config"
	"jayford.example/jayford/internal/feed"
	"jayford.example/jayford/internal/identity"
	"jayford.example/jayford/internal/memory"
	"jayford.example/jayford/internal/operator"
	"jayford.example/jayford/internal/platform"
	"jayford.example/jayford/internal/settings"
	"jayford.example/jayford/internal/transport"
)

// platformTimeout is the timeout of one call to the platform.
const platformTimeout = 2 * time.Second

// boundMemory returns the limits that follow from the machine's memory, and sets that of the runtime.
func boundMemory(p settings.Process, log *logrus.Logger) memory.Limits {
	limits := memory.Detect(p.MachineBytes())
	limits.Apply()
	log.WithFields(logrus.Fields{
		"machine": limits.Machine, "runtime": limits.Runtime, "arriving": limits.Arriving, "serving": limits.Serving, "connections": limits.Connections, "answers": limits.Answers,
	}).Info("daemon: memory bounded.")
	return limits
}

// boundCallers is boundMemory for a process with callers, whose bodies have maxBody bytes at most.
func boundCallers(p settings.Process, maxBody int, log *logrus.Logger) memory.Limits {
	limits := boundMemory(p, log)
	if !limits.FitsBody(maxBody) {
		log.WithField("maxBodyBytes", maxBody).Warn("daemon: the largest bodies don't fit into this machine's memory.")
	}
	return limits
}

// Roles of a process.
const (
	RoleEntry = "entry"
	RoleAgent = "agent"
)

// core holds the parts that entry and agent have in common.
type core struct {
	process  settings.Process
	role     string
	identity identity.Identity
	log      *logrus.Logger
	board    *board.Board
	config   *config.Store
	platform *platform.HTTP
	follower *feed.Follower
	// load is set before run; it may be nil.
	load        func() *pb.ProcessLoad
	incarnation uint64
	started     time.Time
}

func newCore(p settings.Process, role string, log *logrus.Logger) (*core, error) {
	own, err := identity.Load(p.TLS, role, p.ID)
	if err != nil {
		return nil, err
	}
	b := board.New()
	c := &core{
		process: p, role: role, identity: own, log: log, board: b, config: config.NewStore(b),
		platform: platform.NewHTTP(p.Platform, platformTimeout),
		// The wall clock in nanoseconds increases across restarts unless the
		// clock is set back by more than a restart takes.
		incarnation: uint64(time.Now().UnixNano()),
		started:     time.Now(),
	}
	c.follower = feed.NewFollower(feed.Options{
		Identity: c.feedIdentity(), Seeds: p.Seeds, Store: c.config, Platform: c.platform,
		Dial:        []grpc.DialOption{own.DialOption(RoleEntry)},
		Incarnation: c.incarnation, Board: b,
		Load: func() *pb.ProcessLoad {
			if c.load == nil {
				return nil
			}
			return c.load()
		},
	})
	return c, nil
}

func (c *core) feedIdentity() feed.Identity {
	return feed.Identity{
		ID: c.process.ID, Role: c.role, Region: c.process.Region,
		AvailabilityZone: c.process.AvailabilityZone, Address: c.process.Peer,
	}
}

func (c *core) ready() bool {
	select {
	case <-c.follower.Ready():
		return true
	default:
		return false
	}
}

// canPlace reports whether requests can be placed. The platform may serve the
// configuration but not the list of instances. An entry that accepted requests
// in this state would refuse them all, while other entries have the list.
func (c *core) canPlace() bool {
	return c.ready() && len(c.config.Current().Instances) > 0
}

func (c *core) status() operator.Status {
	// Read before the configuration, which may come into force in between.
	ready := c.ready()
	snap := c.config.Current()
	return operator.Status{
		ID: c.process.ID, Role: c.role, AvailabilityZone: c.process.AvailabilityZone,
		Revision: snap.Revision, Digest: snap.Digest, Incarnation: c.incarnation,
		Ready:         ready,
		UptimeSeconds: int64(time.Since(c.started).Seconds()),
	}
}

// servePeers serves the Peer protocol until ctx ends.
func (c *core) servePeers(ctx context.Context) error {
	l, err := net.Listen("tcp", c.process.Peer)
	if err != nil {
		return eris.Wrapf(err, "daemon: listen for peers on %s", c.process.Peer)
	}
	peers := feed.NewServer(feed.ServerOptions{
		Identity: c.feedIdentity(), Store: c.config, Platform: c.platform,
		Age: c.follower.Age, WritesStatus: c.follower.WritesStatus,
	})
	options := append(transport.ServerOptions(), c.identity.ServerOptions(RoleEntry, RoleAgent)...)
	srv := grpc.NewServer(options...)
	pb.RegisterPeerServer(srv, peers)
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error {
		return srv.Serve(&accept.Listener{Listener: l, Retrier: accept.Retrier{Log: c.log.WithField("part", "peers")}})
	})
	g.Go(func() error { return peers.Run(ctx) })
	g.Go(func() error {
		<-ctx.Done()
		peers.Stop()
		srv.Stop()
		return nil
	})
	err = g.Wait()
	if errors.Is(err, grpc.ErrServerStopped) {
		return nil
	}
	return err
}
