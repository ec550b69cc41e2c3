package admission

import (
	"maps"
	"slices"
	"time"
)

// ForecastInterval is the time after which RefuseHopeless is due while requests are queued.
const ForecastInterval = 200 * time.Millisecond

// serviceTime returns the time that a request is likely to hold a slot; zero means that it is
// not known.
func (c *Controller) serviceTime(r *Request) time.Duration {
	if r.ExpectedWork > 0 {
		return r.ExpectedWork
	}
	median, _ := c.medians.value(c.now, r.Route)
	return median
}

// RefuseHopeless refuses the queued requests that are not going to start before it is too late.
// Offer does the same. Beside it, RefuseHopeless must be called from time to time: the slots of
// a backend server that hangs are released late or never, and no other call tells so.
func (c *Controller) RefuseHopeless(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.advance(now)
	c.refuseHopeless()
}

// refuseHopeless refuses the queued requests that are not going to start before it is too late.
// It matters under overload and when the backend server has become slow or hangs: a request
// that would wait in vain can still be served elsewhere, and its caller learns of a refusal
// at once rather than at the deadline. Nothing is refused while the service time of a request
// in flight is not known.
func (c *Controller) refuseHopeless() {
	if len(c.queue) == 0 {
		return
	}
	free, known := c.releaseTimes()
	if !known {
		return
	}
	for _, e := range c.likelyOrder() {
		start := free[0]
		if !e.Deadline.IsZero() && !start.Before(c.expiry(&e.Request)) {
			c.decide(slices.Index(c.queue, e), false, QueueTooSlow)
			continue
		}
		end := start.Add(c.serviceTime(&e.Request))
		i, _ := slices.BinarySearchFunc(free[1:], end, time.Time.Compare)
		copy(free, free[1:1+i])
		free[i] = end
	}
}

// likelyOrder returns the queue in the order in which next would admit it if all requests were
// of one caller.
func (c *Controller) likelyOrder() []*entry {
	byRank := make(map[int][]*entry)
	for _, e := range c.queue {
		byRank[e.Rank] = append(byRank[e.Rank], e)
	}
	for _, entries := range byRank {
		slices.SortStableFunc(entries, func(a, b *entry) int {
			return compareTimes(c.startBy(&a.Request), c.startBy(&b.Request))
		})
	}
	ranks := slices.Sorted(maps.Keys(byRank))
	order := make([]*entry, 0, len(c.queue))
	for range c.queue {
		best := -1
		for _, rank := range ranks {
			if e := byRank[rank]; len(e) > 0 && (best < 0 || e[0].due.Before(byRank[best][0].due)) {
				best = rank
			}
		}
		order = append(order, byRank[best][0])
		byRank[best] = byRank[best][1:]
	}
	return order
}

// releaseTimes returns when each slot is likely to become free, in order. A request that has
// taken longer than usual is expected to take as long again as it is late. The result is false
// if the service time of a request in flight is not known.
func (c *Controller) releaseTimes() ([]time.Time, bool) {
	var times []time.Time
	for _, e := range c.inFlight {
		usual := c.serviceTime(&e.Request)
		if usual == 0 {
			return nil, false
		}
		times = append(times, c.now.Add((usual - c.now.Sub(e.started)).Abs()))
	}
	for len(times) < c.slots() {
		times = append(times, c.now)
	}
	slices.SortFunc(times, time.Time.Compare)
	// Requests in flight beyond the slots in force keep theirs until they end.
	return times[len(times)-c.slots():], true
}
