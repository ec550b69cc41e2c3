package admission

import (
	"testing"
	"time"
)

// Guards against a backlog that ignores the remaining work, the queue or the age of requests.
// Load: two slots with requests of 1 s and 3 s, and a queue of 2 s.
func TestBacklog(t *testing.T) {
	start := time.Unix(1000, 0)
	c := NewController(Options{Slots: 2, SkipRamp: true}, start)
	check := func(after, want time.Duration) {
		t.Helper()
		if got := c.Backlog(start.Add(after)); got != want {
			t.Errorf("after %v: backlog %v, want %v", after, got, want)
		}
	}
	offer := func(ticket uint64, work time.Duration) {
		c.Offer(start, Request{Ticket: ticket, Deadline: start.Add(time.Minute), ExpectedWork: work})
	}
	check(0, 0)
	offer(1, time.Second)
	check(0, 0)
	offer(2, 3*time.Second)
	check(0, time.Second)
	check(500*time.Millisecond, 500*time.Millisecond)
	offer(3, 2*time.Second)
	check(500*time.Millisecond, 2500*time.Millisecond)
	// The first request has taken far longer than expected, so it is likely to be a heavy one.
	check(8*time.Second, 4*time.Second)
	c.Release(start.Add(9*time.Second), 1, 9*time.Second)
	c.TakeDecisions(start.Add(9 * time.Second))
	check(9*time.Second, 2*time.Second)
}
