package place

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"jayford.example/jayford/internal/engine"
	"jayford.example/jayford/internal/settings"
)

func random() *rand.Rand { return rand.New(rand.NewPCG(1, 2)) }

func server(id, zone string) Candidate {
	return Candidate{ID: id, AvailabilityZone: zone, Slots: 20, PrefillPerThousand: 100 * time.Millisecond, TokenTime: 20 * time.Millisecond}
}

func TestPrefillWeighsCacheAgainstQueue(t *testing.T) {
	cached, free := server("cached", "a"), server("free", "a")
	cached.CachedTokens, cached.QueuedTokens = 4000, 3000
	r := Request{PromptTokens: 5000, AvailabilityZone: "a", Interactive: true}
	assert.Equal(t, PredictTTFT(cached, r), 420*time.Millisecond)
	assert.Equal(t, PredictTTFT(free, r), 520*time.Millisecond)
	c := []Candidate{free, cached}
	assert.DeepEqual(t, Prefill(c, r, Options{}, random()), []int{1, 0})
	c[1].PendingTokens = 2000
	assert.DeepEqual(t, Prefill(c, r, Options{}, random()), []int{0, 1})
	r.Interactive = false
	assert.DeepEqual(t, Prefill(c, r, Options{CacheWeight: 1}, random()), []int{1, 0})
}

func TestSameZoneFirstAndDoubtedLast(t *testing.T) {
	c := []Candidate{server("x", "b"), server("y", "a"), server("z", "a")}
	c[2].LastResort = true
	r := Request{PromptTokens: 2000, MaxTokens: 100, AvailabilityZone: "a", Interactive: true}
	for name, rank := range map[string]func([]Candidate, Request, Options, *rand.Rand) []int{
		"prefill": Prefill, "decode": Decode, "service": Service,
	} {
		assert.DeepEqual(t, rank(c, r, Options{}, random()), []int{1, 0, 2})
		c[1].Used, c[1].QueuedTokens = 20, 4000
		assert.Equal(t, rank(c, r, Options{}, random())[0], 0, name)
		c[1].Used, c[1].QueuedTokens = 0, 0
	}
}

// Guards against sending all requests to a server whose last hint, ten half-lives
// old, showed no load. It must rank behind a server whose fresh hint shows less
// load than the mean.
func TestStaleHintIsDiscounted(t *testing.T) {
	c := []Candidate{server("stale", "a"), server("fresh", "a"), server("full", "a")}
	c[0].Age = 10 * DefaultHalfLife
	c[1].Used, c[2].Used = 8, 12
	assert.Equal(t, Decode(c, Request{}, Options{}, random())[0], 1)
	c[0].Age = 0
	assert.Equal(t, Decode(c, Request{}, Options{}, random())[0], 0)
}

// Guards against leaving a server idle for good. Its last response reported a long
// queue, so it gets no request, and without a request there is no newer report.
func TestOldQueueHasDrained(t *testing.T) {
	c := []Candidate{server("once full", "a"), server("busy", "a")}
	c[0].QueuedTokens, c[1].QueuedTokens = 10000, 3000
	r := Request{PromptTokens: 100, Interactive: true}
	assert.Equal(t, Prefill(c, r, Options{}, random())[0], 1)
	c[0].Age = 2 * time.Second
	assert.Equal(t, Prefill(c, r, Options{}, random())[0], 0)
}

func TestBaselines(t *testing.T) {
	c := []Candidate{server("b", "a"), server("a", "a"), server("c", "a")}
	c[0].Used, c[1].Used, c[2].Used = 3, 2, 1
	p := Options{Mode: settings.PlacementRoundRobin, Turn: 1}
	assert.DeepEqual(t, Service(c, Request{}, p, random()), []int{0, 2, 1})
	p.Mode = settings.PlacementLeastLoaded
	assert.DeepEqual(t, Service(c, Request{}, p, random()), []int{2, 1, 0})
	assert.Equal(t, len(Decode(nil, Request{}, Options{Mode: settings.PlacementRoundRobin}, random())), 0)
	assert.Equal(t, len(Decode(nil, Request{}, Options{}, random())), 0)
}

func TestBigPoolSpreadsChoices(t *testing.T) {
	c := make([]Candidate, 16)
	for i := range c {
		c[i] = server(fmt.Sprint(i), "a")
		c[i].Used = i
	}
	rnd := random()
	firsts := map[int]int{}
	for range 1000 {
		order := Decode(c, Request{}, Options{Pool: 100}, rnd)
		assert.Equal(t, len(order), 16)
		firsts[order[0]]++
	}
	// A sample of 8 of 16 contains the best server with probability 1/2.
	assert.Assert(t, firsts[0] > 450 && firsts[0] < 550, "%v", firsts)
	assert.Equal(t, firsts[15], 0)
	c[9].CachedTokens, c[9].Used = 4000, 0
	for range 100 {
		assert.Equal(t, Prefill(c, Request{PromptTokens: 5000}, Options{Pool: 100}, rnd)[0], 9)
	}
}

func TestSubsetsCoverAndStayStable(t *testing.T) {
	var ids []string
	for i := range 85 { // servers of one of 13 models
		ids = append(ids, fmt.Sprintf("s%d", i))
	}
	covered := map[string]int{}
	for i := range 370 {
		for _, id := range Subset(fmt.Sprintf("e%d", i), ids, 16) {
			covered[id]++
		}
	}
	assert.Equal(t, len(covered), len(ids))
	for id, n := range covered {
		assert.Assert(t, n > 35 && n < 140, "%s %d, mean 70", id, n)
	}
	before := Subset("e1", ids, 16)
	after := Subset("e1", ids[:84], 16)
	kept := 0
	for _, id := range before {
		for _, other := range after {
			if id == other {
				kept++
			}
		}
	}
	assert.Assert(t, kept >= 15)
	assert.Equal(t, len(Subset("e1", ids[:3], 16)), 3)
}

// Guards against prefills sent to a server for a block that it has evicted. The
// removal event is lost and later events arrive. The gap in the sequence halves
// what the index reports until it is rebuilt from the event log.
func TestGapHalvesCachedUntilRebuilt(t *testing.T) {
	p := NewPrefixIndex(8)
	add := func(seq, h uint64) engine.CacheEvent { return engine.CacheEvent{Sequence: seq, Prefix: h} }
	assert.Assert(t, p.Apply("s", engine.CacheEvents{Incarnation: 1, Events: []engine.CacheEvent{add(1, 10), add(2, 11)}}))
	assert.Assert(t, p.Apply("s", engine.CacheEvents{Incarnation: 1, Events: []engine.CacheEvent{add(1, 10)}}), "a repeated event is no gap")
	assert.Equal(t, p.Cached("s", []uint64{10, 11, 12}), 512)
	assert.Assert(t, !p.Apply("s", engine.CacheEvents{Incarnation: 1, Events: []engine.CacheEvent{add(2, 11), add(4, 20)}}))
	assert.Equal(t, p.Cached("s", []uint64{10, 11}), 256)
	log := []engine.CacheEvent{add(1, 10), add(2, 11), {Sequence: 3, Prefix: 11, Removed: true}, add(4, 20)}
	assert.Assert(t, p.Rebuild("s", engine.CacheEvents{Incarnation: 1, Events: log}))
	assert.Equal(t, p.Cached("s", []uint64{10, 11}), 256)
	assert.Assert(t, p.Apply("s", engine.CacheEvents{Incarnation: 2}))
	assert.Equal(t, p.Cached("s", []uint64{10}), 0)
}

func TestPrefixesAreBoundedAndCorrected(t *testing.T) {
	p := NewPrefixIndex(4)
	p.RecordPlacement("s", []uint64{1, 2, 3, 4, 5, 6})
	assert.Equal(t, p.Len(), 4)
	assert.Equal(t, p.Cached("s", []uint64{1, 2}), 0)
	assert.Equal(t, p.Reuse(), initialReuse)
	p.RecordResponse("s", []uint64{3, 4}, 0)
	assert.Assert(t, p.Reuse() < initialReuse)
	assert.Equal(t, p.Cached("s", []uint64{3, 4}), 256)
	p.RecordResponse("s", []uint64{3, 4}, 512)
	assert.Equal(t, p.Cached("s", []uint64{3, 4}), 512)
	p.Forget("s")
	assert.Equal(t, p.Len(), 0)
}

// Guards against a hotspot: requests with a shared prompt all queue at the one server
// that has the prefix cached while other servers are idle. Once its queue costs more
// than a prefill elsewhere, the prefix has to spread.
func TestHotPrefixSpreads(t *testing.T) {
	p := NewPrefixIndex(64)
	hashes := []uint64{1, 2, 3, 4, 5, 6, 7, 8}
	c := make([]Candidate, 8)
	for i := range c {
		c[i] = server(fmt.Sprint(i), "a")
	}
	p.RecordPlacement("0", hashes)
	rnd := random()
	for range 40 {
		for i := range c {
			c[i].CachedTokens = p.Cached(c[i].ID, hashes)
		}
		best := Prefill(c, Request{PromptTokens: 2500, Interactive: true}, Options{}, rnd)[0]
		c[best].PendingTokens += int64(2500 - c[best].CachedTokens)
		p.RecordPlacement(c[best].ID, hashes)
	}
	holders := 0
	for i := range c {
		if p.Cached(c[i].ID, hashes) > 0 {
			holders++
		}
	}
	assert.Assert(t, holders > 2, "%d", holders)
}

// Guards against a shared prompt being prefilled in full on every server. Its requests
// come through different entries, which don't know each other's placements, so all
// entries have to choose the same home server until its queue is too long.
func TestEntriesShareAPrefixHome(t *testing.T) {
	c := []Candidate{server("a", "a"), server("b", "a"), server("c", "a"), server("d", "a")}
	r := Request{PromptTokens: 3000, Interactive: true, Prefix: 7, Reuse: 0.5}
	home := Prefill(c, r, Options{}, random())[0]
	for seed := range uint64(50) {
		assert.Equal(t, Prefill(c, r, Options{}, rand.New(rand.NewPCG(seed, 1)))[0], home)
	}
	homes := map[int]bool{}
	for prefix := range uint64(50) {
		r.Prefix = prefix + 1
		homes[Prefill(c, r, Options{}, random())[0]] = true
	}
	assert.Equal(t, len(homes), len(c))
	r.Prefix = 7
	c[home].PendingTokens = 2000
	assert.Assert(t, Prefill(c, r, Options{}, random())[0] != home)
}

// benchmarkPool passes a whole pool of n servers to each decision.
func benchmarkPool(b *testing.B, n int) {
	c := make([]Candidate, n)
	for i := range c {
		c[i] = server(fmt.Sprint(i), fmt.Sprintf("zone-%d", i%11))
		c[i].QueuedTokens, c[i].Age = int64(i%7)*1000, time.Duration(i%5)*100*time.Millisecond
	}
	rnd := random()
	r := Request{PromptTokens: 3000, MaxTokens: 200, AvailabilityZone: "zone-1", Interactive: true, Prefix: 9, Reuse: 0.5}
	b.ReportAllocs()
	for b.Loop() {
		Prefill(c, r, Options{}, rnd)
	}
}

func BenchmarkPrefill16(b *testing.B)   { benchmarkPool(b, 16) }
func BenchmarkPrefill85(b *testing.B)   { benchmarkPool(b, 85) }
func BenchmarkPrefill1100(b *testing.B) { benchmarkPool(b, 1100) }

// Subset runs on membership changes, not per request.
func BenchmarkSubset1100(b *testing.B) {
	var ids []string
	for i := range 1100 {
		ids = append(ids, fmt.Sprintf("server-%d", i))
	}
	b.ReportAllocs()
	for b.Loop() {
		Subset("entry-1", ids, 16)
	}
}

// Guards against servers that never get a request. A server that has not reported its
// slots was assumed to have one slot and the mean load, and so it ranked behind full
// servers for good.
func TestServerWithoutReportIsTried(t *testing.T) {
	c := []Candidate{server("full", "a"), server("half", "a"), {ID: "new", AvailabilityZone: "a", Age: time.Hour}}
	c[0].Used, c[1].Used = 20, 10
	r := Request{PromptTokens: 100, MaxTokens: 100, AvailabilityZone: "a"}
	assert.DeepEqual(t, Decode(c, r, Options{}, random()), []int{1, 2, 0})
}
