package admit

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"jayford.example/jayford/internal/verdict"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func newQueue(o Options) *Queue { return New(o, rand.New(rand.NewPCG(1, 2))) }

func push(t testing.TB, q *Queue, now time.Time, it Item) {
	t.Helper()
	if err := q.Push(now, it); err != nil {
		t.Fatalf("push %s: %v", it.ID, err)
	}
}

func TestInteractiveFirstWithinFloors(t *testing.T) {
	q := newQueue(Options{})
	for i := range 100 {
		push(t, q, start, Item{ID: fmt.Sprint("b", i), Organisation: "o", Cost: 10})
		push(t, q, start, Item{ID: fmt.Sprint("i", i), Organisation: "o", Cost: 10, Interactive: true})
	}
	batch := 0
	for range 100 {
		it, ok := q.Pop(start)
		assert.Assert(t, ok)
		if !it.Interactive {
			batch++
		}
	}
	assert.Assert(t, batch >= 9 && batch <= 11, "%d", batch)
}

// Guards against an organisation with only batch work getting less than half of its
// share because another one always has interactive work waiting. The guarantee takes
// precedence over the class.
func TestBatchOrganisationKeepsHalfItsShare(t *testing.T) {
	q := newQueue(Options{})
	served := map[string]float64{}
	for i := range 1000 {
		push(t, q, start, Item{ID: fmt.Sprint("b", i), Organisation: "batch", Cost: 10})
		push(t, q, start, Item{ID: fmt.Sprint("i", i), Organisation: "busy", Cost: 10, Interactive: true})
		it, _ := q.Pop(start)
		q.Settle(it.ID)
		served[it.Organisation] += it.Cost
		q.Remove(fmt.Sprint("b", i-5))
		q.Remove(fmt.Sprint("i", i-5))
	}
	part := served["batch"] / (served["batch"] + served["busy"])
	assert.Assert(t, part > 0.24 && part < 0.30, "%.3f", part)
}

// popAndReplace pops n items, replaces each by one of the same organisation and class,
// and returns how many belonged to org.
func popAndReplace(t *testing.T, q *Queue, n int, org string) int {
	t.Helper()
	count := 0
	for range n {
		it, ok := q.Pop(start)
		assert.Assert(t, ok)
		if it.Organisation == org {
			count++
		}
		q.Settle(it.ID)
		push(t, q, start, it)
	}
	return count
}

// Guards against an organisation waiting for as long as it had the queue to itself
// before. One organisation runs alone, then a second one arrives that is ahead by class
// or equal. Earlier service counts against neither.
func TestPastServiceDoesNotCount(t *testing.T) {
	for _, c := range []struct {
		name        string
		interactive bool
		low, high   int
	}{{"guarantee", true, 24, 30}, {"share", false, 45, 55}} {
		q := newQueue(Options{})
		push(t, q, start, Item{ID: "1", Organisation: "first", Cost: 10})
		popAndReplace(t, q, 1000, "first")
		push(t, q, start, Item{ID: "2", Organisation: "second", Cost: 10, Interactive: c.interactive})
		got := popAndReplace(t, q, 100, "first")
		assert.Assert(t, got >= c.low && got <= c.high, "%s: %d", c.name, got)
	}
}

// Guards against requeued items counting as served, which made interactive requests
// wait behind batch after a time without free servers.
func TestRequeueIsNoService(t *testing.T) {
	q := newQueue(Options{})
	push(t, q, start, Item{ID: "b", Organisation: "batch", Cost: 10})
	push(t, q, start, Item{ID: "i", Organisation: "busy", Cost: 10, Interactive: true})
	for range 1000 {
		it, _ := q.Pop(start)
		assert.Equal(t, it.ID, "i")
		q.Requeue(it)
	}
}

// Each organisation always has work waiting, of random class and cost, and some of the
// popped items find no server and are requeued.
func TestShareFloor(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const pops = 3000
		const maxCost = 100.0
		q := newQueue(Options{MaxTotal: 1 << 20, MaxPerOrganisation: 1 << 20})
		n := rapid.IntRange(2, 8).Draw(t, "organisations")
		shares, total := map[string]float64{}, 0.0
		for i := range n {
			s := rapid.Float64Range(0.5, 4).Draw(t, "share")
			shares[fmt.Sprint(i)] = s
			total += s
		}
		q.SetShares(shares)
		classes := rapid.SliceOfN(rapid.IntRange(0, 2), n, n).Draw(t, "classes")
		rnd := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		id := 0
		add := func(org int) {
			id++
			interactive := classes[org] == 1 || classes[org] == 2 && rnd.IntN(2) == 0
			err := q.Push(start, Item{ID: fmt.Sprint(id), Organisation: fmt.Sprint(org), Interactive: interactive, Cost: 1 + rnd.Float64()*(maxCost-1)})
			assert.Assert(t, err == nil)
		}
		for org := range n {
			add(org)
			add(org)
		}
		served, sum := map[string]float64{}, 0.0
		for range pops {
			it, ok := q.Pop(start)
			assert.Assert(t, ok)
			if rnd.IntN(10) == 0 {
				q.Requeue(it)
				continue
			}
			q.Settle(it.ID)
			served[it.Organisation] += it.Cost
			sum += it.Cost
			var org int
			_, _ = fmt.Sscan(it.Organisation, &org)
			add(org)
		}
		for name, s := range shares {
			floor := 0.5*s/total*sum - maxCost*float64(n+2)
			assert.Assert(t, served[name] >= floor, "%s: %.0f of %.0f, floor %.0f", name, served[name], sum, floor)
		}
	})
}

func TestNothingIsLostOrDoubled(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := newQueue(Options{MaxTotal: 20, MaxPerOrganisation: 8})
		waiting := map[string]bool{}
		now, id := start, 0
		out := func(it Item) {
			assert.Assert(t, waiting[it.ID], "%s returned twice", it.ID)
			delete(waiting, it.ID)
		}
		t.Repeat(map[string]func(*rapid.T){
			"push": func(t *rapid.T) {
				id++
				it := Item{
					ID: fmt.Sprint(id), Organisation: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "org"),
					Interactive: rapid.Bool().Draw(t, "interactive"), Cost: float64(rapid.IntRange(0, 50).Draw(t, "cost")),
					Deadline: now.Add(time.Duration(rapid.IntRange(0, 9).Draw(t, "deadline")) * time.Second),
				}
				err := q.Push(now, it)
				if err == nil {
					waiting[it.ID] = true
					return
				}
				assert.Equal(t, err.Verdict, verdict.NotRun)
				assert.Assert(t, err.Code == verdict.Deadline || err.RetryAfter > 0)
			},
			"pop": func(t *rapid.T) {
				it, ok := q.Pop(now)
				assert.Equal(t, ok, len(waiting) > 0)
				if !ok {
					return
				}
				out(it)
				if rapid.Bool().Draw(t, "requeue") {
					q.Requeue(it)
					waiting[it.ID] = true
				}
			},
			"remove": func(t *rapid.T) {
				name := fmt.Sprint(rapid.IntRange(0, id).Draw(t, "id"))
				assert.Equal(t, q.Remove(name), waiting[name])
				delete(waiting, name)
			},
			"expire": func(*rapid.T) {
				for _, it := range q.Expire(now) {
					assert.Assert(t, !it.Deadline.After(now))
					out(it)
				}
			},
			"charge": func(t *rapid.T) { q.Charge("a", float64(rapid.IntRange(-50, 50).Draw(t, "tokens"))) },
			"wait": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 2000).Draw(t, "ms")) * time.Millisecond)
			},
			"": func(t *rapid.T) { assert.Equal(t, q.Len(), len(waiting)) },
		})
	})
}

func TestRequeueKeepsTheHead(t *testing.T) {
	q := newQueue(Options{})
	push(t, q, start, Item{ID: "1", Organisation: "o"})
	push(t, q, start, Item{ID: "2", Organisation: "o"})
	it, _ := q.Pop(start)
	q.Requeue(it)
	again, _ := q.Pop(start)
	assert.Equal(t, again.ID, "1")
}

// Guards against one organisation filling the queue, so that small ones are refused. It
// may use the queue alone up to half of its size; beyond that it is bounded, and the
// remaining room serves organisations that arrive later.
func TestOneOrganisationCannotFillTheQueue(t *testing.T) {
	q := newQueue(Options{MaxTotal: 100, MaxPerOrganisation: 40})
	refused := 0
	for i := range 200 {
		if err := q.Push(start, Item{ID: fmt.Sprint(i), Organisation: "big"}); err != nil {
			assert.Equal(t, err.Code, verdict.OverShare)
			refused++
		}
	}
	assert.Equal(t, q.Len(), 51)
	for i := range 15 {
		push(t, q, start, Item{ID: fmt.Sprint("s", i), Organisation: "small"})
	}
	assert.Equal(t, refused, 149)
}

// drainingQueue fills a queue and serves one item of cost 10 a second for 20 s.
func drainingQueue(t *testing.T) (*Queue, time.Time) {
	q := newQueue(Options{MaxTotal: 120})
	for i := range 60 {
		push(t, q, start, Item{ID: fmt.Sprint(i), Organisation: fmt.Sprint(i % 5), Interactive: true, Cost: 10})
	}
	now := start
	for range 20 {
		now = now.Add(time.Second)
		it, ok := q.Pop(now)
		assert.Assert(t, ok)
		q.Served(now, it.ID)
	}
	return q, now
}

func TestRetryAfterFollowsTheDrainRate(t *testing.T) {
	q, now := drainingQueue(t)
	for i := range 20 {
		_ = q.Push(now, Item{ID: fmt.Sprint("n", i), Organisation: fmt.Sprint(i % 5), Interactive: true, Cost: 10})
	}
	q.opts.MaxTotal = q.Len()
	err := q.Push(now, Item{ID: "x", Organisation: "new", Cost: 10})
	assert.Equal(t, err.Code, verdict.Overloaded)
	half := time.Duration(q.Len()/2) * time.Second
	assert.Assert(t, err.RetryAfter > half*9/10 && err.RetryAfter < half*17/10, "%s for %s", err.RetryAfter, half)
}

func TestDeadlineThatCannotBeMetIsRefused(t *testing.T) {
	q, now := drainingQueue(t) // 40 items wait, 8 of each organisation; one drains a second.
	it := Item{ID: "x", Organisation: "1", Interactive: true, Cost: 10, Deadline: now.Add(20 * time.Second)}
	err := q.Push(now, it)
	assert.Equal(t, err.Code, verdict.Deadline)
	assert.Assert(t, err.RetryAfter > 10*time.Second && err.RetryAfter < time.Minute, "%s", err.RetryAfter)
	it.Organisation = "new"
	push(t, q, now, it)
	it.ID, it.Predicted = "y", 20*time.Second
	err = q.Push(now, it)
	assert.Equal(t, err.Code, verdict.Deadline)
	assert.Equal(t, err.RetryAfter, time.Duration(0))
}

// Guards against a drain rate measured from requests that pass straight through, with
// which callers waited for a deadline that couldn't be met. Here the servers fill up
// after a long time without queueing, and one request a second drains.
func TestPassingThroughIsNoDrainRate(t *testing.T) {
	q := newQueue(Options{})
	now := start
	for i := range 10000 {
		push(t, q, now, Item{ID: fmt.Sprint(i), Organisation: "o", Cost: 10})
		now = now.Add(time.Millisecond)
		it, _ := q.Pop(now)
		q.Served(now, it.ID)
	}
	for i := range 30 {
		push(t, q, now, Item{ID: fmt.Sprint("w", i), Organisation: "o", Cost: 10})
	}
	now = now.Add(time.Second)
	it, _ := q.Pop(now)
	q.Served(now, it.ID)
	err := q.Push(now, Item{ID: "x", Organisation: "o", Cost: 10, Deadline: now.Add(10 * time.Second)})
	assert.Assert(t, err != nil)
	assert.Equal(t, err.Code, verdict.Deadline)
}

// BenchmarkPushPop measures a push and a pop on a queue that stays full, with up to 220
// organisations.
func BenchmarkPushPop(b *testing.B) {
	for _, orgs := range []int{10, 220} {
		b.Run(fmt.Sprint(orgs), func(b *testing.B) {
			q := newQueue(Options{})
			names := make([]string, orgs)
			for i := range names {
				names[i] = fmt.Sprint("org-", i)
			}
			for i := range 440 {
				_ = q.Push(start, Item{ID: fmt.Sprint(i), Organisation: names[i%orgs], Interactive: i%3 > 0, Cost: float64(100 + i%7)})
			}
			now := start
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(time.Millisecond)
				it, _ := q.Pop(now)
				q.Settle(it.ID)
				it.Deadline = now.Add(time.Hour)
				_ = q.Push(now, it)
			}
		})
	}
}

// BenchmarkRefuse measures a refusal by a full queue, which is most of the work under
// overload.
func BenchmarkRefuse(b *testing.B) {
	q := newQueue(Options{MaxTotal: 440})
	for i := range 440 {
		_ = q.Push(start, Item{ID: fmt.Sprint(i), Organisation: fmt.Sprint("org-", i%220), Cost: 100})
	}
	b.ReportAllocs()
	for b.Loop() {
		_ = q.Push(start, Item{ID: "x", Organisation: "org-1", Cost: 100})
	}
}

// One organisation floods a full pool: many of its items are outstanding at once, find
// all servers full and are requeued. An item that another organisation enqueued
// meanwhile must be next, since requeued items were not served and don't advance
// virtual time.
func TestRequeuedItemsDontDelayNewOrganisations(t *testing.T) {
	q := newQueue(Options{})
	now := start
	for i := range 100 {
		push(t, q, now, Item{ID: fmt.Sprint("flood ", i), Organisation: "flood", Interactive: true, Cost: 44})
	}
	var out []Item
	for range 64 {
		it, ok := q.Pop(now)
		assert.Assert(t, ok)
		out = append(out, it)
	}
	push(t, q, now, Item{ID: "calm", Organisation: "calm", Interactive: true, Cost: 14})
	q.Settle(out[40].ID)
	out = append(out[:40], out[41:]...)
	slices.Reverse(out)
	for _, it := range out {
		q.Requeue(it)
	}
	it, ok := q.Pop(now)
	assert.Assert(t, ok)
	assert.Equal(t, it.ID, "calm")
}
