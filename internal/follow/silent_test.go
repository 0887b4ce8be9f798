package follow

import (
	"context"
	"io"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"jayford.example/jayford/internal/platform"
)

// silentStore answers its listing, and no watch. It answers polls from when it is reachable.
type silentStore struct {
	platform.Store
	watched   chan struct{}
	polls     atomic.Int32
	reachable atomic.Bool
	// silentPolls is how many polls aren't answered though it is reachable.
	silentPolls int32
}

func (s *silentStore) List(context.Context, string) (platform.Listing, error) {
	return platform.Listing{Revision: 10}, nil
}

func (s *silentStore) Watch(ctx context.Context, _ string, after uint64) (platform.Listing, error) {
	s.watched <- struct{}{}
	<-ctx.Done()
	// As internal/platform does if ctx is cancelled.
	return platform.Listing{Revision: after}, nil
}

func (s *silentStore) Poll(ctx context.Context, _ string, _ uint64) (platform.Listing, error) {
	if s.polls.Add(1) <= s.silentPolls || !s.reachable.Load() {
		<-ctx.Done()
		return platform.Listing{}, ctx.Err()
	}
	return platform.Listing{Revision: 15, Objects: []platform.Object{object("leaves", 14)}}, nil
}

// startSilent runs a follower that has listed revision 10 and holds a watch.
func startSilent(t *testing.T, s *silentStore) (f *Follower, changes chan string, confirmed *atomic.Int32) {
	t.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	s.watched = make(chan struct{}, 100)
	changes, confirmed = make(chan string, 100), &atomic.Int32{}
	f = New(Options{
		Store: s, Kind: "servers", Wait: time.Minute, Log: logrus.NewEntry(log), Confirmed: func(time.Duration) { confirmed.Add(1) },
		Apply: func(n Update) {
			for _, o := range n.Objects {
				changes <- o.Name
			}
		},
	})
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- f.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		assert.NilError(t, <-ended)
	})
	<-s.watched
	return f, changes, confirmed
}

// Guards against changes that come late as the open connections to the store went silent, while
// new ones work: the poll is repeated soon, and the watch, which confirms nothing, is held anew.
func TestPollOverASilentConnectionIsRepeated(t *testing.T) {
	s := &silentStore{silentPolls: 1}
	s.reachable.Store(true)
	f, changes, confirmed := startSilent(t, s)
	began := time.Now()
	assert.Assert(t, f.Poll(t.Context()))
	took := time.Since(began)
	assert.Equal(t, <-changes, "leaves")
	assert.Assert(t, took < 700*time.Millisecond, took)
	<-s.watched
	assert.Equal(t, confirmed.Load(), int32(2), "by the listing and the poll")
	assert.Assert(t, !f.IsFailing())
}

// Guards against an outage that goes unnoticed as polls that fail in it end the watch, whose timeout
// tells of it, against changes that wait for that timeout once the store is back, and against a poll
// with each tick of an outage.
func TestUnansweredPollLeavesTheWatch(t *testing.T) {
	s := &silentStore{}
	f, changes, confirmed := startSilent(t, s)
	assert.Assert(t, f.Poll(t.Context()))
	assert.Equal(t, confirmed.Load(), int32(1), "by the listing alone")
	assert.Equal(t, len(s.watched), 0)
	assert.Assert(t, !f.Poll(t.Context()), "right after one that failed")
	s.reachable.Store(true)
	for end := time.Now().Add(2 * retryDelay); !f.Poll(t.Context()); time.Sleep(10 * time.Millisecond) {
		assert.Assert(t, time.Now().Before(end), "no poll though the store is back")
	}
	assert.Equal(t, <-changes, "leaves")
}
