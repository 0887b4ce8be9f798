package follow

import (
	"math"
	"testing"

	"gotest.tools/v3/assert"

	"jayford.example/jayford/internal/platform"
)

// Guards against an object whose revision can't be true: the copy would count as newer than all
// later ones, so that no peer could confirm it.
func TestOddRevisionIsNotNewerThanTheAnswer(t *testing.T) {
	odd := []platform.Object{{Name: "a", Version: math.MaxUint64}, {Name: "b", Version: 8}}
	listed := Copy{}.list(platform.Listing{Revision: 9, Objects: odd})
	assert.Equal(t, listed, Copy{Position: 9, Changed: 9, Newest: 8})
	watched := listed.advance(platform.Listing{Revision: 12, Objects: odd})
	assert.Equal(t, watched, Copy{Position: 12, Changed: 12, Newest: 8})
}
