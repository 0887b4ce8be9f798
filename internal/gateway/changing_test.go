package gateway

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"jayford.example/jayford/internal/catalog"
	"jayford.example/jayford/internal/gossip"
	"jayford.example/jayford/internal/verdict"
)

// Guards against prompts that are read for an engine which empties itself for a change of stage: it
// grants reservations, looks the least loaded, and refuses to decode.
func TestAnnouncedEngineGetsNoNewWork(t *testing.T) {
	f := &fakeBackend{send: func(catalog.Server, Call) (*Answer, *verdict.Error) { return answer(text(eventsOf("1"))), nil }}
	f.reserve = func(s catalog.Server, _ int) (string, *verdict.Error) { return s.ID, nil }
	here, there := newGateway(t, f), newGateway(t, f)
	// d1 is the least loaded engine.
	there.Join(peerLoad{"d2#0": 5000, "d3#0": 5000})
	here.AnnounceStageChanges(there.RecordPeerStageChange)
	reservedAt := func() string {
		j, err := there.plan(generation("/stream/"))
		assert.Assert(t, err == nil)
		x, ok := there.reserveOnce(t.Context(), j, there.sizeReservation(j, 0))
		assert.Assert(t, ok)
		x.end()
		return x.server.ID
	}
	find := func(id string) catalog.Server {
		s, ok := there.view.list().find(gossip.ServerKey(id + "#0"))
		assert.Assert(t, ok)
		return s.Server
	}
	assert.Equal(t, reservedAt(), "d1")
	now := time.Now()
	here.announceChange(change{find("d1"), catalog.Prefill}, now.Add(time.Minute), now)
	assert.Assert(t, reservedAt() != "d1")

	// An engine that is listed with its new stage works, as does one whose announcement has ended.
	there.changing.record("d1#0", catalog.Decode, now.Add(time.Minute), now)
	assert.Equal(t, reservedAt(), "d1")
	there.changing.record("d1#0", catalog.Prefill, now, now)
	assert.Equal(t, reservedAt(), "d1")
	assert.Assert(t, !there.changing.nonEmpty.Load())

	// It isn't a last resort either while others are full.
	there.changing.record("d1#0", catalog.Prefill, now.Add(time.Minute), now)
	f.reserve = func(s catalog.Server, _ int) (string, *verdict.Error) {
		if s.ID == "d1" {
			return s.ID, nil
		}
		return "", full()
	}
	j, err := there.plan(generation("/stream/"))
	assert.Assert(t, err == nil)
	_, ok := there.reserveOnce(t.Context(), j, there.sizeReservation(j, 0))
	assert.Assert(t, !ok)
	f.reserve = func(s catalog.Server, _ int) (string, *verdict.Error) { return s.ID, nil }

	// Where all change, one of them is better than none.
	for _, id := range []string{"d1", "d2", "d3"} {
		there.changing.record(id+"#0", catalog.Prefill, now.Add(time.Minute), now)
	}
	assert.Assert(t, reservedAt() != "")
}
