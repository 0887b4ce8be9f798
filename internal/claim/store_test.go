package claim

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"jayford.example/jayford/internal/platform"
)

// faults are the fault probabilities of a memStore, per write.
type faults struct {
	// replyLost: the write takes effect and its reply is lost.
	replyLost float64
	// requestLost: the write is lost before it takes effect.
	requestLost float64
	// late: there is no reply, and the write takes effect up to maxDelay later.
	late float64
}

const (
	maxDelay   = 3 * time.Second
	maxLatency = 5 * time.Millisecond
)

// memStore is an in-memory object API with fault injection.
type memStore struct {
	mu sync.Mutex
	// All below is guarded by mu.
	rnd      *rand.Rand
	objects  map[string]platform.Object
	revision uint64
	faults   faults
	down     bool
	tooLarge bool
	puts     int
}

func newMemStore(seed uint64) *memStore {
	return &memStore{rnd: rand.New(rand.NewPCG(seed, seed)), objects: make(map[string]platform.Object)}
}

func (m *memStore) set(f func(m *memStore)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	f(m)
}

func (m *memStore) draw() float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.rnd.Float64()
}

// sleepLatency sleeps for a call's latency, and returns false if ctx ends first.
func (m *memStore) sleepLatency(ctx context.Context) bool {
	select {
	case <-time.After(time.Duration(m.draw() * float64(maxLatency))):
		return true
	case <-ctx.Done():
		return false
	}
}

func (m *memStore) isDown() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.down
}

func (m *memStore) Get(ctx context.Context, kind, name string) (platform.Object, error) {
	if !m.sleepLatency(ctx) || m.isDown() {
		return platform.Object{}, platform.ErrUnavailable
	}
	m.mu.Lock()
	o, ok := m.objects[kind+"/"+name]
	m.mu.Unlock()
	m.sleepLatency(ctx)
	if !ok {
		return platform.Object{}, platform.ErrNotFound
	}
	return o, nil
}

func (m *memStore) Put(ctx context.Context, o platform.Object) (uint64, error) {
	if !m.sleepLatency(ctx) {
		return 0, platform.ErrOutcomeUnknown
	}
	m.mu.Lock()
	m.puts++
	f, down, tooLarge := m.faults, m.down, m.tooLarge
	m.mu.Unlock()
	switch p := m.draw(); {
	case down:
		return 0, platform.ErrUnavailable
	case tooLarge:
		return 0, platform.ErrTooLarge
	case p < f.replyLost:
		_, _ = m.write(o)
		return 0, platform.ErrOutcomeUnknown
	case p < f.replyLost+f.requestLost:
		return 0, platform.ErrOutcomeUnknown
	case p < f.replyLost+f.requestLost+f.late:
		time.AfterFunc(time.Duration(m.draw()*float64(maxDelay)), func() { _, _ = m.write(o) })
		return 0, platform.ErrOutcomeUnknown
	}
	v, err := m.write(o)
	m.sleepLatency(ctx)
	return v, err
}

func (m *memStore) write(o platform.Object) (uint64, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	k := o.Kind + "/" + o.Name
	if m.objects[k].Version != o.Version {
		return 0, platform.ErrConflict
	}
	m.revision++
	o.Version = m.revision
	m.objects[k] = o
	return o.Version, nil
}

func (m *memStore) List(context.Context, string) (platform.Listing, error) {
	return platform.Listing{}, platform.ErrUnavailable
}

func (m *memStore) Watch(context.Context, string, uint64) (platform.Listing, error) {
	return platform.Listing{}, platform.ErrUnavailable
}

func (m *memStore) Delete(context.Context, string, string, uint64) error {
	return platform.ErrUnavailable
}
