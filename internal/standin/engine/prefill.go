package engine

import (
	"fmt"
	"time"

	"github.com/rotisserie/eris"

	"jayford.example/jayford/internal/engine"
)

// prefill queues a prefill and waits for its result.
func (l *life) prefill(r engine.PrefillRequest) (engine.PrefillResult, error) {
	j := &job{
		key:      jobKey{attempt: r.Attempt},
		prompt:   r.Prompt,
		priority: r.Priority,
		tokens:   engine.CountTokens(r.Prompt),
		prefixes: engine.PrefixHashes(r.Prompt, engine.CacheBlock),
		phase:    engine.PhasePrefill,
	}
	err := l.admit(j, func() error {
		if err := l.serves(r.Model, r.Version, RolePrefill); err != nil {
			return err
		}
		if len(l.queue) >= l.e.opts.PrefillQueue {
			return engine.ErrBusy
		}
		j.left = j.tokens
		j.turn = l.turn
		l.queue = append(l.queue, j)
		return nil
	})
	if err != nil {
		return engine.PrefillResult{}, err
	}
	select {
	case l.wake <- struct{}{}:
	default:
	}
	select {
	case <-j.done:
	case <-j.ctx.Done():
	}
	return l.prefillResult(j)
}

func (l *life) prefillResult(j *job) (engine.PrefillResult, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ctx.Err() != nil {
		return engine.PrefillResult{}, l.ctx.Err()
	}
	if j.ended == reasonCancelled {
		return engine.PrefillResult{}, engine.ErrCancelled
	}
	return engine.PrefillResult{
		KV:           j.kv,
		PromptTokens: j.tokens,
		CachedTokens: j.cached,
		KVBytes:      int64(j.tokens) * l.e.opts.KVBytesPerToken,
		ExpiresMs:    max(0, int(time.Until(j.expires).Milliseconds())),
	}, nil
}

// runPrefills runs one piece at a time until the life ends.
func (l *life) runPrefills() {
	var pace pacer
	for {
		j, piece := l.nextPiece()
		if j == nil {
			select {
			case <-l.ctx.Done():
				return
			case <-l.wake:
			}
			// An idle engine saves up no time.
			pace = pacer{}
			continue
		}
		if l.e.crashes(j.prompt, CrashInPrefill) {
			l.e.crash(l)
			return
		}
		l.e.gate.wait(l.ctx)
		d := l.e.opts.PrefillPerThousand * time.Duration(piece) / 1000
		if !pace.sleep(j.ctx, d) && l.ctx.Err() != nil {
			return
		}
		l.pieceDone(j, piece)
	}
}

// nextPiece chooses by priority, then by who waited longest since its last
// piece, so that a long prompt doesn't hold back the short ones behind it.
func (l *life) nextPiece() (*job, int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var best *job
	for _, j := range l.queue {
		if best == nil || j.priority > best.priority ||
			j.priority == best.priority && j.turn < best.turn {
			best = j
		}
	}
	if best == nil {
		return nil, 0
	}
	if best.left == best.tokens {
		best.cached = l.cache.lookup(best.prefixes)
		best.left -= best.cached
	}
	l.turn++
	best.turn = l.turn
	return best, min(best.left, l.e.opts.PrefillPiece)
}

func (l *life) pieceDone(j *job, piece int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if j.ended != "" {
		return
	}
	j.left -= piece
	if j.left > 0 {
		return
	}
	for i, q := range l.queue {
		if q == j {
			l.queue = append(l.queue[:i:i], l.queue[i+1:]...)
			break
		}
	}
	l.cache.insert(j.prefixes)
	l.kvSequence++
	j.kv = fmt.Sprintf("kv-%x-%d", l.incarnation, l.kvSequence)
	l.kvs[j.kv] = j
	j.phase = engine.PhaseKV
	j.expires = time.Now().Add(l.e.opts.KVTTL)
	time.AfterFunc(l.e.opts.KVTTL, func() { l.expire(j) })
	l.note(Entry{Kind: EntryPrefilled, Attempt: j.key.attempt, Phase: engine.PhasePrefill, Tokens: j.tokens, Cached: j.cached})
	close(j.done)
}

// expire drops a result that nobody pulls.
func (l *life) expire(j *job) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ctx.Err() == nil && j.pulls == 0 {
		l.end(j, EntryExpired, reasonExpired)
	}
}

// pull begins a transfer of a result; it doesn't expire meanwhile.
func (l *life) pull(name string) (*job, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	j := l.kvs[name]
	if j == nil {
		return nil, eris.Wrap(engine.ErrKVGone, name)
	}
	j.pulls++
	return j, nil
}

// pulled ends a transfer. A whole one frees the result.
func (l *life) pulled(j *job, whole bool) {
	l.mu.Lock()
	j.pulls--
	if whole && l.ctx.Err() == nil {
		l.end(j, EntryPulled, reasonPulled)
	}
	overdue := time.Now().After(j.expires)
	l.mu.Unlock()
	if overdue {
		l.expire(j)
	}
}
