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
	firstReadBack = 20 * time.Millisecond
	maxReadBack   = time.Second
)

// ErrSuperseded comes with ErrUnclear: another writer has written or deleted
// the object since, so reading back can't tell whether this write took effect
// before. It isn't in force now.
var ErrSuperseded = errors.New("platform: superseded by another writer")

var errSupersededUnclear = fmt.Errorf("%w: %w", ErrUnclear, ErrSuperseded)

// NewOperation returns a new operation id.
func NewOperation() string { return rand.Text() }

// PutSettled writes o and finds out what became of a write without a reply.
// It sets o.Operation if empty. The result is ErrUnclear only if ctx ended
// first, or if the object was written or deleted by somebody else since: then
// o may have been in force for a while.
//
// The failure: a reply is lost after the write took effect. A blind repeat
// gets a conflict with the writer's own write, and its caller believes that
// it lost. So the object is read back: its operation id tells whose write is
// stored. Only where the expected version is still stored is the write sent
// again, with the same version and operation: the first one may still be under
// way, but the store takes only one of both, and a conflict is read back again.
// For a new object (version 0) this leaves one gap: if the first write arrives
// and is deleted by somebody else between the reading and the repeat, the
// repeat creates it once more.
func PutSettled(ctx context.Context, store Store, o Object) (uint64, error) {
	if o.Operation == "" {
		o.Operation = NewOperation()
	}
	v, err := store.Put(ctx, o)
	pause := firstReadBack
	for errors.Is(err, ErrUnclear) && !errors.Is(err, ErrSuperseded) {
		if !wait.Sleep(ctx, pause) {
			return 0, err
		}
		pause = min(2*pause, maxReadBack)
		v, err = settle(ctx, store, o)
	}
	return v, err
}

// settle reads o back once. ErrUnclear means that it must be asked again,
// unless it is ErrSuperseded too.
func settle(ctx context.Context, store Store, o Object) (uint64, error) {
	got, err := store.Get(ctx, o.Kind, o.Name)
	missing := errors.Is(err, ErrNotFound)
	switch {
	case missing && o.Version == 0:
		return repeat(ctx, store, o)
	case missing:
		return 0, errSupersededUnclear
	case err != nil:
		return 0, fmt.Errorf("%w: reading back: %w", ErrUnclear, err)
	case got.Operation == o.Operation:
		return got.Version, nil
	case got.Version == o.Version:
		return repeat(ctx, store, o)
	default:
		return 0, errSupersededUnclear
	}
}

// repeat sends the write again. Any failure but success leaves the first
// write's fate open, so that it is read back again.
func repeat(ctx context.Context, store Store, o Object) (uint64, error) {
	v, err := store.Put(ctx, o)
	if err != nil {
		return 0, fmt.Errorf("%w: repeated: %w", ErrUnclear, err)
	}
	return v, nil
}
