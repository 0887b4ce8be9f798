package admit

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"jayford.example/jayford/internal/verdict"
)

const (
	floodSlots = 20
	floodCost  = 44
	floodTime  = 1300 * time.Millisecond
)

// flooded returns the queue of a pool whose slots were all taken within 100 ms by one
// organisation, with more of its items waiting, when the first item has just ended
// and its slot was granted to the next.
func flooded(t *testing.T) (*Queue, time.Time) {
	t.Helper()
	q := newQueue(Options{})
	now := start
	for i := range floodSlots {
		now = now.Add(5 * time.Millisecond)
		push(t, q, now, Item{ID: fmt.Sprint(i), Organisation: "flood", Interactive: true, Cost: floodCost})
		it, _ := q.Pop(now)
		q.Served(now, it.ID)
	}
	for i := range floodSlots {
		push(t, q, now, Item{ID: fmt.Sprint("w", i), Organisation: "flood", Interactive: true, Cost: floodCost})
	}
	now = start.Add(floodTime)
	q.Ended(now, "0")
	it, _ := q.Pop(now)
	q.Served(now, it.ID)
	return q, now.Add(80 * time.Millisecond)
}

// Guards against refusing callers at the onset of a shortage: all slots are taken at
// about the same time, so the first item that ends says little of how many end per second.
func TestFirstItemsOfAShortageAreNoRate(t *testing.T) {
	q, now := flooded(t)
	push(t, q, now, Item{ID: "calm", Organisation: "calm", Interactive: true, Cost: 14, Deadline: now.Add(1700 * time.Millisecond)})
}

// Guards against queueing requests that can't be served in time while servers that no
// longer answer hold many items.
func TestStalledItemsInServiceAreNoRate(t *testing.T) {
	q, now := flooded(t)
	now = now.Add(10 * time.Second)
	err := q.Push(now, Item{ID: "calm", Organisation: "calm", Interactive: true, Cost: 14, Deadline: now.Add(1700 * time.Millisecond)})
	assert.Assert(t, err != nil)
	assert.Equal(t, err.Code, verdict.Deadline)
}

func TestRateOfTheItemsInService(t *testing.T) {
	s := newInService()
	assert.Equal(t, s.rate(start), 0.0)
	now := start
	// Ten items of cost 30 at a time, each for 2 s, and half as often one of cost 60.
	for i := range 200 {
		now = now.Add(200 * time.Millisecond)
		s.begin(now, fmt.Sprint(i), 30)
		s.end(now, fmt.Sprint(i-10))
		if i%2 == 0 {
			s.begin(now, fmt.Sprint("long ", i), 60)
			s.end(now, fmt.Sprint("long ", i-20))
		}
	}
	got := s.rate(now)
	const want = 30/0.2 + 60/0.4
	assert.Assert(t, got > 0.9*want && got < 1.1*want, "%f", got)
	for i := range 200 {
		s.end(now, fmt.Sprint(i))
		s.end(now, fmt.Sprint("long ", i))
	}
	assert.Equal(t, len(s.items), 0)
	assert.Equal(t, s.rate(now), 0.0)
}
