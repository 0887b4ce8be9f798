package agent

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Entries refuse people at once, or reserve decode too late, though the server
// keeps its rate. Three prompts of 1,000 tokens come together and end one after
// another: the second and third waited for those before them, and that wait must
// not count as the server's speed.
func TestPrefillRateLeavesOutTheQueue(t *testing.T) {
	var m timing
	begin := time.Now()
	for i := 1; i <= 3; i++ {
		m.prefill(1000, begin, begin.Add(time.Duration(i)*100*time.Millisecond))
	}
	assert.Equal(t, m.perThousand, 100*time.Millisecond)
	m.prefill(1000, begin.Add(time.Second), begin.Add(1100*time.Millisecond))
	assert.Equal(t, m.perThousand, 100*time.Millisecond)
}
