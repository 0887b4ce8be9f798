// Package platform is the narrow interface to the platform's services: the
// object API, the lagging list of instances and the weight store, and a client
// for them over HTTP.
package platform

import (
	"context"
	"encoding/json"
	"errors"
)

// Errors of the platform.
var (
	// ErrConflict: the object's version isn't the expected one. Not written.
	ErrConflict = errors.New("platform: version conflict")
	// ErrNotFound: no such object.
	ErrNotFound = errors.New("platform: not found")
	// ErrUnavailable: the platform refused before it did anything. Not written.
	ErrUnavailable = errors.New("platform: unavailable")
	// ErrUnclear: no reply. A write may have taken effect; read back the
	// object's operation id before a repeat.
	ErrUnclear = errors.New("platform: no reply, a write may have taken effect")
	// ErrTooLarge: the value is over a megabyte.
	ErrTooLarge = errors.New("platform: value over 1 MB")
	// ErrCompacted: the watch's revision is too old; list again.
	ErrCompacted = errors.New("platform: revision compacted")
)

// Object is one stored object.
type Object struct {
	Kind string `json:"kind"`
	Name string `json:"name"`
	// Version is the store's revision at the last write of this object. It
	// rises over the whole store, and is never reused.
	Version uint64 `json:"version"`
	Deleted bool   `json:"deleted,omitempty"`
	// Operation is the writer's id for its last write.
	Operation string          `json:"operation,omitempty"`
	Spec      json.RawMessage `json:"spec,omitempty"`
}

// Listing is the result of a list or a watch.
type Listing struct {
	// Revision of the store up to which the listing is complete.
	Revision uint64   `json:"revision"`
	Objects  []Object `json:"objects"`
}

// Page is a part of a listing. Its revision is that of the page.
type Page struct {
	Listing
	// Next begins the next page, "" after the last.
	Next string
}

// Pager is a Store that lists in pages. A long listing can then be used before
// its end, and goes on where a call failed.
type Pager interface {
	// ListPage returns the page that begins behind after, "" for the first.
	ListPage(ctx context.Context, kind, after string) (Page, error)
}

// StaleLister is a Store that lists at a fraction of the cost what may be seconds old.
type StaleLister interface {
	ListStale(ctx context.Context, kind string) (Listing, error)
}

// State of an instance in the platform's list.
const (
	Live    = "live"
	Leaving = "leaving"
)

// Instance is one line of the platform's lagging list.
type Instance struct {
	ID string `json:"id"`
	// Address is "ip:port" of the process's listener for peers.
	Address string `json:"address"`
	// Role is "entry" or "agent".
	Role             string `json:"role"`
	AvailabilityZone string `json:"availabilityZone"`
	Region           string `json:"region"`
	// State is Live or Leaving.
	State string `json:"state"`
}

// Store is the object API. A kind of "" stands for all configuration kinds
// in List and Watch.
type Store interface {
	Get(ctx context.Context, kind, name string) (Object, error)
	List(ctx context.Context, kind string) (Listing, error)
	// Watch waits until objects changed after revision, or ctx or the
	// platform's own limit ends; then the listing is empty.
	Watch(ctx context.Context, kind string, revision uint64) (Listing, error)
	// Put writes o if the stored version is o.Version (0: must not exist) and
	// returns the new version.
	Put(ctx context.Context, o Object) (uint64, error)
	// Delete removes the object if its version is version.
	Delete(ctx context.Context, kind, name string, version uint64) error
}

// Directory is the lagging list of instances.
type Directory interface {
	Instances(ctx context.Context) ([]Instance, error)
}

// Weights is the rate-limited weight store.
type Weights interface {
	// Fetch waits until the weights of a model's version have been read.
	Fetch(ctx context.Context, model, version string) (bytes int64, err error)
}
