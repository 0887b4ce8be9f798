package lease

import (
	"context"
	"encoding/json"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"

	"jayford.example/jayford/internal/object"
	"jayford.example/jayford/internal/platform"
	"jayford.example/jayford/internal/policy/place"
)

const (
	// Candidates is how many entries of a region compete for its lease: one
	// remains when two are replaced at once.
	Candidates = 3
	// ticksPerTerm is how many times per term the machine's Tick is called.
	ticksPerTerm = 60
	releaseTime  = time.Second
)

var (
	log      = logrus.WithField("part", "lease")
	acquired = metrics.NewCounter("jayford_lease_acquired_total")
	lost     = metrics.NewCounter("jayford_lease_lost_total")
)

// IsCandidate reports whether the entry id is one of the region's live entries
// chosen to compete for the lease of scope.
func IsCandidate(list []platform.Instance, region, scope, id string) bool {
	var ids []string
	for _, i := range list {
		if i.Role == "entry" && i.State == platform.Live && i.Region == region {
			ids = append(ids, i.ID)
		}
	}
	return slices.Contains(place.Subset(scope, ids, Candidates), id)
}

// Options configures a Runner.
type Options struct {
	Store platform.Store
	// Scope is the lease object's name.
	Scope string
	// Self identifies the process, as "id#incarnation".
	Self string
	Term time.Duration
	// Candidate reports whether the process is to compete for the lease.
	Candidate func() bool
	// LapseOnStop: when Run ends, the lease is left to expire instead of being
	// released, so that no successor acts within a term of this process's last
	// action.
	LapseOnStop bool
}

// Runner acquires and renews a lease for its process. Its methods are safe for
// concurrent use.
type Runner struct {
	opts Options

	mu sync.Mutex
	// machine is guarded by mu.
	machine *Machine
}

// NewRunner returns a runner; Run starts it.
func NewRunner(o Options) *Runner {
	return &Runner{opts: o, machine: NewMachine(o.Self, o.Term)}
}

// FencingToken returns the fencing token for an order sent now, and whether the lease is
// held.
func (r *Runner) FencingToken() (uint64, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.machine.FencingToken(time.Now())
}

// Created reports whether this process created the lease object, so that there
// was no earlier holder.
func (r *Runner) Created() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.machine.created
}

// Holder returns the holder of the lease as last read or written, "" if none.
func (r *Runner) Holder() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.machine.Holder()
}

// View is the lease's part of the state dump.
type View struct {
	Scope  string `json:"scope"`
	Holder string `json:"holder"`
	Fence  uint64 `json:"fence"`
	Held   bool   `json:"held"`
}

// View returns the state for the dump.
func (r *Runner) View() View {
	r.mu.Lock()
	defer r.mu.Unlock()
	fence, held := r.machine.FencingToken(time.Now())
	return View{r.opts.Scope, r.machine.Holder(), fence, held}
}

// Run acquires and renews the lease until ctx ends, then releases it unless
// Options.LapseOnStop is set. It returns nil.
func (r *Runner) Run(ctx context.Context) error {
	t := time.NewTicker(r.opts.Term / ticksPerTerm)
	defer t.Stop()
	held := false
	for {
		select {
		case <-ctx.Done():
			if !r.opts.LapseOnStop {
				r.release()
			}
			return nil
		case <-t.C:
		}
		// Called without the lock, as Candidate may call the Runner's methods.
		candidate := r.opts.Candidate()
		r.mu.Lock()
		a := r.machine.Tick(time.Now(), candidate, platform.NewOperation())
		r.mu.Unlock()
		r.carryOut(ctx, a)
		held = r.note(held)
	}
}

func (r *Runner) note(before bool) bool {
	fence, held := r.FencingToken()
	switch {
	case held && !before:
		acquired.Inc()
		log.WithField("scope", r.opts.Scope).WithField("fence", fence).Info("lease: Acquired.")
	case !held && before:
		lost.Inc()
		log.WithField("scope", r.opts.Scope).Warn("lease: Lost.")
	}
	return held
}

func (r *Runner) release() {
	r.mu.Lock()
	a := r.machine.Release(time.Now(), platform.NewOperation())
	r.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), releaseTime)
	defer cancel()
	r.carryOut(ctx, a)
}

func (r *Runner) carryOut(ctx context.Context, a Action) {
	switch a.Kind {
	case ActionRead:
		s, ok := r.read(ctx)
		r.mu.Lock()
		defer r.mu.Unlock()
		r.machine.OnRead(time.Now(), s, ok)
	case ActionWrite:
		o, version := r.write(ctx, a)
		r.mu.Lock()
		defer r.mu.Unlock()
		r.machine.OnWrite(time.Now(), a.Lease, o, version)
	case ActionNone:
	}
}

func (r *Runner) read(ctx context.Context) (Stored, bool) {
	o, err := r.opts.Store.Get(ctx, object.KindLease, r.opts.Scope)
	if errors.Is(err, platform.ErrNotFound) {
		return Stored{}, true
	}
	if err != nil {
		return Stored{}, false
	}
	s := Stored{Version: o.Version, Operation: o.Operation}
	l, err := object.Parse(object.KindLease, o.Spec)
	if err != nil {
		// Failing here would keep the lease from ever being acquired again.
		// Instead it gets an unknown holder, whose lease expires after a term.
		log.WithError(err).Error("lease: The lease object can't be parsed.")
		s.Lease.Holder = "unknown"
		return s, true
	}
	s.Lease, _ = l.(object.Lease)
	return s, true
}

func (r *Runner) write(ctx context.Context, a Action) (Outcome, uint64) {
	spec, err := json.Marshal(a.Lease)
	if err != nil {
		return Refused, 0
	}
	v, err := r.opts.Store.Put(ctx, platform.Object{
		Kind: object.KindLease, Name: r.opts.Scope, Version: a.Version, Operation: a.Operation, Spec: spec,
	})
	switch {
	case err == nil:
		return Written, v
	case errors.Is(err, platform.ErrConflict), errors.Is(err, platform.ErrNotFound):
		return Conflict, 0
	case errors.Is(err, platform.ErrOutcomeUnknown):
		return Unclear, 0
	case errors.Is(err, platform.ErrUnavailable):
		return Refused, 0
	}
	// Any other error doesn't prove that nothing was written.
	return Unclear, 0
}
