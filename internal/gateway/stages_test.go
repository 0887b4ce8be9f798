package gateway

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"jayford.example/jayford/internal/catalog"
	"jayford.example/jayford/internal/platform"
)

// memoryStore keeps objects in memory, with conditional writes.
type memoryStore struct {
	platform.Store
	mu       sync.Mutex
	revision uint64
	objects  map[string]platform.Object
}

func newMemoryStore() *memoryStore { return &memoryStore{objects: map[string]platform.Object{}} }

func (m *memoryStore) Get(_ context.Context, kind, name string) (platform.Object, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	o, ok := m.objects[kind+"/"+name]
	if !ok {
		return o, platform.ErrNotFound
	}
	return o, nil
}

func (m *memoryStore) Put(_ context.Context, o platform.Object) (uint64, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.objects[o.Kind+"/"+o.Name].Version != o.Version {
		return 0, platform.ErrConflict
	}
	m.revision++
	o.Version = m.revision
	m.objects[o.Kind+"/"+o.Name] = o
	return o.Version, nil
}

// gatewayWithEngines returns a gateway with ten engines, six of them in the prefill
// stage.
func gatewayWithEngines(t *testing.T, f *fakeBackend) *Gateway {
	t.Helper()
	g := newGateway(t, f)
	var list []catalog.Server
	for i := range 10 {
		s := catalog.Server{ID: fmt.Sprint("e", i), Service: modelService, Address: "10.0.0.2:1", AvailabilityZone: "a", Stage: catalog.Prefill}
		if i >= 6 {
			s.Stage = catalog.Decode
		}
		list = append(list, s)
	}
	g.SetServers(list)
	return g
}

func runStages(t *testing.T, g *Gateway, store platform.Store, self string, d time.Duration) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), d)
	defer cancel()
	assert.NilError(t, g.RunStages(ctx, StageOptions{
		Store: store, Share: 0.2, Term: 2 * time.Second, Self: self + "#1", Instance: self,
		Peers: func() []string { return []string{"g1", "g2"} },
	}))
}

func (f *fakeBackend) orderCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.orders)
}

// The system starts with most engines in the prefill stage. The gateway that creates
// the lease must change four of the six, once each, with its fencing token.
func TestLeaseCreatorSplitsTheEnginesOnce(t *testing.T) {
	f := &fakeBackend{report: Report{Stage: catalog.Prefill}}
	g := gatewayWithEngines(t, f)
	runStages(t, g, newMemoryStore(), "g1", 2*time.Second)
	assert.Equal(t, f.orderCount(), 4)
	for _, o := range f.orders {
		assert.Equal(t, o.Stage, catalog.Decode)
		assert.Equal(t, o.Holder, "g1")
		assert.Assert(t, o.Fence > 0)
	}
}

// The holder of the lease crashes after it sent orders. Its successor must not send
// orders at once: engines that don't check fencing tokens would see two holders take
// turns, and the engines are in use, so the split must be off for a while first.
func TestSuccessorWaits(t *testing.T) {
	store := newMemoryStore()
	first := &fakeBackend{report: Report{Stage: catalog.Prefill}}
	runStages(t, gatewayWithEngines(t, first), store, "g1", 1200*time.Millisecond)
	assert.Assert(t, first.orderCount() > 0)
	second := &fakeBackend{report: Report{Stage: catalog.Prefill}}
	runStages(t, gatewayWithEngines(t, second), store, "g2", 5*time.Second)
	assert.Equal(t, second.orderCount(), 0)
}
