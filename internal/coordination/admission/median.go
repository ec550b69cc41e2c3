package admission

import (
	"slices"
	"time"
)

// medianWindowed is the median of the latest service times within medianWindow.
type medianWindowed struct {
	samples []sample        // in order of arrival
	sorted  []time.Duration // the same values, sorted
}

type sample struct {
	at    time.Time
	value time.Duration
}

func (m *medianWindowed) add(now time.Time, value time.Duration) {
	m.expire(now)
	if len(m.samples) == medianSamples {
		m.drop()
	}
	m.samples = append(m.samples, sample{now, value})
	i, _ := slices.BinarySearch(m.sorted, value)
	m.sorted = slices.Insert(m.sorted, i, value)
}

// value returns the median, or false if there are too few recent service times.
func (m *medianWindowed) value(now time.Time) (time.Duration, bool) {
	m.expire(now)
	if len(m.sorted) < minMedianSamples {
		return 0, false
	}
	return m.sorted[len(m.sorted)/2], true
}

func (m *medianWindowed) expire(now time.Time) {
	for len(m.samples) > 0 && now.Sub(m.samples[0].at) > medianWindow {
		m.drop()
	}
}

// drop removes the oldest sample.
func (m *medianWindowed) drop() {
	i, _ := slices.BinarySearch(m.sorted, m.samples[0].value)
	m.sorted = slices.Delete(m.sorted, i, i+1)
	m.samples = slices.Delete(m.samples, 0, 1)
}
