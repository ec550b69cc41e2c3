package proxy

import (
	"sync"
	"time"
)

// failedCalls holds the requests that failed most recently at this node. A backend
// server sends its own calls through the node on its VM and responds with status 500
// when one of them fails. Such a response is no evidence against the backend server.
type failedCalls struct {
	mu     sync.Mutex
	recent [failedCallsCapacity]interval
	next   int
}

type interval struct{ start, end time.Time }

const (
	// failedCallsCapacity exceeds the number of slots of a backend server, each of
	// which makes one call at a time.
	failedCallsCapacity = 32
	// callFailureWindow is the time within which a backend server responds after one
	// of its calls has failed.
	callFailureWindow = 100 * time.Millisecond
)

// add records a request that failed.
func (f *failedCalls) add(start, end time.Time) {
	if f == nil {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.recent[f.next] = interval{start, end}
	f.next = (f.next + 1) % failedCallsCapacity
}

// mayExplain reports whether an exchange that lasted from start to end may have
// failed because a call of the backend server failed.
func (f *failedCalls) mayExplain(start, end time.Time) bool {
	if f == nil {
		return false
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, c := range f.recent {
		if c.end.IsZero() || c.start.Before(start) || c.end.After(end) {
			continue
		}
		if end.Sub(c.end) <= callFailureWindow {
			return true
		}
	}
	return false
}
