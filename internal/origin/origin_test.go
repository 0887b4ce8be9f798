package origin

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	pb "jayford.example/jayford/api/jayfordv1"
)

var start = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

// Guards against records that outlive their time or their number, and against a stream whose
// version changes.
func TestTableIsBoundedAndKeepsTheFirstVersion(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const limit, ttl = 8, 10 * time.Second
		table, now := NewTable(limit), start
		first, told := map[uint64]uint64{}, map[uint64]time.Time{}
		t.Repeat(map[string]func(*rapid.T){
			"put": func(t *rapid.T) {
				r := Record{Stream: rapid.Uint64Range(1, 20).Draw(t, "stream"), Software: rapid.Uint64Range(1, 3).Draw(t, "software")}
				if _, ok := table.Get(r.Stream, now); !ok {
					first[r.Stream], told[r.Stream] = r.Software, now
				}
				table.Put(r, ttl, now)
			},
			"time": func(t *rapid.T) {
				now = now.Add(rapid.SampledFrom([]time.Duration{time.Millisecond, time.Second, ttl}).Draw(t, "passes"))
			},
			"": func(t *rapid.T) {
				assert.Assert(t, table.Len() <= limit)
				for stream := range uint64(21) {
					if r, ok := table.Get(stream, now); ok {
						assert.Equal(t, r.Software, first[stream])
						assert.Assert(t, now.Before(told[stream].Add(ttl)))
					}
				}
			},
		})
	})
}

// Guards against a version that is taken for the only one though a stream may have begun at
// another.
func TestSoleVersionIsTheOnlyOne(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const within = 28 * time.Second
		h, now := NewHistory(), start
		if rapid.Bool().Draw(t, "complete") {
			h.SetComplete()
		}
		// served has when each version was last listed.
		served := map[uint64]time.Time{}
		for range rapid.IntRange(1, 20).Draw(t, "steps") {
			listed := map[Served]int{}
			current := map[uint64]bool{}
			for _, v := range rapid.SliceOfN(rapid.Uint64Range(0, 3), 0, 2).Draw(t, "listed") {
				listed[Served{1, v}]++
				current[v] = true
			}
			h.Update(listed, now)
			for v := range current {
				served[v] = now
			}
			now = now.Add(rapid.SampledFrom([]time.Duration{time.Second, 10 * time.Second, within}).Draw(t, "passes"))
			for v := range current {
				served[v] = now
			}
			sole := h.Sole([]uint64{1}, within, now)
			if sole == 0 {
				continue
			}
			assert.Assert(t, h.complete || now.Sub(start) > within)
			for v, at := range served {
				assert.Assert(t, v == sole || now.Sub(at) > within, "version %d", v)
			}
		}
	})
}

// fleet is a number of gateways whose datagrams are lost at a rate, or always if one of the
// two is down.
type fleet struct {
	mu        sync.Mutex
	addresses []string
	gateways  map[string]*Exchange
	down      map[string]bool
	loss      float64
}

func newFleet(n int) *fleet {
	f := &fleet{gateways: map[string]*Exchange{}, down: map[string]bool{}}
	for i := range n {
		f.addresses = append(f.addresses, fmt.Sprint("10.0.0.", i, ":1"))
	}
	for _, a := range f.addresses {
		f.start(a)
	}
	return f
}

func (f *fleet) start(address string) {
	f.gateways[address] = NewExchange(Options{
		Self: address, Gateways: func() []string { return f.addresses },
		Send: func(to string, m *pb.OriginMessage) { f.send(address, to, m) },
	})
}

func (f *fleet) send(from, to string, m *pb.OriginMessage) {
	f.mu.Lock()
	lost := f.down[from] || f.down[to] || rand.Float64() < f.loss
	f.mu.Unlock()
	if !lost {
		go f.gateways[to].Handle(from, m)
	}
}

// Guards against streams that can't go on behind the end of many gateways: the one that began
// a stream is gone, and so are half of the others.
func TestRecordsOutliveTheirGateway(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(10)
		f.loss = 0.03
		const streams = 200
		for n := range uint64(streams) {
			f.gateways[f.addresses[0]].Tell(Record{Stream: n + 1, Software: 7}, time.Minute)
		}
		synctest.Wait()
		for _, a := range f.addresses[:5] {
			f.down[a] = true
		}
		found := 0
		for n := range uint64(streams) {
			e := f.gateways[f.addresses[5+n%5]]
			began := time.Now()
			r, ok := e.Local(n + 1)
			if !ok {
				var err error
				r, err = e.Ask(t.Context(), n+1)
				ok = err == nil
			}
			assert.Assert(t, time.Since(began) <= MaxWait)
			if ok {
				assert.Equal(t, r, Record{Stream: n + 1, Software: 7})
				found++
			}
		}
		assert.Assert(t, found > streams*3/4, "%d of %d", found, streams)
	})
}

// Guards against a caller who waits for gateways that have answered.
func TestUnknownStreamIsAnsweredAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(5)
		began := time.Now()
		_, err := f.gateways[f.addresses[0]].Ask(t.Context(), 1)
		assert.ErrorIs(t, err, ErrUnknown)
		assert.Equal(t, time.Since(began), time.Duration(0))
		_, err = newFleet(1).gateways["10.0.0.0:1"].Ask(t.Context(), 1)
		assert.ErrorIs(t, err, ErrUnknown)
	})
}

// Guards against a gateway that is cut off from all others and takes their silence for an
// answer.
func TestSilenceIsNoAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(5)
		for _, a := range f.addresses[1:] {
			f.down[a] = true
		}
		_, err := f.gateways[f.addresses[0]].Ask(t.Context(), 1)
		assert.ErrorIs(t, err, ErrNoAnswer)
	})
}

// Guards against a guess by a process that got its first list long after its start, and for
// streams that last for longer than versions are remembered.
func TestHistoryCountsFromTheFirstList(t *testing.T) {
	const within = 28 * time.Second
	h := NewHistory()
	first := start.Add(time.Hour)
	h.Update(map[Served]int{{1, 7}: 3}, first)
	assert.Equal(t, h.Sole([]uint64{1}, within, first.Add(time.Second)), uint64(0))
	assert.Equal(t, h.Sole([]uint64{1}, within, first.Add(within+time.Second)), uint64(7))
	assert.Equal(t, h.Sole([]uint64{1}, HistoryTTL+time.Second, first.Add(24*time.Hour)), uint64(0))
}

// Guards against an answer to the first question of a process that has ended being taken for that to
// the first one of its successor.
func TestSuccessorNumbersItsQuestionsAnew(t *testing.T) {
	firstQuestion := func() (number uint32) {
		e := NewExchange(Options{
			Self: "a:1", Gateways: func() []string { return []string{"a:1", "b:1"} },
			Send: func(_ string, m *pb.OriginMessage) { number = m.Question },
		})
		_, err := e.Ask(t.Context(), 7)
		assert.Assert(t, err != nil)
		return number
	}
	process, successor := firstQuestion(), firstQuestion()
	assert.Assert(t, process != successor)
}
