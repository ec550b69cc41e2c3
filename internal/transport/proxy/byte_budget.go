package proxy

import "sync/atomic"

// byteBudget limits the memory that requests share.
type byteBudget struct{ free atomic.Int64 }

func newByteBudget(bytes int64) *byteBudget {
	m := &byteBudget{}
	m.free.Store(bytes)
	return m
}

// reserve reserves n bytes and returns a function that frees them. It returns nil if
// fewer than n bytes are free.
func (b *byteBudget) reserve(n int64) (release func()) {
	if b.free.Add(-n) < 0 {
		b.free.Add(n)
		return nil
	}
	return func() { b.free.Add(n) }
}
