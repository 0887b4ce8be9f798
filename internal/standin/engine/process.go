package engine

import (
	"context"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"jayford.example/jayford/internal/engine"
)

// process is one incarnation of the simulated engine process. It holds all state that
// a crash loses.
type process struct {
	e           *Engine
	incarnation uint64
	ctx         context.Context // the simulated process's lifetime
	kill        context.CancelFunc
	cache       *prefixCache
	out, in     *link
	// wake signals the prefill loop that a prefill was queued.
	wake chan struct{}

	mu sync.Mutex
	// The fields below are guarded by mu.
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

// jobKey identifies a job. An attempt may be prefilled and decoded on the same
// engine, as two jobs.
type jobKey struct {
	attempt engine.Attempt
	decode  bool
}

// job is the prefill or decode of an attempt, which holds memory until it ends.
type job struct {
	key      jobKey
	ctx      context.Context // cancelled when the job's memory is freed
	free     context.CancelFunc
	since    time.Time
	prompt   string
	priority int
	tokens   int
	cached   int
	prefixes []uint64
	done     chan struct{}

	// The fields below, and cached, are guarded by process.mu; those above don't
	// change once the job is admitted.
	phase string
	// left is the number of prompt tokens that are not prefilled yet.
	left int
	// turn orders prefills of equal priority round robin: the job with the
	// lowest turn ran least recently.
	turn uint64
	// generated is the index after that of the last generated token.
	generated int
	// kv is the name of the prefill result, pulls the number of its transfers
	// in progress.
	kv      string
	pulls   int
	expires time.Time
	// ended is the reason why the job ended and its memory was freed, or "".
	ended string
}

func newProcess(e *Engine, incarnation uint64) *process {
	o := e.opts
	p := &process{
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
	p.ctx, p.kill = context.WithCancel(context.Background())
	p.reports = [2]engine.Load{p.loadNow(), p.loadNow()}
	return p
}

func (p *process) record(e Entry) {
	e.Incarnation = p.incarnation
	p.e.journal.add(e)
}

// serves returns ErrInvalid unless the engine serves model at version in role.
// The caller holds mu.
func (p *process) serves(model, version, role string) error {
	if model != p.model && !p.adapters[model] {
		return eris.Wrapf(engine.ErrInvalid, "serves model %s", p.model)
	}
	if version != "" && version != p.version {
		return eris.Wrapf(engine.ErrInvalid, "serves version %s", p.version)
	}
	if p.role != RoleBoth && p.role != role {
		return eris.Wrapf(engine.ErrInvalid, "has role %s", p.role)
	}
	return nil
}

// admit adds the job, unless the attempt already has a job of this kind or check
// fails. Either outcome is recorded.
func (p *process) admit(j *job, check func() error) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	err := p.ctx.Err()
	switch {
	case err != nil:
	case p.jobs[j.key] != nil:
		err = engine.ErrDuplicate
	default:
		err = check()
	}
	if err != nil {
		p.record(Entry{Kind: EntryRefused, Attempt: j.key.attempt, Phase: j.phase, Detail: err.Error()})
		return err
	}
	j.ctx, j.free = context.WithCancel(p.ctx)
	j.done = make(chan struct{})
	j.since = time.Now()
	p.jobs[j.key] = j
	p.record(Entry{Kind: EntryStart, Attempt: j.key.attempt, Phase: j.phase, Tokens: j.tokens})
	return nil
}

// end frees the job's memory. Further calls do nothing. The caller holds mu.
func (p *process) end(j *job, kind, reason string) {
	if j.ended != "" {
		return
	}
	j.ended = reason
	j.free()
	delete(p.jobs, j.key)
	delete(p.kvs, j.kv)
	for i, q := range p.queue {
		if q == j {
			p.queue = append(p.queue[:i:i], p.queue[i+1:]...)
			break
		}
	}
	count := j.tokens
	if j.key.decode {
		p.decodes--
		count = j.generated
	}
	p.record(Entry{Kind: kind, Attempt: j.key.attempt, Phase: j.phase, Tokens: count, Cached: j.cached, Detail: reason})
}

// cancel ends the attempt's jobs, whatever their phase.
func (p *process) cancel(a engine.Attempt) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, decode := range []bool{false, true} {
		if j := p.jobs[jobKey{a, decode}]; j != nil {
			p.end(j, EntryCancel, reasonCancelled)
		}
	}
}

// Reasons for the end of a job, in addition to the finish reasons of a decode.
const (
	reasonCancelled = "cancelled"
	reasonClosed    = "closed"
	reasonPulled    = "pulled"
	reasonExpired   = "expired"
	reasonTransfer  = "transfer"
	reasonLost      = "lost"
)

// held returns the jobs that hold memory.
func (p *process) held() []Held {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := []Held{}
	for _, j := range p.jobs {
		tokens := j.tokens
		if j.key.decode {
			tokens = j.generated
		}
		r := engine.Running{Attempt: j.key.attempt, Phase: j.phase, Tokens: tokens}
		out = append(out, Held{Running: r, Since: j.since})
	}
	return out
}

// load returns a report that is at least LoadLag old.
func (p *process) load() engine.Load {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.e.opts.LoadLag == 0 {
		return p.loadNow()
	}
	return p.reports[0]
}

// sample takes a load report every LoadLag until the incarnation ends.
func (p *process) sample() {
	if p.e.opts.LoadLag == 0 {
		return
	}
	t := time.NewTicker(p.e.opts.LoadLag)
	defer t.Stop()
	for {
		select {
		case <-p.ctx.Done():
			return
		case <-t.C:
		}
		p.mu.Lock()
		p.reports = [2]engine.Load{p.reports[1], p.loadNow()}
		p.mu.Unlock()
	}
}

// loadNow returns a current load report. The caller holds mu.
func (p *process) loadNow() engine.Load {
	r := engine.Load{
		Incarnation: p.incarnation,
		Model:       p.model,
		Version:     p.version,
		Role:        p.role,
		Slots:       p.e.opts.DecodeSlots,
		Used:        p.decodes,
		Queued:      len(p.queue),
	}
	for _, j := range p.queue {
		r.QueuedTokens += int64(j.left)
	}
	for _, j := range p.jobs {
		if j.phase != engine.PhasePrefill {
			r.KVBytes += int64(j.tokens+j.generated) * p.e.opts.KVBytesPerToken
		}
	}
	return r
}
