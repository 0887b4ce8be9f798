package agent

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	pb "jayford.example/jayford/api/jayfordv1"
	"jayford.example/jayford/internal/agent/grant"
)

// run is the work of one started attempt. It belongs to the agent rather than
// to the RPC that started it, so that an entry that lost its connection can
// attach to it over a new one.
type run struct {
	key    grant.Key
	ctx    context.Context
	cancel context.CancelFunc
	// abort ends ctx with a cause that determines the reason of the refusal.
	abort context.CancelCauseFunc
	// sent: the engine may know the attempt, so the run must be cancelled
	// there.
	sent atomic.Bool

	mu sync.Mutex
	// The fields below are guarded by mu.
	imported bool
	tokens   []*pb.Token
	end      *pb.DecodeEnd
	prefill  *pb.PrefillReply
	refusal  *grant.Refusal
	// stopped is why the core stopped the run; lost means that its server went
	// down.
	stopped *grant.Refusal
	lost    bool
	ended   bool
	// lastLine is when the engine's last line arrived, or when r was sent; next
	// is the index of the next token.
	lastLine time.Time
	next     int
	// behindSince is when the engine was first found ahead of what r has
	// received.
	behindSince time.Time
	// changed is closed and replaced on each update.
	changed chan struct{}
}

func newRun(life context.Context, k grant.Key, limit time.Duration) *run {
	r := &run{key: k, changed: make(chan struct{})}
	limited, cancel := context.WithTimeout(life, limit)
	r.ctx, r.abort = context.WithCancelCause(limited)
	r.cancel = cancel
	return r
}

// update runs f under the lock and wakes all watchers, unless the run has
// ended.
func (r *run) update(f func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.ended {
		return
	}
	f()
	close(r.changed)
	r.changed = make(chan struct{})
}

// stop records why the core stopped the run and cancels its work. failRun then
// answers the watchers and frees the slot once the engine has confirmed.
func (r *run) stop(why *grant.Refusal) {
	r.mu.Lock()
	r.stopped = why
	r.mu.Unlock()
	r.cancel()
}

func (r *run) markLost(why *grant.Refusal) {
	r.update(func() {
		r.lost = true
		r.refusal = why
		r.ended = true
	})
	r.cancel()
}

func (r *run) fail(why *grant.Refusal) {
	r.update(func() {
		r.refusal = why
		r.ended = true
	})
}

func (r *run) stopReason() *grant.Refusal {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.stopped
}

func (r *run) isLost() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lost
}

func (r *run) hasTokens() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.tokens) > 0
}

// progress is a snapshot of a run for its watchers.
type progress struct {
	imported bool
	tokens   []*pb.Token
	end      *pb.DecodeEnd
	prefill  *pb.PrefillReply
	refusal  *grant.Refusal
	ended    bool
	changed  <-chan struct{}
}

// watch returns the tokens from index on and the other state of the run.
func (r *run) watch(index uint32) progress {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := progress{
		imported: r.imported, end: r.end, prefill: r.prefill,
		refusal: r.refusal, ended: r.ended, changed: r.changed,
	}
	skip := 0
	if len(r.tokens) > 0 && index > r.tokens[0].GetIndex() {
		skip = min(int(index-r.tokens[0].GetIndex()), len(r.tokens))
	}
	p.tokens = r.tokens[skip:len(r.tokens):len(r.tokens)]
	return p
}

// runRequest holds the arguments of beginRun.
type runRequest struct {
	key   grant.Key
	entry string
	// attach: only attach to a running attempt, never start it.
	attach bool
	// reserve takes the slot in the same step, unless the attempt already has
	// its grant; nil for none.
	reserve *grant.Request
	limit   time.Duration
}

// beginRun starts the work of a grant, or returns its existing run. If there is
// neither it returns the refusal. granted reports whether the attempt had a
// grant.
func (a *Agent) beginRun(o runRequest, work func(r *run)) (r *run, granted bool, refusal *grant.Refusal) {
	a.step(func(c *grant.Core, now time.Duration) {
		owned := c.Owns(o.key, o.entry)
		if a.runs[o.key] != nil && owned {
			r, granted = a.runs[o.key], true
			return
		}
		if o.attach {
			refusal = c.RefuseUnknown(now, o.key)
			return
		}
		if !owned && o.reserve != nil {
			if refusal = reserveNow(c, now, *o.reserve); refusal != nil {
				return
			}
			owned = true
		}
		granted = owned
		if r, refusal = a.startRun(c, now, o.key, o.entry, o.limit); refusal == nil {
			a.work.Go(func() { work(r) })
		}
	})
	return r, granted, refusal
}

// reserveNow takes a slot without waiting. Reservation and start are one step
// of the core: a second copy of the message finds the run or nothing, never a
// grant that nobody starts.
func reserveNow(c *grant.Core, now time.Duration, q grant.Request) *grant.Refusal {
	q.Wait = 0
	if _, refusal := c.Reserve(now, q); refusal != nil {
		countRefusal(refusal.Reason)
		return refusal
	}
	countGrant()
	return nil
}

// startRun is called within a step.
func (a *Agent) startRun(c *grant.Core, now time.Duration, k grant.Key, entry string, limit time.Duration) (*run, *grant.Refusal) {
	if refusal := c.Start(now, k, entry); refusal != nil {
		countRefusal(refusal.Reason)
		return nil, refusal
	}
	r := newRun(a.workCtx, k, limit)
	a.runs[k] = r
	return r, nil
}

// send marks r as sent. It returns false if the core has stopped r.
func (a *Agent) send(r *run) bool {
	ok := false
	r.lineReceived(r.next)
	a.step(func(c *grant.Core, now time.Duration) { ok = c.Send(now, r.key) })
	r.sent.Store(ok)
	return ok
}

// done ends r: the backend server no longer runs it. If keep is above 0, the
// result is retained that long, and so is the run, for entries that attach.
func (a *Agent) done(r *run, keep time.Duration) {
	r.cancel()
	a.step(func(c *grant.Core, now time.Duration) {
		if a.runs[r.key] != r {
			return
		}
		if keep <= 0 {
			delete(a.runs, r.key)
		}
		c.Done(now, r.key, keep)
	})
}

// cancelAll stops all runs when a graceful stop has run out of time.
func (a *Agent) cancelAll() {
	a.mu.Lock()
	runs := make([]*run, 0, len(a.runs))
	for _, r := range a.runs {
		runs = append(runs, r)
	}
	a.mu.Unlock()
	for _, r := range runs {
		r.stop(&grant.Refusal{Reason: pb.Reason_REASON_LEAVING, Verdict: pb.Verdict_VERDICT_MAY_HAVE_RUN})
	}
}
