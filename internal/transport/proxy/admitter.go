package proxy

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"wigeonspring.example/wigeonspring/internal/coordination/admission"
)

// Reasons for which a request stops waiting for admission.
const (
	reasonCanceled = "caller_canceled"
	reasonDeadline = string(admission.DeadlinePassed)
)

// admitter drives the admission controller of one backend server. It lets requests
// wait for their decision and runs the timer of the controller.
type admitter struct {
	controller *admission.Controller
	now        func() time.Time
	tickets    atomic.Uint64

	mu      sync.Mutex
	waiters map[uint64]chan admission.Decision
	timer   *time.Timer
	closed  bool
}

func newAdmitter(controller *admission.Controller, now func() time.Time) *admitter {
	return &admitter{controller: controller, now: now, waiters: make(map[uint64]chan admission.Decision)}
}

// admit waits for a slot, which release returns. A reason that is not empty means
// that the request was refused and holds no slot.
func (a *admitter) admit(ctx context.Context, r admission.Request) (ticket uint64, reason string) {
	ticket = a.tickets.Add(1)
	r.Ticket = ticket
	decided := make(chan admission.Decision, 1)
	a.mu.Lock()
	// Registered before the offer: another goroutine may receive the decision.
	a.waiters[ticket] = decided
	a.mu.Unlock()
	verdict, why := a.controller.Offer(a.now(), r)
	a.deliverDecisions()
	if verdict != admission.Queued {
		a.mu.Lock()
		delete(a.waiters, ticket)
		a.mu.Unlock()
		return ticket, string(why)
	}
	select {
	case d := <-decided:
		return ticket, string(d.Reason)
	case <-ctx.Done():
	}
	reason = reasonCanceled
	if context.Cause(ctx) == context.DeadlineExceeded {
		reason = reasonDeadline
	}
	if a.controller.Cancel(a.now(), ticket) {
		a.mu.Lock()
		delete(a.waiters, ticket)
		a.mu.Unlock()
		a.deliverDecisions()
		return ticket, reason
	}
	// The controller has already decided, and the decision is about to be sent.
	if d := <-decided; d.Admitted {
		a.release(ticket, 0)
	}
	return ticket, reason
}

// release returns a slot. A service time of 0 is not recorded as a sample.
func (a *admitter) release(ticket uint64, serviceTime time.Duration) {
	a.controller.Release(a.now(), ticket, serviceTime)
	a.deliverDecisions()
}

// refuseSuspect refuses the waiting requests that may not start at a suspect backend server.
func (a *admitter) refuseSuspect() {
	a.controller.RefuseSuspect(a.now())
	a.deliverDecisions()
}

// deliverDecisions sends the decisions of the controller to the waiting requests and
// sets the timer for the next decision.
func (a *admitter) deliverDecisions() {
	decisions := a.controller.TakeDecisions(a.now())
	next, timed := a.controller.NextTimer()
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, d := range decisions {
		if decided := a.waiters[d.Ticket]; decided != nil {
			delete(a.waiters, d.Ticket)
			decided <- d
		}
	}
	wait := admission.ForecastInterval
	if timed {
		wait = max(min(wait, next.Sub(a.now())), 0)
	}
	if a.closed || !timed && len(a.waiters) == 0 {
		return
	}
	if a.timer == nil {
		a.timer = time.AfterFunc(wait, a.forecast)
		return
	}
	a.timer.Reset(wait)
}

// forecast runs the timer of the controller.
func (a *admitter) forecast() {
	a.controller.RefuseForecastLate(a.now())
	a.deliverDecisions()
}

// close stops the timer. The state of the controller must have been changed before, so
// that all queued requests have been refused.
func (a *admitter) close() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.closed = true
	if a.timer != nil {
		a.timer.Stop()
	}
}
