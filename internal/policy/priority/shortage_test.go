package priority

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against headroom that is left for less urgent requests, or when nobody needs it any
// more.
func TestShortageConcernsLessUrgentRequestsForAWhile(t *testing.T) {
	now := time.Unix(1000, 0)
	var s Shortage
	assert.Assert(t, !s.Yields(now, Last))
	s.Record(1, now.Add(time.Second))
	s.Record(1, now.Add(time.Millisecond))
	assert.Assert(t, !s.Yields(now, First) && !s.Yields(now, 1) && s.Yields(now, 2) && s.Yields(now, Last))
	assert.Assert(t, !s.Yields(now.Add(time.Second), 2))
}
