package platform

import (
	"context"
	"time"

	api "wigeonspring.example/wigeonspring/internal/state/platform"
)

// Memory is a Client that uses a store in its own process, without HTTP.
type Memory struct{ store *store }

var _ api.Client = (*Memory)(nil)

// NewMemory returns a client of an empty store with default options.
func NewMemory() *Memory { return NewMemoryWith(Options{}) }

// NewMemoryWith returns a client of an empty store with the given options.
func NewMemoryWith(o Options) *Memory { return &Memory{store: newStore(o.History)} }

// SetFaults replaces the injected faults.
func (m *Memory) SetFaults(f Faults) { m.store.setFaults(f) }

// Faults returns the injected faults. Their LoseAnswers is the number of responses
// that are still to be lost.
func (m *Memory) Faults() Faults { return m.store.getFaults() }

// RestoreFrom replaces the data by a copy of the given age. What was written since is lost, and
// its revisions are issued again.
func (m *Memory) RestoreFrom(age time.Duration) { m.store.restoreFrom(age) }

// Era returns the number of the copy that is served; each restore raises it by one.
func (m *Memory) Era() uint64 { return m.store.getEra() }

// Calls returns the number of calls of each kind.
func (m *Memory) Calls() Calls { return m.store.getCalls() }

// Peek returns the latest state of an object. It is not affected by faults and not
// counted as a call.
func (m *Memory) Peek(key string) (api.Object, bool) { return m.store.peek(key) }

// Get implements Client.
func (m *Memory) Get(ctx context.Context, key string) (api.Object, error) {
	return m.store.get(ctx, key)
}

// List implements Client.
func (m *Memory) List(ctx context.Context, prefix string) ([]api.Object, uint64, error) {
	return m.store.list(ctx, prefix)
}

// Put implements Client.
func (m *Memory) Put(ctx context.Context, key string, value []byte, version uint64) (api.Object, error) {
	return m.store.put(ctx, key, value, version)
}

// Delete implements Client.
func (m *Memory) Delete(ctx context.Context, key string, version uint64) error {
	return m.store.delete(ctx, key, version)
}

// Watch implements Client.
func (m *Memory) Watch(ctx context.Context, prefix string, since uint64, wait time.Duration) ([]api.Object, uint64, error) {
	return m.store.watch(ctx, prefix, since, wait)
}
