package memory

import (
	"errors"
	"slices"
	"sync"
	"time"
)

// Errors of Claim.Grow. In both cases the claim keeps what it had.
var (
	// ErrEvicted: the request has to give way, and must be ended.
	ErrEvicted = errors.New("memory: the request gave way to others")
	// ErrFull: no memory came free in time, or there will never be enough.
	ErrFull = errors.New("memory: no room for the request")
)

const (
	// growTimeout bounds the wait for memory.
	growTimeout = time.Second
	// arrivalTime is how long a request may take to arrive before it has to give way. Most take a few
	// milliseconds, so that it is better to wait for them. The more requests wait, the shorter it is:
	// it is halved at manyWaiting of them, and minArrivalTime at the least.
	arrivalTime    = 200 * time.Millisecond
	minArrivalTime = 100 * time.Millisecond
	manyWaiting    = 64
	// lookInterval is the time between two looks for requests that have to give way.
	lookInterval = 10 * time.Millisecond
	// largeArriving is the size from which on an arriving request is large.
	largeArriving = 32 << 10
)

// Arriving is the memory of requests that haven't arrived completely.
type Arriving struct {
	limit int64
	now   func() time.Time

	mu sync.Mutex
	// All below is guarded by mu: the charged bytes, the open claims, each at its index, and those who
	// wait for memory, in their order.
	used    int64
	claims  []*Claim
	waiting []*waiter
	// leaving are the bytes of the claims that have been evicted and are still open.
	leaving int64
	// looking: a look for claims that have to give way is due.
	looking bool
}

// Claim is the memory of one arriving request.
type Claim struct {
	pool  *Arriving
	evict func()

	// All below is guarded by pool.mu. since is when the claim was opened, later by the time that it
	// has waited for memory.
	since           time.Time
	bytes           int64
	index           int
	evicted, closed bool
	// wait is its current wait, nil if there is none.
	wait *waiter
}

// waiter is a claim that waits for n bytes.
type waiter struct {
	claim *Claim
	n     int64
	began time.Time
	done  chan error
}

// NewArriving returns an empty pool with a limit in bytes.
func NewArriving(limit int64, now func() time.Time) *Arriving {
	return &Arriving{limit: limit, now: now}
}

// Open begins a claim without bytes. evict is called at most once, when the request has to give way;
// it must not block.
func (a *Arriving) Open(evict func()) *Claim {
	c := &Claim{pool: a, evict: evict, since: a.now()}
	a.mu.Lock()
	defer a.mu.Unlock()
	c.index = len(a.claims)
	a.claims = append(a.claims, c)
	return c
}

// Used returns the charged bytes.
func (a *Arriving) Used() int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.used
}

// Grow charges n more bytes. If they aren't free it waits, and those requests give way that take long
// to arrive.
func (c *Claim) Grow(n int64) error {
	w, err := c.request(n)
	if w == nil {
		return err
	}
	timeout := time.NewTimer(growTimeout)
	defer timeout.Stop()
	select {
	case err := <-w.done:
		return err
	case <-timeout.C:
		return c.pool.giveUp(w)
	}
}

// request charges n bytes or returns a waiter for them.
func (c *Claim) request(n int64) (*waiter, error) {
	a := c.pool
	a.mu.Lock()
	defer a.mu.Unlock()
	w := &waiter{claim: c, n: n}
	switch {
	case c.evicted || c.closed:
		return nil, ErrEvicted
	case c.bytes+n > a.limitLocked(w):
		return nil, ErrFull
	case a.used+n <= a.limitLocked(w) && (c.bytes > 0 || !a.smallWaitLocked()):
		a.chargeLocked(c, n)
		return nil, nil
	}
	w.began, w.done = a.now(), make(chan error, 1)
	a.enqueueLocked(w)
	if !a.looking {
		a.makeRoomLocked()
	}
	return w, nil
}

// smallWaitLocked reports whether a small request waits, before which none may begin.
func (a *Arriving) smallWaitLocked() bool {
	return slices.ContainsFunc(a.waiting, func(w *waiter) bool { return !w.isLarge() })
}

// enqueueLocked adds a waiter. Requests that hold something already go before those that haven't begun.
func (a *Arriving) enqueueLocked(w *waiter) {
	w.claim.wait = w
	at := len(a.waiting)
	if w.claim.bytes > 0 {
		if i := slices.IndexFunc(a.waiting, func(x *waiter) bool { return x.claim.bytes == 0 }); i >= 0 {
			at = i
		}
	}
	a.waiting = slices.Insert(a.waiting, at, w)
}

// ageLocked returns for how long a request has been arriving, without what it has waited for memory.
func (c *Claim) ageLocked(now time.Time) time.Duration {
	if c.wait != nil {
		now = c.wait.began
	}
	return now.Sub(c.since)
}

// isLarge reports whether the request will be large. pool.mu must be held.
func (w *waiter) isLarge() bool { return w.claim.bytes+w.n >= largeArriving }

// limitLocked returns the limit for a waiter. Large requests can't use up the memory of small ones.
func (a *Arriving) limitLocked(w *waiter) int64 {
	if w.isLarge() {
		return int64(largeShare * float64(a.limit))
	}
	return a.limit
}

func (a *Arriving) chargeLocked(c *Claim, n int64) {
	c.bytes += n
	a.used += n
	arrivingBytes.AddInt64(n)
}

func (a *Arriving) look() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.looking = false
	a.makeRoomLocked()
}

// makeRoomLocked evicts claims until those that wait will have room. If there are too few that are
// late, it is called again.
func (a *Arriving) makeRoomLocked() {
	for a.missingLocked() > 0 {
		victim := a.victimLocked()
		if victim == nil {
			break
		}
		victim.evicted = true
		a.leaving += victim.bytes
		a.dropWaitersLocked(victim)
		victim.evict()
	}
	if len(a.waiting) > 0 && !a.looking {
		a.looking = true
		time.AfterFunc(lookInterval, a.look)
	}
}

// missingLocked returns how many bytes those that wait lack, besides what is about to come free.
func (a *Arriving) missingLocked() int64 {
	used, missing := a.used-a.leaving, int64(0)
	for _, w := range a.waiting {
		used += w.n
		missing = max(missing, used-a.limitLocked(w))
	}
	return missing
}

// victimLocked returns the claim that has held most for longest, nil if there is none that is late.
func (a *Arriving) victimLocked() *Claim {
	var victim *Claim
	worst := 0.0
	now := a.now()
	late := max(minArrivalTime, arrivalTime*manyWaiting/time.Duration(manyWaiting+len(a.waiting)))
	for _, c := range a.claims {
		age := c.ageLocked(now)
		if held := float64(c.bytes) * float64(age); !c.evicted && age >= late && held > worst {
			victim, worst = c, held
		}
	}
	return victim
}

// dropWaitersLocked ends the waits of a claim.
func (a *Arriving) dropWaitersLocked(c *Claim) {
	a.waiting = slices.DeleteFunc(a.waiting, func(w *waiter) bool {
		if w.claim == c {
			c.wait = nil
			w.done <- ErrEvicted
		}
		return w.claim == c
	})
}

// giveUp ends a wait that took too long.
func (a *Arriving) giveUp(w *waiter) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	i := slices.Index(a.waiting, w)
	if i < 0 {
		return <-w.done
	}
	a.waiting = slices.Delete(a.waiting, i, i+1)
	w.claim.wait = nil
	return ErrFull
}

// Shrink returns n bytes.
func (c *Claim) Shrink(n int64) {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	if !c.closed {
		c.shrinkLocked(n)
	}
}

func (c *Claim) shrinkLocked(n int64) {
	a := c.pool
	c.bytes -= n
	a.used -= n
	arrivingBytes.AddInt64(-n)
	if c.evicted {
		a.leaving -= n
	}
	a.admitLocked()
}

// admitLocked gives what is free to those who wait, in their order. A large request that needs more
// doesn't hold up those behind it.
func (a *Arriving) admitLocked() {
	blocked := false
	a.waiting = slices.DeleteFunc(a.waiting, func(w *waiter) bool {
		fits := !blocked && a.used+w.n <= a.limitLocked(w)
		if fits {
			w.claim.since, w.claim.wait = w.claim.since.Add(a.now().Sub(w.began)), nil
			a.chargeLocked(w.claim, w.n)
			w.done <- nil
		}
		blocked = blocked || !fits && !w.isLarge()
		return fits
	})
}

// Bytes returns what is charged.
func (c *Claim) Bytes() int64 {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	return c.bytes
}

// Close returns all bytes. The claim doesn't grow afterwards. It may be called more than once.
func (c *Claim) Close() {
	a := c.pool
	a.mu.Lock()
	defer a.mu.Unlock()
	if c.closed {
		return
	}
	c.closed = true
	last := len(a.claims) - 1
	a.claims[c.index] = a.claims[last]
	a.claims[c.index].index = c.index
	a.claims[last] = nil
	a.claims = a.claims[:last]
	a.dropWaitersLocked(c)
	c.shrinkLocked(c.bytes)
}
