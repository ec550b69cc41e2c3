package proxy

import "sync/atomic"

// memory is a number of bytes that requests share.
type memory struct{ free atomic.Int64 }

func newMemory(bytes int64) *memory {
	m := &memory{}
	m.free.Store(bytes)
	return m
}

// take reserves n bytes and returns the function that gives them back, or nil if
// so many are not free.
func (m *memory) take(n int64) (release func()) {
	if m.free.Add(-n) < 0 {
		m.free.Add(n)
		return nil
	}
	return func() { m.free.Add(n) }
}
