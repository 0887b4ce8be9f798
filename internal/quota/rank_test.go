package quota

import (
	"context"
	"io"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	pb "jayford.example/jayford/api/jayfordv1"
	"jayford.example/jayford/internal/board"
	"jayford.example/jayford/internal/boottime"
	"jayford.example/jayford/internal/catalog"
	policy "jayford.example/jayford/internal/policy/quota"
)

// newLoneExchange returns an exchange without other gateways, which isn't run.
func newLoneExchange(q catalog.Quota) *Exchange {
	log := logrus.New()
	log.SetOutput(io.Discard)
	x := New(Options{
		Self: "g0", Board: board.New(), Log: logrus.NewEntry(log), OnUnknownSender: func() {},
		Members:           func() ([]Member, time.Duration) { return []Member{{ID: "g0"}}, boottime.Now() },
		PredecessorUptime: func() (time.Duration, bool) { return 0, true },
	})
	x.updateMembers(boottime.Now())
	o := catalog.NewOrganisations()
	o.Add(catalog.Organisation{Name: "one", Quota: q})
	x.SetOrganisations(o)
	return x
}

// Guards against tokens that go to whichever waiting request wakes first.
func TestWaitingRequestsAreServedByRank(t *testing.T) {
	x := newLoneExchange(catalog.Quota{PerSecond: 10_000, Burst: 10_000, InTokens: true})
	type served struct {
		rank int
		ok   bool
	}
	done := make(chan served, 6)
	for _, rank := range []int{2, 2, 1, 1, 0, 0} {
		go func() {
			_, err := x.Take(t.Context(), "one", 1000, rank, 2*time.Second)
			done <- served{rank, err == nil}
		}()
		time.Sleep(2 * time.Millisecond)
	}
	last := 0
	for range 6 {
		s := <-done
		assert.Assert(t, s.ok && s.rank >= last, "rank %d after rank %d, served: %v", s.rank, last, s.ok)
		last = s.rank
	}
	assert.Equal(t, len(x.waiting), 0)
}

// Guards against claims of callers who left and that hold up less urgent ones.
func TestCallersWhoLeftDontHoldUpOthers(t *testing.T) {
	x := newLoneExchange(catalog.Quota{PerSecond: 10_000, Burst: 10_000, InTokens: true})
	ctx, cancel := context.WithCancel(t.Context())
	left := make(chan struct{})
	go func() {
		defer close(left)
		_, _ = x.Take(ctx, "one", 9000, 0, time.Minute)
	}()
	time.Sleep(10 * time.Millisecond)
	_, err := x.Take(t.Context(), "one", 50, 2, 10*time.Millisecond)
	assert.Assert(t, err != nil)
	cancel()
	<-left
	_, err = x.Take(t.Context(), "one", 50, 0, time.Second)
	assert.Assert(t, err == nil)
	assert.Equal(t, len(x.waiting), 0)
	assert.Equal(t, x.usage["one"].RefusedByRank[2], 1)
}

// Guards against ranks that get lost on their way, and against impossible ones.
func TestRanksOnTheWire(t *testing.T) {
	text, err := encode(policy.Message{ID: 1, Parts: []policy.Part{{Account: 2, Need: 3, Want: 4, Rank: 9}}})
	assert.NilError(t, err)
	m, err := decode(text)
	assert.NilError(t, err)
	assert.Equal(t, m.Parts[0].Rank, 9)
	text, err = proto.Marshal(&pb.QuotaMessage{Parts: []*pb.QuotaPart{{Rank: 10}}})
	assert.NilError(t, err)
	_, err = decode(text)
	assert.ErrorContains(t, err, "out of range")
}
