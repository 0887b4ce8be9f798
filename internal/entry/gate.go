package entry

import (
	"context"
	"sync"
	"time"

	"jayford.example/jayford/internal/policy/admit"
	"jayford.example/jayford/internal/verdict"
)

const (
	// maxReserving bounds how many requests of a pool try to reserve at agents
	// at once. With 16, batch requests waiting at agents blocked interactive
	// ones in the queue; without a bound the agents' own queues would determine
	// the order instead of this one.
	maxReserving  = 64
	sweepInterval = 50 * time.Millisecond
	// minBackoff and maxBackoff bound how long admission pauses after all
	// servers tried were full. The pause doubles until a reservation succeeds.
	minBackoff = 20 * time.Millisecond
	maxBackoff = 640 * time.Millisecond
)

// admissionGate admits the requests of one pool in the order of the fair-share
// queue, as fast as agents grant reservations.
type admissionGate struct {
	// now is the clock, which tests replace.
	now func() time.Time

	mu sync.Mutex
	// All below is guarded by mu.
	queue   *admit.Queue
	waiters map[string]*waiter
	shares  *shares
	// reserving counts the admitted requests that haven't left the gate.
	reserving int
	// refused counts the refusals for lack of capacity since the last call of
	// demand.
	refused uint32
	// pausedUntil suspends admission after all servers tried were full. A
	// request that ends clears it.
	pausedUntil time.Time
	backoff     time.Duration
	timer       *time.Timer
}

type waiter struct {
	admitted chan struct{}
	expired  chan struct{}
	// retryAfter is the delay suggested to the caller. It is set before expired
	// is closed.
	retryAfter time.Duration
}

func newAdmissionGate(q *admit.Queue) *admissionGate {
	return &admissionGate{now: time.Now, queue: q, waiters: make(map[string]*waiter)}
}

// enter queues the item and waits until it is admitted. After it returned nil,
// leave or reenter must be called.
func (g *admissionGate) enter(ctx context.Context, it admit.Item) *verdict.Error {
	g.mu.Lock()
	// One time for both: a pause of this process in between isn't a queue that doesn't
	// drain.
	now := g.now()
	if err := g.queue.Push(now, it); err != nil {
		g.refused++
		g.mu.Unlock()
		return lateAsOverload(err)
	}
	w := g.addWaiterLocked(it.ID)
	g.admitLocked(now)
	g.mu.Unlock()
	return g.wait(ctx, it, w)
}

// reenter puts an admitted item that found all servers full back at the head of
// its organisation's queue, pauses admission, and waits again.
func (g *admissionGate) reenter(ctx context.Context, it admit.Item) *verdict.Error {
	g.mu.Lock()
	g.reserving--
	g.queue.Requeue(it)
	w := g.addWaiterLocked(it.ID)
	now := g.now()
	g.backOffLocked(now)
	g.admitLocked(now)
	g.mu.Unlock()
	return g.wait(ctx, it, w)
}

// leave ends an admitted item's attempt to reserve; granted reports whether it
// succeeded.
func (g *admissionGate) leave(it admit.Item, granted bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.reserving--
	now := g.now()
	if granted {
		g.queue.Served(now, it.ID)
		g.backoff = 0
	} else {
		g.queue.Settle(it.ID)
	}
	g.admitLocked(now)
}

// slotFreed resumes admission after the request with this id ended, since a slot may be
// free.
func (g *admissionGate) slotFreed(id string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.now()
	g.queue.Ended(now, id)
	g.pausedUntil = time.Time{}
	g.admitLocked(now)
}

// serverLost tells the queue that a server of the pool was lost.
func (g *admissionGate) serverLost() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.queue.Lost(g.now())
}

// backOffLocked pauses admission because all servers tried were full. Requests
// that find this during a pause don't extend it.
func (g *admissionGate) backOffLocked(now time.Time) {
	if now.Before(g.pausedUntil) {
		return
	}
	g.backoff = min(max(2*g.backoff, minBackoff), maxBackoff)
	g.pausedUntil = now.Add(g.backoff)
}

func (g *admissionGate) addWaiterLocked(id string) *waiter {
	w := &waiter{admitted: make(chan struct{}), expired: make(chan struct{})}
	g.waiters[id] = w
	return w
}

func (g *admissionGate) wait(ctx context.Context, it admit.Item, w *waiter) *verdict.Error {
	select {
	case <-w.admitted:
		return nil
	case <-w.expired:
		return overloaded(it, w.retryAfter)
	case <-ctx.Done():
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	select {
	case <-w.admitted:
		// Admitted at the same time: pass the place on.
		g.reserving--
		g.queue.Settle(it.ID)
		g.admitLocked(g.now())
	default:
		delete(g.waiters, it.ID)
		g.queue.Remove(it.ID)
	}
	return contextVerdict(ctx)
}

// lateAsOverload converts the queue's refusal of a request that would miss the
// TTFT target. The caller's own deadline is later, so it is reported as overload.
func lateAsOverload(err *verdict.Error) *verdict.Error {
	if err.Code != verdict.Deadline {
		return err
	}
	return verdict.New(verdict.NotRun, verdict.Overloaded, "The first token can't come in time.").WithRetryAfter(max(err.RetryAfter, time.Second))
}

func overloaded(it admit.Item, retry time.Duration) *verdict.Error {
	waited := time.Since(it.Enqueued)
	return verdict.New(verdict.NotRun, verdict.Overloaded,
		"No capacity came free in %s.", waited.Round(time.Millisecond)).WithRetryAfter(max(retry, time.Second))
}

// admitLocked expires overdue items and admits as many others as the bound and
// the pause allow.
func (g *admissionGate) admitLocked(now time.Time) {
	for _, it := range g.queue.Expire(now) {
		if w := g.waiters[it.ID]; w != nil {
			delete(g.waiters, it.ID)
			g.refused++
			w.retryAfter = g.queue.RetryAfter(now, it)
			close(w.expired)
		}
	}
	for g.reserving < maxReserving && !now.Before(g.pausedUntil) {
		it, ok := g.queue.Pop(now)
		if !ok {
			break
		}
		w := g.waiters[it.ID]
		if w == nil {
			g.queue.Settle(it.ID)
			continue
		}
		delete(g.waiters, it.ID)
		g.reserving++
		close(w.admitted)
	}
	g.armTimerLocked(now)
}

// armTimerLocked schedules the next admitLocked, at the end of the pause or after
// sweepInterval, whichever comes first.
func (g *admissionGate) armTimerLocked(now time.Time) {
	if g.queue.Len() == 0 {
		return
	}
	d := sweepInterval
	if left := g.pausedUntil.Sub(now); left > 0 {
		d = min(d, left)
	}
	if g.timer != nil {
		g.timer.Stop()
	}
	g.timer = time.AfterFunc(d, func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		g.admitLocked(g.now())
	})
}

// length returns the number of queued requests.
func (g *admissionGate) length() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.queue.Len()
}

// shares are the fair-share weights of the organisations in one configuration.
type shares struct{ byOrganisation map[string]float64 }

// setShares applies the weights of the current configuration if they changed.
func (g *admissionGate) setShares(s *shares) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.shares == s {
		return
	}
	g.shares = s
	g.queue.SetShares(s.byOrganisation)
}
