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

// Guards against the spells in which an engine is 2.5 times slower, against impossible times, and
// against a latency of each prefill that counts as work.
func TestTokenTimeIsRobust(t *testing.T) {
	var d Demand
	d.RecordAlone(1000, 90*time.Millisecond)
	perToken, latency := d.Times()
	assert.Equal(t, perToken, defaultTokenTime)
	assert.Equal(t, latency, time.Duration(0))
	for i := range 30 {
		tokens := 1000 + 700*(i%11)
		took := 100*time.Millisecond + time.Duration(tokens)*18*time.Microsecond
		if i%7 == 0 {
			took *= 5
			took /= 2
		}
		d.RecordAlone(tokens, took)
	}
	d.RecordAlone(0, time.Second)
	d.RecordAlone(1, time.Second)
	d.RecordAlone(1000, -1)
	perToken, latency = d.Times()
	assert.Assert(t, perToken > 16*time.Microsecond && perToken < 21*time.Microsecond, perToken)
	assert.Assert(t, latency > 85*time.Millisecond && latency < 115*time.Millisecond, latency)
	assert.Equal(t, len(d.prefills), maxPrefills)
}

// Guards against a mean of few prefills, or of old ones.
func TestRecentPrefills(t *testing.T) {
	var d Demand
	now := time.Unix(1000, 0)
	d.RecordPrefill(now, time.Second)
	d.RecordPrefill(now, 2*time.Second)
	assert.Equal(t, d.Recent(now), time.Duration(0))
	d.RecordPrefill(now.Add(time.Second), 3*time.Second)
	assert.Equal(t, d.Recent(now.Add(time.Second)), 2*time.Second)
	assert.Equal(t, d.Recent(now.Add(recentWindow)), time.Duration(0))
	d.RecordPrefill(now.Add(recentWindow), time.Second)
	assert.Equal(t, len(d.recent), 2)
}
