// Package platform is the interface to the platform's services: the object API, the
// eventually consistent list of instances and the weight store. It has an HTTP client
// for them.
package platform

import (
	"context"
	"encoding/json"
	"errors"
)

// Errors of the platform.
var (
	// ErrConflict: the object's version isn't the expected one. Nothing was written.
	ErrConflict = errors.New("platform: version conflict")
	// ErrNotFound: no such object.
	ErrNotFound = errors.New("platform: not found")
	// ErrUnavailable: a call was refused or not sent, or a read got no usable reply.
	// Nothing was written.
	ErrUnavailable = errors.New("platform: unavailable")
	// ErrOutcomeUnknown: a write got no usable reply and may have taken effect. Compare the
	// stored object's operation id before a retry.
	ErrOutcomeUnknown = errors.New("platform: no reply, a write may have taken effect")
	// ErrTooLarge: the spec is over MaxValueBytes.
	ErrTooLarge = errors.New("platform: value over 1 MB")
	// ErrCompacted: the watch's revision is too old, or the changes since then are too long
	// for one response; list again.
	ErrCompacted = errors.New("platform: revision compacted")
)

// Object is one stored object.
type Object struct {
	Kind string `json:"kind"`
	Name string `json:"name"`
	// Version is the store's revision at the last write of this object. Revisions
	// increase across the whole store and are never reused.
	Version uint64 `json:"version"`
	Deleted bool   `json:"deleted,omitempty"`
	// Operation is the id that the writer gave the last write.
	Operation string          `json:"operation,omitempty"`
	Spec      json.RawMessage `json:"spec,omitempty"`
}

// Listing is the result of a list or a watch.
type Listing struct {
	// Revision of the store up to which the listing is complete.
	Revision uint64   `json:"revision"`
	Objects  []Object `json:"objects"`
}

// Page is one page of a listing. Its revision is that at which the page was read.
type Page struct {
	Listing
	// Next is passed to ListPage for the next page, "" after the last.
	Next string
}

// Pager is a Store that lists in pages. Callers can use the first pages of a long
// listing before the last, and resume after a failed call.
type Pager interface {
	// ListPage returns the page that follows the name after, "" for the first page.
	ListPage(ctx context.Context, kind, after string) (Page, error)
}

// Poller is a Store that can tell at once whether there are changes.
type Poller interface {
	// Poll is Watch that doesn't wait for a change.
	Poll(ctx context.Context, kind string, revision uint64) (Listing, error)
}

// StaleLister is a Store that can list objects as they were seconds ago, at a
// fraction of the cost of List.
type StaleLister interface {
	ListStale(ctx context.Context, kind string) (Listing, error)
}

// States of an instance in the platform's list.
const (
	Live    = "live"
	Leaving = "leaving"
)

// Instance is one entry of the platform's list of instances.
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

// Store is the object API. In List and Watch, the kind "" selects all configuration
// kinds.
type Store interface {
	Get(ctx context.Context, kind, name string) (Object, error)
	List(ctx context.Context, kind string) (Listing, error)
	// Watch returns the changes after revision and waits for one if there are none.
	// The listing is empty if the platform's limit for the wait passes first. If ctx
	// ends first, the result is an empty listing or an error.
	Watch(ctx context.Context, kind string, revision uint64) (Listing, error)
	// Put writes o if the stored version is o.Version (0: must not exist) and
	// returns the new version.
	Put(ctx context.Context, o Object) (uint64, error)
	// Delete deletes the object if its stored version is version.
	Delete(ctx context.Context, kind, name string, version uint64) error
}

// Directory is the eventually consistent list of instances.
type Directory interface {
	Instances(ctx context.Context) ([]Instance, error)
}

// Weights is the rate-limited weight store.
type Weights interface {
	// Fetch reads the weights of a model's version and returns their size.
	Fetch(ctx context.Context, model, version string) (bytes int64, err error)
}
