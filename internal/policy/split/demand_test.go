package split

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a rate that lags behind the demand, as the first correction follows after 1.5 s.
func TestRateCountsTheLastSecond(t *testing.T) {
	var d Demand
	now := time.Unix(1000, 0)
	assert.Equal(t, d.Rate(now), 0.0)
	assert.Equal(t, d.Prompt(), 0.0)
	for range 10 {
		d.Count(now, 5000)
		now = now.Add(200 * time.Millisecond)
	}
	assert.Equal(t, d.Rate(now), 20000.0)
	assert.Equal(t, d.Prompt(), 5000.0)
	assert.Equal(t, d.Rate(now.Add(time.Second)), 0.0)
	assert.Equal(t, len(d.arrivals), 0)
}

// Guards against the spells in which an engine is 2.5 times slower, and against impossible times.
func TestTokenTimeIsRobust(t *testing.T) {
	var d Demand
	d.RecordAlone(1000, 90*time.Millisecond)
	assert.Equal(t, d.TokenTime(), defaultTokenTime)
	for i := range 30 {
		took := 25 * time.Millisecond
		if i%7 == 0 {
			took *= 5
			took /= 2
		}
		d.RecordAlone(1000, took)
	}
	d.RecordAlone(0, time.Second)
	d.RecordAlone(1, time.Second)
	d.RecordAlone(1000, -1)
	assert.Equal(t, d.TokenTime(), 25*time.Microsecond)
	assert.Equal(t, len(d.times), maxTokenTimes)
}
