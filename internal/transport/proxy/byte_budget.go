package proxy

import "sync/atomic"

// byteBudget limits the memory that requests share.
type byteBudget struct{ free atomic.Int64 }

func newByteBudget(bytes int64) *byteBudget {
	m := &byteBudget{}
	m.free.Store(bytes)
	return m
}

// take reserves n bytes. It reports false if fewer are free.
func (b *byteBudget) take(n int64) bool {
	if b.free.Add(-n) < 0 {
		b.free.Add(n)
		return false
	}
	return true
}

// give frees n bytes.
func (b *byteBudget) give(n int64) { b.free.Add(n) }
