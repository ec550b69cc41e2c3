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

// Limits of a Gate.
const (
	// MaxQueue bounds the queue whatever the number of slots.
	MaxQueue = 64
	// DefaultRamp is the duration of the ramp from 1 slot to all slots.
	DefaultRamp = 10 * time.Second
	// ProbationSlots is the number of slots in probation.
	ProbationSlots = 1
	// medianWindow bounds the age of a service time in the median. Without it, a
	// median above every remaining time would refuse all work and never change.
	medianWindow = 10 * time.Second
	// medianSamples is the number of service times in the median.
	medianSamples = 31
	// maxMedians bounds the routes of a backend server with a median.
	maxMedians = 64
	// minMedianSamples is the number of service times below which the median is
	// not used.
	minMedianSamples = 5
)

// Verdict is the immediate answer to an offered request.
type Verdict uint8

// Verdicts.
const (
	// Admitted: the request holds a slot until Release.
	Admitted Verdict = iota
	// Queued: Ready decides later.
	Queued
	// Refused: the request has not run.
	Refused
)

var verdictNames = [...]string{"admitted", "queued", "refused"}

// String returns the name of the verdict.
func (v Verdict) String() string {
	if int(v) < len(verdictNames) {
		return verdictNames[v]
	}
	return "unknown"
}

// Reason says why a request was refused.
type Reason string

// Reasons of refusals.
const (
	// None: the request was not refused.
	None Reason = ""
	// DeadlinePassed: the deadline passed before work started.
	DeadlinePassed Reason = "deadline_passed"
	// DeadlineTooShort: less time remains than the recent median service time of the
	// route.
	DeadlineTooShort Reason = "deadline_too_short"
	// QueueFull: the queue is full and the request's caller has the most entries.
	QueueFull Reason = "queue_full"
	// RemoteShareFull: the part of the queue that is open to other regions is full.
	RemoteShareFull Reason = "remote_share_full"
	// BackendDraining: the backend server is leaving.
	BackendDraining Reason = "backend_draining"
	// BackendEjected: the backend server is ejected.
	BackendEjected Reason = "backend_ejected"
	// DuplicateTicket: the ticket is queued or in flight already.
	DuplicateTicket Reason = "duplicate_ticket"
)

// Options configures a Gate.
type Options struct {
	// Slots is the number of requests that run at once, at least 1.
	Slots int
	// QueueLimit bounds the queue; 0 means twice the slots in force, which are
	// fewer than Slots in a ramp or in probation. It is at most MaxQueue.
	QueueLimit int
	// CallerInFlight bounds the requests of one caller in flight; 0 means no bound.
	CallerInFlight int
	// RampDuration is the duration of the cold start ramp; 0 selects DefaultRamp.
	RampDuration time.Duration
	// SkipRamp leaves out the ramp at the start.
	SkipRamp bool
}

// Request is a request offered to a Gate.
type Request struct {
	// Ticket identifies the request at this gate until it is decided and released.
	Ticket uint64
	// Caller is the team that sent the request.
	Caller string
	// Route names the route, within which service times are compared.
	Route string
	// Rank orders requests that compete for a slot, 0 first.
	Rank int
	// Deadline is the time by which the answer is needed; zero means none.
	Deadline time.Time
	// Objective is the time until which the answer is fully useful; zero means that
	// none is stated.
	Objective time.Time
	// Remote marks a request from another region.
	Remote bool
}

// Decision is the decision about a queued request.
type Decision struct {
	Ticket uint64
	// Admitted is set when the request now holds a slot; otherwise it was refused.
	Admitted bool
	// Reason is set when the request was refused.
	Reason Reason
}

// Controller decides about the requests to one backend server. It is safe for
// concurrent use. Every request that Offer admits, and every queued request that
// Ready grants, holds a slot until Release.
type Controller struct {
	mu  sync.Mutex
	opt Options

	state  registry.BackendState
	weight float64
	// rampFrom is the start of the ramp; zero means that no ramp is in progress.
	rampFrom time.Time
	// now is the latest time of any call.
	now time.Time

	queue    []*entry // sorted by deadline, then arrival
	inFlight map[uint64]*entry
	granted  []*entry // decided, not yet returned by Ready
	callers  map[string]*caller
	arrivals uint64
	// served is the virtual time of the fair queue: the number of admissions of
	// the caller that was admitted from the queue last.
	served uint64

	medians medians

	off mechanismsOff
}

// mechanismsOff disables mechanisms in tests, to show that the invariants detect
// their absence.
type mechanismsOff struct{ slots, queueLimit, removal bool }

// NewController returns the gate of a backend server that starts cold unless Warm is
// set.
func NewController(opt Options, now time.Time) *Controller {
	opt.Slots = max(opt.Slots, 1)
	opt.RampDuration = cmp.Or(opt.RampDuration, DefaultRamp)
	g := &Controller{
		opt:      opt,
		weight:   1,
		now:      now,
		inFlight: make(map[uint64]*entry),
		callers:  make(map[string]*caller),
		medians:  make(medians),
	}
	if !opt.SkipRamp {
		g.rampFrom = now
	}
	return g
}

// Offer decides about a request or queues it. A refused request has not run.
// Decisions about other requests may become due; they are returned by Ready.
func (g *Controller) Offer(now time.Time, r Request) (Verdict, Reason) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.advance(now)
	if g.known(r.Ticket) {
		return Refused, DuplicateTicket
	}
	switch g.state {
	case registry.Draining:
		return Refused, BackendDraining
	case registry.Ejected:
		return Refused, BackendEjected
	}
	if reason := g.tooLate(&r); reason != None {
		return Refused, reason
	}
	g.arrivals++
	e := &entry{
		Request: r, caller: g.caller(r.Caller), arrival: g.arrivals,
		due: g.now.Add(time.Duration(r.Rank) * rankAdvance),
	}
	if len(g.inFlight) < g.slots() && g.mayRun(e.caller) {
		e.decided++
		g.start(e)
		return Admitted, None
	}
	limit := g.queueLimit()
	if r.Remote && len(g.queue) >= limit/2 {
		g.forget(e.caller)
		return Refused, RemoteShareFull
	}
	if len(g.queue) >= limit && !g.off.queueLimit && !g.displace(e) {
		g.forget(e.caller)
		return Refused, QueueFull
	}
	g.enqueue(e)
	return Queued, None
}

// Release frees the slot of an admitted request. serviceTime enters the median of
// its route; 0 leaves it out, for an exchange that was abandoned.
func (g *Controller) Release(now time.Time, ticket uint64, serviceTime time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.advance(now)
	e := g.inFlight[ticket]
	if e == nil {
		invariant.Check(false, "admission_release_once", "release of ticket %d, which holds no slot", ticket)
		return
	}
	g.finish(e)
	if serviceTime > 0 {
		g.medians.add(g.now, e.Route, serviceTime)
	}
	g.advance(now)
}

// Cancel withdraws a request that has not started and reports whether it did. A
// grant that Ready has not returned yet is withdrawn with it. If Cancel returns
// false, the request was decided: the caller acts on the verdict or grant and
// releases the slot if it holds one.
func (g *Controller) Cancel(now time.Time, ticket uint64) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.advance(now)
	if i := slices.IndexFunc(g.queue, func(e *entry) bool { return e.Ticket == ticket }); i >= 0 {
		g.unqueue(i)
		return true
	}
	i := slices.IndexFunc(g.granted, func(e *entry) bool { return e.Ticket == ticket })
	if i < 0 {
		return false
	}
	e := g.granted[i]
	g.granted = slices.Delete(g.granted, i, i+1)
	if e.admitted {
		g.finish(e)
		g.advance(now)
	}
	return true
}

// TakeDecisions returns the decisions about queued requests that became due. It is called
// after each other call and at the time of NextTimer. Each decision is returned
// once.
func (g *Controller) TakeDecisions(now time.Time) []Decision {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.advance(now)
	if len(g.granted) == 0 {
		return nil
	}
	grants := make([]Decision, len(g.granted))
	for i, e := range g.granted {
		if e.decided != 1 {
			invariant.Check(false, "admission_decided_once", "ticket %d was decided %d times", e.Ticket, e.decided)
		}
		grants[i] = Decision{Ticket: e.Ticket, Admitted: e.admitted, Reason: e.reason}
	}
	clear(g.granted)
	g.granted = g.granted[:0]
	return grants
}

// NextTimer returns the next time at which Ready may return a decision without
// any other call before. It returns false if there is none.
func (g *Controller) NextTimer() (time.Time, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(g.granted) > 0 {
		return g.now, true
	}
	if len(g.queue) == 0 {
		return time.Time{}, false
	}
	var next time.Time
	for _, e := range g.queue {
		if e.Deadline.IsZero() {
			break // The queue is in deadline order; entries without one are last.
		}
		if at := g.tooLateAt(&e.Request); next.IsZero() || at.Before(next) {
			next = at
		}
	}
	if step := g.nextRampStep(); !step.IsZero() && (next.IsZero() || step.Before(next)) {
		next = step
	}
	return next, !next.IsZero()
}

// Load returns the load as of the latest call. Slots is what the gate admits at
// once now, within the ramp and in probation.
func (g *Controller) Load() evidence.Load {
	g.mu.Lock()
	defer g.mu.Unlock()
	return evidence.Load{Slots: g.slots(), InUse: len(g.inFlight), Queued: len(g.queue), Weight: g.weight}
}

// known reports whether a ticket is queued, in flight or decided but not returned.
func (g *Controller) known(ticket uint64) bool {
	if _, ok := g.inFlight[ticket]; ok {
		return true
	}
	same := func(e *entry) bool { return e.Ticket == ticket }
	return slices.ContainsFunc(g.queue, same) || slices.ContainsFunc(g.granted, same)
}

// advance moves the gate to now: it refuses queued requests that are too late and
// admits others into free slots.
func (g *Controller) advance(now time.Time) {
	if now.After(g.now) {
		g.now = now
	}
	if !g.rampFrom.IsZero() && g.now.Sub(g.rampFrom) >= g.opt.RampDuration {
		g.rampFrom = time.Time{}
	}
	for i := 0; i < len(g.queue); {
		if reason := g.tooLate(&g.queue[i].Request); reason != None {
			g.decide(i, false, reason)
			continue
		}
		i++
	}
	for len(g.queue) > 0 && (len(g.inFlight) < g.slots() || g.off.slots) {
		i := g.next()
		if i < 0 {
			break
		}
		g.decide(i, true, None)
	}
}
