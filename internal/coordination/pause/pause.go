// Package pause notices that a process was paused: that it did not run although its timers were
// due, because it was stopped or its VM was suspended.
//
// A paused process cannot act, and it also does not know what the others have done meanwhile. What
// it holds by time, such as a lease or the contact to another node, is to be checked when it wakes
// up, before anything that has waited for it is handled.
package pause

import "time"

// Elapsed returns the larger of the monotonic and the wall-clock difference. The monotonic clock
// stands still while a VM is suspended; the wall clock does not.
func Elapsed(now, since time.Time) time.Duration {
	return max(now.Sub(since), now.Round(0).Sub(since.Round(0)))
}

// Detector notices pauses by the gaps between its calls.
type Detector struct {
	// MaxGap is the longest time between two calls that is not a pause.
	MaxGap time.Duration

	last time.Time
}

// Ended records that the process runs and reports whether a pause has just ended.
func (d *Detector) Ended(now time.Time) bool {
	paused := !d.last.IsZero() && Elapsed(now, d.last) > d.MaxGap
	if paused || now.After(d.last) {
		d.last = now
	}
	return paused
}
