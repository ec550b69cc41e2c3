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
	caller  *caller
	arrival uint64
	// due is the arrival time put back by the rank; see rankAdvance.
	due time.Time
	// startBy orders entries of the same rank; zero goes last. See Gate.startBy.
	startBy time.Time
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

func (g *Controller) caller(name string) *caller {
	c := g.callers[name]
	if c == nil {
		c = &caller{name: name}
		g.callers[name] = c
	}
	return c
}

func (g *Controller) mayRun(c *caller) bool {
	return g.opt.CallerInFlight <= 0 || c.inFlight < g.opt.CallerInFlight
}

// rankAdvance is how much earlier a request may have arrived and still let one of
// the next lower rank go first. Calls, which hold up a slot elsewhere, and the work
// that operators put first overtake the rest of a queue that is a few services
// deep, but a request of a high rank is not put off for ever.
const rankAdvance = 300 * time.Millisecond

// startBy returns the latest start at which the answer of a request is fully useful,
// or arrives at all if that has passed or is not stated. Short calls pass long
// uploads, and an upload behind a steady stream of calls starts while its answer is
// still in time, not when its deadline is near.
func (g *Controller) startBy(r *Request) time.Time {
	by := r.Deadline
	if r.Objective.After(g.now) {
		by = r.Objective
	}
	if by.IsZero() {
		return by
	}
	median, _ := g.medians.value(g.now, r.Route)
	return by.Add(-median)
}

// next returns the queue index of the request that is admitted next, or -1. Of the
// first entries of all ranks, the one that is due first goes.
func (g *Controller) next() int {
	best := -1
	for _, i := range g.firsts() {
		if best < 0 || g.queue[i].due.Before(g.queue[best].due) {
			best = i
		}
	}
	return best
}

// firsts returns the queue index of the first entry of each rank.
func (g *Controller) firsts() []int {
	var firsts []int
	for i, e := range g.queue {
		if !g.mayRun(e.caller) {
			continue
		}
		k := slices.IndexFunc(firsts, func(f int) bool { return g.queue[f].Rank == e.Rank })
		if k < 0 {
			firsts = append(firsts, i)
		} else if e.goesBefore(g.queue[firsts[k]]) {
			firsts[k] = i
		}
	}
	return firsts
}

// goesBefore compares entries of one rank. The caller with the fewest requests in
// flight goes first, then the one with the fewest admissions from the queue, then the
// earliest startBy. With one slot all callers in the queue have none in flight, and
// without the second rule a caller with short deadlines would keep all others waiting.
func (e *entry) goesBefore(o *entry) bool {
	a, b := e.caller, o.caller
	return cmp.Or(cmp.Compare(a.inFlight, b.inFlight), cmp.Compare(a.served, b.served),
		compareTimes(e.startBy, o.startBy)) < 0
}

// decide takes entry i off the queue and records its decision for Ready.
func (g *Controller) decide(i int, admitted bool, reason Reason) {
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
func (g *Controller) start(e *entry) {
	e.admitted = true
	g.callers[e.caller.name] = e.caller
	e.caller.inFlight++
	g.inFlight[e.Ticket] = e
	invariant.Check(len(g.inFlight) <= g.slots(), "admission_slots",
		"%d requests in flight in %d slots", len(g.inFlight), g.slots())
}

// finish frees the slot of the entry.
func (g *Controller) finish(e *entry) {
	delete(g.inFlight, e.Ticket)
	e.caller.inFlight--
	g.forget(e.caller)
}

// enqueue inserts the entry in deadline order.
func (g *Controller) enqueue(e *entry) {
	e.startBy = g.startBy(&e.Request)
	i, _ := slices.BinarySearchFunc(g.queue, e, compareEntries)
	g.queue = slices.Insert(g.queue, i, e)
	if e.caller.queued == 0 {
		e.caller.served = max(e.caller.served, g.served)
	}
	e.caller.queued++
	invariant.Check(len(g.queue) <= g.queueLimit(), "admission_queue_limit",
		"%d requests in a queue of %d", len(g.queue), g.queueLimit())
}

func (g *Controller) unqueue(i int) {
	c := g.queue[i].caller
	g.queue = slices.Delete(g.queue, i, i+1)
	c.queued--
	g.forget(c)
}

// displace makes room for e by refusing the entry that would go last, e included.
// Among entries of the rank of e it is the newest of the caller with the most
// queued entries. It returns false if e is that entry; callers with equally many
// entries keep theirs.
func (g *Controller) displace(e *entry) bool {
	if i := g.last(); g.queue[i].Rank != e.Rank {
		if g.queue[i].due.Before(e.due) {
			return false
		}
		g.decide(i, false, QueueFull)
		return true
	}
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

// last returns the index of the entry with the latest due time.
func (g *Controller) last() int {
	last := 0
	for i, q := range g.queue {
		if q.due.After(g.queue[last].due) {
			last = i
		}
	}
	return last
}

func (g *Controller) newestOf(c *caller) int {
	newest := -1
	for i, q := range g.queue {
		if q.caller == c && (newest < 0 || q.arrival > g.queue[newest].arrival) {
			newest = i
		}
	}
	return newest
}

// trim refuses entries beyond the limit of the queue.
func (g *Controller) trim() {
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
func (g *Controller) refuseUnserved() {
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

// forget drops a caller without requests, so that the map does not grow with
// every team that ever sent one.
func (g *Controller) forget(c *caller) {
	if c.inFlight == 0 && c.queued == 0 {
		delete(g.callers, c.name)
	}
}

func compareEntries(a, b *entry) int {
	return cmp.Or(compareTimes(a.Deadline, b.Deadline), cmp.Compare(a.arrival, b.arrival))
}

// compareTimes orders zero times last.
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
