package suspicion

import (
	"testing"
	"time"

	"wigeonspring.example/wigeonspring/internal/state/evidence"
)

// Guards against senders of trials that return together, or so late that a backend server that
// has recovered gets no trials. Load: 40 nodes with idempotent requests for one suspect server.
func TestRetryAfterSpreadsTrials(t *testing.T) {
	var tr Tracker
	now := time.Unix(1000, 0)
	tr.Observe(now, now, evidence.Reset)
	turns := make(map[time.Duration]int)
	for range 40 {
		turns[tr.RetryAfter(now, true)]++
	}
	for d, n := range turns {
		if d < minRetryDelay || d > maxRetryDelay || n > 1 && d != maxRetryDelay {
			t.Errorf("%d senders return after %v", n, d)
		}
	}
	if want := int(maxRetryDelay / trialInterval); len(turns) != want {
		t.Errorf("%d different turns in %v, want %d", len(turns), maxRetryDelay, want)
	}
	if d := tr.RetryAfter(now.Add(time.Minute), true); d > 2*trialInterval {
		t.Errorf("after a minute without trials, the next sender waits %v", d)
	}
}

// Guards against requests that avoid a backend server long after its suspicion has ended.
// Load: requests that must not be repeated, during a suspicion of 10 s.
func TestRetryAfterFollowsAge(t *testing.T) {
	var tr Tracker
	start := time.Unix(1000, 0)
	tr.Observe(start, start, evidence.Reset)
	last := time.Duration(0)
	for age := time.Duration(0); age < 10*time.Second; age += 500 * time.Millisecond {
		d := tr.RetryAfter(start.Add(age), false)
		if d < last || d < minRetryDelay || d > max(age/2, minRetryDelay) || d > maxRetryDelay {
			t.Errorf("suspect for %v: avoided for %v, before for %v", age, d, last)
		}
		last = d
	}
	now := start.Add(10 * time.Second)
	tr.Admit(now, Request{TrialAllowed: true})
	tr.Observe(now, now, evidence.Success)
	if d := tr.RetryAfter(now, false); d != minRetryDelay {
		t.Errorf("after a passed trial: avoided for %v, want %v", d, minRetryDelay)
	}
}
