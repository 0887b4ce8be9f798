package feed

import (
	"context"
	"math/rand/v2"
	"time"

	"google.golang.org/grpc"

	pb "jayford.example/jayford/api/jayfordv1"
)

const (
	reportInterval = 5 * time.Second
	reportTimeout  = 2 * time.Second
	// reportFailbackAfter is how long reports go to a fallback entry before the
	// first choice is retried.
	reportFailbackAfter = time.Minute
)

// reporter holds the connection to the entry that accepts the process's status.
type reporter struct {
	address string
	conn    *grpc.ClientConn
	// failures counts the entries passed over; since is when the last one failed.
	failures int
	since    time.Time
}

// target returns the address to report to. The list of instances lags: a frozen
// or removed entry stays on it for a while, during which the zone's load would be
// unknown to the capacity controller.
func (r *reporter) target(list []string) string {
	if r.failures > 0 && time.Since(r.since) > reportFailbackAfter {
		r.failures = 0
	}
	if len(list) == 0 {
		return ""
	}
	return list[r.failures%len(list)]
}

func (r *reporter) failed() {
	r.close()
	r.failures++
	r.since = time.Now()
}

func (r *reporter) close() {
	if r.conn != nil {
		r.conn.Close()
		r.conn = nil
	}
}

// report sends the process's status every few seconds, with jitter.
func (f *Follower) report(ctx context.Context) error {
	var r reporter
	defer func() { r.close() }()
	for {
		pause := reportInterval/2 + rand.N(reportInterval)
		t := time.NewTimer(pause)
		select {
		case <-ctx.Done():
			t.Stop()
			return nil
		case <-t.C:
		}
		f.reportOnce(ctx, &r)
	}
}

// reportOnce sends one report. After a failure it opens a new connection, as the
// old one may be half-open.
func (f *Follower) reportOnce(ctx context.Context, r *reporter) {
	to := r.target(*f.reportTo.Load())
	if to != r.address {
		r.close()
		r.address = to
	}
	if to == "" {
		return
	}
	if r.conn == nil {
		conn, err := dialPeer(to, f.opts.Dial)
		if err != nil {
			return
		}
		r.conn = conn
	}
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	req := &pb.ReportRequest{Reports: []*pb.StatusReport{f.status()}}
	if _, err := pb.NewPeerClient(r.conn).Report(ctx, req); err != nil {
		log.WithError(err).Debug("feed: Status report failed.")
		r.failed()
	}
}

func (f *Follower) status() *pb.StatusReport {
	snap := f.opts.Store.Current()
	var load *pb.ProcessLoad
	if f.opts.Load != nil {
		load = f.opts.Load()
	}
	return &pb.StatusReport{
		ProcessLoad: load,
		Id:          f.opts.Identity.ID, Role: f.opts.Identity.Role, AvailabilityZone: f.opts.Identity.AvailabilityZone,
		Revision: snap.Revision, Digest: snap.Digest, Incarnation: f.opts.Incarnation,
		UptimeS: uint64(time.Since(f.started).Seconds()),
	}
}
