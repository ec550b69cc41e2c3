// Package invariant checks conditions that must always hold. A violation is
// counted in expvar and passed to the configured handler: the daemon logs it,
// tests and measurement tools panic.
package invariant

import (
	"expvar"
	"fmt"
	"sync/atomic"
)

// Handler receives the name of a violated invariant and a description of the
// violation.
type Handler func(name, detail string)

var (
	violations = expvar.NewMap("invariant_violations")
	handler    atomic.Pointer[Handler]
)

// SetHandler replaces the violation handler. The default handler panics, so
// that tests and tools stop at the first violation.
func SetHandler(h Handler) { handler.Store(&h) }

// Check reports a violation of the named invariant if ok is false.
func Check(ok bool, name, format string, args ...any) {
	if ok {
		return
	}
	violations.Add(name, 1)
	detail := fmt.Sprintf(format, args...)
	if h := handler.Load(); h != nil {
		(*h)(name, detail)
		return
	}
	panic("invariant " + name + " violated: " + detail)
}

// Violations returns the number of violations of the named invariant.
func Violations(name string) int64 {
	v, ok := violations.Get(name).(*expvar.Int)
	if !ok {
		return 0
	}
	return v.Value()
}
