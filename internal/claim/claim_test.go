package claim

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"
	"gotest.tools/v3/assert"

	"jayford.example/jayford/internal/verdict"
)

const org = "crew"

// releaseWithin is how soon after the platform's return a key must be released.
const releaseWithin = maxBackoff + time.Second

type opKind int

const (
	opClaim opKind = iota
	opFree
)

type opInput struct {
	kind         opKind
	key, request string
}

type opOutput struct{ code verdict.Code }

// keyState is the model's state of one key.
type keyState struct {
	request string
	// unclear: a failed claim may hold the key until it is released.
	unclear bool
}

// model defines the valid histories of a key: one holder at a time, and Duplicate
// only while there is a holder or a failed claim may hold the key.
var model = porcupine.Model{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		byKey := map[string][]porcupine.Operation{}
		for _, op := range history {
			in, _ := op.Input.(opInput)
			byKey[in.key] = append(byKey[in.key], op)
		}
		var out [][]porcupine.Operation
		for _, ops := range byKey {
			out = append(out, ops)
		}
		return out
	},
	Init: func() any { return keyState{} },
	Step: func(state, input, output any) (bool, any) {
		s, _ := state.(keyState)
		in, _ := input.(opInput)
		out, _ := output.(opOutput)
		switch {
		case in.kind == opFree:
			return s.request == in.request, keyState{unclear: s.unclear}
		case out.code == "":
			return s.request == "", keyState{request: in.request, unclear: s.unclear}
		case out.code == verdict.Duplicate:
			return s.request != "" || s.unclear, s
		}
		return true, keyState{request: s.request, unclear: true}
	},
}

// recorder keeps the history of operations; its clock counts calls and returns.
type recorder struct {
	clock atomic.Int64

	mu sync.Mutex
	// history is guarded by mu.
	history []porcupine.Operation
}

func (r *recorder) do(client int, in opInput, f func() *verdict.Error) *verdict.Error {
	call := r.clock.Add(1)
	err := f()
	out := opOutput{}
	if err != nil {
		out.code = err.Code
	}
	end := r.clock.Add(1)
	if err != nil && err.Code != verdict.Duplicate {
		// A failed operation may take effect at any later time.
		end = 1 << 40
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.history = append(r.history, porcupine.Operation{ClientId: client, Input: in, Output: out, Call: call, Return: end})
	return err
}

// Callers send requests with the same keys to several entries at once. The
// entries race to write the shards while replies are lost, writes are lost or
// arrive late and the platform is down at times. Seven of eight granted
// requests release their key. The history of each key must have one holder at a
// time; after the faults each key without a holder must be claimable again.
func TestClaimsAreExclusiveUnderFaults(t *testing.T) {
	for seed := range uint64(40) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { raceClaims(t, seed) })
		})
	}
}

// race is one run of callers against entries that share a store.
type race struct {
	store   *memStore
	entries []*Claimer
	rec     recorder
	seed    uint64
	// ran maps each key that was kept to its request.
	ran sync.Map
}

const (
	raceEntries = 4
	raceCallers = 12
	raceRounds  = 12
	raceKeys    = 5
)

func raceClaims(t *testing.T, seed uint64) {
	r := &race{store: newMemStore(seed), seed: seed}
	r.store.faults = faults{replyLost: 0.15, requestLost: 0.05, late: 0.05}
	for i := range raceEntries {
		r.entries = append(r.entries, newSkewed(r.store, i))
	}
	stop := make(chan struct{})
	go r.outages(stop)
	var wg sync.WaitGroup
	for caller := range raceCallers {
		wg.Go(func() { r.call(t, caller) })
	}
	wg.Wait()
	close(stop)
	assert.Assert(t, porcupine.CheckOperations(model, r.rec.history), "the history isn't one of exclusive claims")
	r.store.set(func(m *memStore) { m.down, m.faults = false, faults{} })
	time.Sleep(maxDelay + releaseWithin)
	r.checkFree(t)
}

// outages takes the platform down and up until stop closes.
func (r *race) outages(stop <-chan struct{}) {
	for down := true; ; down = !down {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(r.store.draw() * float64(2*time.Second))):
			r.store.set(func(m *memStore) { m.down = down })
		}
	}
}

// call runs one caller: it sends requests, and releases most of the keys that it
// gets, like a request that turns out not to have run.
func (r *race) call(t *testing.T, caller int) {
	rnd := rand.New(rand.NewPCG(r.seed, uint64(caller)))
	c := r.entries[caller%raceEntries]
	for round := range raceRounds {
		in := opInput{opClaim, fmt.Sprint("key-", rnd.IntN(raceKeys)), fmt.Sprintf("r-%d-%d", caller, round)}
		keep := rnd.IntN(8) == 0
		bound := time.Duration(1+rnd.IntN(3000)) * time.Millisecond
		err := r.rec.do(caller, in, func() *verdict.Error {
			ctx, cancel := context.WithTimeout(t.Context(), bound)
			defer cancel()
			return c.Claim(ctx, org, in.key, in.request)
		})
		if err == nil && keep {
			other, twice := r.ran.LoadOrStore(in.key, in.request)
			assert.Check(t, !twice, "%s ran as %s and as %v", in.key, in.request, other)
		}
		if err == nil && !keep {
			in.kind = opFree
			_ = r.rec.do(caller, in, func() *verdict.Error {
				ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
				defer cancel()
				return c.Free(ctx, org, in.key, in.request)
			})
		}
		time.Sleep(time.Duration(rnd.IntN(200)) * time.Millisecond)
	}
}

// checkFree claims each key that nobody kept through each entry.
func (r *race) checkFree(t *testing.T) {
	for k := range raceKeys {
		key := fmt.Sprint("key-", k)
		_, kept := r.ran.Load(key)
		for i, c := range r.entries {
			request := fmt.Sprint("last-", i)
			err := c.Claim(t.Context(), org, key, request)
			assert.Equal(t, err != nil, kept, "%s: %v", key, err)
			if err == nil {
				assert.Assert(t, c.Free(t.Context(), org, key, request) == nil)
			}
		}
	}
}

// newSkewed returns a Claimer of entry i whose clock is i seconds behind.
func newSkewed(store *memStore, i int) *Claimer {
	c := New(store, fmt.Sprint("entry-", i))
	c.now = func() time.Time { return time.Now().Add(-time.Duration(i) * time.Second) }
	return c
}

// A claim's write takes effect, its reply is lost, and then the platform is down.
// The caller is told that its request hasn't run, and sends it again through
// another entry when the platform is back. That must not fail as a duplicate, as
// the first request never ran.
func TestKeyIsGivenBackAfterAnOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newMemStore(1)
		store.faults.replyLost = 1
		a, b := New(store, "entry-a"), New(store, "entry-b")
		time.AfterFunc(maxLatency, func() { store.set(func(m *memStore) { m.down = true }) })
		err := a.Claim(t.Context(), org, "key", "r1")
		assert.Equal(t, err.Code, verdict.PlatformDown)
		assert.Equal(t, err.Verdict, verdict.NotRun)
		time.Sleep(time.Hour)
		store.set(func(m *memStore) { m.down, m.faults = false, faults{} })
		time.Sleep(releaseWithin)
		assert.Assert(t, b.Claim(t.Context(), org, "key", "r2") == nil)
	})
}

// As above, but the write takes effect only after the platform is back.
func TestLateWriteHoldsNoKey(t *testing.T) {
	for seed := range uint64(20) {
		synctest.Test(t, func(t *testing.T) {
			store := newMemStore(seed)
			store.faults.late = 1
			a, b := New(store, "entry-a"), New(store, "entry-b")
			ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
			defer cancel()
			time.AfterFunc(10*time.Millisecond, func() {
				store.set(func(m *memStore) { m.down, m.faults = true, faults{} })
			})
			err := a.Claim(ctx, org, "key", "r1")
			time.Sleep(time.Second)
			store.set(func(m *memStore) { m.down = false })
			time.Sleep(maxDelay + releaseWithin)
			assert.Equal(t, b.Claim(t.Context(), org, "key", "r2") == nil, err != nil)
		})
	}
}

// A key is released while the platform is down: Free returns PlatformDown, and
// the key must be free soon after the platform's return.
func TestFreeGoesOnInTheBackground(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newMemStore(1)
		a, b := New(store, "entry-a"), New(store, "entry-b")
		assert.Assert(t, a.Claim(t.Context(), org, "key", "r1") == nil)
		store.set(func(m *memStore) { m.down = true })
		assert.Equal(t, a.Free(t.Context(), org, "key", "r1").Code, verdict.PlatformDown)
		time.Sleep(time.Hour)
		store.set(func(m *memStore) { m.down = false })
		time.Sleep(releaseWithin)
		assert.Assert(t, b.Claim(t.Context(), org, "key", "r2") == nil)
		assert.Equal(t, a.Claim(t.Context(), org, "key", "r3").Code, verdict.Duplicate)
	})
}

// The clock of the entry that claims is behind that of the entry that released
// the key. An expiry time in the future of the slow clock would look like a
// claim.
func TestFreedKeyIsFreeByASlowClock(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newMemStore(1)
		a, b := newSkewed(store, 0), newSkewed(store, 5)
		assert.Assert(t, a.Claim(t.Context(), org, "key", "r1") == nil)
		assert.Equal(t, b.Claim(t.Context(), org, "key", "r2").Code, verdict.Duplicate)
		assert.Assert(t, a.Free(t.Context(), org, "key", "r1") == nil)
		assert.Assert(t, b.Claim(t.Context(), org, "key", "r3") == nil)
	})
}

// A shard has outgrown the platform's size limit. Claims on it must be refused at
// once; retrying until writeTimeout would only load the platform.
func TestFullShardIsRefusedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newMemStore(1)
		store.tooLarge = true
		begin := time.Now()
		err := New(store, "entry-a").Claim(t.Context(), org, "key", "r1")
		assert.Equal(t, err.Code, verdict.PlatformDown)
		assert.Assert(t, time.Since(begin) < 100*time.Millisecond, "%s", time.Since(begin))
		assert.Assert(t, store.puts == 1, "%d writes", store.puts)
	})
}

// Claims of one shard that arrive during a write are batched into the next one.
func TestClaimsAreGrouped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const n = 20
		store := newMemStore(1)
		a := New(store, "entry-a")
		var wg sync.WaitGroup
		for i, key := range keysOfShard(0, n) {
			wg.Go(func() { assert.Check(t, a.Claim(t.Context(), org, key, fmt.Sprint("r", i)) == nil) })
		}
		wg.Wait()
		assert.Assert(t, store.puts <= 2, "%d writes for %d claims", store.puts, n)
		synctest.Wait()
		assert.Equal(t, len(a.active), 0, "an idle shard is still in memory")
	})
}

// keysOfShard returns n keys of the given shard.
func keysOfShard(shard, n int) []string {
	var out []string
	for i := 0; len(out) < n; i++ {
		if key := fmt.Sprint(i); ShardOf(org, key) == shard {
			out = append(out, key)
		}
	}
	return out
}

// The platform is down for long while many claims have unclear writes. The number
// of keys kept to be released later must stay bounded.
func TestLeftKeysAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newMemStore(1)
		a := New(store, "entry-a")
		s := &shard{}
		a.active[0] = s
		for i := range 3 * maxUnreleased {
			a.scheduleRelease(s, []*pending{{kind: take, done: make(chan *verdict.Error, 1)}}, true)
			s.mu.Lock()
			assert.Assert(t, len(s.unreleased) <= maxUnreleased, "%d unreleased keys after failed group %d", len(s.unreleased), i)
			s.mu.Unlock()
		}
		time.Sleep(time.Minute)
		s.mu.Lock()
		defer s.mu.Unlock()
		assert.Equal(t, len(s.unreleased), 0)
	})
}
