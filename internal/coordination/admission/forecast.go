package admission

import (
	"cmp"
	"slices"
	"time"
)

// ForecastInterval is the time after which RefuseForecastLate is due while requests are queued.
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

// RefuseForecastLate refuses the queued requests that are not going to start before it is too late.
// Offer does the same. Beside it, RefuseForecastLate must be called from time to time: the slots of
// a backend server that hangs are released late or never, and no other call tells so.
func (c *Controller) RefuseForecastLate(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.advance(now)
	c.refuseForecastLate()
}

// refuseForecastLate refuses the queued requests that are not going to start before it is too late.
// It matters under overload and when the backend server has become slow or hangs: a request
// that would not start in time can still be served elsewhere, and its caller learns of a refusal
// at once rather than at the deadline. Nothing is refused while the service time of a request
// in flight is not known.
func (c *Controller) refuseForecastLate() {
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

// likelyOrder returns the queue in the order in which next is likely to admit it.
func (c *Controller) likelyOrder() []*entry {
	groups := c.groupsInOrder()
	order := make([]*entry, 0, len(c.queue))
	for len(groups) > 0 {
		best := 0
		for i, g := range groups {
			if c.goesBefore(g[0], groups[best][0]) {
				best = i
			}
		}
		order = append(order, groups[best][0])
		if groups[best] = groups[best][1:]; len(groups[best]) == 0 {
			groups = slices.Delete(groups, best, best+1)
		}
	}
	return order
}

// goesBefore compares the first entries of two groups.
func (c *Controller) goesBefore(e, o *entry) bool {
	if e.Rank == o.Rank {
		return c.startsBefore(e, o)
	}
	return e.due.Before(o.due)
}

// groupsInOrder returns the entries to which precedes applies, in its order. The requests of a
// caller count as in flight for the later ones of the same caller, so that callers with few
// requests are not forecast behind the whole queue of one with many.
func (c *Controller) groupsInOrder() [][]*entry {
	queue := slices.Clone(c.queue)
	slices.SortStableFunc(queue, func(a, b *entry) int {
		return cmp.Or(cmp.Compare(a.Rank, b.Rank), compareTimes(c.startBy(&a.Request), c.startBy(&b.Request)))
	})
	var groups [][]*entry
	for _, e := range queue {
		i := slices.IndexFunc(groups, func(g []*entry) bool { return e.sameGroup(g[0]) })
		if i < 0 {
			groups = append(groups, []*entry{e})
			continue
		}
		groups[i] = append(groups[i], e)
	}
	for _, g := range groups {
		sortByShares(g)
	}
	return groups
}

// sortByShares sorts a group, which is in the order of startBy, by the shares of the callers.
func sortByShares(group []*entry) {
	shares := make(map[*entry]float64, len(group))
	inFlight := make(map[*callerState]int)
	for _, e := range group {
		shares[e] = e.caller.share(e.caller.inFlight + inFlight[e.caller])
		inFlight[e.caller]++
	}
	slices.SortStableFunc(group, func(a, b *entry) int {
		return cmp.Or(cmp.Compare(shares[a], shares[b]), cmp.Compare(a.caller.admissions, b.caller.admissions))
	})
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
