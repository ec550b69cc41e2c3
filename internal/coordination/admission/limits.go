package admission

import (
	"math"
	"time"

	"wigeonspring.example/wigeonspring/internal/state/registry"
)

// SetSlots changes the number of slots. Requests in flight keep their slots.
func (c *Controller) SetSlots(slots int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.opts.Slots = max(slots, 1)
	c.trimQueue()
}

// SetLimits changes QueueLimit and CallerInFlight; 0 has the same meaning as in Options.
// Entries beyond a lower queue limit are refused.
func (c *Controller) SetLimits(queueLimit, callerInFlight int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.opts.QueueLimit, c.opts.CallerInFlight = queueLimit, callerInFlight
	c.trimQueue()
}

// SetState changes the state of the backend server. A draining or ejected backend server
// refuses all queued requests; requests in flight continue. When a backend server is
// readmitted, the caller must call StartRamp.
func (c *Controller) SetState(state registry.BackendState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.state = state
	c.refuseQueueIfUnavailable()
	c.trimQueue()
}

// RefuseSuspect refuses the queued requests with AvoidSuspect, because the backend server has
// become suspect. If it hangs, no slot becomes free before the deadlines of its requests, and
// waiting for one would only delay the refusal.
func (c *Controller) RefuseSuspect(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.advance(now)
	for i := len(c.queue) - 1; i >= 0; i-- {
		if c.queue[i].AvoidSuspect {
			c.decide(i, false, BackendSuspect)
		}
	}
}

// SetWeight changes the weight that Load reports, from 0 to 1. It scales the share of work
// that ingress nodes send. The number of slots does not change, because a degraded backend
// server still belongs to the capacity that the floor protects.
func (c *Controller) SetWeight(now time.Time, weight float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.weight = min(max(weight, 0), 1)
	c.advance(now)
}

// StartRamp starts a ramp from 1 slot to all slots.
func (c *Controller) StartRamp(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.rampStart = now
	c.advance(now)
	c.trimQueue()
}

// slots returns the number of slots in force.
func (c *Controller) slots() int {
	if c.state == registry.Probation {
		return min(ProbationSlots, c.opts.Slots)
	}
	if c.rampStart.IsZero() {
		return c.opts.Slots
	}
	share := float64(c.now.Sub(c.rampStart)) / float64(c.opts.RampDuration)
	return min(c.opts.Slots, 1+int(share*float64(c.opts.Slots-1)))
}

// nextRampStep returns when the ramp adds the next slot, or zero.
func (c *Controller) nextRampStep() time.Time {
	slots := c.slots()
	if c.rampStart.IsZero() || c.state == registry.Probation || slots >= c.opts.Slots {
		return time.Time{}
	}
	share := float64(slots) / float64(c.opts.Slots-1)
	return c.rampStart.Add(time.Duration(math.Ceil(share * float64(c.opts.RampDuration))))
}

func (c *Controller) queueLimit() int {
	limit := c.opts.QueueLimit
	if limit <= 0 {
		limit = 2 * c.slots()
	}
	return min(limit, MaxQueueLength)
}

// lateReason returns why it is too late to start a request, or None.
func (c *Controller) lateReason(r *Request) Reason {
	if !c.end.IsZero() && !c.now.Before(c.stopExpiry(r)) {
		return NodeStopping
	}
	if r.Deadline.IsZero() {
		return None
	}
	if !c.now.Before(r.Deadline) {
		return DeadlinePassed
	}
	if !c.now.Before(c.expiry(r)) {
		return DeadlineTooShort
	}
	return None
}

// latestStart returns the time from which lateReason refuses a request. The request has a
// deadline, or an exit of the process is planned.
func (c *Controller) latestStart(r *Request) time.Time {
	switch {
	case c.end.IsZero():
		return c.expiry(r)
	case r.Deadline.IsZero():
		return c.stopExpiry(r)
	}
	at := c.expiry(r)
	if stop := c.stopExpiry(r); stop.Before(at) {
		return stop
	}
	return at
}

// expiry returns the time from which it is too late to start a request with a deadline. A
// remaining time equal to the median service time of its route is still sufficient.
func (c *Controller) expiry(r *Request) time.Time {
	if median, ok := c.medians.value(c.now, r.Route); ok {
		return r.Deadline.Add(1 - median)
	}
	return r.Deadline
}

// StopBy announces that the process exits at end. From now on, requests are admitted only if
// they will end before: their deadline has passed by then, or the usual service time of their
// route fits into the time left, with a reserve that is larger for requests that must not be
// repeated. Other requests, also those in the queue, are refused with NodeStopping, so that
// they can be tried elsewhere. A planned stop thus costs the service the use of a backend
// server for little more than one service time, rather than for the whole drain.
func (c *Controller) StopBy(now, end time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.end = end
	c.advance(now)
}

// LatestStart returns the time after which nothing but requests with an early deadline is
// admitted, or zero if StopBy was not called.
func (c *Controller) LatestStart(now time.Time) time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.advance(now)
	if c.end.IsZero() {
		return time.Time{}
	}
	latest := c.routeStop("", true)
	for route := range c.medians {
		if at := c.routeStop(route, true); at.After(latest) {
			latest = at
		}
	}
	return latest
}

// stopExpiry returns the time from which a request might not end before the process exits.
func (c *Controller) stopExpiry(r *Request) time.Time {
	if !r.Deadline.IsZero() && !r.Deadline.After(c.end) {
		return c.end
	}
	return c.routeStop(r.Route, r.Repeatable)
}

// routeStop returns the time from which a request of a route might not end before the process
// exits. It is zero if the request must not be repeated and the service times are not known.
func (c *Controller) routeStop(route string, repeatable bool) time.Time {
	w := c.medians[route]
	if repeatable {
		usual := unknownServiceTime
		if w != nil {
			if known, ok := w.percentile90(c.now); ok {
				usual = known
			}
		}
		return c.end.Add(-usual * stopReserve / 100)
	}
	if w == nil {
		return time.Time{}
	}
	longest, ok := w.longest(c.now, minStopSamples)
	if !ok {
		return time.Time{}
	}
	return c.end.Add(-longest * stopReserveOnce / 100)
}
