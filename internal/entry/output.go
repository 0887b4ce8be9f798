package entry

import (
	"context"
	"sync"

	"jayford.example/jayford/internal/verdict"
)

// output buffers the tokens of one answer in order, from the generation that
// appends them to the HTTP handler that reads them. It is bounded by max_tokens.
type output struct {
	mu sync.Mutex
	// All below is guarded by mu.
	tokens   []string
	attempts int
	done     bool
	finish   string
	err      *verdict.Error
	// changed is closed and replaced at each change.
	changed chan struct{}
}

func newOutput() *output {
	return &output{changed: make(chan struct{})}
}

// add appends the token with the given index. It ignores an index that it already
// has, as replayed after a reconnect. It returns false if the index leaves a gap,
// since an answer with a gap must not be reported as complete.
func (o *output) add(index int, text string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if index < len(o.tokens) {
		return true
	}
	if index > len(o.tokens) || o.done {
		return false
	}
	o.tokens = append(o.tokens, text)
	o.notifyLocked()
	return true
}

func (o *output) end(finish string, err *verdict.Error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.done {
		return
	}
	o.done = true
	o.finish = finish
	o.err = err
	o.notifyLocked()
}

func (o *output) notifyLocked() {
	close(o.changed)
	o.changed = make(chan struct{})
}

func (o *output) countAttempt() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.attempts++
}

func (o *output) len() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.tokens)
}

// view is a snapshot of an output.
type view struct {
	tokens   []string
	attempts int
	done     bool
	finish   string
	err      *verdict.Error
}

// next waits until there are tokens from the index from on, the answer has ended,
// or ctx is done.
func (o *output) next(ctx context.Context, from int) view {
	for {
		o.mu.Lock()
		v := view{tokens: o.tokens[from:], attempts: o.attempts, done: o.done, finish: o.finish, err: o.err}
		changed := o.changed
		o.mu.Unlock()
		if len(v.tokens) > 0 || v.done {
			return v
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return v
		}
	}
}

// waitEnd waits until the answer has ended or ctx is done.
func (o *output) waitEnd(ctx context.Context) view {
	for {
		o.mu.Lock()
		v := view{tokens: o.tokens, attempts: o.attempts, done: o.done, finish: o.finish, err: o.err}
		changed := o.changed
		o.mu.Unlock()
		if v.done {
			return v
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return v
		}
	}
}
