package peers

import (
	"encoding/json"
	"fmt"
	"math"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"jayford.example/jayford/internal/platform"
	"jayford.example/jayford/internal/policy/blame"
)

// Guards against a request that crashes servers again because all gateways, which knew it,
// were killed at once.
func TestConvictionsOutlastAllGateways(t *testing.T) {
	s := &memoryStore{objects: map[string]platform.Object{}}
	lost := time.Now().Add(-time.Minute)
	known := []blame.Loss{
		{Request: 1<<63 + 1, Server: 1<<63 + 7, Began: lost.Add(-time.Second), Lost: lost},
		{Request: 1<<63 + 1, Server: 8, Began: lost, Lost: lost.Add(time.Second)},
	}
	one := members(s, "1")
	one.ShareConvictions(func(int) []blame.Loss { return known }, func(blame.Loss) bool { return false })
	assert.NilError(t, one.readAndRenew(t.Context()))
	for _, id := range []string{"1", "2"} {
		var learned []blame.Loss
		m := members(s, id)
		m.ShareConvictions(func(int) []blame.Loss { return learned }, func(x blame.Loss) bool {
			learned = append(learned, x)
			return true
		})
		assert.NilError(t, m.readAndRenew(t.Context()))
		assert.NilError(t, m.readAndRenew(t.Context()))
		assert.Assert(t, len(learned) >= len(known))
		for i, x := range known {
			assert.Equal(t, learned[i].Request, x.Request)
			assert.Equal(t, learned[i].Server, x.Server)
			assert.Equal(t, learned[i].Lost.Sub(learned[i].Began), time.Second)
			assert.Assert(t, learned[i].Lost.Sub(x.Lost).Abs() < time.Second)
		}
	}
}

// Guards against a conviction that waits for the next renewal, or is written again and
// again.
func TestConvictionIsPublishedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &memoryStore{objects: map[string]platform.Object{"1": stored(t, "1")}}
		m := members(s, "1")
		var known atomic.Pointer[[]blame.Loss]
		known.Store(&[]blame.Loss{})
		m.ShareConvictions(func(int) []blame.Loss { return *known.Load() }, func(blame.Loss) bool { return true })
		go func() { _ = m.Run(t.Context()) }()
		time.Sleep(3 * time.Second)
		synctest.Wait()
		calls := s.calls
		known.Store(&[]blame.Loss{{Request: 5, Server: 6, Began: time.Now(), Lost: time.Now()}})
		for range 20 {
			m.PublishConviction(5)
			time.Sleep(50 * time.Millisecond)
		}
		time.Sleep(time.Second)
		synctest.Wait()
		assert.Equal(t, s.calls-calls, 2, "one reading and one renewal")
		assert.Assert(t, m.published[5])
	})
}

// Guards against losses in a damaged object, in one that a gateway left behind long ago, and
// in one whose writer's clock was ahead.
func TestStoredLossesAreReadWithCare(t *testing.T) {
	now := time.Now()
	damaged := []Loss{{}, {Request: "x", Server: "1"}, {Request: "1", Server: "-1"}, {Request: "1", Server: "1", RanMs: -1}}
	assert.Equal(t, len(decodeLosses(damaged, now)), 0)

	old := now.Add(-time.Hour)
	got := decodeLosses(encodeLosses([]blame.Loss{{Request: 1, Server: 2, Began: old, Lost: old}}), now)
	assert.Assert(t, now.Sub(got[0].Lost) > blame.DefaultRefuseFor)

	ahead := now.Add(5 * time.Second)
	got = decodeLosses(encodeLosses([]blame.Loss{
		{Request: 1, Server: 2, Began: ahead.Add(-time.Second), Lost: ahead.Add(-time.Second)}, {Request: 1, Server: 3, Began: ahead, Lost: ahead},
	}), now)
	assert.Assert(t, !got[1].Lost.After(now))
	assert.Equal(t, got[1].Lost.Sub(got[0].Lost), time.Second)
}

// Guards against a refusal of parts that comes back from the platform as one of a whole request,
// or of fewer parts than it was reached for.
func TestPartsOutlastTheirGateway(t *testing.T) {
	now := time.Now()
	x := blame.Loss{Request: 5, Server: 6, ID: 7, Began: now.Add(-2 * time.Second), Lost: now.Add(-time.Second), Model: 8, Parts: []uint64{1, 1 << 63}, Convicted: true}
	stored := encodeLosses([]blame.Loss{x})
	got := decodeLosses(stored, now)
	assert.Equal(t, len(got), 1)
	assert.DeepEqual(t, got[0].Parts, x.Parts)
	assert.Equal(t, got[0].Model, x.Model)
	assert.Equal(t, got[0].ConvictionKey(), x.ConvictionKey())
	for _, parts := range [][]string{{"1", "no hash"}, make([]string, blame.MaxParts+1)} {
		stored[0].Parts = parts
		assert.Equal(t, len(decodeLosses(stored, now)), 0)
	}
}

// Guards against losses with times beyond the range of a duration: they would count as later than
// now, and refuse requests for ever.
func TestLossesOfOddTimesAreNotLater(t *testing.T) {
	now := time.Now()
	for _, lost := range []int64{math.MinInt64, -1, 0, now.UnixMilli(), math.MaxInt64} {
		for _, ran := range []int64{0, 1, math.MaxInt64} {
			var list []Loss
			text := fmt.Sprintf(`[{"request":"1","server":"2","ranMs":%d,"lostMs":%d},{"request":"1","server":"3","lostMs":%d}]`, ran, lost, now.UnixMilli())
			assert.NilError(t, json.Unmarshal([]byte(text), &list))
			for _, x := range decodeLosses(list, now) {
				assert.Check(t, !x.Lost.After(now) && !x.Began.After(x.Lost), "lost %d ran %d: %v %v", lost, ran, x.Began, x.Lost)
			}
		}
	}
	assert.Equal(t, len(decodeLosses(make([]Loss, 1000), now)), 0)
	many := make([]Loss, 1000)
	for i := range many {
		many[i] = Loss{Request: "1", Server: fmt.Sprint(i), LostMs: now.UnixMilli()}
	}
	assert.Assert(t, len(decodeLosses(many, now)) <= maxConvictionLosses)
}
