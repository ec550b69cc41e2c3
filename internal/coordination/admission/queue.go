package admission

import (
	"cmp"
	"slices"
	"time"

	"wigeonspring.example/wigeonspring/internal/invariant"
	"wigeonspring.example/wigeonspring/internal/state/registry"
)

type entry struct {
	Request
	caller  *callerState
	arrival uint64
	// due is the arrival time plus the delay of the rank; see rankPenalty.
	due time.Time
	// started is when the request got its slot.
	started time.Time
	// decisionCount counts the decisions about the ticket.
	decisionCount int
	admitted      bool
	reason        Reason
}

type callerState struct {
	name     string
	inFlight int
	queued   int
	// weight is the latest Request.CallerWeight.
	weight float64
	// admissions is the number of the caller's admissions from the queue, divided by its
	// weight. It is raised to virtualTime when the caller joins the queue, so that a caller
	// gains no advantage from a time without requests.
	admissions float64
}

func (c *Controller) callerState(r *Request) *callerState {
	s := c.callers[r.Caller]
	if s == nil {
		s = &callerState{name: r.Caller}
		c.callers[r.Caller] = s
	}
	s.weight = cmp.Or(r.CallerWeight, 1)
	return s
}

// anonymous reports whether the requests state no caller. Calls of backend servers do not, and
// requests of all callers where callers are not known. They are not shared out as if they came
// from one team.
func (s *callerState) anonymous() bool { return s.name == "" }

// share returns a number of the caller's requests, divided by its weight.
func (s *callerState) share(n int) float64 {
	if s.anonymous() {
		return 0
	}
	return float64(n) / s.weight
}

func (c *Controller) callerMayRun(s *callerState) bool {
	return c.opts.CallerInFlight <= 0 || s.inFlight < c.opts.CallerInFlight
}

// rankPenalty is how much later a request may arrive and still be admitted before a request
// of the next higher rank. It is long enough that, in a queue of a few service times, two
// kinds of requests overtake the rest: calls, each of which keeps a slot elsewhere in use
// while it waits, and work that operators rank first. It is bounded, so that requests of a
// high rank do not starve.
const rankPenalty = 300 * time.Millisecond

// lateReserve is the time before the deadline, in service times, by which a request that has
// missed its objective is to start. If only one were left, many would miss the deadline, because
// service times vary.
const lateReserve = 2

// startBy returns the latest start time with which the response arrives by the objective, or
// by the deadline if the objective cannot be met any more or is not stated. Short calls thus go
// before long uploads, an upload behind a steady stream of calls still starts in time for its
// objective, and requests that have missed theirs do not make others miss it too. The service
// time is that of the route: with the expected work of each request, a few long ones would go
// before many short ones under overload.
func (c *Controller) startBy(r *Request) time.Time {
	service, _ := c.medians.value(c.now, r.Route)
	switch {
	case !r.Objective.IsZero() && !c.now.Add(service).After(r.Objective):
		return r.Objective.Add(-service)
	case r.Deadline.IsZero():
		return r.Deadline
	case !r.Objective.IsZero():
		return r.Deadline.Add(-lateReserve * service)
	}
	return r.Deadline.Add(-service)
}

// next returns the queue index of the request to admit next, or -1. It compares the first
// entry of each rank and chooses the one with the earliest due time.
func (c *Controller) next() int {
	best := -1
	for _, i := range c.firstOfEachRank() {
		if best < 0 || c.queue[i].due.Before(c.queue[best].due) {
			best = i
		}
	}
	return best
}

// firstOfEachRank returns the queue index of the first entry of each rank, without callers
// at their limit. Of the first entry with a caller and the first without, it is the one with
// the earlier startBy.
func (c *Controller) firstOfEachRank() []int {
	first := func(firsts []int, i int, same, before func(a, b *entry) bool) []int {
		e := c.queue[i]
		k := slices.IndexFunc(firsts, func(f int) bool { return same(e, c.queue[f]) })
		if k < 0 {
			return append(firsts, i)
		}
		if before(e, c.queue[firsts[k]]) {
			firsts[k] = i
		}
		return firsts
	}
	var groups, ranks []int
	for i, e := range c.queue {
		if c.callerMayRun(e.caller) {
			groups = first(groups, i, (*entry).sameGroup, c.precedes)
		}
	}
	for _, i := range groups {
		ranks = first(ranks, i, func(a, b *entry) bool { return a.Rank == b.Rank }, c.startsBefore)
	}
	return ranks
}

// sameGroup reports whether precedes applies to two entries: they have the same rank, and both
// or none of them state their caller.
func (e *entry) sameGroup(o *entry) bool {
	return e.Rank == o.Rank && e.caller.anonymous() == o.caller.anonymous()
}

// startsBefore compares the latest start times of two entries.
func (c *Controller) startsBefore(e, o *entry) bool {
	return compareTimes(c.startBy(&e.Request), c.startBy(&o.Request)) < 0
}

// precedes compares entries of one group. The caller with the fewest requests in flight for its
// weight goes first, then the caller with the fewest admissions from the queue, then the
// earliest startBy. The second rule is needed with a single slot: no queued caller then has
// requests in flight, and a caller with short deadlines would starve all others.
func (c *Controller) precedes(e, o *entry) bool {
	a, b := e.caller, o.caller
	return cmp.Or(cmp.Compare(a.share(a.inFlight), b.share(b.inFlight)), cmp.Compare(a.admissions, b.admissions),
		compareTimes(c.startBy(&e.Request), c.startBy(&o.Request))) < 0
}

// decide removes entry i from the queue and records its decision for TakeDecisions.
func (c *Controller) decide(i int, admitted bool, reason Reason) {
	e := c.queue[i]
	if !c.disabled.removal || e.decisionCount > 0 {
		c.dequeue(i)
	}
	e.decisionCount++
	e.admitted, e.reason = admitted, reason
	if admitted {
		c.virtualTime = max(c.virtualTime, e.caller.admissions)
		e.caller.admissions += e.caller.share(1)
		c.start(e)
	}
	c.decisions = append(c.decisions, e)
}

// start assigns a slot to the entry.
func (c *Controller) start(e *entry) {
	e.admitted, e.started = true, c.now
	c.callers[e.caller.name] = e.caller
	e.caller.inFlight++
	c.inFlight[e.Ticket] = e
	invariant.Check(len(c.inFlight) <= c.slots(), "admission_slots",
		"%d requests in flight in %d slots", len(c.inFlight), c.slots())
}

// finish frees the slot of the entry.
func (c *Controller) finish(e *entry) {
	delete(c.inFlight, e.Ticket)
	e.caller.inFlight--
	c.removeIfIdle(e.caller)
}

// enqueue inserts the entry in deadline order.
func (c *Controller) enqueue(e *entry) {
	i, _ := slices.BinarySearchFunc(c.queue, e, compareEntries)
	c.queue = slices.Insert(c.queue, i, e)
	if e.caller.queued == 0 {
		e.caller.admissions = max(e.caller.admissions, c.virtualTime)
	}
	e.caller.queued++
	invariant.Check(len(c.queue) <= c.queueLimit(), "admission_queue_limit",
		"%d requests in a queue of %d", len(c.queue), c.queueLimit())
}

func (c *Controller) dequeue(i int) {
	s := c.queue[i].caller
	c.queue = slices.Delete(c.queue, i, i+1)
	s.queued--
	c.removeIfIdle(s)
}

// evictFor makes room for e by refusing a queued entry. It returns false if e itself is to be
// refused.
//
// If the queued entry with the latest due time has another rank than e, the one of the two
// that is due later is refused. If it has the same rank, the newest entry of the caller with
// the most entries for its weight is refused, unless this caller would then have fewer for its
// weight than the caller of e has with e. A small team thus keeps a single entry beside a large
// one. A request without a caller takes no other's place.
func (c *Controller) evictFor(e *entry) bool {
	if i := c.latestDue(); c.queue[i].Rank != e.Rank {
		if c.queue[i].due.Before(e.due) {
			return false
		}
		c.decide(i, false, QueueFull)
		return true
	}
	if e.caller.anonymous() {
		return false
	}
	var most *callerState
	for _, q := range c.queue {
		if q.caller != e.caller && !q.caller.anonymous() && (most == nil || q.caller.share(q.caller.queued) > most.share(most.queued)) {
			most = q.caller
		}
	}
	if most == nil || most.share(most.queued-1) < e.caller.share(e.caller.queued+1) {
		return false
	}
	c.decide(c.newestEntry(most), false, QueueFull)
	return true
}

// evictLessUrgent makes room for e by refusing the queued entry with the latest due time, if it
// has a higher rank than e and is due later. Callers in other regions are thus not refused for
// the sake of less urgent requests.
func (c *Controller) evictLessUrgent(e *entry) bool {
	if len(c.queue) == 0 {
		return false
	}
	i := c.latestDue()
	if q := c.queue[i]; q.Rank <= e.Rank || q.due.Before(e.due) {
		return false
	}
	c.decide(i, false, QueueFull)
	return true
}

// latestDue returns the index of the entry with the latest due time.
func (c *Controller) latestDue() int {
	last := 0
	for i, q := range c.queue {
		if q.due.After(c.queue[last].due) {
			last = i
		}
	}
	return last
}

func (c *Controller) newestEntry(s *callerState) int {
	newest := -1
	for i, q := range c.queue {
		if q.caller == s && (newest < 0 || q.arrival > c.queue[newest].arrival) {
			newest = i
		}
	}
	return newest
}

// trimQueue refuses entries beyond the queue limit.
func (c *Controller) trimQueue() {
	for len(c.queue) > c.queueLimit() {
		most := c.queue[0].caller
		for _, q := range c.queue {
			if q.caller.share(q.caller.queued) > most.share(most.queued) {
				most = q.caller
			}
		}
		c.decide(c.newestEntry(most), false, QueueFull)
	}
}

// refuseQueueIfUnavailable refuses all queued requests if the backend server accepts no work.
func (c *Controller) refuseQueueIfUnavailable() {
	reason := None
	switch c.state {
	case registry.Draining:
		reason = BackendDraining
	case registry.Ejected:
		reason = BackendEjected
	}
	for reason != None && len(c.queue) > 0 {
		c.decide(len(c.queue)-1, false, reason)
	}
}

// removeIfIdle removes a caller without requests, so that the map does not grow with every
// team that ever sent a request.
func (c *Controller) removeIfIdle(s *callerState) {
	if s.inFlight == 0 && s.queued == 0 {
		delete(c.callers, s.name)
	}
}

func compareEntries(a, b *entry) int {
	return cmp.Or(compareTimes(a.Deadline, b.Deadline), cmp.Compare(a.arrival, b.arrival))
}

// compareTimes compares two times; the zero time sorts last.
func compareTimes(a, b time.Time) int {
	switch x, y := a.IsZero(), b.IsZero(); {
	case x && y:
		return 0
	case x:
		return 1
	case y:
		return -1
	}
	return a.Compare(b)
}
