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
	// milliseconds, so that it is better to wait for them.
	arrivalTime = 200 * time.Millisecond
	// retryInterval is the time between two looks for requests that have to give way.
	retryInterval = 50 * time.Millisecond
	// largeArriving is the size from which on an arriving request is large.
	largeArriving = 64 << 10
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
}

// Claim is the memory of one arriving request.
type Claim struct {
	pool  *Arriving
	evict func()
	since time.Time

	// All below is guarded by pool.mu.
	bytes           int64
	index           int
	evicted, closed bool
}

// waiter is a claim that waits for n bytes.
type waiter struct {
	claim *Claim
	n     int64
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
	again := time.NewTicker(retryInterval)
	defer again.Stop()
	for {
		select {
		case err := <-w.done:
			return err
		case <-timeout.C:
			return c.pool.giveUp(w)
		case <-again.C:
			c.pool.makeRoom()
		}
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
	case a.used+n <= a.limitLocked(w):
		a.chargeLocked(c, n)
		return nil, nil
	}
	w.done = make(chan error, 1)
	a.waiting = append(a.waiting, w)
	a.makeRoomLocked()
	return w, nil
}

// limitLocked returns the limit for a waiter. Large requests can't use up the memory of small ones.
func (a *Arriving) limitLocked(w *waiter) int64 {
	if w.claim.bytes+w.n >= largeArriving {
		return int64(largeShare * float64(a.limit))
	}
	return a.limit
}

func (a *Arriving) chargeLocked(c *Claim, n int64) {
	c.bytes += n
	a.used += n
	arrivingBytes.AddInt64(n)
}

func (a *Arriving) makeRoom() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.makeRoomLocked()
}

// makeRoomLocked evicts claims until those that wait will have room.
func (a *Arriving) makeRoomLocked() {
	for a.missingLocked() > 0 {
		victim := a.victimLocked()
		if victim == nil {
			return
		}
		victim.evicted = true
		a.leaving += victim.bytes
		a.dropWaitersLocked(victim)
		victim.evict()
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
	for _, c := range a.claims {
		age := now.Sub(c.since)
		if held := float64(c.bytes) * float64(age); !c.evicted && age >= arrivalTime && held > worst {
			victim, worst = c, held
		}
	}
	return victim
}

// dropWaitersLocked ends the waits of a claim.
func (a *Arriving) dropWaitersLocked(c *Claim) {
	a.waiting = slices.DeleteFunc(a.waiting, func(w *waiter) bool {
		if w.claim == c {
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

// admitLocked gives what is free to those who wait, in their order. One that needs more than is free
// doesn't hold up those behind it.
func (a *Arriving) admitLocked() {
	a.waiting = slices.DeleteFunc(a.waiting, func(w *waiter) bool {
		fits := a.used+w.n <= a.limitLocked(w)
		if fits {
			a.chargeLocked(w.claim, w.n)
			w.done <- nil
		}
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
