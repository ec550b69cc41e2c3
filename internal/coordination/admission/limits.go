package admission

import (
	"math"
	"time"

	"wigeonspring.example/wigeonspring/internal/state/registry"
)

// SetSlots changes the number of slots. Requests in flight keep theirs.
func (g *Controller) SetSlots(slots int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.opt.Slots = max(slots, 1)
	g.trim()
}

// SetLimits changes the limits of the queue and of a caller; 0 as in Options.
// Entries beyond a lower limit of the queue are refused.
func (g *Controller) SetLimits(queueLimit, callerInFlight int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.opt.QueueLimit, g.opt.CallerInFlight = queueLimit, callerInFlight
	g.trim()
}

// SetState changes the state of the backend server. Draining and ejection refuse
// the queued requests; requests in flight continue. The caller starts the ramp of
// a readmitted backend server with StartRamp.
func (g *Controller) SetState(state registry.BackendState) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.state = state
	g.refuseUnserved()
	g.trim()
}

// SetWeight changes the weight that Load reports, 0 to 1. The weight scales the
// share of work that ingress nodes send. It leaves the slots as they are, because
// a degraded backend server stays part of the capacity that the floor protects.
func (g *Controller) SetWeight(now time.Time, weight float64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.weight = min(max(weight, 0), 1)
	g.advance(now)
}

// StartRamp starts the cold start ramp from 1 slot.
func (g *Controller) StartRamp(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.rampFrom = now
	g.advance(now)
	g.trim()
}

// slots returns the number of slots in force.
func (g *Controller) slots() int {
	if g.state == registry.Probation {
		return min(ProbationSlots, g.opt.Slots)
	}
	if g.rampFrom.IsZero() {
		return g.opt.Slots
	}
	share := float64(g.now.Sub(g.rampFrom)) / float64(g.opt.RampDuration)
	return min(g.opt.Slots, 1+int(share*float64(g.opt.Slots-1)))
}

// nextRampStep returns when the ramp adds the next slot, or zero.
func (g *Controller) nextRampStep() time.Time {
	slots := g.slots()
	if g.rampFrom.IsZero() || g.state == registry.Probation || slots >= g.opt.Slots {
		return time.Time{}
	}
	share := float64(slots) / float64(g.opt.Slots-1)
	return g.rampFrom.Add(time.Duration(math.Ceil(share * float64(g.opt.RampDuration))))
}

func (g *Controller) queueLimit() int {
	limit := g.opt.QueueLimit
	if limit <= 0 {
		limit = 2 * g.slots()
	}
	return min(limit, MaxQueue)
}

// tooLate returns why a request is not worth starting.
func (g *Controller) tooLate(r *Request) Reason {
	if r.Deadline.IsZero() {
		return None
	}
	if !g.now.Before(r.Deadline) {
		return DeadlinePassed
	}
	if !g.now.Before(g.tooLateAt(r)) {
		return DeadlineTooShort
	}
	return None
}

// tooLateAt returns when a request with a deadline is no longer worth starting. A
// remaining time equal to the median service time of its route is enough.
func (g *Controller) tooLateAt(r *Request) time.Time {
	if median, ok := g.medians.value(g.now, r.Route); ok {
		return r.Deadline.Add(1 - median)
	}
	return r.Deadline
}
