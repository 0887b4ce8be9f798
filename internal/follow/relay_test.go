package follow

import (
	"context"
	"fmt"
	"io"
	"maps"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"jayford.example/jayford/internal/platform"
)

// history is a store's, of two kinds of which one is followed.
type history struct {
	// changes has the followed kind's change at each revision, nil for one of another kind.
	changes []*platform.Object
}

func (h *history) revision() uint64 { return uint64(len(h.changes)) }

// since returns what a watch answers: a deletion has the version of the last write.
func (h *history) since(after, at uint64) platform.Listing {
	out := platform.Listing{Revision: at}
	for _, o := range h.changes[after:at] {
		if o != nil {
			out.Objects = append(out.Objects, *o)
		}
	}
	return out
}

func (h *history) stateAt(at uint64) map[string]uint64 {
	out := map[string]uint64{}
	replay(out, h.since(0, at).Objects)
	return out
}

func replay(state map[string]uint64, objects []platform.Object) {
	for _, o := range objects {
		if o.Deleted {
			delete(state, o.Name)
		} else {
			state[o.Name] = o.Version
		}
	}
}

// write writes or deletes an object, or one of another kind.
func (h *history) write(t *rapid.T) {
	name := rapid.SampledFrom([]string{"a", "b", "c", ""}).Draw(t, "name")
	if name == "" {
		h.changes = append(h.changes, nil)
		return
	}
	o := platform.Object{Name: name, Version: h.revision() + 1}
	if last, ok := h.stateAt(h.revision())[name]; ok && rapid.Bool().Draw(t, "deleted") {
		o.Version, o.Deleted = last, true
	}
	h.changes = append(h.changes, &o)
}

// held is a follower with what it has applied.
type held struct {
	f     *Follower
	state map[string]uint64
}

func newHeld(changed func(Changes)) *held {
	log := logrus.New()
	log.SetOutput(io.Discard)
	h := &held{state: map[string]uint64{}}
	h.f = New(Options{Kind: "servers", Log: logrus.NewEntry(log), Changed: changed, Apply: func(n Update) {
		if n.Full {
			clear(h.state)
		}
		replay(h.state, n.Objects)
	}})
	return h
}

// list lists the store.
func (h *held) list(s *history) {
	var l platform.Listing
	l.Revision = s.revision()
	for name, version := range s.stateAt(l.Revision) {
		l.Objects = append(l.Objects, platform.Object{Name: name, Version: version})
	}
	h.f.listed = false
	h.f.apply(call{isList: true, page: platform.Page{Listing: l}})
}

// Guards against copies that lack a change, or go back to an older state, as changes are
// passed on while the store changes, are lost, repeated and late, and as watches, polls and
// listings run beside them.
func TestRelayedCopiesLackNothing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &history{}
		var sent []Changes
		source := newHeld(func(x Changes) { sent = append(sent, x) })
		other := newHeld(func(x Changes) { sent = append(sent, x) })
		relayed := newHeld(nil)
		relayed.f.SetRelayed(true)
		all := []*held{source, other, relayed}
		for _, h := range all {
			s.write(t)
			h.list(s)
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			h := rapid.SampledFrom(all).Draw(t, "gateway")
			switch rapid.IntRange(0, 9).Draw(t, "step") {
			case 0:
				h.list(s)
			case 1, 2, 3:
				s.write(t)
			case 4, 5:
				after := uint64(rapid.IntRange(0, int(h.f.copy.Position)).Draw(t, "after"))
				at := uint64(rapid.IntRange(int(after), int(s.revision())).Draw(t, "at"))
				h.f.apply(call{after: after, page: platform.Page{Listing: s.since(after, at)}})
			default:
				if len(sent) > 0 {
					x := rapid.SampledFrom(sent).Draw(t, "changes")
					before := h.f.copy.Position
					missing := h.f.ApplyRelayed(x)
					assert.Equal(t, missing, h == relayed && x.After > before)
				}
			}
			for i, h := range all {
				want := s.stateAt(h.f.copy.Position)
				assert.Assert(t, maps.Equal(h.state, want), "copy %d at %d has %v, the store had %v", i, h.f.copy.Position, h.state, want)
				for at := h.f.copy.Changed; at < h.f.copy.Position; at++ {
					assert.Assert(t, s.changes[at] == nil, "change %d is newer than the newest, %d", at+1, h.f.copy.Changed)
				}
			}
		}
	})
}

// Guards against a follower that holds watches though others pass changes on, or holds none
// when they no longer do, when its history was compacted, or when its last call failed.
func TestRelayedFollowerHoldsNoWatch(t *testing.T) {
	s := newPolledStore()
	s.lists = append(s.lists, platform.Listing{Revision: 20})
	f, events := startPolled(t, s)
	f.SetRelayed(true)
	s.watches <- platform.Listing{Revision: 11}
	<-events
	<-events
	select {
	case <-s.watched:
		t.Fatal("a watch is held")
	case <-time.After(50 * time.Millisecond):
	}
	assert.Assert(t, !f.ApplyRelayed(Changes{After: 10, Revision: 13, Objects: []platform.Object{object("b", 13)}}))
	assert.DeepEqual(t, (<-events).names, []string{"b"})
	assert.DeepEqual(t, (<-events).copy, Copy{Position: 13, Changed: 13, Newest: 13})
	assert.Assert(t, f.ApplyRelayed(Changes{After: 14, Revision: 15, Objects: []platform.Object{object("b", 15)}}))
	assert.Equal(t, len(events), 0, "changes passed on confirm nothing")
	f.SetRelayed(false)
	assert.Equal(t, <-s.watched, uint64(13))
	assert.Assert(t, !f.ApplyRelayed(Changes{After: 13, Revision: 15}))
	f.SetRelayed(true)
	s.watches <- platform.Listing{Revision: 14}
	<-events
	<-events
	f.mu.Lock()
	f.setBackLocked(1)
	f.mu.Unlock()
	assert.Assert(t, (<-events).full, "it lists even so")
}

// compactedStore has compacted its history.
type compactedStore struct{ polledStore }

func (s *compactedStore) Poll(context.Context, string, uint64) (platform.Listing, error) {
	return platform.Listing{}, fmt.Errorf("poll: %w", platform.ErrCompacted)
}

// Guards against a follower without watches whose position the store has forgotten: its polls
// would fail for ever.
func TestPollOfACompactedHistoryListsAnew(t *testing.T) {
	h := newHeld(nil)
	h.f.opts.Store = &compactedStore{}
	h.f.listed = true
	h.f.SetRelayed(true)
	assert.Assert(t, h.f.isIdle())
	h.f.Poll(t.Context())
	assert.Assert(t, !h.f.isIdle())
}
