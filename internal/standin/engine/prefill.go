package engine

import (
	"fmt"
	"time"

	"github.com/rotisserie/eris"

	"jayford.example/jayford/internal/engine"
)

// prefill queues a prefill and waits for its result.
func (p *process) prefill(r engine.PrefillRequest) (engine.PrefillResult, error) {
	j := &job{
		key:      jobKey{attempt: r.Attempt},
		prompt:   r.Prompt,
		priority: r.Priority,
		tokens:   engine.CountTokens(r.Prompt),
		prefixes: engine.PrefixHashes(r.Prompt, engine.CacheBlock),
		phase:    engine.PhasePrefill,
	}
	err := p.admit(j, func() error {
		if err := p.serves(r.Model, r.Version, RolePrefill); err != nil {
			return err
		}
		if len(p.queue) >= p.e.opts.PrefillQueue {
			return engine.ErrBusy
		}
		j.left = j.tokens
		j.turn = p.turn
		p.queue = append(p.queue, j)
		return nil
	})
	if err != nil {
		return engine.PrefillResult{}, err
	}
	select {
	case p.wake <- struct{}{}:
	default:
	}
	select {
	case <-j.done:
	case <-j.ctx.Done():
	}
	return p.prefillResult(j)
}

func (p *process) prefillResult(j *job) (engine.PrefillResult, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.ctx.Err() != nil {
		return engine.PrefillResult{}, p.ctx.Err()
	}
	if j.ended == reasonCancelled {
		return engine.PrefillResult{}, engine.ErrCancelled
	}
	return engine.PrefillResult{
		KV:           j.kv,
		PromptTokens: j.tokens,
		CachedTokens: j.cached,
		KVBytes:      int64(j.tokens) * p.e.opts.KVBytesPerToken,
		ExpiresMs:    max(0, int(time.Until(j.expires).Milliseconds())),
	}, nil
}

// runPrefills runs one chunk at a time until the incarnation ends.
func (p *process) runPrefills() {
	var pace pacer
	for {
		j, chunk := p.nextChunk()
		if j == nil {
			select {
			case <-p.ctx.Done():
				return
			case <-p.wake:
			}
			// Idle time isn't caught up on.
			pace = pacer{}
			continue
		}
		if p.e.shouldCrash(j.prompt, CrashInPrefill) {
			p.e.crash(p)
			return
		}
		p.e.gate.wait(p.ctx)
		d := p.e.opts.PrefillPerThousand * time.Duration(chunk) / 1000
		if !pace.sleep(j.ctx, d) && p.ctx.Err() != nil {
			return
		}
		p.finishChunk(j, chunk)
	}
}

// nextChunk selects the next chunk by priority, then by the longest wait since the
// job's last chunk, so that a long prompt doesn't block short ones queued after it.
// It returns the chunk's job and size.
func (p *process) nextChunk() (*job, int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var best *job
	for _, j := range p.queue {
		if best == nil || j.priority > best.priority ||
			j.priority == best.priority && j.turn < best.turn {
			best = j
		}
	}
	if best == nil {
		return nil, 0
	}
	if best.left == best.tokens {
		best.cached = p.cache.lookup(best.prefixes)
		best.left -= best.cached
	}
	p.turn++
	best.turn = p.turn
	return best, min(best.left, p.e.opts.PrefillChunk)
}

func (p *process) finishChunk(j *job, chunk int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if j.ended != "" {
		return
	}
	j.left -= chunk
	if j.left > 0 {
		return
	}
	for i, q := range p.queue {
		if q == j {
			p.queue = append(p.queue[:i:i], p.queue[i+1:]...)
			break
		}
	}
	p.cache.insert(j.prefixes)
	p.kvSequence++
	j.kv = fmt.Sprintf("kv-%x-%d", p.incarnation, p.kvSequence)
	p.kvs[j.kv] = j
	j.phase = engine.PhaseKV
	j.expires = time.Now().Add(p.e.opts.KVTTL)
	time.AfterFunc(p.e.opts.KVTTL, func() { p.expire(j) })
	p.record(Entry{Kind: EntryPrefilled, Attempt: j.key.attempt, Phase: engine.PhasePrefill, Tokens: j.tokens, Cached: j.cached})
	close(j.done)
}

// expire drops a prefill result unless it is being pulled.
func (p *process) expire(j *job) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.ctx.Err() == nil && j.pulls == 0 {
		p.end(j, EntryExpired, reasonExpired)
	}
}

// beginPull begins the transfer of a prefill result, which doesn't expire meanwhile.
func (p *process) beginPull(name string) (*job, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	j := p.kvs[name]
	if j == nil {
		return nil, eris.Wrap(engine.ErrKVGone, name)
	}
	j.pulls++
	return j, nil
}

// endPull ends a transfer. A complete transfer frees the result.
func (p *process) endPull(j *job, complete bool) {
	p.mu.Lock()
	j.pulls--
	if complete && p.ctx.Err() == nil {
		p.end(j, EntryPulled, reasonPulled)
	}
	overdue := time.Now().After(j.expires)
	p.mu.Unlock()
	if overdue {
		p.expire(j)
	}
}
