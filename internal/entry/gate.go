package entry

import (
	"context"
	"sync"
	"time"

	"jayford.example/jayford/internal/policy/admit"
	"jayford.example/jayford/internal/verdict"
)

const (
	// reserving bounds how many requests of a pool ask agents at once. With 16,
	// batch that waited at agents kept people in the queue; without a bound the
	// order of the queue would be lost to the agents' own
	// (docs/MEASUREMENTS.md, round 4).
	maxReserving  = 64
	sweepInterval = 50 * time.Millisecond
	// minPause and maxPause bound how long the queue is held back after all
	// servers that were asked are full; it doubles until one grants.
	minBackoff = 20 * time.Millisecond
	maxBackoff = 640 * time.Millisecond
)

// gate lets the requests of one pool through in the order of the fair-share
// queue, as fast as agents grant reservations.
type admissionGate struct {
	mu sync.Mutex
	// All below is guarded by mu.
	queue     *admit.Queue
	waiters   map[string]*waiter
	shares    *shares
	reserving int
	// refused counts what was refused for want of capacity since demand took it.
	refused uint32
	// paused: until then no request is let through, since all servers that
	// were asked are full. A request that ends lifts it.
	pausedUntil time.Time
	backoff     time.Duration
	timer       *time.Timer
}

type waiter struct {
	admitted chan struct{}
	expired  chan struct{}
	// retry is when to come back. It is set before expired is closed.
	retryAfter time.Duration
}

func newAdmissionGate(q *admit.Queue) *admissionGate {
	return &admissionGate{queue: q, waiters: make(map[string]*waiter)}
}

// enter waits for the item's turn. After it returned nil, leave or again must
// be called.
func (g *admissionGate) enter(ctx context.Context, it admit.Item) *verdict.Error {
	g.mu.Lock()
	if err := g.queue.Push(time.Now(), it); err != nil {
		g.refused++
		g.mu.Unlock()
		return lateAsOverload(err)
	}
	w := g.addWaiterLocked(it.ID)
	g.admitLocked()
	g.mu.Unlock()
	return g.wait(ctx, it, w)
}

// again puts the item back to the head of its organisation, since all servers
// asked were full, and waits anew. Requests behind it are held back for a while.
func (g *admissionGate) reenter(ctx context.Context, it admit.Item) *verdict.Error {
	g.mu.Lock()
	g.reserving--
	g.queue.Requeue(it)
	w := g.addWaiterLocked(it.ID)
	g.backOffLocked(time.Now())
	g.admitLocked()
	g.mu.Unlock()
	return g.wait(ctx, it, w)
}

// leave says that the item's reservation has ended, and whether it was granted.
func (g *admissionGate) leave(it admit.Item, granted bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.reserving--
	if granted {
		g.queue.Served(time.Now(), it.ID)
		g.backoff = 0
	} else {
		g.queue.Settle(it.ID)
	}
	g.admitLocked()
}

// freed says that a request ended, so that a slot may be free.
func (g *admissionGate) slotFreed() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.pausedUntil = time.Time{}
	g.admitLocked()
}

// lost says that a server was lost under a request.
func (g *admissionGate) serverLost() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.queue.Lost(time.Now())
}

// fullLocked notes that all servers asked were full. Requests that find so
// together count once.
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
		// The turn came at the same time: pass it on.
		g.reserving--
		g.queue.Settle(it.ID)
		g.admitLocked()
	default:
		delete(g.waiters, it.ID)
		g.queue.Remove(it.ID)
	}
	return contextVerdict(ctx)
}

// late words the queue's refusal of a request whose first token would come after
// the target: to its caller this is overload, since its own deadline is later.
func lateAsOverload(err *verdict.Error) *verdict.Error {
	if err.Code != verdict.Deadline {
		return err
	}
	return verdict.New(verdict.NotRun, verdict.Overloaded, "The first token can't come in time.").After(max(err.RetryAfter, time.Second))
}

func overloaded(it admit.Item, retry time.Duration) *verdict.Error {
	waited := time.Since(it.Enqueued)
	return verdict.New(verdict.NotRun, verdict.Overloaded,
		"No capacity came free in %s.", waited.Round(time.Millisecond)).After(max(retry, time.Second))
}

// pumpLocked lets through what may go.
func (g *admissionGate) admitLocked() {
	now := time.Now()
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

// armLocked sets the timer for the end of the pause or the next sweep of
// expired items.
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
		g.admitLocked()
	})
}

// length returns how many requests wait.
func (g *admissionGate) length() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.queue.Len()
}

// shares are the organisations' weights of one configuration.
type shares struct{ byOrganisation map[string]float64 }

// setShares takes the weights of the configuration in force, if they are new.
func (g *admissionGate) setShares(s *shares) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.shares == s {
		return
	}
	g.shares = s
	g.queue.SetShares(s.byOrganisation)
}
