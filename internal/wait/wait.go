// Package wait has waits that end early with their context.
package wait

import (
	"context"
	"time"
)

// Sleep waits for d, and reports whether ctx lasted so long.
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
