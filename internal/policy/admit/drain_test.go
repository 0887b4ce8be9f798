package admit

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"jayford.example/jayford/internal/verdict"
)

// outstandingItem is a popped item until it is served or requeued.
type outstandingItem struct {
	item  Item
	until time.Time
}

// overload runs a pool that serves one item of cost 20 every 100 ms, and offers three
// times as many. All waiting items are popped, except for a pause after some found all
// servers full. An item that isn't served within 250 ms is requeued. No new items
// arrive while 12 wait or are outstanding. visit is called with the state of the queue
// every 10 ms.
func overload(t *testing.T, q *Queue, lasts time.Duration, visit func(now time.Time)) {
	t.Helper()
	const (
		tick, every, serve = 10 * time.Millisecond, 30 * time.Millisecond, 100 * time.Millisecond
		round, pause       = 250 * time.Millisecond, 40 * time.Millisecond
		circulate          = 12
	)
	var out []outstandingItem
	id, held := 0, start
	for at := time.Duration(0); at < lasts; at += tick {
		now := start.Add(at)
		if at%serve == 0 && len(out) > 0 {
			q.Served(now, out[0].item.ID)
			out = out[1:]
			held = now
		}
		for len(out) > 0 && !now.Before(out[0].until) {
			q.Requeue(out[0].item)
			out = out[1:]
			held = now.Add(pause)
		}
		if at%every == 0 && len(out)+q.Len() < circulate {
			id++
			push(t, q, now, Item{ID: fmt.Sprint(id), Organisation: "o", Interactive: true, Cost: 20})
		}
		visit(now)
		for now.Sub(held) >= 0 && q.Len() > 0 {
			it, _ := q.Pop(now)
			out = append(out, outstandingItem{it, now.Add(round)})
		}
	}
}

// Guards against a Retry-After of minutes from a pool that serves ten requests a
// second. All waiting items are outstanding, so a new request passes through an empty
// queue; its pop wasn't counted as drained, but its requeue was subtracted, and the
// rate fell to zero.
func TestRequeuedItemsDontChangeTheDrainRate(t *testing.T) {
	q := newQueue(Options{})
	worst := time.Duration(0)
	overload(t, q, 30*time.Second, func(now time.Time) {
		if now.Sub(start) < 5*time.Second || q.Len() == 0 {
			return
		}
		err := q.Push(now, Item{ID: "x", Organisation: "o", Interactive: true, Cost: 20, Deadline: now.Add(20 * time.Millisecond)})
		if err == nil {
			q.Remove("x")
			return
		}
		worst = max(worst, err.RetryAfter)
	})
	// At most 12 items wait, and ten are served a second.
	assert.Assert(t, worst > 0 && worst < 4*time.Second, "Retry-After %s", worst)
}

// Guards against queueing a request whose deadline can't be met. Most of the items
// ahead of it are outstanding, so that the queue looked short.
func TestOutstandingItemsAreAhead(t *testing.T) {
	q, now := drainingQueue(t) // 40 items wait, one is served a second.
	for range 38 {
		_, ok := q.Pop(now)
		assert.Assert(t, ok)
	}
	err := q.Push(now, Item{ID: "x", Organisation: "1", Interactive: true, Cost: 10, Deadline: now.Add(30 * time.Second)})
	assert.Assert(t, err != nil)
	assert.Equal(t, err.Code, verdict.Deadline)
}

// Guards against items being reversed when several find all servers full and are
// requeued: a caller missed its deadline while later ones were served.
func TestRequeuedItemsKeepTheirOrder(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		const n = 8
		q := newQueue(Options{})
		for i := range n {
			push(t, q, start.Add(time.Duration(i)*time.Millisecond), Item{ID: fmt.Sprint(i), Organisation: "o"})
		}
		out := make([]Item, rapid.IntRange(0, n).Draw(r, "out"))
		for i := range out {
			out[i], _ = q.Pop(start)
		}
		for _, it := range rapid.Permutation(out).Draw(r, "order") {
			q.Requeue(it)
		}
		for i := range n {
			it, _ := q.Pop(start)
			assert.Equal(r, it.ID, fmt.Sprint(i))
		}
	})
}

// Guards against refusing interactive requests with a short deadline though servers
// have room for them. Batch is requeued again and again, since agents reserve slots for
// interactive work; the cost of all outstanding items was counted as ahead of
// interactive ones.
func TestOutstandingBatchIsNotAheadOfInteractive(t *testing.T) {
	q := newQueue(Options{})
	for i := range 40 {
		push(t, q, start, Item{ID: fmt.Sprint(i), Organisation: "o", Cost: 100})
	}
	now := start
	for range 5 {
		now = now.Add(time.Second)
		it, _ := q.Pop(now)
		q.Served(now, it.ID)
	}
	for range 30 {
		_, _ = q.Pop(now)
	}
	push(t, q, now, Item{ID: "x", Organisation: "o", Interactive: true, Cost: 20, Deadline: now.Add(time.Second)})
	assert.Assert(t, q.Push(now, Item{ID: "y", Organisation: "o", Cost: 20, Deadline: now.Add(time.Second)}) != nil)
}

// Guards against a Retry-After of minutes from a pool that serves ten requests a
// second. A server is lost and nothing drains for half a minute, then it serves again.
// The stall must not determine Retry-After, neither while it lasts nor afterwards.
func TestStallDoesNotLengthenRetryAfter(t *testing.T) {
	q := newQueue(Options{})
	now, id := start, 0
	refused := func() time.Duration {
		id++
		it := Item{ID: fmt.Sprint("x", id), Organisation: "o", Interactive: true, Cost: 20, Fingerprint: uint64(id), Deadline: now.Add(100 * time.Millisecond)}
		err := q.Push(now, it)
		assert.Assert(t, err != nil)
		return err.RetryAfter
	}
	serve := func(n int) {
		for range n {
			now = now.Add(100 * time.Millisecond)
			it, _ := q.Pop(now)
			q.Served(now, it.ID)
		}
	}
	for i := range 100 {
		push(t, q, now, Item{ID: fmt.Sprint(i), Organisation: "o", Interactive: true, Cost: 20})
	}
	serve(30)
	now = now.Add(30 * time.Second)
	// The wait for the caller's own second is added to each.
	const own = retryPeriodSeconds * time.Second
	stands := refused()
	assert.Assert(t, stands <= 10*time.Second+own, "Retry-After %s during the stall", stands)
	serve(10)
	after := refused()
	assert.Assert(t, after <= 12*time.Second+own, "Retry-After %s after the stall", after)
}

// Guards against refusing a caller whose deadline can be met while an engine restarts
// within half a second. The pause was taken for a falling drain rate, and a new request
// may spend only a fraction of its time in the queue.
func TestShortStallRefusesNobody(t *testing.T) {
	q := newQueue(Options{})
	now := start
	for i := range 4 {
		push(t, q, now, Item{ID: fmt.Sprint("w", i), Organisation: "o", Interactive: true, Cost: 20})
	}
	// Serve twenty a second while the queue never runs empty.
	for i := range 8 {
		now = now.Add(50 * time.Millisecond)
		it, ok := q.Pop(now)
		assert.Assert(t, ok)
		q.Served(now, it.ID)
		push(t, q, now, Item{ID: fmt.Sprint("x", i), Organisation: "o", Interactive: true, Cost: 20})
	}
	q.Lost(now)
	now = now.Add(600 * time.Millisecond)
	err := q.Push(now, Item{ID: "newcomer", Organisation: "o", Interactive: true, Cost: 20, Deadline: now.Add(1200 * time.Millisecond)})
	assert.Assert(t, err == nil, "%v", err)
	q.Remove("newcomer")
	// A longer stall means that the pool may not recover.
	now = now.Add(2 * time.Second)
	err = q.Push(now, Item{ID: "late", Organisation: "o", Interactive: true, Cost: 20, Deadline: now.Add(1200 * time.Millisecond)})
	assert.Assert(t, err != nil)
}

// Guards against refusing callers whose deadline can be met once servers that were lost
// serve again: the first item served after the stall made the whole stall count.
func TestStallOfALostServerDoesNotCountOnceItEnds(t *testing.T) {
	q := newQueue(Options{})
	now := start
	q.Lost(now)
	for i := range 5 {
		push(t, q, now, Item{ID: fmt.Sprint("w", i), Organisation: "o", Interactive: true, Cost: 20})
	}
	now = now.Add(400 * time.Millisecond)
	it, _ := q.Pop(now)
	q.Served(now, it.ID)
	now = now.Add(100 * time.Millisecond)
	push(t, q, now, Item{ID: "newcomer", Organisation: "o", Interactive: true, Cost: 20, Deadline: now.Add(1700 * time.Millisecond)})
}

// Guards against a drain rate that is too high for seconds after a server was lost: the
// time of the stall doesn't count, so what is served in it mustn't count either.
func TestWorkServedInAStallDoesNotRaiseTheRate(t *testing.T) {
	q, now := drainingQueue(t) // 40 items of cost 10 wait, one is served a second.
	before := q.drain.rate(now, q.cost)
	q.Lost(now)
	for range 9 {
		now = now.Add(lostServerGrace / 10)
		it, _ := q.Pop(now)
		q.Served(now, it.ID)
	}
	now = now.Add(lostServerGrace / 10)
	assert.Equal(t, q.drain.rate(now, q.cost), before)
}

// Guards against refusing callers of a pool that has room, after a pause of the process
// of some tenths of a second: requests that pass straight through kept the pool full for
// as long as they came.
func TestPassingRequestsDoNotKeepThePoolFull(t *testing.T) {
	q := newQueue(Options{})
	now, id := start, 0
	pop := func() Item {
		id++
		push(t, q, now, Item{ID: fmt.Sprint(id), Organisation: "o", Interactive: true, Cost: 20})
		it, ok := q.Pop(now)
		assert.Assert(t, ok)
		return it
	}
	first := pop()
	q.Requeue(first)
	q.Expire(now)
	now = now.Add(50 * time.Millisecond)
	_, _ = q.Pop(now)
	q.Served(now, first.ID)
	for range 20 {
		now = now.Add(100 * time.Millisecond)
		it := pop()
		now = now.Add(time.Millisecond)
		q.Served(now, it.ID)
	}
	assert.Assert(t, !q.drain.full(now))
	// Three requests are read at once behind the pause.
	pop()
	now = now.Add(300 * time.Millisecond)
	pop()
	push(t, q, now, Item{ID: "newcomer", Organisation: "o", Interactive: true, Cost: 20, Deadline: now.Add(1500 * time.Millisecond)})
}
