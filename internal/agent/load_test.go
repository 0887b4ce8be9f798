package agent

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Three prompts of 1,000 tokens arrive together and are prefilled one after
// another. The queueing time of the second and third must not count as server
// speed, or entries refuse requests or reserve decode slots too late.
func TestPrefillRateExcludesQueue(t *testing.T) {
	var m timing
	begin := time.Now()
	for i := 1; i <= 3; i++ {
		m.prefill(1000, begin, begin.Add(time.Duration(i)*100*time.Millisecond))
	}
	assert.Equal(t, m.perThousand, 100*time.Millisecond)
	m.prefill(1000, begin.Add(time.Second), begin.Add(1100*time.Millisecond))
	assert.Equal(t, m.perThousand, 100*time.Millisecond)
}
