package engine

import (
	"context"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"jayford.example/jayford/internal/engine"
)

// life is one incarnation of the engine: all that a crash takes away.
type life struct {
	e           *Engine
	incarnation uint64
	ctx         context.Context // the simulated process's lifetime
	die         context.CancelFunc
	cache       *prefixCache
	out, in     *link
	// wake tells the prefill loop of a new prefill.
	wake chan struct{}

	mu sync.Mutex
	// All below is guarded by mu.
	jobs       map[jobKey]*job
	kvs        map[string]*job
	decodes    int
	queue      []*job
	turn       uint64
	kvSequence uint64
	model      string
	version    string
	role       string
	adapters   map[string]bool
	fence      uint64
	operations map[string]error
	reports    [2]engine.Load
}

// jobKey names a job: one attempt may be prefilled and decoded on one engine.
type jobKey struct {
	attempt engine.Attempt
	decode  bool
}

// job is an attempt that holds memory. Its fields above the line don't change;
// those below are guarded by life.mu.
type job struct {
	key      jobKey
	ctx      context.Context // ends with the job's memory
	free     context.CancelFunc
	since    time.Time
	prompt   string
	priority int
	tokens   int
	cached   int
	prefixes []uint64
	done     chan struct{}

	phase string
	// left: prompt tokens to prefill.
	left int
	// turn orders prefills of one priority: the lowest ran longest ago.
	turn uint64
	// made: index after the last token that was generated.
	made int
	// kv names the result; pulls counts the transfers of it under way.
	kv      string
	pulls   int
	expires time.Time
	// ended: the job's memory is gone, for this reason.
	ended string
}

func newLife(e *Engine, incarnation uint64) *life {
	o := e.opts
	l := &life{
		e:           e,
		incarnation: incarnation,
		cache:       newPrefixCache(o),
		out:         newLink(o.LinkBytesPerSecond),
		in:          newLink(o.LinkBytesPerSecond),
		wake:        make(chan struct{}, 1),
		jobs:        make(map[jobKey]*job),
		kvs:         make(map[string]*job),
		model:       o.Model,
		version:     o.Version,
		role:        o.Role,
		adapters:    make(map[string]bool),
		operations:  make(map[string]error),
	}
	l.ctx, l.die = context.WithCancel(context.Background())
	l.reports = [2]engine.Load{l.loadNow(), l.loadNow()}
	return l
}

func (l *life) note(e Entry) {
	e.Incarnation = l.incarnation
	l.e.journal.add(e)
}

// serves returns ErrInvalid unless the engine serves model in that role.
// The caller holds mu.
func (l *life) serves(model, version, role string) error {
	if model != l.model && !l.adapters[model] {
		return eris.Wrapf(engine.ErrInvalid, "serves model %s", l.model)
	}
	if version != "" && version != l.version {
		return eris.Wrapf(engine.ErrInvalid, "serves version %s", l.version)
	}
	if l.role != RoleBoth && l.role != role {
		return eris.Wrapf(engine.ErrInvalid, "has role %s", l.role)
	}
	return nil
}

// admit adds the job unless its attempt holds memory already or check fails,
// and writes down which it was.
func (l *life) admit(j *job, check func() error) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	err := l.ctx.Err()
	switch {
	case err != nil:
	case l.jobs[j.key] != nil:
		err = engine.ErrDuplicate
	default:
		err = check()
	}
	if err != nil {
		l.note(Entry{Kind: EntryRefused, Attempt: j.key.attempt, Phase: j.phase, Detail: err.Error()})
		return err
	}
	j.ctx, j.free = context.WithCancel(l.ctx)
	j.done = make(chan struct{})
	j.since = time.Now()
	l.jobs[j.key] = j
	l.note(Entry{Kind: EntryStart, Attempt: j.key.attempt, Phase: j.phase, Tokens: j.tokens})
	return nil
}

// end frees the job's memory. Only the first call counts. The caller holds mu.
func (l *life) end(j *job, kind, reason string) {
	if j.ended != "" {
		return
	}
	j.ended = reason
	j.free()
	delete(l.jobs, j.key)
	delete(l.kvs, j.kv)
	for i, q := range l.queue {
		if q == j {
			l.queue = append(l.queue[:i:i], l.queue[i+1:]...)
			break
		}
	}
	count := j.tokens
	if j.key.decode {
		l.decodes--
		count = j.made
	}
	l.note(Entry{Kind: kind, Attempt: j.key.attempt, Phase: j.phase, Tokens: count, Cached: j.cached, Detail: reason})
}

// cancel frees what the attempt holds, in each phase.
func (l *life) cancel(a engine.Attempt) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, decode := range []bool{false, true} {
		if j := l.jobs[jobKey{a, decode}]; j != nil {
			l.end(j, EntryCancel, reasonCancelled)
		}
	}
}

// Reasons of an end that aren't a finish reason.
const (
	reasonCancelled = "cancelled"
	reasonClosed    = "closed"
	reasonPulled    = "pulled"
	reasonExpired   = "expired"
	reasonTransfer  = "transfer"
	reasonLost      = "lost"
)

// held lists what holds memory.
func (l *life) held() []Held {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := []Held{}
	for _, j := range l.jobs {
		tokens := j.tokens
		if j.key.decode {
			tokens = j.made
		}
		r := engine.Running{Attempt: j.key.attempt, Phase: j.phase, Tokens: tokens}
		out = append(out, Held{Running: r, Since: j.since})
	}
	return out
}

// load returns a report that is at least LoadLag old.
func (l *life) load() engine.Load {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.e.opts.LoadLag == 0 {
		return l.loadNow()
	}
	return l.reports[0]
}

// sample ages the load report until the life ends.
func (l *life) sample() {
	if l.e.opts.LoadLag == 0 {
		return
	}
	t := time.NewTicker(l.e.opts.LoadLag)
	defer t.Stop()
	for {
		select {
		case <-l.ctx.Done():
			return
		case <-t.C:
		}
		l.mu.Lock()
		l.reports = [2]engine.Load{l.reports[1], l.loadNow()}
		l.mu.Unlock()
	}
}

// loadNow describes the present. The caller holds mu.
func (l *life) loadNow() engine.Load {
	r := engine.Load{
		Incarnation: l.incarnation,
		Model:       l.model,
		Version:     l.version,
		Role:        l.role,
		Slots:       l.e.opts.DecodeSlots,
		Used:        l.decodes,
		Queued:      len(l.queue),
	}
	for _, j := range l.queue {
		r.QueuedTokens += int64(j.left)
	}
	for _, j := range l.jobs {
		if j.phase != engine.PhasePrefill {
			r.KVBytes += int64(j.tokens+j.made) * l.e.opts.KVBytesPerToken
		}
	}
	return r
}

// order applies an order, once per operation.
func (l *life) order(o engine.Order) error {
	if !sleep(l.ctx, l.e.opts.OrderTime) {
		return l.ctx.Err()
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if err, done := l.operations[o.Operation]; done && o.Operation != "" {
		l.note(Entry{Kind: EntryOrder, Order: &o, Detail: "repeated"})
		return err
	}
	err := l.apply(o)
	l.operations[o.Operation] = err
	e := Entry{Kind: EntryOrder, Order: &o, Applied: err == nil}
	if err != nil {
		e.Detail = err.Error()
	}
	l.note(e)
	return err
}

// Kinds of engine.Order.
const (
	orderModel   = "load-model"
	orderAdapter = "load-adapter"
	orderVersion = "set-version"
	orderRole    = "set-role"
)

// apply changes what is served. The caller holds mu.
func (l *life) apply(o engine.Order) error {
	if l.e.opts.ChecksFence && o.Fence < l.fence {
		return eris.Wrapf(engine.ErrFenced, "%d is below %d", o.Fence, l.fence)
	}
	switch o.Kind {
	case orderModel:
		l.model = o.Value
		l.adapters = make(map[string]bool)
	case orderAdapter:
		l.adapters[o.Value] = true
	case orderVersion:
		l.version = o.Value
	case orderRole:
		l.role = o.Value
	default:
		return eris.Wrapf(engine.ErrInvalid, "order %s", o.Kind)
	}
	l.fence = max(l.fence, o.Fence)
	return nil
}
