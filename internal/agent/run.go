package agent

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	pb "jayford.example/jayford/api/jayfordv1"
	"jayford.example/jayford/internal/agent/grant"
)

// run is the work of one started attempt. It belongs to the agent and not to
// the RPC that began it, so that an entry whose connection went silent finds
// it again over a new one.
type run struct {
	key    grant.Key
	ctx    context.Context
	cancel context.CancelFunc
	// abort ends ctx with a cause that becomes the reason of the run's end.
	abort context.CancelCauseFunc
	// sent: the engine may know the attempt, so its end needs a cancel there.
	sent atomic.Bool

	mu sync.Mutex
	// The fields below are guarded by mu.
	imported bool
	tokens   []*pb.Token
	end      *pb.DecodeEnd
	prefill  *pb.PrefillReply
	refusal  *grant.Refusal
	// stopped is why the core cancelled the run; lost that its server is gone.
	stopped *grant.Refusal
	lost    bool
	ended   bool
	// heard is when the engine's last line came, or when r was sent; next the
	// index of the next token.
	heard time.Time
	next  int
	// doubted is when the engine was first found ahead of what was heard.
	doubted time.Time
	// changed is closed and replaced with each change.
	changed chan struct{}
}

func newRun(life context.Context, k grant.Key, limit time.Duration) *run {
	r := &run{key: k, changed: make(chan struct{})}
	limited, cancel := context.WithTimeout(life, limit)
	r.ctx, r.abort = context.WithCancelCause(limited)
	r.cancel = cancel
	return r
}

// change runs f under the lock and wakes all who watch, unless the run ended.
func (r *run) change(f func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.ended {
		return
	}
	f()
	close(r.changed)
	r.changed = make(chan struct{})
}

// stop tells the watchers at once that the attempt is over; its work ends when
// the engine is rid of it.
func (r *run) stop(why *grant.Refusal) {
	r.mu.Lock()
	r.stopped = why
	r.mu.Unlock()
	r.cancel()
}

func (r *run) lose(why *grant.Refusal) {
	r.change(func() {
		r.lost = true
		r.refusal = why
		r.ended = true
	})
	r.cancel()
}

func (r *run) fail(why *grant.Refusal) {
	r.change(func() {
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

func (r *run) begun() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.tokens) > 0
}

// progress is what a watcher sees of a run.
type progress struct {
	imported bool
	tokens   []*pb.Token
	end      *pb.DecodeEnd
	prefill  *pb.PrefillReply
	refusal  *grant.Refusal
	ended    bool
	changed  <-chan struct{}
}

// watch returns the tokens from index on, and what else is known.
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

// workOrder is what an entry asks beginRun for.
type workOrder struct {
	key   grant.Key
	entry string
	// attach: never start, only attach.
	attach bool
	// reserve takes the slot in the same step, unless the attempt has its grant;
	// nil for none.
	reserve *grant.Request
	limit   time.Duration
}

// beginRun starts the work of a grant, or returns the run of it that is there.
// It returns the refusal if there is neither, and whether the attempt had a grant.
func (a *Agent) beginRun(o workOrder, work func(r *run)) (r *run, granted bool, no *grant.Refusal) {
	a.step(func(c *grant.Core, now time.Duration) {
		owned := c.Owns(o.key, o.entry)
		if a.runs[o.key] != nil && owned {
			r, granted = a.runs[o.key], true
			return
		}
		if o.attach {
			no = c.RefuseUnknown(now, o.key)
			return
		}
		if !owned && o.reserve != nil {
			if no = reserveNow(c, now, *o.reserve); no != nil {
				return
			}
			owned = true
		}
		granted = owned
		if r, no = a.startRun(c, now, o.key, o.entry, o.limit); no == nil {
			a.work.Go(func() { work(r) })
		}
	})
	return r, granted, no
}

// reserveNow takes a slot without a wait. Reservation and start are one step of
// the core: a second copy of the message finds the run or nothing, never a
// grant that nobody starts.
func reserveNow(c *grant.Core, now time.Duration, q grant.Request) *grant.Refusal {
	q.Wait = 0
	if _, no := c.Reserve(now, q); no != nil {
		countRefusal(no.Reason)
		return no
	}
	countGrant()
	return nil
}

// startRun is called within a step.
func (a *Agent) startRun(c *grant.Core, now time.Duration, k grant.Key, entry string, limit time.Duration) (*run, *grant.Refusal) {
	if no := c.Start(now, k, entry); no != nil {
		countRefusal(no.Reason)
		return nil, no
	}
	r := newRun(a.life, k, limit)
	a.runs[k] = r
	return r, nil
}

// send marks r as sent. If it returns false the core has stopped r.
func (a *Agent) send(r *run) bool {
	ok := false
	r.hear(r.next)
	a.step(func(c *grant.Core, now time.Duration) { ok = c.Send(now, r.key) })
	r.sent.Store(ok)
	return ok
}

// done ends r: the backend server holds nothing but a result, if keep is above
// 0. The run stays for those who attach as long as the result.
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

// cancelAll ends all runs when a graceful stop has run out of time.
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
