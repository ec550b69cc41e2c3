package proxy

import (
	"sync"
	"time"
)

// failedCalls remembers the latest requests that failed at this node. A backend
// server sends its own calls through the node on its VM and answers 500 when one
// of them fails, which says nothing about the backend server itself.
type failedCalls struct {
	mu     sync.Mutex
	latest [failedCallsKept]interval
	next   int
}

type interval struct{ start, end time.Time }

const (
	// failedCallsKept is above the slots of a backend server, each of which makes
	// one call at a time.
	failedCallsKept = 32
	// callFailureWindow is the time within which a backend server answers after its
	// call has failed.
	callFailureWindow = 100 * time.Millisecond
)

// add notes a request that failed.
func (f *failedCalls) add(start, end time.Time) {
	if f == nil {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.latest[f.next] = interval{start, end}
	f.next = (f.next + 1) % failedCallsKept
}

// explain reports whether an exchange that began at start and failed at end may
// have failed because of one of its calls.
func (f *failedCalls) explain(start, end time.Time) bool {
	if f == nil {
		return false
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, c := range f.latest {
		if c.end.IsZero() || c.start.Before(start) || c.end.After(end) {
			continue
		}
		if end.Sub(c.end) <= callFailureWindow {
			return true
		}
	}
	return false
}
