package follow

import (
	"context"
	"time"

	"jayford.example/jayford/internal/platform"
)

// Changes are all changes of a kind behind one revision, up to another.
type Changes struct {
	After, Revision uint64
	Objects         []platform.Object
}

// SetRelayed makes Run hold no watches, as other processes pass changes on, until it is called
// with false. A call that is under way ends as it would.
func (f *Follower) SetRelayed(relayed bool) {
	f.mu.Lock()
	before := f.relayed
	f.relayed = relayed
	f.mu.Unlock()
	if before != relayed {
		f.signal()
	}
}

// signal makes a Run that waits look again.
func (f *Follower) signal() {
	select {
	case f.wake <- struct{}{}:
	default:
	}
}

// awaitTurn waits while the copy is complete, calls don't fail and others pass changes on.
func (f *Follower) awaitTurn(ctx context.Context) {
	for f.isIdle() {
		select {
		case <-ctx.Done():
			return
		case <-f.wake:
		}
	}
}

func (f *Follower) isIdle() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.relayed && f.listed && f.failingSince.IsZero() && f.pendingOutage.duration == 0
}

// ApplyRelayed applies changes that another process passed on, and reports whether changes
// before them are missing here. It confirms nothing. Without SetRelayed, before the first
// listing and while calls fail it does nothing: an outage's end must come with the changes
// behind it.
func (f *Follower) ApplyRelayed(x Changes) (missing bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case !f.relayed || !f.listed || !f.failingSince.IsZero() || f.pendingOutage.duration > 0:
		return false
	case x.Revision <= f.copy.Position:
		return false
	case x.After > f.copy.Position:
		return true
	}
	f.copy = f.copy.advance(platform.Listing{Revision: x.Revision, Objects: x.Objects})
	f.notifyLocked(Update{Objects: x.Objects, StartedAt: time.Now()})
	f.opts.Applied(f.copy)
	return false
}
