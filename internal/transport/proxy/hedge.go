package proxy

import (
	"context"
	"net/http"
	"time"

	"wigeonspring.example/wigeonspring/internal/coordination/retry"
	"wigeonspring.example/wigeonspring/internal/coordination/routing"
	"wigeonspring.example/wigeonspring/internal/state/event"
)

// try makes an attempt. If it takes longer than its answer is fully useful, another
// one starts beside it, and the first good answer counts. The first attempt goes on
// meanwhile: the other one may be refused, and what a backend server works on is not
// given up for nothing.
func (c *call) try(ctx context.Context, plan *retry.Plan, target routing.Target) *tried {
	first := c.attempt(plan, target)
	after := plan.HedgeDelay(first.begin)
	if after == 0 || c.body.streamed() {
		first.run(ctx)
		return first
	}
	ends := make(chan *tried, 2)
	start := func(t *tried) {
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
	second := c.hedge(plan, after)
	if second == nil {
		return <-ends
	}
	start(second)
	t := <-ends
	other := first
	if t == first {
		other = second
	}
	if t.good() {
		c.outrun(other, ends)
		return t
	}
	// The other one may still bring an answer.
	if <-ends; other.state != retry.Answered && t.state == retry.Answered {
		t, other = other, t
	}
	c.lost(plan, t)
	return other
}

// hedge returns an attempt that starts beside the running one, or nil if no retry is
// in hand or no other backend server is known to have a free slot.
func (c *call) hedge(plan *retry.Plan, after time.Duration) *tried {
	in := c.in
	now := in.opt.Now()
	request := c.routing()
	request.AvoidSuspects = true
	// The process may end before the other attempt does.
	if in.stopping() || !in.opt.Balancer.HasFreeSlot(now, in.opt.Directory.Snapshot(), request) || !plan.Hedge(now, c.budget) {
		return nil
	}
	target, err := c.pickFor(request)
	if err != nil {
		plan.HedgeEnded(retry.AttemptResult{State: retry.NotSent})
		return nil
	}
	c.publish(event.RequestHedged, reasonOverdue, event.Field{Key: "after", Value: after.String()})
	t := c.attempt(plan, target)
	t.hop.Repeat = true
	return t
}

// good reports whether the attempt brought an answer that a caller is better off with
// than with that of another attempt.
func (t *tried) good() bool {
	return t.state == retry.Answered && t.reply.Response.StatusCode < http.StatusInternalServerError
}

// outrun ends an attempt that another one was faster than.
func (c *call) outrun(t *tried, ends <-chan *tried) {
	t.cancel(errOutrun)
	c.losers.Go(func() {
		<-ends
		t.close()
	})
}

// lost ends an attempt that was not answered while another one goes on.
func (c *call) lost(plan *retry.Plan, t *tried) {
	plan.HedgeEnded(retry.AttemptResult{State: t.state, RefusedByBackend: t.reply.Arrived})
	c.account(t)
	c.publishAt(t.target.Backend, event.RequestRetried, reasonHedged, event.Field{Key: "after", Value: t.reply.Reason})
	t.done(0)
}
