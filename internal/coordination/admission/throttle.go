package admission

import (
	"sync"
	"time"
)

const (
	// throttleWindow is the time in which the fate of a route's requests counts. At two
	// requests a second for each ingress node, it holds about ten of them.
	throttleWindow = 5 * time.Second
	throttleParts  = 10
	// throttleTolerance is the ratio of requests to good ends up to which nothing is
	// refused: one lost request in ten is tolerated.
	throttleTolerance = 1.1
	// throttleMax is the largest share that is refused, so that enough requests run to
	// show the end of the overload.
	throttleMax = 0.6
)

// Throttle refuses a part of the requests of one route whose runs fail because their
// own calls to another service find no slot. Load pattern: requests that each make
// calls to a service with too few slots for all. Without the throttle they take slots
// and then fail at a call, often the second one, whose first was served for nothing.
// A request that is refused at the start has run nothing and may come back.
//
// The share to refuse follows from the ends of the requests alone (adaptive throttling,
// Beyer et al., Site Reliability Engineering, chapter 21). It is safe for concurrent use.
type Throttle struct {
	mu    sync.Mutex
	parts [throttleParts]throttlePart
}

type throttlePart struct {
	index int64
	// offered counts the requests that ended or were refused here, and good those that
	// did not fail by a call without a slot.
	offered, good int
}

// Refuse reports whether to refuse a request; draw is a random number from 0 to 1.
func (t *Throttle) Refuse(now time.Time, draw float64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if draw >= t.share(now) {
		return false
	}
	t.part(now).offered++
	return true
}

// Observe takes the end of a request that ran. callRefused says that one of its calls
// was refused before any backend server got it.
func (t *Throttle) Observe(now time.Time, callRefused bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.part(now)
	p.offered++
	if !callRefused {
		p.good++
	}
}

// Share returns the share of the requests that is refused now.
func (t *Throttle) Share(now time.Time) float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.share(now)
}

func (t *Throttle) share(now time.Time) float64 {
	newest := throttleIndex(now)
	offered, good := 0, 0
	for i := range t.parts {
		if p := &t.parts[i]; newest-p.index < throttleParts {
			offered += p.offered
			good += p.good
		}
	}
	excess := float64(offered) - throttleTolerance*float64(good)
	return min(max(excess/float64(offered+1), 0), throttleMax)
}

func (t *Throttle) part(now time.Time) *throttlePart {
	index := throttleIndex(now)
	p := &t.parts[index%throttleParts]
	if p.index != index {
		*p = throttlePart{index: index}
	}
	return p
}

func throttleIndex(now time.Time) int64 {
	return now.UnixNano() / int64(throttleWindow/throttleParts)
}
