package cost

import (
	"math"
	"time"
)

const (
	// bucketsPerOctave sets the resolution of a histogram: a bucket is 19% wide.
	bucketsPerOctave = 4
	// minWork and maxWork are the range of the histograms.
	minWork = 500 * time.Microsecond
	maxWork = 2 * time.Minute
	// sampleHalfLife is the half-life of the weight of a sample.
	sampleHalfLife = 10 * time.Second
	// maxWeight bounds the weight of a histogram, so that a busy class follows a change
	// after some dozens of samples instead of after sampleHalfLife.
	maxWeight = 64
)

// buckets is the number of buckets between minWork and maxWork.
var buckets = bucketOf(maxWork) + 1

func bucketOf(d time.Duration) int {
	d = min(max(d, minWork), maxWork)
	return int(bucketsPerOctave * math.Log2(float64(d)/float64(minWork)))
}

// bucketValue returns the geometric middle of a bucket.
func bucketValue(i int) time.Duration {
	return time.Duration(float64(minWork) * math.Exp2((float64(i)+0.5)/bucketsPerOctave))
}

// histogram is a histogram of service times with decaying weights.
type histogram struct {
	counts  []float32
	weight  float64
	sum     float64 // weighted sum in nanoseconds
	sumLog  float64 // weighted sum of the logarithms of nanoseconds
	updated time.Time
}

func (h *histogram) add(now time.Time, d time.Duration) {
	if h.counts == nil {
		h.counts = make([]float32, buckets)
	}
	h.decay(now)
	h.counts[bucketOf(d)]++
	h.weight++
	d = min(max(d, minWork), maxWork)
	h.sum += float64(d)
	h.sumLog += math.Log(float64(d))
	if h.weight > maxWeight {
		h.scale(maxWeight / h.weight)
	}
}

func (h *histogram) decay(now time.Time) {
	if !h.updated.IsZero() && now.After(h.updated) {
		h.scale(math.Exp2(-float64(now.Sub(h.updated)) / float64(sampleHalfLife)))
	}
	h.updated = now
}

func (h *histogram) scale(f float64) {
	for i := range h.counts {
		h.counts[i] *= float32(f)
	}
	h.weight *= f
	h.sum *= f
	h.sumLog *= f
}
