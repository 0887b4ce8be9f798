// Package follow keeps a process's copy of one kind of object up to date with
// the platform's object API: it lists the kind once and then watches it, and
// lists it anew when the platform has dropped the history in between.
//
// A copy is at most as old as the last answer to a watch, plus the time that a
// watch takes to be found silent, Options.Wait and one call's timeout.
package follow

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/sirupsen/logrus"

	"jayford.example/jayford/internal/platform"
	"jayford.example/jayford/internal/wait"
)

const (
	// retryPause is the mean wait after a failed call. Each call is paid for,
	// and the platform's rates are shared by all processes.
	retryPause = 250 * time.Millisecond
	// gather is the pause after news. Changes come in groups, as when a fleet
	// starts or a zone is emptied, and each would cost a call: with it a start of
	// 41 servers takes a gateway some ten calls in place of forty.
	gather = 250 * time.Millisecond
	// awayWait bounds one watch while the platform is away: its return is seen
	// within it and one call's timeout.
	awayWait = time.Second
	// awayAfter is how long calls must have failed for the platform to count as
	// away: single failures are ordinary.
	awayAfter = 600 * time.Millisecond
)

// Options of a Follower.
type Options struct {
	Store platform.Store
	Kind  string
	// Wait bounds one watch. A connection that went silent is found after it.
	Wait  time.Duration
	Apply func(News)
	Log   *logrus.Entry
}

// News is what one answer of the platform told.
type News struct {
	// Objects are the whole kind if Full, else what changed.
	Objects []platform.Object
	Full    bool
	// Away is how long the platform had been away just before, or 0.
	Away time.Duration
	// Asked is when the answered call began. By then the platform was back: an
	// answer to a watch may come long after it.
	Asked time.Time
}

// Follower follows one kind.
type Follower struct {
	opts     Options
	revision uint64
	listed   bool
	// pages has what was listed so far, and next begins the next page. The
	// revision is the first page's: what changed since comes with the watch.
	pages platform.Listing
	next  string
	// failing is since when calls have failed, zero if the last succeeded.
	failing time.Time
}

// New returns a follower; Run starts it.
func New(o Options) *Follower { return &Follower{opts: o} }

// Run follows until ctx ends. It returns nil.
func (f *Follower) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		if err := f.step(ctx); err != nil && ctx.Err() == nil {
			f.failed(err)
			wait.Sleep(ctx, time.Duration((0.5+rand.Float64())*float64(retryPause)))
		}
	}
	return nil
}

func (f *Follower) step(ctx context.Context) error {
	if !f.listed {
		return f.list(ctx)
	}
	limited, cancel := context.WithTimeout(ctx, f.patience())
	defer cancel()
	asked := time.Now()
	l, err := f.opts.Store.Watch(limited, f.opts.Kind, f.revision)
	if errors.Is(err, platform.ErrCompacted) {
		f.opts.Log.WithField("kind", f.opts.Kind).Info("follow: history dropped, listing anew.")
		f.listed = false
		return nil
	}
	if err != nil {
		return err
	}
	f.apply(News{Objects: l.Objects, Asked: asked}, l.Revision)
	if len(l.Objects) > 0 {
		wait.Sleep(ctx, gather)
	}
	return nil
}

// patience returns how long the next watch may take. While the platform is away
// a call may hang until its end and would see the return only after it.
func (f *Follower) patience() time.Duration {
	if f.failing.IsZero() {
		return f.opts.Wait
	}
	return min(f.opts.Wait, awayWait)
}

func (f *Follower) list(ctx context.Context) error {
	asked := time.Now()
	l, err := f.listAll(ctx)
	if err != nil {
		return err
	}
	f.listed = true
	f.apply(News{Objects: l.Objects, Full: true, Asked: asked}, l.Revision)
	return nil
}

// listAll lists the kind. Pages are applied as they come: when hundreds of
// processes start at once before thousands of objects, the platform needs seconds
// for all pages of all of them, and the first page is enough to begin with. A
// call that fails is repeated, not the pages before it.
func (f *Follower) listAll(ctx context.Context) (platform.Listing, error) {
	pager, ok := f.opts.Store.(platform.Pager)
	if !ok {
		return f.opts.Store.List(ctx, f.opts.Kind)
	}
	for {
		p, err := pager.ListPage(ctx, f.opts.Kind, f.next)
		if err != nil {
			return platform.Listing{}, err
		}
		if f.next == "" {
			f.pages = platform.Listing{Revision: p.Revision}
		}
		f.pages.Objects = append(f.pages.Objects, p.Objects...)
		f.next = p.Next
		if f.next == "" {
			all := f.pages
			f.pages = platform.Listing{}
			return all, nil
		}
		f.opts.Apply(News{Objects: p.Objects, Asked: time.Now()})
	}
}

func (f *Follower) apply(n News, revision uint64) {
	n.Away = f.regained()
	f.revision = max(f.revision, revision)
	if n.Full || len(n.Objects) > 0 || n.Away > 0 {
		f.opts.Apply(n)
	}
}

func (f *Follower) failed(err error) {
	if f.failing.IsZero() {
		f.failing = time.Now()
		f.opts.Log.WithError(err).WithField("kind", f.opts.Kind).Warn("follow: the platform doesn't answer.")
	}
}

// regained returns how long the platform had been away, 0 if it hadn't.
func (f *Follower) regained() time.Duration {
	if f.failing.IsZero() {
		return 0
	}
	away := time.Since(f.failing)
	f.failing = time.Time{}
	f.opts.Log.WithField("kind", f.opts.Kind).WithField("away", away.String()).Info("follow: the platform answers again.")
	if away < awayAfter {
		return 0
	}
	return away
}
