// Package wait provides a sleep that ends early with its context, and random pauses.
package wait

import (
	"context"
	"math/rand/v2"
	"time"
)

// Sleep waits for d. It returns false if ctx ends before that.
func Sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}

// Jittered returns a random duration between half of d and one and a half of it, so that those
// that wait for the same event don't act together.
func Jittered(d time.Duration) time.Duration {
	return time.Duration((0.5 + rand.Float64()) * float64(d))
}
