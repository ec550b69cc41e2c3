package proxy

import (
	"context"
	"net/http"
	"time"

	"wigeonspring.example/wigeonspring/internal/coordination/retry"
	"wigeonspring.example/wigeonspring/internal/coordination/routing"
	"wigeonspring.example/wigeonspring/internal/state/event"
)

// attemptWithHedge makes an attempt. If the attempt exceeds the objective, a second one
// starts concurrently, and the first successful response is used. The first attempt is
// not canceled when the second starts: the second may be refused, and the work of the
// first would then be wasted.
func (c *call) attemptWithHedge(ctx context.Context, plan *retry.Plan, target routing.Target) *ingressAttempt {
	first := c.newAttempt(plan, target)
	after := plan.HedgeDelay(first.begin)
	if after == 0 || c.body.streamed() {
		first.run(ctx)
		return first
	}
	ends := make(chan *ingressAttempt, 2)
	start := func(t *ingressAttempt) {
		var limited context.Context
		limited, t.cancel = context.WithCancelCause(ctx)
		go func() {
			t.run(limited)
			ends <- t
		}()
	}
	start(first)
	timer := time.NewTimer(after)
	defer timer.Stop()
	select {
	case <-ends:
		return first
	case <-timer.C:
	}
	second := c.hedge(after, func(now time.Time) bool { return plan.Hedge(now, c.budget) }, plan)
	if second == nil {
		return <-ends
	}
	start(second)
	t := <-ends
	for t == second && t.refusedUnsent() {
		// The first attempt still runs and has already taken too long.
		c.hedgeFailed(plan, t)
		if second = c.hedge(after, plan.HedgeAgain, plan); second == nil {
			return <-ends
		}
		start(second)
		t = <-ends
	}
	other := first
	if t == first {
		other = second
	}
	if t.successful() {
		c.abandon(other, ends)
		return t
	}
	// The other attempt may still bring a response.
	if <-ends; other.state != retry.Answered && t.state == retry.Answered {
		t, other = other, t
	}
	c.hedgeFailed(plan, t)
	return other
}

// hedge returns a second attempt that runs concurrently with the first. It returns nil
// if allowed does not permit one or no other backend server is known to have a free slot.
func (c *call) hedge(after time.Duration, allowed func(time.Time) bool, plan *retry.Plan) *ingressAttempt {
	in := c.in
	now := in.opt.Now()
	request := c.routingRequest()
	request.AvoidSuspects = true
	// The process may exit before the second attempt ends.
	if in.stopping() || !in.opt.Balancer.HasFreeSlot(now, in.opt.Directory.Snapshot(), request) || !allowed(now) {
		return nil
	}
	target, err := c.pickFor(request)
	if err != nil {
		plan.HedgeEnded(retry.AttemptResult{State: retry.NotSent})
		return nil
	}
	c.publish(event.RequestHedged, reasonOverdue, event.Field{Key: "after", Value: after.String()})
	t := c.newAttempt(plan, target)
	t.hop.Repeat = true
	return t
}

// successful reports whether the attempt brought a response that is sent to the caller
// without waiting for another attempt.
func (t *ingressAttempt) successful() bool {
	return t.state == retry.Answered && t.reply.Response.StatusCode < http.StatusInternalServerError
}

// refusedUnsent reports whether the attempt was refused before it reached a backend server.
func (t *ingressAttempt) refusedUnsent() bool {
	return t.state == retry.Refused && !t.reply.RefusedByBackend
}

// abandon ends an attempt because another one brought the response first.
func (c *call) abandon(t *ingressAttempt, ends <-chan *ingressAttempt) {
	t.cancel(errSuperseded)
	c.superseded.Go(func() {
		<-ends
		t.close()
	})
}

// hedgeFailed ends an attempt that brought no response while another one continues.
func (c *call) hedgeFailed(plan *retry.Plan, t *ingressAttempt) {
	plan.HedgeEnded(retry.AttemptResult{State: t.state, RefusedByBackend: t.reply.RefusedByBackend})
	c.countAttempt(t)
	c.publishFor(t.target.Backend, event.RequestRetried, reasonHedged, event.Field{Key: "after", Value: t.reply.Reason})
	t.done(0)
}
