package pause

import (
	"testing"
	"time"
)

// Guards against pauses that go unnoticed, also those of a VM whose monotonic clock stood still, and
// against usual gaps that count as pauses.
func TestDetectorNoticesPauses(t *testing.T) {
	start := time.Now()
	wall := start.Round(0) // without the monotonic clock
	d := Detector{MaxGap: 500 * time.Millisecond}
	for i, c := range []struct {
		now   time.Time
		ended bool
	}{
		{start, false},
		{start.Add(100 * time.Millisecond), false},
		{start.Add(90 * time.Millisecond), false}, // Taken before the previous call got the lock.
		{start.Add(600 * time.Millisecond), false},
		{start.Add(1200 * time.Millisecond), true},
		{start.Add(1300 * time.Millisecond), false},
		{wall.Add(4 * time.Second), true},
		{start.Add(4100 * time.Millisecond), false},
	} {
		if got := d.Ended(c.now); got != c.ended {
			t.Errorf("call %d: %t, want %t", i, got, c.ended)
		}
	}
}
