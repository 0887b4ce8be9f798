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
	// Candidates is how many entries of a region ask for its lease: one of
	// them stays when two are replaced at once.
	Candidates = 3
	// ticksPerTerm sets how often the machine sees the time.
	ticksPerTerm = 60
	releaseTime  = time.Second
)

var (
	log      = logrus.WithField("part", "lease")
	acquired = metrics.NewCounter("jayford_lease_acquired_total")
	lost     = metrics.NewCounter("jayford_lease_lost_total")
)

// IsCandidate says whether the entry id is among the few of its region's live
// entries that ask for the lease of scope.
func IsCandidate(list []platform.Instance, region, scope, id string) bool {
	var ids []string
	for _, i := range list {
		if i.Role == "entry" && i.State == platform.Live && i.Region == region {
			ids = append(ids, i.ID)
		}
	}
	return slices.Contains(place.Subset(scope, ids, Candidates), id)
}

// Options of a Runner.
type Options struct {
	Store platform.Store
	// Scope is the lease object's name.
	Scope string
	// Self is the process, "id#incarnation".
	Self string
	Term time.Duration
	// Candidate says whether the process is to ask for the lease.
	Candidate func() bool
	// Keep: the lease is left to lapse at the end instead of being given up, so
	// that no successor acts within a term of this process's last act.
	Keep bool
}

// Runner keeps a lease for its process. Its methods are safe for concurrent use.
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

// Fence returns the fencing number for an order sent now, and whether the lease
// is held.
func (r *Runner) Fence() (uint64, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.machine.Fence(time.Now())
}

// Founded reports whether this process made the lease: nobody can have held it
// before.
func (r *Runner) Founded() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.machine.founded
}

// Holder returns who held the lease when it was last read, "" if nobody.
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
	fence, held := r.machine.Fence(time.Now())
	return View{r.opts.Scope, r.machine.Holder(), fence, held}
}

// Run asks for the lease and renews it until ctx ends, then gives it up. It
// returns nil.
func (r *Runner) Run(ctx context.Context) error {
	t := time.NewTicker(r.opts.Term / ticksPerTerm)
	defer t.Stop()
	held := false
	for {
		select {
		case <-ctx.Done():
			if !r.opts.Keep {
				r.release()
			}
			return nil
		case <-t.C:
		}
		// Asked without the lock: the answer may depend on the lease.
		candidate := r.opts.Candidate()
		r.mu.Lock()
		a := r.machine.Tick(time.Now(), candidate, platform.NewOperation())
		r.mu.Unlock()
		r.carryOut(ctx, a)
		held = r.note(held)
	}
}

func (r *Runner) note(before bool) bool {
	fence, held := r.Fence()
	switch {
	case held && !before:
		acquired.Inc()
		log.WithField("scope", r.opts.Scope).WithField("fence", fence).Info("lease: Held.")
	case !held && before:
		lost.Inc()
		log.WithField("scope", r.opts.Scope).Warn("lease: No longer held.")
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
		// A lease that nobody can read would never be taken again. It is one
		// of an unknown holder, free after a term.
		log.WithError(err).Error("lease: The object can't be read.")
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
	// An error of an unknown kind is no proof that nothing was written.
	return Unclear, 0
}
