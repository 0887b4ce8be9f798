package platform

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"time"

	"jayford.example/jayford/internal/wait"
)

const (
	initialBackoff = 20 * time.Millisecond
	maxBackoff     = time.Second
)

// ErrSuperseded accompanies ErrOutcomeUnknown if another writer has written or deleted the
// object since. The write isn't in effect now, but may have been before.
var ErrSuperseded = errors.New("platform: superseded by another writer")

var errSupersededOutcomeUnknown = fmt.Errorf("%w: %w", ErrOutcomeUnknown, ErrSuperseded)

// NewOperation returns a new operation id.
func NewOperation() string { return rand.Text() }

// PutWithReadBack writes o and determines the outcome of a write that got no reply. It
// generates an operation id if o has none. It returns ErrOutcomeUnknown only if ctx ended
// first or if another writer has written or deleted the object since; o may then
// have been in effect for a while.
//
// If a reply is lost after the write took effect, a blind retry conflicts with the
// writer's own write and looks like a lost race. So the object is read back, and its
// operation id shows whose write is stored. The write is sent again only if the
// expected version is still stored, with the same version and operation id: the first
// one may still arrive, but the store accepts only one of the two, and after a
// conflict the object is read back again. One race remains for a new object
// (version 0): if the first write arrives and is deleted by another writer between
// the read and the retry, the retry creates the object again.
func PutWithReadBack(ctx context.Context, store Store, o Object) (uint64, error) {
	if o.Operation == "" {
		o.Operation = NewOperation()
	}
	v, err := store.Put(ctx, o)
	backoff := initialBackoff
	for errors.Is(err, ErrOutcomeUnknown) && !errors.Is(err, ErrSuperseded) {
		if !wait.Sleep(ctx, backoff) {
			return 0, err
		}
		backoff = min(2*backoff, maxBackoff)
		v, err = readBack(ctx, store, o)
	}
	return v, err
}

// readBack reads o once to determine the write's outcome. The caller must repeat it
// after ErrOutcomeUnknown, unless the error is ErrSuperseded too.
func readBack(ctx context.Context, store Store, o Object) (uint64, error) {
	got, err := store.Get(ctx, o.Kind, o.Name)
	missing := errors.Is(err, ErrNotFound)
	switch {
	case missing && o.Version == 0:
		return resend(ctx, store, o)
	case missing:
		return 0, errSupersededOutcomeUnknown
	case err != nil:
		return 0, fmt.Errorf("%w: reading back: %w", ErrOutcomeUnknown, err)
	case got.Operation == o.Operation:
		return got.Version, nil
	case got.Version == o.Version:
		return resend(ctx, store, o)
	default:
		return 0, errSupersededOutcomeUnknown
	}
}

// resend sends the write again. After any error the first write's outcome is still
// unknown, so the object must be read back again.
func resend(ctx context.Context, store Store, o Object) (uint64, error) {
	v, err := store.Put(ctx, o)
	if err != nil {
		return 0, fmt.Errorf("%w: retry: %w", ErrOutcomeUnknown, err)
	}
	return v, nil
}
