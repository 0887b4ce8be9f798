package agent

import (
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	pb "jayford.example/jayford/api/jayfordv1"
	"jayford.example/jayford/internal/engine"
)

// churn renews for so many entries each 400 ms of a minute, while the cache
// changes 100 times a second, and returns the bytes told to each and to all.
func churn(entries int) (each map[string]int, all int) {
	const seconds, changes = 60, 100
	c := newCacheNews(1)
	c.summary.Apply(engine.CacheEvents{Incarnation: 1})
	each = map[string]int{}
	cursors := map[string]*pb.CacheNews{}
	sequence := uint64(0)
	for now := time.Duration(0); now < seconds*time.Second; now += 400 * time.Millisecond {
		ev := engine.CacheEvents{Incarnation: 1}
		for range changes * 2 / 5 {
			sequence++
			ev.Events = append(ev.Events, engine.CacheEvent{Sequence: sequence, Prefix: sequence * 0x9e3779b9, Tokens: engine.CacheBlock})
		}
		c.summary.Apply(ev)
		for i := range entries {
			name := fmt.Sprint("entry-", i)
			n := c.news(name, cursors[name].GetEpoch(), cursors[name].GetSequence(), now)
			if n == nil {
				continue
			}
			cursors[name] = n
			size := proto.Size(&pb.RenewReply{Cache: n})
			each[name] += size
			all += size
		}
	}
	return each, all
}

// A cache that churns has far more to tell than a node may send for control.
// What is told stays within the bounds for each pair and for the agent in all,
// and is still worth its frame.
func TestCacheNewsStayWithinTheirBytes(t *testing.T) {
	alone, _ := churn(1)
	assert.Assert(t, alone["entry-0"] <= 60*pairBytesPerSecond+newsAtMost, "%d", alone["entry-0"])
	assert.Assert(t, alone["entry-0"] >= 60*pairBytesPerSecond/2, "%d", alone["entry-0"])
	each, all := churn(70)
	assert.Equal(t, len(each), 70)
	assert.Assert(t, all <= 61*agentBytesPerSecond, "%d", all)
	t.Logf("one agent told 70 entries %d bytes a second", all/60)
}
