package admission

import (
	"slices"
	"time"
)

// Backlog returns the time until a request that arrives now would get a slot: the remaining
// work of the requests in flight and the work of the queue, assigned to the slots in turn. A
// request without ExpectedWork counts with the median of its route. It is 0 if a slot is free.
func (c *Controller) Backlog(now time.Time) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.advance(now)
	free := make([]time.Duration, max(c.slots(), 1))
	i := 0
	for _, e := range c.inFlight {
		if i < len(free) {
			free[i] = c.remainingWork(e)
		}
		i++
	}
	for _, e := range c.queue {
		slices.Sort(free)
		free[0] += c.serviceTime(&e.Request)
	}
	return slices.Min(free)
}

// remainingWork estimates the remaining work of a request in flight. One that has taken longer
// than expected is likely to be one of the heavy requests of its class, so its remaining work
// grows with its age.
func (c *Controller) remainingWork(e *entry) time.Duration {
	age := c.now.Sub(e.started)
	return max(c.serviceTime(&e.Request)-age, age/2)
}
