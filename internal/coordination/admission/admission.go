package admission

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"wigeonspring.example/wigeonspring/internal/invariant"
	"wigeonspring.example/wigeonspring/internal/state/evidence"
	"wigeonspring.example/wigeonspring/internal/state/registry"
)

// Limits of a Controller.
const (
	// MaxQueueLength bounds the queue regardless of the number of slots.
	MaxQueueLength = 64
	// DefaultRampDuration is the duration of the ramp from 1 slot to all slots.
	DefaultRampDuration = 10 * time.Second
	// ProbationSlots is the number of slots in probation.
	ProbationSlots = 1
	// medianWindow bounds the age of a service time in the median. Without it, a median
	// above the remaining time of every request would cause all work to be refused, and
	// then no new service time would ever lower it.
	medianWindow = 10 * time.Second
	// medianSamples is the number of service times in the median.
	medianSamples = 31
	// maxMedians bounds the routes of a backend server for which a median is kept.
	maxMedians = 64
	// stopReserve, in percent of the 90th percentile of the recent service times of a
	// route, is the time that a request that may run again is given to end before the
	// process exits. stopReserveOnce, in percent of the longest of at least
	// minStopSamples service times, is that of other requests.
	stopReserve     = 125
	stopReserveOnce = 150
	minStopSamples  = 15
	// unknownServiceTime is assumed for requests that may run again on a route without
	// known service times. If one takes longer, it runs again elsewhere.
	unknownServiceTime = time.Second
	// minMedianSamples is the smallest number of service times with which the median is
	// used.
	minMedianSamples = 5
)

// Verdict is the immediate result of Offer.
type Verdict uint8

// Verdicts.
const (
	// Admitted means that the request holds a slot until Release.
	Admitted Verdict = iota
	// Queued means that TakeDecisions returns the decision later.
	Queued
	// Refused means that the request has not run.
	Refused
)

var verdictNames = [...]string{"admitted", "queued", "refused"}

func (v Verdict) String() string {
	if int(v) < len(verdictNames) {
		return verdictNames[v]
	}
	return "unknown"
}

// Reason states why a request was refused.
type Reason string

// Reasons of refusals.
const (
	// None means that the request was not refused.
	None Reason = ""
	// DeadlinePassed means that the deadline passed before the request started.
	DeadlinePassed Reason = "deadline_passed"
	// DeadlineTooShort means that the remaining time is less than the recent median
	// service time of the route.
	DeadlineTooShort Reason = "deadline_too_short"
	// QueueFull means that the queue is full and the request was chosen to be refused, for
	// example because its caller has the most entries.
	QueueFull Reason = "queue_full"
	// RemoteShareFull means that the part of the queue that is open to other regions is
	// full.
	RemoteShareFull Reason = "remote_share_full"
	// QueueTooSlow means that the requests before it in the queue and in flight are likely to
	// take so long that it cannot start in time.
	QueueTooSlow Reason = "queue_too_slow"
	// BackendDraining means that the backend server is draining.
	BackendDraining Reason = "backend_draining"
	// BackendEjected means that the backend server is ejected.
	BackendEjected Reason = "backend_ejected"
	// BackendSuspect means that the backend server has become suspect while the request
	// was queued.
	BackendSuspect Reason = "backend_suspect"
	// NodeStopping means that the request might not end before the process exits.
	NodeStopping Reason = "node_stopping"
	// DuplicateTicket means that the ticket is already queued or in flight.
	DuplicateTicket Reason = "duplicate_ticket"
)

// Options configures a Controller.
type Options struct {
	// Slots is the number of concurrent requests, at least 1.
	Slots int
	// QueueLimit bounds the queue; 0 means twice the slots in force, which are fewer
	// than Slots during a ramp or in probation. It is capped at MaxQueueLength.
	QueueLimit int
	// CallerInFlight bounds the requests of one caller in flight; 0 means no limit.
	CallerInFlight int
	// RampDuration is the duration of the ramp after a cold start; 0 selects
	// DefaultRampDuration.
	RampDuration time.Duration
	// SkipRamp makes all slots available from the start.
	SkipRamp bool
}

// Request is a request offered to a Controller.
type Request struct {
	// Ticket identifies the request at this Controller until it is refused or released.
	Ticket uint64
	// Caller is the team that sent the request.
	Caller string
	// CallerWeight is the share of the team in the slots relative to other teams, such as its
	// quota; 0 means 1.
	CallerWeight float64
	// Route is the name of the route. Service times are kept per route.
	Route string
	// Rank orders requests that compete for a slot; 0 comes first.
	Rank int
	// Deadline is the time by which the response is needed; zero means none.
	Deadline time.Time
	// Objective is the time until which the response is fully useful; zero means that the
	// request does not state one.
	Objective time.Time
	// ExpectedWork is the service time that the request is likely to need; zero means that
	// only the service times of its route are known.
	ExpectedWork time.Duration
	// Repeatable marks a request that may run again if it is interrupted.
	Repeatable bool
	// Remote marks a request from another region.
	Remote bool
	// AvoidSuspect marks a request that may not start at a suspect backend server.
	AvoidSuspect bool
}

// Decision is the decision about a queued request.
type Decision struct {
	Ticket uint64
	// Admitted is set when the request now holds a slot; otherwise it was refused.
	Admitted bool
	// Reason is set when the request was refused.
	Reason Reason
}

// Controller decides about the requests to one backend server. It is safe for concurrent
// use. Every request that is admitted, by Offer or by a Decision, holds a slot until
// Release.
type Controller struct {
	mu   sync.Mutex
	opts Options

	state  registry.BackendState
	weight float64
	// rampStart is the start of the current ramp; zero means that there is none.
	rampStart time.Time
	// now is the latest time that was passed to any call.
	now time.Time

	queue       []*entry // sorted by deadline, then arrival
	inFlight    map[uint64]*entry
	decisions   []*entry // not yet returned by TakeDecisions
	callers     map[string]*callerState
	lastArrival uint64
	// virtualTime is the virtual time of the fair queue: the highest share of earlier
	// admissions with which a caller was admitted from the queue.
	virtualTime float64

	medians medians

	// end is when the process exits; zero means that no exit is planned. See StopBy.
	end time.Time

	disabled disabledMechanisms
}

// disabledMechanisms switches mechanisms off in tests, which show that the invariants detect
// their absence.
type disabledMechanisms struct{ slots, queueLimit, removal bool }

// NewController returns the Controller of a backend server, which starts with a ramp unless
// SkipRamp is set.
func NewController(opt Options, now time.Time) *Controller {
	opt.Slots = max(opt.Slots, 1)
	opt.RampDuration = cmp.Or(opt.RampDuration, DefaultRampDuration)
	c := &Controller{
		opts:     opt,
		weight:   1,
		now:      now,
		inFlight: make(map[uint64]*entry),
		callers:  make(map[string]*callerState),
		medians:  make(medians),
	}
	if !opt.SkipRamp {
		c.rampStart = now
	}
	return c
}

// Offer admits, refuses or queues a request. A refused request has not run. The call may
// also cause decisions about other requests, which TakeDecisions returns.
func (c *Controller) Offer(now time.Time, r Request) (Verdict, Reason) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.advance(now)
	if c.hasTicket(r.Ticket) {
		return Refused, DuplicateTicket
	}
	switch c.state {
	case registry.Draining:
		return Refused, BackendDraining
	case registry.Ejected:
		return Refused, BackendEjected
	}
	if reason := c.lateReason(&r); reason != None {
		return Refused, reason
	}
	c.lastArrival++
	e := &entry{
		Request: r, caller: c.callerState(&r), arrival: c.lastArrival,
		due: c.now.Add(time.Duration(r.Rank) * rankPenalty),
	}
	if len(c.inFlight) < c.slots() && c.callerMayRun(e.caller) {
		e.decisionCount++
		c.start(e)
		return Admitted, None
	}
	limit := c.queueLimit()
	if r.Remote && len(c.queue) >= limit/2 && !c.evictLessUrgent(e) {
		c.removeIfIdle(e.caller)
		return Refused, RemoteShareFull
	}
	if len(c.queue) >= limit && !c.disabled.queueLimit && !c.evictFor(e) {
		c.removeIfIdle(e.caller)
		return Refused, QueueFull
	}
	c.enqueue(e)
	c.refuseForecastLate()
	return Queued, None
}

// Release frees the slot of an admitted request. serviceTime is added to the median of its
// route unless it is 0, as for an abandoned exchange.
func (c *Controller) Release(now time.Time, ticket uint64, serviceTime time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.advance(now)
	e := c.inFlight[ticket]
	if e == nil {
		invariant.Check(false, "admission_release_once", "release of ticket %d, which holds no slot", ticket)
		return
	}
	c.finish(e)
	if serviceTime > 0 {
		c.medians.add(c.now, e.Route, serviceTime)
	}
	c.advance(now)
}

// Cancel withdraws a request that has not started, including a decision that TakeDecisions
// has not returned yet, and reports whether it did. If Cancel returns false, the request
// was already decided: the caller must act on the verdict or decision, and release the slot
// if the request holds one.
func (c *Controller) Cancel(now time.Time, ticket uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.advance(now)
	if i := slices.IndexFunc(c.queue, func(e *entry) bool { return e.Ticket == ticket }); i >= 0 {
		c.dequeue(i)
		return true
	}
	i := slices.IndexFunc(c.decisions, func(e *entry) bool { return e.Ticket == ticket })
	if i < 0 {
		return false
	}
	e := c.decisions[i]
	c.decisions = slices.Delete(c.decisions, i, i+1)
	if e.admitted {
		c.finish(e)
		c.advance(now)
	}
	return true
}

// TakeDecisions returns the new decisions about queued requests, each of them once. It must
// be called after every call of another method, and at the time of NextTimer.
func (c *Controller) TakeDecisions(now time.Time) []Decision {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.advance(now)
	if len(c.decisions) == 0 {
		return nil
	}
	decisions := make([]Decision, len(c.decisions))
	for i, e := range c.decisions {
		if e.decisionCount != 1 {
			invariant.Check(false, "admission_decided_once", "ticket %d was decided %d times", e.Ticket, e.decisionCount)
		}
		decisions[i] = Decision{Ticket: e.Ticket, Admitted: e.admitted, Reason: e.reason}
	}
	clear(c.decisions)
	c.decisions = c.decisions[:0]
	return decisions
}

// NextTimer returns the next time at which TakeDecisions may return a decision without any
// other call before it, or false if there is no such time.
func (c *Controller) NextTimer() (time.Time, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.decisions) > 0 {
		return c.now, true
	}
	if len(c.queue) == 0 {
		return time.Time{}, false
	}
	var next time.Time
	for _, e := range c.queue {
		if e.Deadline.IsZero() && c.end.IsZero() {
			break // The queue is in deadline order; entries without a deadline are last.
		}
		if at := c.latestStart(&e.Request); next.IsZero() || at.Before(next) {
			next = at
		}
	}
	if step := c.nextRampStep(); !step.IsZero() && (next.IsZero() || step.Before(next)) {
		next = step
	}
	return next, !next.IsZero()
}

// Load returns the load as of the latest call. Its Slots are those in force, which are fewer
// during a ramp or in probation.
func (c *Controller) Load() evidence.Load {
	c.mu.Lock()
	defer c.mu.Unlock()
	return evidence.Load{Slots: c.slots(), InUse: len(c.inFlight), Queued: len(c.queue), Weight: c.weight}
}

// hasTicket reports whether a ticket is queued, in flight, or decided but not yet returned.
func (c *Controller) hasTicket(ticket uint64) bool {
	if _, ok := c.inFlight[ticket]; ok {
		return true
	}
	same := func(e *entry) bool { return e.Ticket == ticket }
	return slices.ContainsFunc(c.queue, same) || slices.ContainsFunc(c.decisions, same)
}

// advance sets the time, refuses queued requests that are too late and admits others to free
// slots.
func (c *Controller) advance(now time.Time) {
	if now.After(c.now) {
		c.now = now
	}
	if !c.rampStart.IsZero() && c.now.Sub(c.rampStart) >= c.opts.RampDuration {
		c.rampStart = time.Time{}
	}
	for i := 0; i < len(c.queue); {
		if reason := c.lateReason(&c.queue[i].Request); reason != None {
			c.decide(i, false, reason)
			continue
		}
		i++
	}
	for len(c.queue) > 0 && (len(c.inFlight) < c.slots() || c.disabled.slots) {
		i := c.next()
		if i < 0 {
			break
		}
		c.decide(i, true, None)
	}
}
