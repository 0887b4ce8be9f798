package feed

import (
	"context"
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	pb "jayford.example/jayford/api/jayfordv1"
)

// Guards against load replies that are too large for the leader of a region. A
// full-size zone has 100 agents, and 34 entries with demand for 13 pools.
func TestLoadsOfAFullZoneAreSmall(t *testing.T) {
	s := NewServer(ServerOptions{})
	ctx := context.Background()
	report := func(id, role string, l *pb.ProcessLoad) int {
		r := &pb.StatusReport{Id: id, Role: role, AvailabilityZone: "zone-a", ProcessLoad: l}
		_, err := s.Report(ctx, &pb.ReportRequest{Reports: []*pb.StatusReport{r}})
		assert.NilError(t, err)
		return proto.Size(l)
	}
	size := 0
	for i := range 100 {
		size = report(fmt.Sprintf("engine-instance-%04d", i), RoleAgent, &pb.ProcessLoad{
			Load:       &pb.Load{Slots: 20, Used: 19, Queued: 3, QueuedTokens: 40000, TokenUs: 61000, PrefillUs: 90000, EngineIncarnation: 1 << 60},
			EngineRole: "prefill", EngineModel: "model-of-the-day", EngineVersion: "2026-11", EngineUsed: 18, EngineQueued: 4,
		})
	}
	var pools []*pb.PoolDemand
	for i := range 13 {
		pools = append(pools, &pb.PoolDemand{Pool: fmt.Sprintf("model-pool-%02d", i), Queued: 30, Refused: 200})
	}
	for i := range 34 {
		report(fmt.Sprintf("entry-instance-%03d", i), RoleEntry, &pb.ProcessLoad{Pools: pools})
	}
	reply, err := s.Loads(ctx, &pb.LoadsRequest{})
	assert.NilError(t, err)
	assert.Equal(t, len(reply.GetAgents()), 100)
	assert.Equal(t, len(reply.GetPools()), 13)
	assert.Equal(t, reply.GetPools()[0].GetQueued(), uint32(34*30))
	zone := proto.Size(reply)
	perSecond := 4 * float64(zone) / reportInterval.Seconds()
	t.Logf("figure: load in a report %d bytes, a zone's answer %d bytes, 4 zones each 5 s %.1f KB/s", size, zone, perSecond/1000)
	assert.Assert(t, perSecond < 10_000)
}

// The entry that accepts the zone's status is frozen but still listed. Reports
// must fail over to the next entry, and return to the first after a while.
func TestReportsFailOverFromASilentEntry(t *testing.T) {
	list := []string{"a", "b", "c"}
	var r reporter
	assert.Equal(t, r.target(list), "a")
	r.failed()
	assert.Equal(t, r.target(list), "b")
	r.since = time.Now().Add(-2 * reportFailbackAfter)
	assert.Equal(t, r.target(list), "a")
	assert.Equal(t, r.target(nil), "")
}
