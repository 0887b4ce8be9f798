package claim

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"jayford.example/jayford/internal/verdict"
)

const org = "crew"

// newSkewed returns a Claimer of entry i whose clock is i seconds behind.
func newSkewed(store *memStore, i int) *Claimer {
	c := New(store, fmt.Sprint("entry-", i))
	c.now = func() time.Time { return time.Now().Add(-time.Duration(i) * time.Second) }
	return c
}

// The clock of the entry that claims is behind that of the one that gave the
// key back. A mark in the future would look like a claim.
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

// A shard has outgrown the platform's largest value. Claims on it are refused
// at once; trying until the bound would only load the platform.
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
