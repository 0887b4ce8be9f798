package entry

import (
	"fmt"
	"io"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"jayford.example/jayford/internal/board"
	"jayford.example/jayford/internal/config"
	"jayford.example/jayford/internal/platform"
	"jayford.example/jayford/internal/policy/admit"
	"jayford.example/jayford/internal/policy/doubt"
	"jayford.example/jayford/internal/settings"
)

// newTestEntry returns an entry with the decode servers decode-0, decode-1, ... in the
// pool "model", and this pool's gate.
func newTestEntry(decode int) (*Entry, *admissionGate) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	b := board.New()
	e := New(Options{
		Settings: settings.DefaultEntry(), Board: b, Config: config.NewStore(b),
		Ready: func() bool { return true }, Log: log,
	})
	var instances []platform.Instance
	var targets poolTargets
	for i := range decode {
		id := fmt.Sprint("decode-", i)
		instances = append(instances, platform.Instance{ID: id, Role: "agent", State: platform.Live})
		targets.decode = append(targets.decode, target{id: id})
	}
	e.routing.store.ApplyInstances(instances)
	e.routing.current().pools["model"] = targets
	return e, e.gateFor("model")
}

// Guards against refusing callers of a pool that has room at an entry that is often paused
// by its machine: a pause between queueing a request and admitting it looked like a wait.
func TestPausesOfTheProcessAreNoFullPool(t *testing.T) {
	_, g := newTestEntry(1)
	const pause = 40 * time.Millisecond
	clock := time.Now()
	// Each two readings of the clock have a pause between them.
	g.now = func() time.Time {
		clock = clock.Add(pause)
		return clock
	}
	enter := func(id string) admit.Item {
		it := admit.Item{ID: id, Organisation: "o", Interactive: true, Cost: 40, Deadline: clock.Add(1700 * time.Millisecond)}
		err := g.enter(t.Context(), it)
		assert.Assert(t, err == nil, "%s: %v", id, err)
		return it
	}
	for i := range 20 {
		clock = clock.Add(300 * time.Millisecond)
		g.leave(enter(fmt.Sprint("passing ", i)), true)
	}
	enter("outstanding 1")
	enter("outstanding 2")
	clock = clock.Add(400 * time.Millisecond)
	enter("newcomer")
}

// Guards against refusing callers at an entry that had no request at the server that
// was lost: it took the stall for a slow pool.
func TestLossUnderAnotherEntrysRequestIsNoSlowPool(t *testing.T) {
	e, g := newTestEntry(2)
	e.members.observe("decode-1", doubt.Down)
	now := time.Now()
	push := func(id string, at time.Time) {
		err := g.queue.Push(at, admit.Item{ID: id, Organisation: "o", Interactive: true, Cost: 20, Deadline: at.Add(1700 * time.Millisecond)})
		assert.Assert(t, err == nil, "%s: %v", id, err)
	}
	for i := range 5 {
		push(fmt.Sprint("waiting ", i), now)
	}
	it, _ := g.queue.Pop(now)
	g.queue.Served(now.Add(400*time.Millisecond), it.ID)
	push("newcomer", now.Add(500*time.Millisecond))
}
