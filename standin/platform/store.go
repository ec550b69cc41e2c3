// Package platform is a stand-in for the platform's object API. It provides a
// store with versions, conditional writes and watches, over HTTP or in memory,
// and injects faults like those of the real platform.
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

// Faults are the injected faults. The zero value injects none.
type Faults struct {
	// Outage fails every call and ends the waiting watches.
	Outage bool `json:"outage"`
	// DelayMillis delays every call before it takes effect.
	DelayMillis int64 `json:"delay_ms"`
	// LoseAnswers is the number of further writes that take effect without a
	// response.
	LoseAnswers int `json:"lose_answers"`
	// StaleReads is the number of revisions by which the results of reads and
	// watches lag behind the latest one. The lag ends at the oldest revision that
	// is kept.
	StaleReads uint64 `json:"stale_reads"`
}

// Calls counts the calls of each kind, failed ones included. A waiting watch is
// one call. A put that is rejected for its key or size is not counted.
type Calls struct {
	Get    int64 `json:"get"`
	List   int64 `json:"list"`
	Put    int64 `json:"put"`
	Delete int64 `json:"delete"`
	Watch  int64 `json:"watch"`
}

// defaultHistory is the number of revisions kept for watches.
const defaultHistory = 4096

// errInvalidKey is returned for a key that cannot be stored.
var errInvalidKey = errors.New("key must have 1 to 512 bytes")

// store keeps the recent versions of every object. The history of revisions
// after compactedRevision is complete. Once the history is full, every write
// raises compactedRevision.
type store struct {
	history uint64

	mu                sync.Mutex
	revision          uint64
	compactedRevision uint64
	// versions maps a key to the states of its object, the oldest first. The oldest
	// state may be at or before compactedRevision.
	versions map[string][]api.Object
	// changes lists the writes after compactedRevision, in the order of the
	// revisions.
	changes []change
	faults  Faults
	calls   Calls
	// era is the number of restores from an older copy, counted from 1.
	era uint64
	// changed is closed and replaced after a write or a change of the faults, so
	// that waiting watches check again.
	changed chan struct{}
}

type change struct {
	key      string
	revision uint64
	at       time.Time
}

func newStore(history int) *store {
	if history <= 0 {
		history = defaultHistory
	}
	return &store{era: 1, history: uint64(history), versions: map[string][]api.Object{}, changed: make(chan struct{})}
}

func (s *store) wakeWatchers() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) setFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	s.wakeWatchers()
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

// restoreFrom replaces the data by a copy of the given age, or by the oldest one that the
// history allows. The revisions after it are issued again.
func (s *store) restoreFrom(age time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	taken := time.Now().Add(-age)
	kept := len(s.changes)
	for kept > 0 && s.changes[kept-1].at.After(taken) {
		kept--
		c := s.changes[kept]
		s.versions[c.key] = slices.DeleteFunc(s.versions[c.key], func(o api.Object) bool { return o.Revision == c.revision })
		if len(s.versions[c.key]) == 0 {
			delete(s.versions, c.key)
		}
	}
	s.changes = s.changes[:kept:kept]
	s.revision = s.compactedRevision
	if kept > 0 {
		s.revision = s.changes[kept-1].revision
	}
	s.era++
	s.wakeWatchers()
}

func (s *store) getEra() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.era
}

// beginCall counts a call and waits for the injected delay. It returns with the
// lock held. If ctx ends during the delay, or in an outage, it returns an error and
// does not hold the lock.
func (s *store) beginCall(ctx context.Context, counter *int64) error {
	s.mu.Lock()
	*counter++
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

// readRevision returns the revision that reads and watches see.
func (s *store) readRevision() uint64 {
	if lag := s.faults.StaleReads; lag > 0 {
		return max(s.compactedRevision, s.revision-min(lag, s.revision))
	}
	return s.revision
}

// stateAt returns the state of an object at a revision.
func (s *store) stateAt(key string, revision uint64) (api.Object, bool) {
	versions := s.versions[key]
	for i := len(versions) - 1; i >= 0; i-- {
		if versions[i].Revision <= revision {
			return versions[i], true
		}
	}
	return api.Object{}, false
}

// peek returns the latest state of an object. It is not affected by faults and
// not counted as a call.
func (s *store) peek(key string) (api.Object, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	obj, ok := s.stateAt(key, s.revision)
	return obj, ok && !obj.Deleted
}

func (s *store) get(ctx context.Context, key string) (api.Object, error) {
	if err := s.beginCall(ctx, &s.calls.Get); err != nil {
		return api.Object{}, err
	}
	defer s.mu.Unlock()
	obj, ok := s.stateAt(key, s.readRevision())
	if !ok || obj.Deleted {
		return api.Object{}, api.ErrNotFound
	}
	return obj, nil
}

func (s *store) list(ctx context.Context, prefix string) ([]api.Object, uint64, error) {
	if err := s.beginCall(ctx, &s.calls.List); err != nil {
		return nil, 0, err
	}
	defer s.mu.Unlock()
	revision := s.readRevision()
	var objects []api.Object
	for key := range s.versions {
		if obj, ok := s.stateAt(key, revision); ok && !obj.Deleted && strings.HasPrefix(key, prefix) {
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
		return api.Object{}, errInvalidKey
	}
	return s.write(ctx, &s.calls.Put, api.Object{Key: key, Value: slices.Clone(value)}, version)
}

func (s *store) delete(ctx context.Context, key string, version uint64) error {
	_, err := s.write(ctx, &s.calls.Delete, api.Object{Key: key, Deleted: true}, version)
	return err
}

func (s *store) write(ctx context.Context, counter *int64, obj api.Object, version uint64) (api.Object, error) {
	if err := s.beginCall(ctx, counter); err != nil {
		return api.Object{}, err
	}
	defer s.mu.Unlock()
	old, ok := s.stateAt(obj.Key, s.revision)
	exists := ok && !old.Deleted
	if obj.Deleted && !exists {
		return api.Object{}, api.ErrNotFound
	}
	if (exists && old.Version != version) || (!exists && version != 0) {
		return api.Object{}, api.ErrConflict
	}
	s.revision++
	// The version continues after a deletion, so that a writer that knows a version
	// of the deleted object cannot overwrite the one created after it.
	obj.Version, obj.Revision = old.Version+1, s.revision
	s.versions[obj.Key] = append(s.versions[obj.Key], obj)
	s.changes = append(s.changes, change{obj.Key, s.revision, time.Now()})
	s.compact()
	s.wakeWatchers()
	if s.faults.LoseAnswers > 0 {
		s.faults.LoseAnswers--
		return api.Object{}, errResponseLost
	}
	return obj, nil
}

// errResponseLost is returned for a write that took effect although its response is
// withheld.
var errResponseLost = errors.Join(api.ErrUnavailable, errors.New("response lost"))

// compact removes the oldest changes beyond the history and the versions that only
// these changes refer to.
func (s *store) compact() {
	for s.revision-s.compactedRevision > s.history {
		old := s.changes[0]
		s.changes = s.changes[1:]
		s.compactedRevision = old.revision
		versions := s.versions[old.key]
		for len(versions) > 1 && versions[1].Revision <= s.compactedRevision {
			versions = versions[1:]
		}
		if len(versions) == 1 && versions[0].Deleted && versions[0].Revision <= s.compactedRevision {
			// The tombstone is kept for its version, without a value.
			versions[0].Value = nil
		}
		s.versions[old.key] = slices.Clone(versions)
	}
}

func (s *store) watch(ctx context.Context, prefix string, since uint64, wait time.Duration) ([]api.Object, uint64, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	if err := s.beginCall(ctx, &s.calls.Watch); err != nil {
		return nil, 0, err
	}
	for era, expired := s.era, false; ; {
		if s.era != era {
			s.mu.Unlock()
			return nil, 0, api.ErrCompacted
		}
		objects, revision, err := s.changesSince(prefix, since)
		if err != nil || len(objects) > 0 || expired {
			s.mu.Unlock()
			return objects, revision, err
		}
		changed := s.changed
		s.mu.Unlock()
		select {
		case <-changed:
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

// changesSince returns the latest state of each object under prefix that changed
// after the revision since, in the order of the changes.
func (s *store) changesSince(prefix string, since uint64) ([]api.Object, uint64, error) {
	if since < s.compactedRevision || since > s.revision {
		// A revision above the latest one was issued by a store that this one replaced.
		return nil, 0, api.ErrCompacted
	}
	revision := s.readRevision()
	var objects []api.Object
	for _, c := range s.changes {
		if c.revision <= since || c.revision > revision || !strings.HasPrefix(c.key, prefix) {
			continue
		}
		if obj, ok := s.stateAt(c.key, revision); ok && obj.Revision == c.revision {
			objects = append(objects, obj)
		}
	}
	return objects, max(since, revision), nil
}
