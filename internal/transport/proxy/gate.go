package proxy

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"wigeonspring.example/wigeonspring/internal/coordination/admission"
)

// Reasons of requests that were given up while they waited for admission.
const (
	reasonCanceled = "caller_canceled"
	reasonDeadline = string(admission.DeadlinePassed)
)

// keeper drives the admission gate of one backend server: it lets requests wait
// for their grant and runs the gate's timer.
type keeper struct {
	gate    *admission.Controller
	now     func() time.Time
	tickets atomic.Uint64

	mu      sync.Mutex
	waiters map[uint64]chan admission.Decision
	timer   *time.Timer
	closed  bool
}

func newKeeper(g *admission.Controller, now func() time.Time) *keeper {
	return &keeper{gate: g, now: now, waiters: make(map[uint64]chan admission.Decision)}
}

// admit waits for a slot. The slot is returned with release. A reason is
// returned if the request was refused; it holds no slot then.
func (k *keeper) admit(ctx context.Context, r admission.Request) (ticket uint64, reason string) {
	ticket = k.tickets.Add(1)
	r.Ticket = ticket
	granted := make(chan admission.Decision, 1)
	k.mu.Lock()
	k.waiters[ticket] = granted // Registered first: another goroutine may collect the grant.
	k.mu.Unlock()
	verdict, why := k.gate.Offer(k.now(), r)
	k.pump()
	if verdict != admission.Queued {
		k.mu.Lock()
		delete(k.waiters, ticket)
		k.mu.Unlock()
		return ticket, string(why)
	}
	select {
	case g := <-granted:
		return ticket, string(g.Reason)
	case <-ctx.Done():
	}
	reason = reasonCanceled
	if context.Cause(ctx) == context.DeadlineExceeded {
		reason = reasonDeadline
	}
	if k.gate.Cancel(k.now(), ticket) {
		k.mu.Lock()
		delete(k.waiters, ticket)
		k.mu.Unlock()
		k.pump()
		return ticket, reason
	}
	// The gate has decided already; the grant is on its way.
	if g := <-granted; g.Admitted {
		k.release(ticket, 0)
	}
	return ticket, reason
}

// release returns a slot. A service time of 0 is not taken as a sample.
func (k *keeper) release(ticket uint64, serviceTime time.Duration) {
	k.gate.Release(k.now(), ticket, serviceTime)
	k.pump()
}

// pump hands out the decisions that are due and sets the timer for the next.
func (k *keeper) pump() {
	grants := k.gate.TakeDecisions(k.now())
	next, timed := k.gate.NextTimer()
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, g := range grants {
		if granted := k.waiters[g.Ticket]; granted != nil {
			delete(k.waiters, g.Ticket)
			granted <- g
		}
	}
	if !timed || k.closed {
		return
	}
	wait := max(next.Sub(k.now()), 0)
	if k.timer == nil {
		k.timer = time.AfterFunc(wait, k.pump)
		return
	}
	k.timer.Reset(wait)
}

// close stops the timer. Requests that wait are refused by the state of the gate
// before it is called.
func (k *keeper) close() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.closed = true
	if k.timer != nil {
		k.timer.Stop()
	}
}
