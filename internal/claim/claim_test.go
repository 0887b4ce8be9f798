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
