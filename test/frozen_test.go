package test

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// A decode engine freezes while one request runs alone on it; the request continues
// on the other engine, which then freezes too. Both resume. Neither crashed, so the
// request must not be identified as one that crashes engines: it is answered when an
// engine is back, and so is the same request later.
func TestFrozenEngineIsNoCrash(t *testing.T) {
	t.Parallel()
	c := newCluster(t, topology{entries: 1, prefill: 1, decode: 2})
	a := request{entry: c.entries[0], prompt: "patient", maxTokens: 150, headers: map[string]string{headerDeadline: "30s"}}
	done := make(chan answer, 1)
	go func() { done <- complete(context.Background(), a) }()
	for range c.decode {
		var busy *node
		eventually(t, 10*time.Second, "the request runs", func() error {
			for _, d := range c.decode {
				if d.backendUp() == nil && len(d.record().Held) == 1 {
					busy = d
					return nil
				}
			}
			return errorf("no engine holds it")
		})
		time.Sleep(300 * time.Millisecond)
		busy.backend.freeze()
		eventually(t, 10*time.Second, "the engine is counted as down", func() error {
			if busy.backendUp() == nil {
				return errorf("it is still up")
			}
			return nil
		})
		defer busy.backend.thaw()
		time.AfterFunc(time.Second, busy.backend.thaw)
	}
	got := <-done
	report(t, "two engines frozen under one request: status %d %s after %s in %s attempts", got.status, got.code, got.took.Round(time.Millisecond), got.attempts)
	assert.Assert(t, got.whole, "%+v", got)
	assert.NilError(t, got.checkAnswer())
	again := complete(context.Background(), request{entry: c.entries[0], prompt: "patient", maxTokens: 5})
	assert.Assert(t, again.whole, "%+v", again)
	c.waitFree(freeBound)
}
