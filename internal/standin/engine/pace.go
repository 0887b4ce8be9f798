package engine

import (
	"context"
	"time"

	"jayford.example/jayford/internal/wait"
)

// maxCatchUp is the maximum lateness that a pacer catches up on. A greater lateness
// means that the engine was idle or stalled, which isn't made up for.
const maxCatchUp = 20 * time.Millisecond

// pacer runs steps on a schedule without accumulating drift. Plain sleeps would
// each wake up late, by a millisecond on a busy machine, which would cost an engine
// with steps of 10 ms a tenth of its rate.
type pacer struct{ due time.Time }

// sleep waits until d after the scheduled end of the previous step. It returns
// false if ctx ends first.
func (p *pacer) sleep(ctx context.Context, d time.Duration) bool {
	now := time.Now()
	if now.Sub(p.due) > maxCatchUp {
		p.due = now
	}
	p.due = p.due.Add(d)
	if wait.Sleep(ctx, p.due.Sub(now)) {
		return true
	}
	*p = pacer{}
	return false
}
