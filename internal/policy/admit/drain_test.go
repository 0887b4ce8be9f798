package admit

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"jayford.example/jayford/internal/verdict"
)

// asking is an item that is out, until it is answered.
type asking struct {
	item  Item
	until time.Time
}

// overrun runs a pool that serves one item of cost 20 each tenth of a second, and
// gets three times as many. All that waits goes out to ask servers, but for a
// pause after some found all full. What isn't served within a quarter of a second finds all full and comes back, when no
// more than 12 are out. visit sees the queue after each hundredth of a second.
func overrun(t *testing.T, q *Queue, lasts time.Duration, visit func(now time.Time)) {
	t.Helper()
	const (
		tick, every, serve = 10 * time.Millisecond, 30 * time.Millisecond, 100 * time.Millisecond
		round, pause       = 250 * time.Millisecond, 40 * time.Millisecond
		circulate          = 12
	)
	var out []asking
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
			out = append(out, asking{it, now.Add(round)})
		}
	}
}

// Callers of a pool that serves ten requests a second are told to come back
// after minutes. All that waits is out to ask servers, a newcomer passes through
// an empty queue, and most come back. Their pop wasn't counted as drained, as
// nothing had waited, but their return was taken off. The rate went to zero.
func TestItemsThatComeBackDontChangeTheDrainRate(t *testing.T) {
	q := newQueue(Options{})
	worst := time.Duration(0)
	overrun(t, q, 30*time.Second, func(now time.Time) {
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
	// At most 12 wait, ten are served a second.
	assert.Assert(t, worst > 0 && worst < 4*time.Second, "told to come back after %s", worst)
}

// Callers are queued and refused only when their time is over, though it was lost
// from the start. Most of what is ahead of them is out to ask servers, so the
// queue looked short.
func TestItemsThatAreOutAreAhead(t *testing.T) {
	q, now := drained(t) // 40 wait, one is served a second
	for range 38 {
		_, ok := q.Pop(now)
		assert.Assert(t, ok)
	}
	err := q.Push(now, Item{ID: "x", Organisation: "1", Interactive: true, Cost: 10, Deadline: now.Add(30 * time.Second)})
	assert.Assert(t, err != nil)
	assert.Equal(t, err.Code, verdict.Deadline)
}

// A caller waits to the end of its time while others that came later are served.
// Several requests find all servers full together, and the one that came back
// last was the next to go. They keep the order in which they came.
func TestItemsThatComeBackKeepTheirOrder(t *testing.T) {
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

// Callers in a hurry are refused though servers have room for them. Batch that
// finds no server comes back again and again, since agents keep slots for
// interactive work; the cost of all that is out was taken to be ahead of them.
func TestBatchThatIsOutIsNotAheadOfInteractive(t *testing.T) {
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

// Callers are sent away for minutes by a pool that serves ten a second. A server
// was lost and nothing drained for half a minute, then it served again. Neither
// while it stands nor after it is the time told reckoned by the standstill.
func TestStandstillSendsNobodyAwayForMinutes(t *testing.T) {
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
	// To each comes the wait for the caller's own second.
	const own = drawPeriod * time.Second
	stands := refused()
	assert.Assert(t, stands <= 10*time.Second+own, "told %s while it stands", stands)
	serve(10)
	after := refused()
	assert.Assert(t, after <= 12*time.Second+own, "told %s after it", after)
}

// An engine crashes and is back half a second later, and nothing is served in
// between. A caller who comes then is refused though its first token would come
// well in time: the pause was read as a slow pool, its rate falling by the
// moment, and a newcomer may count on a part of its time only.
func TestShortStallRefusesNobody(t *testing.T) {
	q := newQueue(Options{})
	now := start
	for i := range 4 {
		push(t, q, now, Item{ID: fmt.Sprint("w", i), Organisation: "o", Interactive: true, Cost: 20})
	}
	// Twenty a second, while the queue never runs empty.
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
	// A stall that lasts tells of a pool that may not come back.
	now = now.Add(2 * time.Second)
	err = q.Push(now, Item{ID: "late", Organisation: "o", Interactive: true, Cost: 20, Deadline: now.Add(1200 * time.Millisecond)})
	assert.Assert(t, err != nil)
}
