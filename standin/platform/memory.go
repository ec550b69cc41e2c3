package platform

import (
	"context"
	"time"

	api "wigeonspring.example/wigeonspring/internal/state/platform"
)

// Memory is the store as a Client without HTTP.
type Memory struct{ store *store }

var _ api.Client = (*Memory)(nil)

// NewMemory returns an empty store.
func NewMemory() *Memory { return NewMemoryWith(Options{}) }

// NewMemoryWith returns an empty store with options.
func NewMemoryWith(o Options) *Memory { return &Memory{store: newStore(o.History)} }

// SetFaults replaces the fault switches.
func (m *Memory) SetFaults(f Faults) { m.store.setFaults(f) }

// Faults returns the fault switches; LoseAnswers is what is left of it.
func (m *Memory) Faults() Faults { return m.store.getFaults() }

// Calls returns the number of calls by kind.
func (m *Memory) Calls() Calls { return m.store.getCalls() }

// Peek returns the latest state of an object, without faults and uncounted.
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
