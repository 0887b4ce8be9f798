package feed

import (
	"context"
	"sync"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	pb "jayford.example/jayford/api/jayfordv1"
	"jayford.example/jayford/internal/config"
	"jayford.example/jayford/internal/object"
	"jayford.example/jayford/internal/platform"
)

const (
	heartbeatInterval = time.Second
	// batchDelay coalesces the changes of a burst into one event.
	batchDelay = 50 * time.Millisecond
	// sendTimeout bounds one send; a slower follower is disconnected and resumes from
	// its revision when it reconnects.
	sendTimeout = 10 * time.Second
	// reportTTL is how long a report counts; a process without a newer one is dropped
	// from the status.
	reportTTL  = 30 * time.Second
	maxReports = 2000
)

// ServerOptions are the options of a Server.
type ServerOptions struct {
	Identity Identity
	Store    *config.Store
	Platform platform.Store
	// Age and WritesStatus are the methods of the process's Follower.
	Age          func() time.Duration
	WritesStatus func() bool
}

type timedReport struct {
	at     time.Time
	status object.ProcessStatus
}

// Server answers followers and aggregates the reports of its zone's processes.
// For each follower it keeps only a cursor: events are built from the store when
// they are sent, so that a slow follower needs no buffer and gets all changes that
// it missed as one event.
type Server struct {
	pb.UnimplementedPeerServer
	opts ServerOptions
	// written is used by Run alone.
	written writtenStatus

	mu sync.Mutex
	// The fields below are guarded by mu.
	reports map[string]timedReport
	loads   map[string]timedLoad
	stop    chan struct{}
	stopped bool
}

// NewServer returns a server; register it with pb.RegisterPeerServer.
func NewServer(o ServerOptions) *Server {
	return &Server{opts: o, reports: make(map[string]timedReport), loads: make(map[string]timedLoad), stop: make(chan struct{})}
}

// Stop ends all streams, so that a graceful stop of the gRPC server doesn't wait
// for followers.
func (s *Server) Stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.stopped {
		s.stopped = true
		close(s.stop)
	}
}

// Follow sends an event at each change, and one every second as a heartbeat.
func (s *Server) Follow(req *pb.FollowRequest, stream grpc.ServerStreamingServer[pb.FollowEvent]) error {
	c := cursor{store: s.opts.Store, age: s.opts.Age, revision: req.GetRevision()}
	heartbeat := time.NewTicker(heartbeatInterval)
	defer heartbeat.Stop()
	for {
		changed := s.opts.Store.Changed()
		if err := s.send(stream, c.next()); err != nil {
			return err
		}
		select {
		case <-changed:
			time.Sleep(batchDelay)
		case <-heartbeat.C:
		case <-stream.Context().Done():
			return nil
		case <-s.stop:
			return status.Error(codes.Unavailable, "leaving")
		}
	}
}

// send bounds stream.Send, which blocks forever if a follower has stopped reading
// but keeps its connection. Returning from the handler ends the stream and thereby
// the Send.
func (s *Server) send(stream grpc.ServerStreamingServer[pb.FollowEvent], ev *pb.FollowEvent) error {
	done := make(chan error, 1)
	go func() { done <- stream.Send(ev) }()
	t := time.NewTimer(sendTimeout)
	defer t.Stop()
	select {
	case err := <-done:
		return err
	case <-t.C:
		return status.Error(codes.DeadlineExceeded, "follower doesn't read")
	}
}

// cursor tracks what has been sent on one stream.
type cursor struct {
	store         *config.Store
	age           func() time.Duration
	revision      uint64
	sentInstances bool
	instances     []platform.Instance
}

func (c *cursor) next() *pb.FollowEvent {
	u := c.store.Since(c.revision)
	instances := c.store.Current().Instances
	ev := &pb.FollowEvent{
		Revision:     u.Revision,
		Digest:       u.Digest,
		Full:         u.Full,
		Objects:      objectsToProto(u.Objects),
		Instances:    instancesToProto(diffInstances(c.instances, instances)),
		HasInstances: !c.sentInstances && len(instances) > 0,
		AgeMs:        uint64(c.age().Milliseconds()),
	}
	c.sentInstances = c.sentInstances || len(instances) > 0
	c.revision = max(c.revision, u.Revision)
	c.instances = instances
	return ev
}

// Report stores the reports of processes of the server's availability zone.
func (s *Server) Report(_ context.Context, req *pb.ReportRequest) (*pb.ReportReply, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range req.GetReports() {
		_, known := s.reports[r.GetId()]
		if !known && len(s.reports) >= maxReports {
			return nil, status.Error(codes.ResourceExhausted, "too many reports")
		}
		s.reports[r.GetId()] = timedReport{time.Now(), object.ProcessStatus{
			ID: r.GetId(), Role: r.GetRole(), AvailabilityZone: r.GetAvailabilityZone(),
			Revision: r.GetRevision(), Digest: r.GetDigest(),
			Incarnation: r.GetIncarnation(), UptimeSeconds: r.GetUptimeS(),
		}}
		if r.GetProcessLoad() != nil {
			s.loads[r.GetId()] = timedLoad{time.Now(), r.GetRole(), r.GetProcessLoad()}
		}
	}
	return &pb.ReportReply{}, nil
}
