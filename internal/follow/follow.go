// Package follow keeps a process's copy of one kind of object up to date with
// the platform's object API: it lists the kind once and then watches it, and
// lists it again when the platform has compacted the history in between.
//
// A copy is at most as old as the last answer to a watch, plus the time until a
// hung watch is detected (Options.Wait) and one call's timeout. Poll makes it younger, and finds
// that a connection went silent sooner.
package follow

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"jayford.example/jayford/internal/boottime"
	"jayford.example/jayford/internal/platform"
	"jayford.example/jayford/internal/wait"
)

const (
	// retryDelay is the mean delay after a failed call, and before the kind is listed
	// again. Each call has a cost, and the platform's rate limits are shared by all
	// processes.
	retryDelay = 250 * time.Millisecond
	// batchDelay is the pause after a change. Changes come in bursts, as when a fleet
	// starts or a zone is drained, and each would cost a call: with the pause, a
	// start of 41 servers takes a gateway some ten calls instead of forty.
	batchDelay = 250 * time.Millisecond
	// outageWatchTimeout bounds one watch during an outage, and probeInterval is the pause
	// between two probes sent meanwhile: it bounds how late a recovery is detected.
	outageWatchTimeout = time.Second
	probeInterval      = 300 * time.Millisecond
	// probeName is the name of the object that probes read; it doesn't exist.
	probeName = "none"
	// outageThreshold is how long calls must have failed to count as an outage: single
	// failures are ordinary.
	outageThreshold = 600 * time.Millisecond
)

// Options of a Follower.
type Options struct {
	Store platform.Store
	Kind  string
	// Wait bounds one watch; a half-open connection is detected after it. If Availability
	// is set, watches without changes must be answered within MaxAnswerGap.
	Wait  time.Duration
	Apply func(Update)
	// Applied is called after the content of an answer was applied, with what the copy has
	// then, and before Confirmed. It may be nil.
	Applied func(Copy)
	// Confirmed is called after the content of an answer was applied, with the boot time
	// (package boottime) at which the answered call began: nothing that was written
	// before that is missing. It may be nil.
	Confirmed func(at time.Duration)
	// Changed is called after changes of the store's own answers were applied, with all behind
	// the newest change before. It may be nil.
	Changed func(Changes)
	// Availability records answers and failures; it may be nil.
	Availability *Availability
	Log          *logrus.Entry
}

// Update is the content of one answer of the platform.
type Update struct {
	// Objects holds all objects of the kind if Full, otherwise those that changed.
	Objects []platform.Object
	Full    bool
	// Outage is the duration of an outage that ended just before, or 0.
	Outage time.Duration
	// StartedAt is when the answered call began; after an outage, when the first answered
	// call began. The platform was available by then, whereas the answer to a watch
	// may arrive long after it.
	StartedAt time.Time
}

// Follower follows one kind of object.
type Follower struct {
	opts Options

	mu sync.Mutex
	// copy describes what was applied, and listed is set while it comes from a complete
	// listing. polling is set during a Poll. failingSince is when calls began to fail, zero if
	// the last one was answered, and pendingOutage is an outage that has ended but wasn't
	// passed to Apply yet. All are guarded by mu, as are calls of Apply, Applied and Confirmed.
	copy            Copy
	listed, polling bool
	// pollPause is the pause after the last poll, 0 if it was answered, and pollAfter its end.
	// Both are guarded by mu.
	pollPause time.Duration
	pollAfter time.Time
	// relayed is set while others pass changes on, guarded by mu.
	relayed       bool
	failingSince  time.Time
	pendingOutage endedOutage
	// endWatch ends the watch that Run holds, nil without one. It is guarded by mu.
	endWatch context.CancelFunc

	// wake signals that what Run waits for may have changed.
	wake chan struct{}

	// The fields below are used only by Run.

	// pages collects the pages listed so far, and next is where the next page begins.
	// The revision is the first page's: later changes come with the watch.
	pages platform.Listing
	next  string
	// pagesAt is the boot time at which the call for the first page began.
	pagesAt time.Duration
}

// endedOutage is an outage that lasted for duration; recoveredAt is when the first
// answered call began.
type endedOutage struct {
	duration    time.Duration
	recoveredAt time.Time
}

// call is one call to the platform and its result.
type call struct {
	startedAt time.Time
	// bootAt is startedAt on the clock of package boottime.
	bootAt time.Duration
	// isList: the call lists. Otherwise it is a watch or a poll, and after is the revision of
	// the copy when it began.
	isList bool
	after  uint64
	page   platform.Page
	err    error
	// timedOut: there was no answer within the call's timeout. interrupted: the call was ended before.
	timedOut, interrupted bool
}

func newCall() call { return call{startedAt: time.Now(), bootAt: boottime.Now()} }

// answered reports whether the platform answered, even if only that it compacted
// the history.
func (c call) answered() bool { return c.err == nil || errors.Is(c.err, platform.ErrCompacted) }

// setTimedOut is called behind a call with a context that has its timeout.
func (c *call) setTimedOut(ctx context.Context) {
	c.timedOut = !c.answered() && errors.Is(ctx.Err(), context.DeadlineExceeded)
}

// New returns a follower; Run starts it.
func New(o Options) *Follower {
	if o.Availability == nil {
		o.Availability = &Availability{}
	}
	if o.Applied == nil {
		o.Applied = func(Copy) {}
	}
	if o.Confirmed == nil {
		o.Confirmed = func(time.Duration) {}
	}
	if o.Changed == nil {
		o.Changed = func(Changes) {}
	}
	return &Follower{opts: o, wake: make(chan struct{}, 1)}
}

// Run follows until ctx ends and then returns nil.
func (f *Follower) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		f.awaitTurn(ctx)
		if ctx.Err() != nil {
			break
		}
		c := f.callPlatform(ctx)
		if ctx.Err() != nil {
			break
		}
		if c.interrupted {
			continue
		}
		if !c.answered() {
			f.opts.Availability.failed(time.Now())
			f.failed(c.err)
			wait.Sleep(ctx, wait.Jittered(retryDelay))
			continue
		}
		f.answered(c.startedAt)
		switch changed := f.apply(c); {
		case c.err != nil:
			// The next watch may find its history gone again.
			wait.Sleep(ctx, wait.Jittered(retryDelay))
		case changed:
			wait.Sleep(ctx, batchDelay)
		}
	}
	return nil
}

// callPlatform makes the next call: a list, a watch, or a watch with probes during an
// outage.
func (f *Follower) callPlatform(ctx context.Context) call {
	switch position, listed := f.position(); {
	case !listed:
		return f.list(ctx)
	case f.IsFailing():
		return f.awaitRecovery(ctx, position)
	default:
		return f.holdWatch(ctx, position)
	}
}

// holdWatch is a watch that interruptWatch ends. The result of one that was ended doesn't count,
// as stores differ in what they return then.
func (f *Follower) holdWatch(ctx context.Context, revision uint64) call {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	f.setEndWatch(cancel)
	defer f.setEndWatch(nil)
	c := f.watch(ctx, revision, f.opts.Wait)
	c.interrupted = ctx.Err() != nil
	return c
}

func (f *Follower) setEndWatch(end context.CancelFunc) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.endWatch = end
}

// interruptWatch makes Run hold its watch anew: the one that it holds may never be answered.
func (f *Follower) interruptWatch() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.endWatch != nil {
		f.endWatch()
	}
}

func (f *Follower) watch(ctx context.Context, revision uint64, timeout time.Duration) call {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	c := newCall()
	c.after = revision
	c.page.Listing, c.err = f.opts.Store.Watch(ctx, f.opts.Kind, revision)
	c.setTimedOut(ctx)
	return c
}

// awaitRecovery watches with a short timeout and probes the platform meanwhile. A lost
// watch hangs until its timeout, and waiting for it would delay the detection of the
// recovery. Probes are small: several watches at once would each transfer all changes,
// and none of them would finish in time on a slow link.
func (f *Follower) awaitRecovery(ctx context.Context, position uint64) call {
	limited, cancel := context.WithCancel(ctx)
	defer cancel()
	watched, recovered := make(chan call, 1), make(chan time.Time, 1)
	go func() { watched <- f.watch(limited, position, min(f.opts.Wait, outageWatchTimeout)) }()
	go f.probe(limited, recovered)
	select {
	case c := <-watched:
		return c
	case startedAt := <-recovered:
		cancel()
		f.answered(startedAt)
		return f.holdWatch(ctx, position)
	}
}

// answered records the answer to a call that began at startedAt.
func (f *Follower) answered(startedAt time.Time) {
	f.opts.Availability.answered(time.Now())
	f.endOutage(startedAt)
}

// probe reads a missing object each probeInterval until ctx ends, and sends to recovered
// when the first answered call began.
func (f *Follower) probe(ctx context.Context, recovered chan<- time.Time) {
	for wait.Sleep(ctx, probeInterval) {
		go func() {
			startedAt := time.Now()
			if _, err := f.opts.Store.Get(ctx, f.opts.Kind, probeName); err != nil && !errors.Is(err, platform.ErrNotFound) {
				return
			}
			select {
			case recovered <- startedAt:
			default:
			}
		}()
	}
}

// list requests the next page of the kind, or all of it if the platform has no pages.
// Pages are applied as they arrive: when hundreds of processes start at once and there
// are thousands of objects, the platform needs seconds to send all pages to all of them,
// and the first page is enough to start with. A failed call is repeated without the
// pages before it.
func (f *Follower) list(ctx context.Context) call {
	c := newCall()
	c.isList = true
	if pager, ok := f.opts.Store.(platform.Pager); ok {
		c.page, c.err = pager.ListPage(ctx, f.opts.Kind, f.next)
		return c
	}
	c.page.Listing, c.err = f.opts.Store.List(ctx, f.opts.Kind)
	return c
}

// apply applies an answer and reports whether it was a watch's with changes.
func (f *Follower) apply(c call) (changed bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case c.err != nil:
		f.opts.Log.WithField("kind", f.opts.Kind).Info("follow: the platform compacted the history; listing again.")
		f.listed = false
		return false
	case c.isList:
		f.applyPageLocked(c)
		return false
	case !f.listed:
		// A poll found that the store was set back.
		return false
	}
	return f.applyChangesLocked(c)
}

func (f *Follower) applyPageLocked(c call) {
	if f.next == "" {
		f.pages, f.pagesAt = platform.Listing{Revision: c.page.Revision}, c.bootAt
	}
	f.pages.Objects = append(f.pages.Objects, c.page.Objects...)
	f.next = c.page.Next
	if f.next != "" {
		f.opts.Apply(Update{Objects: c.page.Objects, StartedAt: c.startedAt})
		return
	}
	all := f.pages
	f.pages, f.listed = platform.Listing{}, true
	f.copy = f.copy.list(all)
	f.notifyLocked(Update{Objects: all.Objects, Full: true, StartedAt: c.startedAt})
	f.opts.Applied(f.copy)
	f.opts.Confirmed(f.pagesAt)
}

// notifyLocked calls Apply with n and with an outage that ended before it, if any.
func (f *Follower) notifyLocked(n Update) {
	if f.pendingOutage.duration > 0 {
		n.Outage, n.StartedAt = f.pendingOutage.duration, f.pendingOutage.recoveredAt
		f.pendingOutage = endedOutage{}
	}
	if n.Full || len(n.Objects) > 0 || n.Outage > 0 {
		f.opts.Apply(n)
	}
}

func (f *Follower) failed(err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.failingSince.IsZero() {
		f.failingSince = time.Now()
		f.opts.Log.WithError(err).WithField("kind", f.opts.Kind).Warn("follow: the platform doesn't answer.")
	}
}

// endOutage ends a period of failed calls; startedAt is when the first answered call
// began.
func (f *Follower) endOutage(startedAt time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.failingSince.IsZero() {
		return
	}
	duration := time.Since(f.failingSince)
	f.failingSince = time.Time{}
	f.opts.Log.WithField("kind", f.opts.Kind).WithField("away", duration.String()).Info("follow: the platform answers again.")
	if duration >= outageThreshold {
		f.pendingOutage = endedOutage{duration: duration, recoveredAt: startedAt}
	}
}
