package gossip

import (
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	pb "jayford.example/jayford/api/jayfordv1"
	"jayford.example/jayford/internal/catalog"
)

// Guards against announcements that arrive changed, never, or after their end, and against
// impossible ones.
func TestStageChangesAreAnnounced(t *testing.T) {
	from, _ := newExchange("10.0.0.1:1", "10.0.0.2:1")
	to, _ := newExchange("10.0.0.2:1", "10.0.0.1:1")
	var got []StageChange
	to.opts.OnStageChange = func(x StageChange) { got = append(got, x) }
	now := time.Now()
	from.ReportStageChange(StageChange{Engine: 7, To: catalog.Prefill, Until: now.Add(2 * time.Second)})
	from.ReportStageChange(StageChange{Engine: 8, To: catalog.Decode, Until: now.Add(-time.Second)})
	n := from.buildUpdate(nil, false)
	assert.Assert(t, proto.Size(n) <= maxDatagramBytes)
	to.handleStageChanges(n.StageChanges, now)
	assert.Equal(t, len(got), 1)
	assert.Equal(t, got[0].Engine, uint64(7))
	assert.Equal(t, got[0].To, catalog.Prefill)
	assert.Assert(t, got[0].Until.Sub(now) > time.Second && got[0].Until.Sub(now) <= 2*time.Second)

	to.handleStageChanges([]*pb.StageChange{{Engine: 7, RemainingMs: 1 << 31}}, now)
	to.handleStageChanges(make([]*pb.StageChange, maxAcceptedStageChanges+1), now)
	assert.Equal(t, len(got), 1)
}
