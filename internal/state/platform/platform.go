// Package platform is the client of the platform's object API. Everything that
// must outlive the VMs is kept there. A different object API is a new
// implementation of Client.
package platform

import (
	"context"
	"errors"
	"fmt"
	"time"
)

// MaxValueBytes is the largest value that the platform accepts.
const MaxValueBytes = 1 << 20

// Errors of the object API. Test with errors.Is.
var (
	// ErrNotFound says that the object does not exist.
	ErrNotFound = errors.New("object not found")
	// ErrConflict says that the object's version differs from the expected one.
	ErrConflict = errors.New("version conflict")
	// ErrUnavailable says that the call was not served; a write may have taken effect.
	ErrUnavailable = errors.New("platform unavailable")
	// ErrNoResponse is an ErrUnavailable without any response, as after a connection
	// is lost or stops passing data.
	ErrNoResponse = fmt.Errorf("%w: no answer", ErrUnavailable)
	// ErrTooLarge says that the value exceeds MaxValueBytes.
	ErrTooLarge = errors.New("value too large")
	// ErrCompacted says that the changes after the given revision are no longer
	// kept. The watcher must list again.
	ErrCompacted = errors.New("revision compacted")
)

// Object is a stored value with its version.
type Object struct {
	Key string `json:"key"`
	// Version rises with every write of the object, starting at 1.
	Version uint64 `json:"version"`
	// Revision is the store-wide position of the write.
	Revision uint64 `json:"revision"`
	Value    []byte `json:"value"`
	// Deleted marks a deletion in a watch result.
	Deleted bool `json:"deleted,omitempty"`
}

// Client is the platform as the daemon and the command-line tool use it.
type Client interface {
	// Get returns an object or ErrNotFound.
	Get(ctx context.Context, key string) (Object, error)
	// List returns the objects whose key starts with prefix and the revision at
	// which the listing was taken.
	List(ctx context.Context, prefix string) ([]Object, uint64, error)
	// Put writes value if the object's version is still version; version 0 means
	// that the object must not exist. It returns ErrConflict otherwise.
	Put(ctx context.Context, key string, value []byte, version uint64) (Object, error)
	// Delete removes the object if its version is still version.
	Delete(ctx context.Context, key string, version uint64) error
	// Watch waits at most wait for changes of keys under prefix after revision
	// since. It returns the changed objects and the revision to continue from.
	// An empty result means that nothing changed. It returns ErrCompacted if the
	// changes after since are no longer kept.
	Watch(ctx context.Context, prefix string, since uint64, wait time.Duration) ([]Object, uint64, error)
}
