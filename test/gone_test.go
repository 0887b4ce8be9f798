package test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"jayford.example/jayford/internal/settings"
	enginestandin "jayford.example/jayford/internal/standin/engine"
)

// freeBound is how soon engine memory must be free after its caller has
// disconnected.
const freeBound = 3 * time.Second

// A caller closes its connection during prefill or decode. The engine must not keep
// memory for a request that nobody waits for: the entry sees the close on the socket
// and cancels the call to the agent, which cancels it at the engine.
func TestCallerGoneFreesEngines(t *testing.T) {
	stages := []struct {
		name   string
		after  time.Duration
		words  int
		stream bool
	}{
		{"prefill", 300 * time.Millisecond, 6000, false},
		{"decode", 500 * time.Millisecond, 10, false},
		{"decode streamed", 500 * time.Millisecond, 10, true},
	}
	c := newCluster(t, topology{entries: 1, prefill: 1, decode: 1, engine: enginestandin.Options{PrefillPerThousand: 200 * time.Millisecond}})
	for _, s := range stages {
		t.Run(s.name, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(context.Background(), s.after)
			defer cancel()
			got := complete(ctx, request{entry: c.entries[0], prompt: prompt(s.name, s.words), maxTokens: 2000, stream: s.stream})
			assert.Assert(t, got.err != nil)
			took := c.waitFree(freeBound)
			report(t, "caller gone in %s: all free after %s", s.name, took.Round(time.Millisecond))
		})
	}
}

// All slots are taken and more callers wait in the queue; then all disconnect. The
// queue must drop them: the next request gets a slot at once and no request of
// theirs runs later.
func TestCallersGoneWhileQueued(t *testing.T) {
	c := newCluster(t, topology{
		entries: 1, prefill: 1, decode: 1,
		engine: enginestandin.Options{DecodeSlots: 2},
		agent:  func(a *settings.Agent) { a.Slots = 2 },
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan answer, 20)
	for i := range 20 {
		go func() {
			done <- complete(ctx, request{entry: c.entries[0], prompt: fmt.Sprintf("queued %d", i), maxTokens: 1000})
		}()
	}
	time.Sleep(time.Second)
	cancel()
	for range 20 {
		<-done
	}
	took := c.waitFree(freeBound)
	_, before := c.startCounts()
	got := complete(context.Background(), request{entry: c.entries[0], prompt: "after them", maxTokens: 4})
	assert.NilError(t, got.err)
	assert.Assert(t, got.whole)
	_, after := c.startCounts()
	assert.Equal(t, len(after), len(before)+1, "a request whose caller had left ran later")
	report(t, "20 callers gone, 2 running: all free after %s", took.Round(time.Millisecond))
}

// An entry is killed or frozen while its requests run, so it sends no cancellation.
// The agents get no renewal of the grants and must free the memory within the lapse
// time.
func TestEntryLostFreesEngines(t *testing.T) {
	for _, how := range []string{"killed", "frozen"} {
		t.Run(how, func(t *testing.T) {
			c := newCluster(t, topology{entries: 1, prefill: 1, decode: 1})
			h := &history{}
			wg := c.load(h, 8, 10*time.Millisecond, func(i int) request {
				return request{prompt: prompt(fmt.Sprint("lost ", i), 300*(i%4)), maxTokens: 2000, timeout: 6 * time.Second}
			})
			time.Sleep(700 * time.Millisecond)
			if how == "killed" {
				c.entries[0].kill()
			} else {
				c.entries[0].freeze()
			}
			took := c.waitFree(5 * time.Second)
			report(t, "entry %s with 8 requests: all free after %s", how, took.Round(time.Millisecond))
			if how == "frozen" {
				c.entries[0].thaw()
			}
			wg.Wait()
			c.checkHistory(h)
		})
	}
}
