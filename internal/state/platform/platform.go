// Package platform is the client of the platform's object API, which stores all data that
// must survive the loss of VMs. Another object API needs another implementation of Client.
package platform

import (
	"context"
	"errors"
	"fmt"
	"time"
)

// MaxValueBytes is the largest value that the platform accepts.
const MaxValueBytes = 1 << 20

// Errors of the object API, to be tested with errors.Is.
var (
	// ErrNotFound means that the object does not exist.
	ErrNotFound = errors.New("object not found")
	// ErrConflict means that the version of the object differs from the expected one.
	ErrConflict = errors.New("version conflict")
	// ErrUnavailable means that the call was not served; a write may have taken effect.
	ErrUnavailable = errors.New("platform unavailable")
	// ErrNoResponse is an ErrUnavailable without any response, as after a connection
	// is lost or stops passing data.
	ErrNoResponse = fmt.Errorf("%w: no answer", ErrUnavailable)
	// ErrTooLarge means that the value exceeds MaxValueBytes.
	ErrTooLarge = errors.New("value too large")
	// ErrCompacted means that the changes after the given revision are no longer
	// stored. The watcher must list the objects again.
	ErrCompacted = errors.New("revision compacted")
	// ErrRestored is an ErrCompacted of a platform that has returned to an older copy of its
	// data: revisions that it issued before may stand for other changes now.
	ErrRestored = fmt.Errorf("%w: the platform was restored from an older copy", ErrCompacted)
)

// Object is a stored value with its version.
type Object struct {
	Key string `json:"key"`
	// Version starts at 1 and increases with every write of the object.
	Version uint64 `json:"version"`
	// Revision is the position of the write in the order of all writes of the store.
	Revision uint64 `json:"revision"`
	Value    []byte `json:"value"`
	// Deleted marks a deletion in a watch result.
	Deleted bool `json:"deleted,omitempty"`
	// Generation is the generation of the data in which a Put took effect; 0 if the platform does
	// not tell.
	Generation uint64 `json:"-"`
}

// Generations is implemented by a Client of a platform that tells when it has returned to an older
// copy of its data. After that, List and Watch return ErrRestored once for each prefix that was
// listed before.
type Generations interface {
	// Generation returns the highest generation of the platform's data that the client has
	// seen in a response; 0 before the first one. It rises with each return to an older copy.
	Generation() uint64
	// RefreshGeneration makes the cheapest call whose response tells the generation. The object
	// of the key is read for it, if it exists.
	RefreshGeneration(ctx context.Context, key string) error
}

// Client is the interface to the platform that the daemon and the command-line tool use.
type Client interface {
	// Get returns an object or ErrNotFound.
	Get(ctx context.Context, key string) (Object, error)
	// List returns the objects whose key starts with prefix, and the revision of the
	// store at that time.
	List(ctx context.Context, prefix string) ([]Object, uint64, error)
	// Put writes value if the object still has the given version; version 0 means that
	// the object must not exist. It returns ErrConflict otherwise.
	Put(ctx context.Context, key string, value []byte, version uint64) (Object, error)
	// Delete deletes the object if it still has the given version.
	Delete(ctx context.Context, key string, version uint64) error
	// Watch waits at most wait for changes of keys with the prefix after the revision
	// since. It returns the changed objects, none if nothing changed, and the revision
	// from which to continue. It returns ErrCompacted if the changes after since are no
	// longer stored.
	Watch(ctx context.Context, prefix string, since uint64, wait time.Duration) ([]Object, uint64, error)
}
