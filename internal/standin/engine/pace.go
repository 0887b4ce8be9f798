package engine

import (
	"context"
	"time"

	"jayford.example/jayford/internal/wait"
)

// lagLimit is the lateness that a pacer makes good. What is later than this was
// idle or stalled and gets no time back.
const lagLimit = 20 * time.Millisecond

// pacer makes steps follow one another at their own times. Plain sleeps would
// each wake late, by a millisecond on a busy machine, and an engine with steps
// of ten milliseconds would lose a tenth of its rate.
type pacer struct{ due time.Time }

// sleep waits until d after the end of the last step. It returns false if ctx
// ended first.
func (p *pacer) sleep(ctx context.Context, d time.Duration) bool {
	now := time.Now()
	if now.Sub(p.due) > lagLimit {
		p.due = now
	}
	p.due = p.due.Add(d)
	if wait.Sleep(ctx, p.due.Sub(now)) {
		return true
	}
	*p = pacer{}
	return false
}
