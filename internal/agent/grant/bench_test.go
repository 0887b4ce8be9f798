package grant

import (
	"fmt"
	"testing"
	"time"

	pb "jayford.example/jayford/api/jayfordv1"
)

// BenchmarkRequest measures all core calls of one request on a server with 19
// others.
func BenchmarkRequest(b *testing.B) {
	cfg := testConfig()
	cfg.Slots, cfg.MaxDedupRecords, cfg.LapseAfter = 20, 1<<20, 1000*time.Hour
	c := New(cfg)
	c.ServerUp(0)
	for i := range 19 {
		r := decode(fmt.Sprint("neighbour", i))
		_, _ = c.Reserve(0, r)
		_ = c.Start(0, r.Key, r.Entry)
		c.Send(0, r.Key)
	}
	now := time.Duration(0)
	for i := 0; b.Loop(); i++ {
		now += time.Millisecond
		r := decode("")
		r.Key = Key{Request: fmt.Sprint(i), Number: 1, Phase: pb.Phase_PHASE_DECODE}
		_, _ = c.Reserve(now, r)
		_ = c.Start(now, r.Key, r.Entry)
		c.Send(now, r.Key)
		c.Done(now, r.Key, 0)
		c.Ready()
	}
}
