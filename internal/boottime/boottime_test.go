package boottime

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestNowAdvances(t *testing.T) {
	began := Now()
	time.Sleep(5 * time.Millisecond)
	passed := Now() - began
	assert.Assert(t, passed >= 5*time.Millisecond, passed)
	assert.Assert(t, passed < time.Minute, passed)
}
