package suspicion

import (
	"math"
	"sync"
	"time"
)

const (
	// highShare is the share of unserved requests above which High reports true.
	// The floor of a service tolerates less than a tenth of unserved requests in the
	// whole fleet. The sample of one node may show half of that. The share of errors in
	// normal operation is below 2%.
	highShare = 0.05
	// minTotalWeight is the total weight of requests below which the sample is too small.
	minTotalWeight = 3
)

// UnservedRate tracks the recent share of the requests of a service that were not
// served, as seen by one node. It is safe for concurrent use.
type UnservedRate struct {
	mu              sync.Mutex
	total, unserved float64
	updated         time.Time
}

// Add records the end of a request.
func (u *UnservedRate) Add(now time.Time, served bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.decay(now)
	u.total++
	if !served {
		u.unserved++
	}
}

// High reports whether the share of unserved requests is high.
func (u *UnservedRate) High(now time.Time) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.decay(now)
	return u.total >= minTotalWeight && u.unserved > highShare*u.total
}

// decay halves the weight of past requests every halfLife.
func (u *UnservedRate) decay(now time.Time) {
	if !u.updated.IsZero() && now.After(u.updated) {
		factor := math.Exp2(-float64(now.Sub(u.updated)) / float64(halfLife))
		u.total, u.unserved = u.total*factor, u.unserved*factor
	}
	u.updated = now
}
