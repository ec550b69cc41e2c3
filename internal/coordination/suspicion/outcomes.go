package suspicion

import (
	"math"
	"sync"
	"time"
)

const (
	// shortShare is the share of requests without service above which a service is
	// short at a node. The floor counts from a tenth on in the fleet; the sample of a
	// node may show half of that, and errors at any time are below 2%.
	shortShare = 0.05
	// shortMin is the weight of the requests below which the share says nothing.
	shortMin = 3
)

// UnservedRate follows at one node which share of a service's requests was not served
// lately. It is safe for concurrent use.
type UnservedRate struct {
	mu              sync.Mutex
	total, unserved float64
	at              time.Time
}

// Add takes the end of a request.
func (o *UnservedRate) Add(now time.Time, served bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.decay(now)
	o.total++
	if !served {
		o.unserved++
	}
}

// High reports whether too many requests were not served.
func (o *UnservedRate) High(now time.Time) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.decay(now)
	return o.total >= shortMin && o.unserved > shortShare*o.total
}

// decay halves the weight of the requests with each halfLife.
func (o *UnservedRate) decay(now time.Time) {
	if !o.at.IsZero() && now.After(o.at) {
		factor := math.Exp2(-float64(now.Sub(o.at)) / float64(halfLife))
		o.total, o.unserved = o.total*factor, o.unserved*factor
	}
	o.at = now
}
