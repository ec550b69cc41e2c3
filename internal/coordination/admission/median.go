package admission

import (
	"maps"
	"slices"
	"time"
)

// medians holds the median service times by route. They are kept apart because a route of
// short requests may have deadlines below the service times of other routes.
type medians map[string]*windowedMedian

func (m medians) add(now time.Time, route string, value time.Duration) {
	w := m[route]
	if w == nil {
		if len(m) >= maxMedians {
			maps.DeleteFunc(m, func(_ string, w *windowedMedian) bool { w.expire(now); return len(w.samples) == 0 })
		}
		if len(m) >= maxMedians {
			return
		}
		w = &windowedMedian{}
		m[route] = w
	}
	w.add(now, value)
}

// value returns the median of a route, or false if it has too few recent service times.
func (m medians) value(now time.Time, route string) (time.Duration, bool) {
	w := m[route]
	if w == nil {
		return 0, false
	}
	return w.value(now)
}

// windowedMedian holds the latest service times within medianWindow, for their median.
type windowedMedian struct {
	samples []sample        // in order of arrival
	sorted  []time.Duration // the same values, sorted
}

type sample struct {
	at    time.Time
	value time.Duration
}

func (m *windowedMedian) add(now time.Time, value time.Duration) {
	m.expire(now)
	if len(m.samples) == medianSamples {
		m.drop()
	}
	m.samples = append(m.samples, sample{now, value})
	i, _ := slices.BinarySearch(m.sorted, value)
	m.sorted = slices.Insert(m.sorted, i, value)
}

// value returns the median, or false if there are too few recent service times.
func (m *windowedMedian) value(now time.Time) (time.Duration, bool) {
	m.expire(now)
	if len(m.sorted) < minMedianSamples {
		return 0, false
	}
	return m.sorted[len(m.sorted)/2], true
}

// percentile90 returns the service time that nine in ten recent requests did not exceed, or
// false if there are too few.
func (m *windowedMedian) percentile90(now time.Time) (time.Duration, bool) {
	m.expire(now)
	if len(m.sorted) < minMedianSamples {
		return 0, false
	}
	return m.sorted[len(m.sorted)*9/10], true
}

// longest returns the longest of at least minSamples recent service times, or false if there
// are fewer.
func (m *windowedMedian) longest(now time.Time, minSamples int) (time.Duration, bool) {
	m.expire(now)
	if len(m.sorted) < minSamples {
		return 0, false
	}
	return m.sorted[len(m.sorted)-1], true
}

func (m *windowedMedian) expire(now time.Time) {
	for len(m.samples) > 0 && now.Sub(m.samples[0].at) > medianWindow {
		m.drop()
	}
}

// drop removes the oldest sample.
func (m *windowedMedian) drop() {
	i, _ := slices.BinarySearch(m.sorted, m.samples[0].value)
	m.sorted = slices.Delete(m.sorted, i, i+1)
	m.samples = slices.Delete(m.samples, 0, 1)
}
