package config

import (
	"testing"

	"gotest.tools/v3/assert"

	"jayford.example/jayford/internal/platform"
)

// A resync from a peer delivers an object newer than the revision up to which the
// store is complete. Followers at that revision must still receive it, while a
// follower that has all objects receives none.
func TestSinceSendsWhatIsNewerThanTheRevision(t *testing.T) {
	s := NewStore(nil)
	s.Apply([]platform.Object{organisation("a", 3)}, 3, true)
	assert.Equal(t, len(s.Since(3).Objects), 0)
	s.Apply([]platform.Object{organisation("b", 7)}, 0, false)
	u := s.Since(3)
	assert.Equal(t, u.Revision, uint64(3))
	assert.DeepEqual(t, u.Objects, []platform.Object{organisation("b", 7)})
	assert.Equal(t, len(s.Since(7).Objects), 0)
	s.Apply([]platform.Object{deletion("b", 9)}, 9, false)
	assert.DeepEqual(t, s.Since(7).Objects, []platform.Object{deletion("b", 9)})
	assert.Equal(t, len(s.Objects()), 2)
}
