// Package wait provides a sleep that ends early with its context.
package wait

import (
	"context"
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
