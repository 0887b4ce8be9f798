package test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	enginestandin "jayford.example/jayford/internal/standin/engine"
)

// A request crashes each engine that decodes it, beside healthy requests, and its
// caller keeps resending it through both entries. It must be blocked after three
// crashes: two beside other requests, after which it runs alone, and one alone,
// which identifies it as the cause. The healthy requests must get whole answers:
// with one engine down and one reserved the other two have enough capacity.
func TestCrashingRequestIsConvicted(t *testing.T) {
	c := newCluster(t, topology{entries: 2, prefill: 1, decode: 4, engine: enginestandin.Options{
		CrashMarker: "poison", RestartAfter: 500 * time.Millisecond,
	}})
	phase := enginestandin.CrashInDecode
	for _, n := range c.agents() {
		n.control(enginestandin.Control{CrashPhase: &phase})
	}
	h := &history{}
	wg := c.load(h, 60, 50*time.Millisecond, func(i int) request {
		return request{prompt: fmt.Sprint("innocent ", i), maxTokens: 20}
	})
	time.Sleep(300 * time.Millisecond)
	var last answer
	for i := range 6 {
		last = complete(context.Background(), request{entry: c.entries[i%2], prompt: "the poison prompt", maxTokens: 20})
		time.Sleep(200 * time.Millisecond)
	}
	wg.Wait()
	assert.Equal(t, last.code, "crashes-servers", "%+v", last)
	crashes := 0
	for _, n := range c.decode {
		for _, e := range n.record().Entries {
			if e.Kind == enginestandin.EntryCrash {
				crashes++
			}
		}
	}
	report(t, "crashes until the request was refused everywhere: %d; innocent: %s", crashes, h.describe())
	assert.Assert(t, crashes <= 3, "%d crashes", crashes)
	c.checkHistory(h)
	assert.Equal(t, h.tally(), tally{whole: 60}, "%s", h.describe())
}
