package follow

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a contact that is reported across an outage in which entries lapsed.
func TestContactEndsWithAnOutage(t *testing.T) {
	begin := time.Unix(1000, 0)
	at := func(seconds float64) time.Time { return begin.Add(time.Duration(seconds * float64(time.Second))) }
	var c Contact
	assert.Equal(t, c.For(at(0)), time.Duration(0))
	for _, s := range []float64{0, 3, 6.2, 9} {
		c.answered(at(s))
	}
	assert.Equal(t, c.For(at(10)), 10*time.Second)
	assert.Equal(t, c.For(at(12.6)), time.Duration(0), "no answer for 3.6 s")
	c.answered(at(13))
	assert.Equal(t, c.For(at(14)), time.Second)
}

// Guards against a contact that is reported across a short outage in which all calls
// failed: entries may lapse in it as well.
func TestContactEndsWithFailedCalls(t *testing.T) {
	begin := time.Unix(1000, 0)
	at := func(seconds float64) time.Time { return begin.Add(time.Duration(seconds * float64(time.Second))) }
	var c Contact
	c.answered(at(0))
	c.answered(at(2))
	c.failed(at(2.2))
	c.failed(at(2.6))
	assert.Equal(t, c.For(at(2.7)), time.Duration(0), "calls fail")
	c.answered(at(4.6))
	assert.Equal(t, c.For(at(5)), 400*time.Millisecond)

	// A single failure is no outage.
	c.failed(at(6))
	c.answered(at(6.3))
	assert.Equal(t, c.For(at(7)), 2400*time.Millisecond)
}
