package follow

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against an availability that is reported across an outage in which entries
// lapsed.
func TestAvailabilityEndsWithAnOutage(t *testing.T) {
	begin := time.Unix(1000, 0)
	at := func(seconds float64) time.Time { return begin.Add(time.Duration(seconds * float64(time.Second))) }
	var c Availability
	assert.Equal(t, c.AvailableFor(at(0)), time.Duration(0))
	for _, s := range []float64{0, 3, 6.2, 9} {
		c.answered(at(s))
	}
	assert.Equal(t, c.AvailableFor(at(10)), 10*time.Second)
	assert.Equal(t, c.AvailableFor(at(12.6)), time.Duration(0), "no answer for 3.6 s")
	c.answered(at(13))
	assert.Equal(t, c.AvailableFor(at(14)), time.Second)
}

// Guards against an availability that is reported across a short outage in which all calls
// failed: entries may lapse in it as well.
func TestAvailabilityEndsWithFailedCalls(t *testing.T) {
	begin := time.Unix(1000, 0)
	at := func(seconds float64) time.Time { return begin.Add(time.Duration(seconds * float64(time.Second))) }
	var c Availability
	c.answered(at(0))
	c.answered(at(2))
	c.failed(at(2.2))
	c.failed(at(2.6))
	assert.Equal(t, c.AvailableFor(at(2.7)), time.Duration(0), "calls fail")
	c.answered(at(4.6))
	assert.Equal(t, c.AvailableFor(at(5)), 400*time.Millisecond)

	// A single failure is no outage.
	c.failed(at(6))
	c.answered(at(6.3))
	assert.Equal(t, c.AvailableFor(at(7)), 2400*time.Millisecond)
}
