package feed

import (
	"context"
	"math/rand/v2"
	"time"

	"google.golang.org/grpc"

	pb "jayford.example/jayford/api/jayfordv1"
)

const (
	reportEvery = 5 * time.Second
	reportTime  = 2 * time.Second
	// reportReturn is how long reports go to a second choice before the first
	// is tried again.
	reportReturn = time.Minute
)

// reporter keeps the connection to the entry that takes the process's status.
type reporter struct {
	address string
	conn    *grpc.ClientConn
	// failures count the choices passed over, since then.
	failures int
	since    time.Time
}

// target returns where to report now. The list of instances lags: an entry that
// is frozen or gone is on it for a while, and a zone's load would be unknown to
// the capacity controller for as long.
func (r *reporter) target(list []string) string {
	if r.failures > 0 && time.Since(r.since) > reportReturn {
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

// report tells the process's status every few seconds, spread by jitter.
func (f *Follower) report(ctx context.Context) error {
	var r reporter
	defer func() { r.close() }()
	for {
		pause := reportEvery/2 + rand.N(reportEvery)
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

// reportOnce uses a new connection after any failure, as the old one may have
// gone silent.
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
	ctx, cancel := context.WithTimeout(ctx, reportTime)
	defer cancel()
	req := &pb.ReportRequest{Reports: []*pb.StatusReport{f.status()}}
	if _, err := pb.NewPeerClient(r.conn).Report(ctx, req); err != nil {
		log.WithError(err).Debug("feed: Report failed.")
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
		UptimeS: uint64(time.Since(f.begun).Seconds()),
	}
}
