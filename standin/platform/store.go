// Package platform is a test double of the platform's object API: a store with
// versions, conditional writes and watches, over HTTP or in memory, with
// switches for the failures of the real platform.
package platform

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"strings"
	"sync"
	"time"

	api "wigeonspring.example/wigeonspring/internal/state/platform"
)

// Faults are the switches for failures.
type Faults struct {
	// Outage refuses every call.
	Outage bool `json:"outage"`
	// DelayMillis is added to every call before it takes effect.
	DelayMillis int64 `json:"delay_ms"`
	// LoseAnswers is the number of writes that still take effect without an
	// answer.
	LoseAnswers int `json:"lose_answers"`
	// StaleReads is the number of revisions by which the answers to reads and
	// watches lag, as far as the history reaches.
	StaleReads uint64 `json:"stale_reads"`
}

// Calls counts calls by kind, whatever their result. A waiting watch is one
// call.
type Calls struct {
	Get    int64 `json:"get"`
	List   int64 `json:"list"`
	Put    int64 `json:"put"`
	Delete int64 `json:"delete"`
	Watch  int64 `json:"watch"`
}

// defaultHistory is the number of revisions kept for watches.
const defaultHistory = 4096

// errBadKey says that a key cannot be stored.
var errBadKey = errors.New("key must have 1 to 512 bytes")

// store keeps the recent versions of every object. The history of revisions
// after floor is complete; floor rises with every write once the history is
// full.
type store struct {
	history uint64

	mu       sync.Mutex
	revision uint64
	floor    uint64
	// versions are the states of an object, the oldest first. The oldest one may
	// lie at or before floor.
	versions map[string][]api.Object
	// changes are the keys written after floor, in the order of the revisions.
	changes []change
	faults  Faults
	calls   Calls
	// wake is closed and replaced when a watch may have something to return.
	wake chan struct{}
}

type change struct {
	key      string
	revision uint64
}

func newStore(history int) *store {
	if history <= 0 {
		history = defaultHistory
	}
	return &store{history: uint64(history), versions: map[string][]api.Object{}, wake: make(chan struct{})}
}

func (s *store) wakeWatches() {
	close(s.wake)
	s.wake = make(chan struct{})
}

func (s *store) setFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	s.wakeWatches()
}

func (s *store) getFaults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

func (s *store) getCalls() Calls {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// begin counts a call, waits for the added delay and returns with the lock held
// unless the platform is out.
func (s *store) begin(ctx context.Context, count *int64) error {
	s.mu.Lock()
	*count++
	delay := time.Duration(s.faults.DelayMillis) * time.Millisecond
	if delay > 0 {
		s.mu.Unlock()
		timer := time.NewTimer(delay)
		defer timer.Stop()
		select {
		case <-timer.C:
		case <-ctx.Done():
			return errors.Join(api.ErrUnavailable, ctx.Err())
		}
		s.mu.Lock()
	}
	if s.faults.Outage {
		s.mu.Unlock()
		return api.ErrUnavailable
	}
	return nil
}

// visible is the revision that reads and watches see.
func (s *store) visible() uint64 {
	if lag := s.faults.StaleReads; lag > 0 {
		return max(s.floor, s.revision-min(lag, s.revision))
	}
	return s.revision
}

// at returns the state of an object at a revision.
func (s *store) at(key string, revision uint64) (api.Object, bool) {
	versions := s.versions[key]
	for i := len(versions) - 1; i >= 0; i-- {
		if versions[i].Revision <= revision {
			return versions[i], true
		}
	}
	return api.Object{}, false
}

// peek returns the latest state of an object, without faults and uncounted.
func (s *store) peek(key string) (api.Object, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	obj, ok := s.at(key, s.revision)
	return obj, ok && !obj.Deleted
}

func (s *store) get(ctx context.Context, key string) (api.Object, error) {
	if err := s.begin(ctx, &s.calls.Get); err != nil {
		return api.Object{}, err
	}
	defer s.mu.Unlock()
	obj, ok := s.at(key, s.visible())
	if !ok || obj.Deleted {
		return api.Object{}, api.ErrNotFound
	}
	return obj, nil
}

func (s *store) list(ctx context.Context, prefix string) ([]api.Object, uint64, error) {
	if err := s.begin(ctx, &s.calls.List); err != nil {
		return nil, 0, err
	}
	defer s.mu.Unlock()
	revision := s.visible()
	var objects []api.Object
	for key := range s.versions {
		if obj, ok := s.at(key, revision); ok && !obj.Deleted && strings.HasPrefix(key, prefix) {
			objects = append(objects, obj)
		}
	}
	slices.SortFunc(objects, func(a, b api.Object) int { return cmp.Compare(a.Key, b.Key) })
	return objects, revision, nil
}

func (s *store) put(ctx context.Context, key string, value []byte, version uint64) (api.Object, error) {
	if len(value) > api.MaxValueBytes {
		return api.Object{}, api.ErrTooLarge
	}
	if key == "" || len(key) > 512 {
		return api.Object{}, errBadKey
	}
	return s.write(ctx, &s.calls.Put, api.Object{Key: key, Value: slices.Clone(value)}, version)
}

func (s *store) delete(ctx context.Context, key string, version uint64) error {
	_, err := s.write(ctx, &s.calls.Delete, api.Object{Key: key, Deleted: true}, version)
	return err
}

func (s *store) write(ctx context.Context, count *int64, obj api.Object, version uint64) (api.Object, error) {
	if err := s.begin(ctx, count); err != nil {
		return api.Object{}, err
	}
	defer s.mu.Unlock()
	old, ok := s.at(obj.Key, s.revision)
	exists := ok && !old.Deleted
	if obj.Deleted && !exists {
		return api.Object{}, api.ErrNotFound
	}
	if (exists && old.Version != version) || (!exists && version != 0) {
		return api.Object{}, api.ErrConflict
	}
	s.revision++
	// The version goes on after a deletion, so that a writer that knows the
	// deleted object cannot overwrite its successor.
	obj.Version, obj.Revision = old.Version+1, s.revision
	s.versions[obj.Key] = append(s.versions[obj.Key], obj)
	s.changes = append(s.changes, change{obj.Key, s.revision})
	s.compact()
	s.wakeWatches()
	if s.faults.LoseAnswers > 0 {
		s.faults.LoseAnswers--
		return api.Object{}, errLostAnswer
	}
	return obj, nil
}

// errLostAnswer says that a write took effect and that its answer is withheld.
var errLostAnswer = errors.Join(api.ErrUnavailable, errors.New("answer lost"))

// compact drops the oldest changes beyond the history and the versions that
// only those changes refer to.
func (s *store) compact() {
	for s.revision-s.floor > s.history {
		old := s.changes[0]
		s.changes = s.changes[1:]
		s.floor = old.revision
		versions := s.versions[old.key]
		for len(versions) > 1 && versions[1].Revision <= s.floor {
			versions = versions[1:]
		}
		if len(versions) == 1 && versions[0].Deleted && versions[0].Revision <= s.floor {
			// The tombstone stays for its version but takes no room for the value.
			versions[0].Value = nil
		}
		s.versions[old.key] = slices.Clone(versions)
	}
}

func (s *store) watch(ctx context.Context, prefix string, since uint64, wait time.Duration) ([]api.Object, uint64, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	if err := s.begin(ctx, &s.calls.Watch); err != nil {
		return nil, 0, err
	}
	for expired := false; ; {
		objects, revision, err := s.changedSince(prefix, since)
		if err != nil || len(objects) > 0 || expired {
			s.mu.Unlock()
			return objects, revision, err
		}
		wake := s.wake
		s.mu.Unlock()
		select {
		case <-wake:
		case <-timer.C:
			expired = true
		case <-ctx.Done():
			return nil, 0, errors.Join(api.ErrUnavailable, ctx.Err())
		}
		s.mu.Lock()
		if s.faults.Outage {
			s.mu.Unlock()
			return nil, 0, api.ErrUnavailable
		}
	}
}

// changedSince returns the latest state of each object that changed after
// since, in the order of the changes.
func (s *store) changedSince(prefix string, since uint64) ([]api.Object, uint64, error) {
	if since < s.floor || since > s.revision {
		// A revision of the future was issued before the store was replaced.
		return nil, 0, api.ErrCompacted
	}
	revision := s.visible()
	var objects []api.Object
	for _, c := range s.changes {
		if c.revision <= since || c.revision > revision || !strings.HasPrefix(c.key, prefix) {
			continue
		}
		if obj, ok := s.at(c.key, revision); ok && obj.Revision == c.revision {
			objects = append(objects, obj)
		}
	}
	return objects, max(since, revision), nil
}
