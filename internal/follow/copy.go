package follow

import (
	"context"
	"errors"
	"time"

	"jayford.example/jayford/internal/platform"
	"jayford.example/jayford/internal/wait"
)

const (
	// pollTimeout bounds the first try of a Poll, and pollRetryTimeout the second one, which a
	// slow store may need.
	pollTimeout      = 400 * time.Millisecond
	pollRetryTimeout = time.Second
	// maxPollPause bounds the pause after polls that failed. It doubles from retryDelay.
	maxPollPause = time.Second
	// shortWatchTimeout bounds the watch that stands for a poll, where the store has none: it
	// is held for half of that.
	shortWatchTimeout = 300 * time.Millisecond
)

// Copy describes a copy of all objects of one kind.
type Copy struct {
	// Position is the store's revision up to which the copy has all changes.
	Position uint64
	// Changed is at least the revision of the newest change of the kind up to Position, and
	// Newest at most that. A listing doesn't show when the last object was deleted, and a
	// watch doesn't tell the revision of a deletion. An object's revision beyond Position
	// tells neither: it was changed after the first page, or the revision can't be true.
	Changed, Newest uint64
}

// list returns the copy after a complete listing.
func (x Copy) list(l platform.Listing) Copy {
	position := max(x.Position, l.Revision)
	out := Copy{Position: position, Changed: position}
	for _, o := range l.Objects {
		if o.Version <= position {
			out.Newest = max(out.Newest, o.Version)
		}
	}
	return out
}

// advance returns the copy after a watch's answer.
func (x Copy) advance(l platform.Listing) Copy {
	x.Position = max(x.Position, l.Revision)
	for _, o := range l.Objects {
		if o.Deleted || o.Version == 0 || o.Version > x.Position {
			x.Changed = x.Position
			continue
		}
		x.Changed, x.Newest = max(x.Changed, o.Version), max(x.Newest, o.Version)
	}
	return x
}

// position returns the revision of the copy, and whether it is complete.
func (f *Follower) position() (uint64, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.copy.Position, f.listed
}

// IsFailing reports whether the last call failed.
func (f *Follower) IsFailing() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !f.failingSince.IsZero()
}

// Poll asks the store once whether there are changes behind the copy, beside the watch that
// Run holds. It does nothing before the first listing, while calls fail, during another poll and
// for a while after polls that failed, and reports whether it asked. A poll that isn't answered is
// repeated once, on a new connection. Its failure says nothing, as that of a watch does.
func (f *Follower) Poll(ctx context.Context) bool {
	after, ok := f.beginPoll()
	if !ok {
		return false
	}
	c := f.poll(ctx, after, pollTimeout)
	if c.timedOut {
		c = f.poll(ctx, after, pollRetryTimeout)
		if c.answered() {
			// The first connection was silent, and the watch's may be, too.
			f.interruptWatch()
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.polling = false
	f.pauseLocked(!c.answered())
	switch {
	case c.err == nil && f.listed:
		f.applyChangesLocked(c)
	case errors.Is(c.err, platform.ErrCompacted):
		// Run, which may hold no watch, lists again.
		f.listed = false
		f.signal()
	}
	return true
}

func (f *Follower) beginPoll() (after uint64, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.listed || f.polling || !f.failingSince.IsZero() || time.Now().Before(f.pollAfter) {
		return 0, false
	}
	f.polling = true
	return f.copy.Position, true
}

// pauseLocked sets when the next poll may begin: polls come with each tick of a caller, and at all
// processes in an outage.
func (f *Follower) pauseLocked(failed bool) {
	if !failed {
		f.pollPause, f.pollAfter = 0, time.Time{}
		return
	}
	f.pollPause = min(maxPollPause, max(retryDelay, 2*f.pollPause))
	f.pollAfter = time.Now().Add(wait.Jittered(f.pollPause))
}

func (f *Follower) poll(ctx context.Context, after uint64, timeout time.Duration) call {
	poller, ok := f.opts.Store.(platform.Poller)
	if !ok {
		return f.watch(ctx, after, shortWatchTimeout)
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	c := newCall()
	c.after = after
	c.page.Listing, c.err = poller.Poll(ctx, f.opts.Kind, after)
	c.setTimedOut(ctx)
	return c
}

// applyChangesLocked applies the answer to a watch or a poll, and reports whether it had
// changes. Two calls may be under way at a time. An answer up to a revision
// that the copy has reached meanwhile brings nothing new; one beyond it repeats changes that
// the copy has, in their order, and then adds to them.
func (f *Follower) applyChangesLocked(c call) (changed bool) {
	at := c.page.Revision
	switch {
	case at > 0 && at < c.after:
		f.setBackLocked(at)
		return false
	case c.after > f.copy.Position:
		// The store was set back while the call was under way.
		return false
	case c.after < f.copy.Position && at <= f.copy.Position:
		f.opts.Confirmed(c.bootAt)
		return false
	}
	before := f.copy.Changed
	f.copy = f.copy.advance(c.page.Listing)
	f.notifyLocked(Update{Objects: c.page.Objects, StartedAt: c.startedAt})
	f.opts.Applied(f.copy)
	if at > before && len(c.page.Objects) > 0 {
		f.opts.Changed(Changes{After: before, Revision: at, Objects: c.page.Objects})
	}
	if at > 0 {
		// A listing without a revision is that of a call that ended before it was answered.
		f.opts.Confirmed(c.bootAt)
	}
	return len(c.page.Objects) > 0
}

// setBackLocked begins anew with a store that is at an earlier revision than the copy, as it
// was restored: the revisions behind that one name other changes now.
func (f *Follower) setBackLocked(at uint64) {
	f.opts.Log.WithField("kind", f.opts.Kind).WithField("revision", at).WithField("before", f.copy.Position).
		Warn("follow: the platform is at an earlier revision; listing again.")
	f.copy, f.listed = Copy{}, false
	f.signal()
}
