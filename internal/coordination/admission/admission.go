package admission

import (
	"cmp"
	"math"
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
	// DeadlineTooShort: less time remains than the recent median service time.
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
	// Ramp is the duration of the cold start ramp; 0 selects DefaultRamp.
	Ramp time.Duration
	// Warm leaves out the ramp at the start.
	Warm bool
}

// Request is a request offered to a Gate.
type Request struct {
	// Ticket identifies the request at this gate until it is decided and released.
	Ticket uint64
	// Caller is the team that sent the request.
	Caller string
	// Deadline is the time by which the answer is needed; zero means none.
	Deadline time.Time
	// Remote marks a request from another region.
	Remote bool
}

// Grant is the decision about a queued request.
type Grant struct {
	Ticket uint64
	// Admitted is set when the request now holds a slot; otherwise it was refused.
	Admitted bool
	// Reason is set when the request was refused.
	Reason Reason
}

// Gate decides about the requests to one backend server. It is safe for
// concurrent use. Every request that Offer admits, and every queued request that
// Ready grants, holds a slot until Release.
type Gate struct {
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

	median medianWindowed

	off mechanismsOff
}

// mechanismsOff disables mechanisms in tests, to show that the invariants detect
// their absence.
type mechanismsOff struct{ slots, queueLimit, removal bool }

type entry struct {
	Request
	caller  *caller
	arrival uint64
	// decided counts the decisions about the ticket.
	decided  int
	admitted bool
	reason   Reason
}

type caller struct {
	name     string
	inFlight int
	queued   int
	// served counts the caller's admissions from the queue, raised to the gate's
	// virtual time when it joins the queue, so that time without requests earns
	// no advantage.
	served uint64
}

// NewGate returns the gate of a backend server that starts cold unless Warm is
// set.
func NewGate(opt Options, now time.Time) *Gate {
	opt.Slots = max(opt.Slots, 1)
	opt.Ramp = cmp.Or(opt.Ramp, DefaultRamp)
	g := &Gate{
		opt:      opt,
		weight:   1,
		now:      now,
		inFlight: make(map[uint64]*entry),
		callers:  make(map[string]*caller),
	}
	if !opt.Warm {
		g.rampFrom = now
	}
	return g
}

// Offer decides about a request or queues it. A refused request has not run.
// Decisions about other requests may become due; they are returned by Ready.
func (g *Gate) Offer(now time.Time, r Request) (Verdict, Reason) {
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
	if reason := g.tooLate(r.Deadline); reason != None {
		return Refused, reason
	}
	g.arrivals++
	e := &entry{Request: r, caller: g.caller(r.Caller), arrival: g.arrivals}
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
// service times; 0 leaves it out, for an exchange that was abandoned.
func (g *Gate) Release(now time.Time, ticket uint64, serviceTime time.Duration) {
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
		g.median.add(g.now, serviceTime)
	}
	g.advance(now)
}

// Cancel withdraws a request that has not started and reports whether it did. A
// grant that Ready has not returned yet is withdrawn with it. If Cancel returns
// false, the request was decided: the caller acts on the verdict or grant and
// releases the slot if it holds one.
func (g *Gate) Cancel(now time.Time, ticket uint64) bool {
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

// Ready returns the decisions about queued requests that became due. It is called
// after each other call and at the time of NextTimer. Each decision is returned
// once.
func (g *Gate) Ready(now time.Time) []Grant {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.advance(now)
	if len(g.granted) == 0 {
		return nil
	}
	grants := make([]Grant, len(g.granted))
	for i, e := range g.granted {
		if e.decided != 1 {
			invariant.Check(false, "admission_decided_once", "ticket %d was decided %d times", e.Ticket, e.decided)
		}
		grants[i] = Grant{Ticket: e.Ticket, Admitted: e.admitted, Reason: e.reason}
	}
	clear(g.granted)
	g.granted = g.granted[:0]
	return grants
}

// NextTimer returns the next time at which Ready may return a decision without
// any other call before. It returns false if there is none.
func (g *Gate) NextTimer() (time.Time, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(g.granted) > 0 {
		return g.now, true
	}
	if len(g.queue) == 0 {
		return time.Time{}, false
	}
	var next time.Time
	if d := g.queue[0].Deadline; !d.IsZero() {
		next = d
		if median, ok := g.median.value(g.now); ok {
			next = d.Add(1 - median) // A remaining time equal to the median is enough.
		}
	}
	if step := g.nextRampStep(); !step.IsZero() && (next.IsZero() || step.Before(next)) {
		next = step
	}
	return next, !next.IsZero()
}

// Load returns the load as of the latest call. Slots is what the gate admits at
// once now, within the ramp and in probation.
func (g *Gate) Load() evidence.Load {
	g.mu.Lock()
	defer g.mu.Unlock()
	return evidence.Load{Slots: g.slots(), InUse: len(g.inFlight), Queued: len(g.queue), Weight: g.weight}
}

// SetSlots changes the number of slots. Requests in flight keep theirs.
func (g *Gate) SetSlots(slots int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.opt.Slots = max(slots, 1)
	g.trim()
}

// SetLimits changes the limits of the queue and of a caller; 0 as in Options.
// Entries beyond a lower limit of the queue are refused.
func (g *Gate) SetLimits(queueLimit, callerInFlight int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.opt.QueueLimit, g.opt.CallerInFlight = queueLimit, callerInFlight
	g.trim()
}

// SetState changes the state of the backend server. Draining and ejection refuse
// the queued requests; requests in flight continue. The caller starts the ramp of
// a readmitted backend server with StartRamp.
func (g *Gate) SetState(state registry.BackendState) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.state = state
	g.refuseUnserved()
	g.trim()
}

// SetWeight changes the weight that Load reports, 0 to 1. The weight scales the
// share of work that ingress nodes send. It leaves the slots as they are, because
// a degraded backend server stays part of the capacity that the floor protects.
func (g *Gate) SetWeight(now time.Time, weight float64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.weight = min(max(weight, 0), 1)
	g.advance(now)
}

// StartRamp starts the cold start ramp from 1 slot.
func (g *Gate) StartRamp(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.rampFrom = now
	g.advance(now)
	g.trim()
}

// slots returns the number of slots in force.
func (g *Gate) slots() int {
	if g.state == registry.Probation {
		return min(ProbationSlots, g.opt.Slots)
	}
	if g.rampFrom.IsZero() {
		return g.opt.Slots
	}
	share := float64(g.now.Sub(g.rampFrom)) / float64(g.opt.Ramp)
	return min(g.opt.Slots, 1+int(share*float64(g.opt.Slots-1)))
}

// nextRampStep returns when the ramp adds the next slot, or zero.
func (g *Gate) nextRampStep() time.Time {
	slots := g.slots()
	if g.rampFrom.IsZero() || g.state == registry.Probation || slots >= g.opt.Slots {
		return time.Time{}
	}
	share := float64(slots) / float64(g.opt.Slots-1)
	return g.rampFrom.Add(time.Duration(math.Ceil(share * float64(g.opt.Ramp))))
}

func (g *Gate) queueLimit() int {
	limit := g.opt.QueueLimit
	if limit <= 0 {
		limit = 2 * g.slots()
	}
	return min(limit, MaxQueue)
}

func (g *Gate) mayRun(c *caller) bool {
	return g.opt.CallerInFlight <= 0 || c.inFlight < g.opt.CallerInFlight
}

// tooLate returns why a request with this deadline is not worth starting.
func (g *Gate) tooLate(deadline time.Time) Reason {
	if deadline.IsZero() {
		return None
	}
	remaining := deadline.Sub(g.now)
	if remaining <= 0 {
		return DeadlinePassed
	}
	if median, ok := g.median.value(g.now); ok && remaining < median {
		return DeadlineTooShort
	}
	return None
}

// known reports whether a ticket is queued, in flight or decided but not returned.
func (g *Gate) known(ticket uint64) bool {
	if _, ok := g.inFlight[ticket]; ok {
		return true
	}
	same := func(e *entry) bool { return e.Ticket == ticket }
	return slices.ContainsFunc(g.queue, same) || slices.ContainsFunc(g.granted, same)
}

// advance moves the gate to now: it refuses queued requests that are too late and
// admits others into free slots.
func (g *Gate) advance(now time.Time) {
	if now.After(g.now) {
		g.now = now
	}
	if !g.rampFrom.IsZero() && g.now.Sub(g.rampFrom) >= g.opt.Ramp {
		g.rampFrom = time.Time{}
	}
	for i := 0; i < len(g.queue); {
		if g.queue[i].Deadline.IsZero() {
			break // The queue is in deadline order; entries without one are last.
		}
		reason := g.tooLate(g.queue[i].Deadline)
		if reason == None {
			break
		}
		g.decide(i, false, reason)
	}
	for len(g.queue) > 0 && (len(g.inFlight) < g.slots() || g.off.slots) {
		i := g.next()
		if i < 0 {
			break
		}
		g.decide(i, true, None)
	}
}

// next returns the queue index of the request that is admitted next, or -1. The
// caller with the fewest requests in flight goes first, then the one with the
// fewest admissions from the queue, then the earliest deadline. With one slot all
// callers in the queue have none in flight, and without the second rule a caller
// with short deadlines would keep all others waiting.
func (g *Gate) next() int {
	best := -1
	for i, e := range g.queue {
		if !g.mayRun(e.caller) {
			continue
		}
		if best < 0 || goesBefore(e.caller, g.queue[best].caller) {
			best = i
		}
	}
	return best
}

func goesBefore(a, b *caller) bool {
	if a.inFlight != b.inFlight {
		return a.inFlight < b.inFlight
	}
	return a.served < b.served
}

// decide takes entry i off the queue and records its decision for Ready.
func (g *Gate) decide(i int, admitted bool, reason Reason) {
	e := g.queue[i]
	if !g.off.removal || e.decided > 0 {
		g.unqueue(i)
	}
	e.decided++
	e.admitted, e.reason = admitted, reason
	if admitted {
		g.served = max(g.served, e.caller.served)
		e.caller.served++
		g.start(e)
	}
	g.granted = append(g.granted, e)
}

// start gives the entry a slot.
func (g *Gate) start(e *entry) {
	e.admitted = true
	g.callers[e.caller.name] = e.caller
	e.caller.inFlight++
	g.inFlight[e.Ticket] = e
	invariant.Check(len(g.inFlight) <= g.slots(), "admission_slots",
		"%d requests in flight in %d slots", len(g.inFlight), g.slots())
}

// finish frees the slot of the entry.
func (g *Gate) finish(e *entry) {
	delete(g.inFlight, e.Ticket)
	e.caller.inFlight--
	g.forget(e.caller)
}

// enqueue inserts the entry in deadline order.
func (g *Gate) enqueue(e *entry) {
	i, _ := slices.BinarySearchFunc(g.queue, e, compareEntries)
	g.queue = slices.Insert(g.queue, i, e)
	if e.caller.queued == 0 {
		e.caller.served = max(e.caller.served, g.served)
	}
	e.caller.queued++
	invariant.Check(len(g.queue) <= g.queueLimit(), "admission_queue_limit",
		"%d requests in a queue of %d", len(g.queue), g.queueLimit())
}

func (g *Gate) unqueue(i int) {
	c := g.queue[i].caller
	g.queue = slices.Delete(g.queue, i, i+1)
	c.queued--
	g.forget(c)
}

// displace makes room for e by refusing the newest entry of the caller with the
// most queued entries, e included. It returns false if e is that entry; callers
// with equally many entries keep theirs.
func (g *Gate) displace(e *entry) bool {
	most, entries := e.caller, e.caller.queued+1
	for _, q := range g.queue {
		if q.caller != e.caller && q.caller.queued > entries {
			most, entries = q.caller, q.caller.queued
		}
	}
	if most == e.caller {
		return false
	}
	g.decide(g.newestOf(most), false, QueueFull)
	return true
}

func (g *Gate) newestOf(c *caller) int {
	newest := -1
	for i, q := range g.queue {
		if q.caller == c && (newest < 0 || q.arrival > g.queue[newest].arrival) {
			newest = i
		}
	}
	return newest
}

// trim refuses entries beyond the limit of the queue.
func (g *Gate) trim() {
	for len(g.queue) > g.queueLimit() {
		most := g.queue[0].caller
		for _, q := range g.queue {
			if q.caller.queued > most.queued {
				most = q.caller
			}
		}
		g.decide(g.newestOf(most), false, QueueFull)
	}
}

// refuseUnserved refuses the queue if the backend server takes no work.
func (g *Gate) refuseUnserved() {
	reason := None
	switch g.state {
	case registry.Draining:
		reason = BackendDraining
	case registry.Ejected:
		reason = BackendEjected
	}
	for reason != None && len(g.queue) > 0 {
		g.decide(len(g.queue)-1, false, reason)
	}
}

func (g *Gate) caller(name string) *caller {
	c := g.callers[name]
	if c == nil {
		c = &caller{name: name}
		g.callers[name] = c
	}
	return c
}

// forget drops a caller without requests, so that the map does not grow with
// every team that ever sent one.
func (g *Gate) forget(c *caller) {
	if c.inFlight == 0 && c.queued == 0 {
		delete(g.callers, c.name)
	}
}

func compareEntries(a, b *entry) int {
	if c := a.compareDeadline(b); c != 0 {
		return c
	}
	return cmp.Compare(a.arrival, b.arrival)
}

// compareDeadline orders entries without a deadline last.
func (e *entry) compareDeadline(o *entry) int {
	switch x, y := e.Deadline.IsZero(), o.Deadline.IsZero(); {
	case x && y:
		return 0
	case x:
		return 1
	case y:
		return -1
	}
	return e.Deadline.Compare(o.Deadline)
}
