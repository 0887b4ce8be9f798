package gateway

import (
	"context"
	"errors"
	"maps"
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"jayford.example/jayford/internal/board"
	"jayford.example/jayford/internal/catalog"
	"jayford.example/jayford/internal/verdict"
)

// errPausing marks an exchange that wasn't begun, as its server has asked for a pause.
var errPausing = errors.New("gateway: the server has asked for a pause")

// pauses has the ends of the pauses that servers have asked of this gateway, by their keys.
type pauses struct {
	log *logrus.Entry
	// nonEmpty is whether until has entries. Mostly it has none, and each choice of a
	// server checks this without a lock.
	nonEmpty atomic.Bool

	mu sync.Mutex
	// until is guarded by mu.
	until map[string]time.Time
}

func newPauses(b *board.Board, log *logrus.Entry) *pauses {
	p := &pauses{log: log, until: map[string]time.Time{}}
	b.AddView("pauses", p.dump)
	return p
}

func (p *pauses) dump() any {
	p.mu.Lock()
	defer p.mu.Unlock()
	return maps.Clone(p.until)
}

// update records that a server asked for a pause. A pause is never shortened.
func (p *pauses) update(s catalog.Server, d time.Duration, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	maps.DeleteFunc(p.until, func(_ string, until time.Time) bool { return !now.Before(until) })
	key := serverKey(s)
	if until := now.Add(d); until.After(p.until[key]) {
		if _, ok := p.until[key]; !ok {
			p.log.WithFields(logrus.Fields{"server": key, "pause": milliseconds(d)}).Info("gateway: server asked for a pause.")
		}
		p.until[key] = until
	}
	p.nonEmpty.Store(len(p.until) > 0)
	pausingServers.Set(uint64(len(p.until)))
}

// remaining returns the rest of a server's pause, 0 if it has none.
func (p *pauses) remaining(key string, now time.Time) time.Duration {
	if !p.nonEmpty.Load() {
		return 0
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return max(0, p.until[key].Sub(now))
}

// refuseIfPausing returns the refusal of an exchange with a server that pauses, nil if it
// doesn't.
func (p *pauses) refuseIfPausing(s catalog.Server) *verdict.Error {
	if !p.nonEmpty.Load() {
		return nil
	}
	d := p.remaining(serverKey(s), time.Now())
	if d <= 0 {
		return nil
	}
	return verdict.Wrap(errPausing, verdict.NotRun, verdict.Overloaded, "The server wants no requests now.").WithRetryAfter(d)
}

// allPausingError returns the refusal of a request for which every server pauses, or is at
// its rate limit meanwhile, with the soonest end. It returns nil if one server can be used
// or none pauses.
func (g *Gateway) allPausingError(list []candidate) *verdict.Error {
	if !g.pauses.nonEmpty.Load() || len(list) == 0 {
		return nil
	}
	now := time.Now()
	soonest, pausing := time.Duration(math.MaxInt64), false
	for i := range list {
		pause := g.pauses.remaining(list[i].key, now)
		d := max(pause, g.limits.delay(list[i].key, now))
		if d <= 0 {
			return nil
		}
		pausing = pausing || pause > 0
		soonest = min(soonest, d)
	}
	if !pausing {
		return nil
	}
	return verdict.New(verdict.NotRun, verdict.Overloaded, "Each server of the service has asked for a pause.").WithRetryAfter(soonest)
}

// allEnginesPause reports whether no decode engine can be asked for a reservation, as all
// pause.
func (g *Gateway) allEnginesPause(j *job) bool {
	return g.allPausingError(g.usable(j, catalog.Decode)) != nil
}

// pausingBackend is a Backend that makes no exchange of any kind with servers that pause:
// whoever chose a server may have done so before it asked. What isn't released meanwhile
// expires.
type pausingBackend struct {
	Backend
	pauses *pauses
}

// Send implements Backend.
func (b pausingBackend) Send(ctx context.Context, s catalog.Server, c Call) (*Answer, *verdict.Error) {
	if err := b.pauses.refuseIfPausing(s); err != nil {
		return nil, err
	}
	return b.Backend.Send(ctx, s, c)
}

// Prefill implements Backend.
func (b pausingBackend) Prefill(ctx context.Context, s catalog.Server, c Call) (Prefilled, *verdict.Error) {
	if err := b.pauses.refuseIfPausing(s); err != nil {
		return Prefilled{}, err
	}
	return b.Backend.Prefill(ctx, s, c)
}

// Reserve implements Backend.
func (b pausingBackend) Reserve(ctx context.Context, s catalog.Server, r Reservation) (string, *verdict.Error) {
	if err := b.pauses.refuseIfPausing(s); err != nil {
		return "", err
	}
	return b.Backend.Reserve(ctx, s, r)
}

// Release implements Backend.
func (b pausingBackend) Release(ctx context.Context, s catalog.Server, hold string) error {
	if err := b.pauses.refuseIfPausing(s); err != nil {
		return err
	}
	return b.Backend.Release(ctx, s, hold)
}

// Discard implements Backend.
func (b pausingBackend) Discard(ctx context.Context, s catalog.Server, result string) error {
	if err := b.pauses.refuseIfPausing(s); err != nil {
		return err
	}
	return b.Backend.Discard(ctx, s, result)
}

// Report implements Backend.
func (b pausingBackend) Report(ctx context.Context, s catalog.Server) (Report, error) {
	if err := b.pauses.refuseIfPausing(s); err != nil {
		return Report{}, err
	}
	return b.Backend.Report(ctx, s)
}

// Order implements Backend.
func (b pausingBackend) Order(ctx context.Context, s catalog.Server, o StageOrder) error {
	if err := b.pauses.refuseIfPausing(s); err != nil {
		return err
	}
	return b.Backend.Order(ctx, s, o)
}

// Probe implements Backend.
func (b pausingBackend) Probe(ctx context.Context, s catalog.Server, path string) error {
	if err := b.pauses.refuseIfPausing(s); err != nil {
		return err
	}
	return b.Backend.Probe(ctx, s, path)
}
