package follow

import (
	"context"
	"io"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"jayford.example/jayford/internal/platform"
)

// polledStore holds each watch until it gets an answer, and answers polls from a channel.
type polledStore struct {
	platform.Store
	watches, polls chan platform.Listing
	watched        chan uint64
	lists          []platform.Listing
}

func (s *polledStore) List(context.Context, string) (platform.Listing, error) {
	l := s.lists[0]
	s.lists = s.lists[1:]
	return l, nil
}

func (s *polledStore) Watch(ctx context.Context, _ string, after uint64) (platform.Listing, error) {
	select {
	case s.watched <- after:
	case <-ctx.Done():
		return platform.Listing{}, ctx.Err()
	}
	select {
	case l := <-s.watches:
		return l, nil
	case <-ctx.Done():
		return platform.Listing{}, ctx.Err()
	}
}

func (s *polledStore) Poll(context.Context, string, uint64) (platform.Listing, error) {
	return <-s.polls, nil
}

func object(name string, version uint64) platform.Object {
	return platform.Object{Name: name, Version: version}
}

// event is what a follower has told.
type event struct {
	names     []string
	full      bool
	copy      Copy
	confirmed bool
}

// startPolled runs a follower that has listed revision 10 and holds a watch.
func startPolled(t *testing.T, s *polledStore) (*Follower, chan event) {
	t.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	events := make(chan event, 100)
	f := New(Options{
		Store: s, Kind: "servers", Wait: time.Minute, Log: logrus.NewEntry(log),
		Apply: func(n Update) {
			e := event{full: n.Full}
			for _, o := range n.Objects {
				e.names = append(e.names, o.Name)
			}
			events <- e
		},
		Applied:   func(c Copy) { events <- event{copy: c} },
		Confirmed: func(time.Duration) { events <- event{confirmed: true} },
	})
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = f.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-ended
	})
	assert.Equal(t, <-s.watched, uint64(10))
	for range 3 {
		<-events
	}
	return f, events
}

func newPolledStore() *polledStore {
	return &polledStore{
		watches: make(chan platform.Listing, 1), polls: make(chan platform.Listing, 1), watched: make(chan uint64),
		lists: []platform.Listing{{Revision: 10, Objects: []platform.Object{object("a", 4)}}},
	}
}

// Guards against a poll that doesn't confirm the copy or isn't applied, and against a watch's
// older answer that reverts what a poll brought.
func TestPollRunsBesideTheWatch(t *testing.T) {
	s := newPolledStore()
	f, events := startPolled(t, s)
	s.polls <- platform.Listing{Revision: 12}
	f.Poll(t.Context())
	assert.DeepEqual(t, (<-events).copy, Copy{Position: 12, Changed: 10, Newest: 4})
	assert.Assert(t, (<-events).confirmed)

	s.polls <- platform.Listing{Revision: 15, Objects: []platform.Object{object("b", 14)}}
	f.Poll(t.Context())
	assert.DeepEqual(t, (<-events).names, []string{"b"})
	assert.DeepEqual(t, (<-events).copy, Copy{Position: 15, Changed: 14, Newest: 14})
	assert.Assert(t, (<-events).confirmed)

	s.watches <- platform.Listing{Revision: 13, Objects: []platform.Object{object("a", 13)}}
	assert.Assert(t, (<-events).confirmed, "an answer that the copy is beyond only confirms it")
	assert.Equal(t, <-s.watched, uint64(15))
	assert.Equal(t, len(events), 0)
}

// Guards against a deletion that raises the newest change by less than its own revision,
// which a watch doesn't tell.
func TestDeletionCountsAsTheNewestChange(t *testing.T) {
	c := Copy{}.list(platform.Listing{Revision: 10, Objects: []platform.Object{object("a", 4), object("b", 7)}})
	assert.DeepEqual(t, c, Copy{Position: 10, Changed: 10, Newest: 7})
	c = c.advance(platform.Listing{Revision: 20, Objects: []platform.Object{object("c", 18)}})
	assert.DeepEqual(t, c, Copy{Position: 20, Changed: 18, Newest: 18})
	c = c.advance(platform.Listing{Revision: 30, Objects: []platform.Object{{Name: "c", Version: 18, Deleted: true}}})
	assert.DeepEqual(t, c, Copy{Position: 30, Changed: 30, Newest: 18})
	assert.DeepEqual(t, c.advance(platform.Listing{Revision: 40}), Copy{Position: 40, Changed: 30, Newest: 18})
	assert.DeepEqual(t, c.list(platform.Listing{Revision: 25}), Copy{Position: 30, Changed: 30})
}

// Guards against a copy that counts as confirmed by a store that was set back to an earlier
// state, whose revisions name other changes then.
func TestStoreSetBackIsListedAnew(t *testing.T) {
	s := newPolledStore()
	s.lists = append(s.lists, platform.Listing{Revision: 8, Objects: []platform.Object{object("z", 8)}})
	f, events := startPolled(t, s)
	s.polls <- platform.Listing{Revision: 7}
	f.Poll(t.Context())
	assert.Equal(t, len(events), 0)
	s.watches <- platform.Listing{Revision: 7}
	e := <-events
	assert.Assert(t, e.full)
	assert.DeepEqual(t, e.names, []string{"z"})
	assert.DeepEqual(t, (<-events).copy, Copy{Position: 8, Changed: 8, Newest: 8})
	assert.Assert(t, (<-events).confirmed)
}

// Guards against polls before the first listing, and of a store that doesn't answer: they
// would add to the load of a store in trouble.
func TestNoPollWithoutACopyOrDuringAnOutage(t *testing.T) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	f := New(Options{Store: newPolledStore(), Kind: "servers", Log: logrus.NewEntry(log), Apply: func(Update) {}})
	f.Poll(t.Context())
	f.listed = true
	f.failed(platform.ErrUnavailable)
	assert.Assert(t, f.IsFailing())
	f.Poll(t.Context())
	f.endOutage(time.Now())
	assert.Assert(t, !f.IsFailing())
}
