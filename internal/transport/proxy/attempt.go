package proxy

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/url"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.uber.org/zap"

	"wigeonspring.example/wigeonspring/internal/coordination/retry"
	"wigeonspring.example/wigeonspring/internal/coordination/routing"
	"wigeonspring.example/wigeonspring/internal/fault"
	"wigeonspring.example/wigeonspring/internal/protocol/header"
	"wigeonspring.example/wigeonspring/internal/state/event"
	"wigeonspring.example/wigeonspring/internal/transport/peer"
)

const (
	// maxMargin is taken off the deadline that the owner is told, so that its
	// verdict arrives before the caller's deadline. It covers a round trip between
	// regions of 16 ms.
	maxMargin = 25 * time.Millisecond
	// silentAfter is the shortest time for an attempt after which an owner without
	// an answer counts as failed. Below it the margin does not cover a round trip.
	silentAfter = 10 * maxMargin
)

func margin(left time.Duration) time.Duration { return min(maxMargin, left/10) }

// tried is an attempt that has ended, or whose answer is ready to be read.
type tried struct {
	call    *call
	target  routing.Target
	begin   time.Time
	latency time.Duration
	// limit is the time that the owner had for its response.
	limit   time.Duration
	reply   *reply
	state   retry.State
	outcome routing.Outcome
	failed  bool
	body    io.ReadCloser
	hop     header.Hop
	// cancel ends an attempt that may run beside another one.
	cancel context.CancelCauseFunc
	over   bool
}

// attempt returns the next attempt of the request.
func (c *call) attempt(plan *retry.Plan, target routing.Target) *tried {
	in := c.in
	c.tried = append(c.tried, target.Backend)
	c.publishPlacement(target)
	now := in.opt.Now()
	left := c.deadline.Sub(now)
	left -= margin(left)
	baseline := in.opt.Balancer.Baseline(now, c.service, target.Backend)
	var answerWithin time.Duration
	if by := plan.ResponseDeadline(now, baseline); c.body.repeatable() && !by.IsZero() {
		answerWithin = by.Sub(now)
	}
	hop := header.Hop{
		RequestID: c.id, Backend: target.Backend, Service: c.service, Route: c.route.Name,
		Incarnation: target.Owner.Incarnation, TimeLeft: left, AnswerWithin: answerWithin,
		Attempt: len(c.tried), Caller: c.caller, Region: in.opt.Region, Baseline: baseline,
		Rank: c.route.Rank, Repeat: c.arrived > 0, Idempotent: c.route.Idempotent, NoBetterBackend: c.noBetter,
		// Without a retry in hand, a request that may run again risks no more than one
		// that was tried elsewhere.
		Explore: (len(c.tried) > 1 || c.route.Idempotent) && in.outcomes(c.service).High(now),
		// A failed trial is made good by a retry.
		Trial: c.lastResort || c.route.Idempotent && c.body.repeatable() && plan.AllowsRetry(now, c.budget),
	}
	if !c.objective.IsZero() {
		hop.Objective = max(c.objective.Sub(now), 0)
	}
	if target.Locality == routing.OtherRegion {
		c.publish(event.RequestSpilled, target.Locality.String())
	}
	return &tried{call: c, target: target, begin: now, body: c.body.open(), hop: hop}
}

// run sends the request to the owner of the target. It leaves what the call changes
// between attempts alone, because another attempt may run beside it.
func (t *tried) run(ctx context.Context) {
	c := t.call
	if t.target.Owner.ID == c.in.opt.Self {
		t.runLocal(ctx, t.hop)
	} else {
		limited, end := t.withdrawable(ctx)
		t.runPeer(limited, t.hop)
		end()
	}
	t.latency = c.in.opt.Now().Sub(t.begin)
	switch t.reply.Outcome {
	case header.Answered:
		t.state = retry.Answered
		status := t.reply.Response.StatusCode
		t.failed = status >= http.StatusInternalServerError && status != http.StatusServiceUnavailable
	case header.NotRun:
		t.state = retry.Refused
		if t.outcome == routing.Completed {
			t.outcome = routing.RefusedByOwner
		}
	default:
		t.state = retry.Sent
		t.failed = true
	}
	// A caller that went away or stopped sending is no evidence, and neither is an
	// attempt that came second.
	if t.state != retry.Answered && (c.request.Context().Err() != nil || outrun(ctx) || c.body.failed.Load()) {
		t.outcome = routing.Abandoned
	}
}

// errOutrun is the cause of the end of an attempt because another one was answered.
var errOutrun = errors.New("another attempt was answered")

func outrun(ctx context.Context) bool { return errors.Is(context.Cause(ctx), errOutrun) }

// runLocal runs the attempt in this process.
func (t *tried) runLocal(ctx context.Context, hop header.Hop) {
	r := *t.call.request // The owner changes the header of the request.
	r.Header = r.Header.Clone()
	r.Body, r.ContentLength = t.body, t.call.body.length
	deadline := t.begin.Add(hop.TimeLeft)
	ctx, cancel := context.WithDeadline(ctx, deadline)
	a := &attempt{Hop: hop, Deadline: deadline, Request: &r}
	if hop.AnswerWithin > 0 {
		a.AnswerBy = t.begin.Add(hop.AnswerWithin)
	}
	t.reply = t.call.in.opt.Owner.run(ctx, a)
	if t.reply.Response == nil {
		cancel()
		return
	}
	t.reply.Response.Body = &closeHook{ReadCloser: t.reply.Response.Body, hook: cancel}
}

// runPeer runs the attempt on another node.
func (t *tried) runPeer(ctx context.Context, hop header.Hop) {
	c := t.call
	ctx, span := c.in.tracer.Start(ctx, "peer hop", clientSpan...)
	addr := t.target.Owner.PeerAddr
	// The owner enforces the limit; the margin leaves it time to say so.
	var silentAt time.Time
	t.limit = c.deadline.Sub(t.begin)
	if hop.AnswerWithin > 0 {
		t.limit = hop.AnswerWithin + maxMargin
		silentAt = t.begin.Add(t.limit)
	}
	ctx, answerBegan := limitAnswer(ctx, silentAt)
	defer answerBegan()
	if span.IsRecording() {
		span.SetAttributes(attribute.String("wigeonspring.request_id", c.id),
			attribute.String("wigeonspring.owner", string(t.target.Owner.ID)),
			attribute.String("wigeonspring.backend", string(t.target.Backend)))
	}
	resp, err := c.in.opt.Peers.Do(ctx, addr, t.outgoing(ctx, hop, addr))
	if err != nil {
		t.lost(ctx, err)
		span.SetAttributes(attribute.String("wigeonspring.reason", t.reply.Reason))
		span.End()
		return
	}
	resp.Body = &closeHook{ReadCloser: resp.Body, hook: func() { span.End() }}
	t.reply = t.received(resp, addr)
	if t.reply.Response == nil {
		_ = resp.Body.Close()
	}
}

// outgoing returns the request for the owner.
func (t *tried) outgoing(ctx context.Context, hop header.Hop, addr string) *http.Request {
	in := t.call.request
	h := in.Header.Clone()
	hop.Write(h)
	if _, ok := h["User-Agent"]; !ok {
		h["User-Agent"] = []string{""}
	}
	if t.call.asksFirst() {
		// The owner asks for the body once it has admitted the request. Until then
		// no byte is sent and the request can be tried elsewhere.
		h["Expect"] = []string{"100-continue"}
	}
	inject(ctx, h)
	u := &url.URL{Scheme: "http", Host: addr, Path: in.URL.Path, RawPath: in.URL.RawPath, RawQuery: in.URL.RawQuery, ForceQuery: in.URL.ForceQuery}
	return &http.Request{
		Method: in.Method, URL: u, Host: in.Host, Header: h, Body: t.body, ContentLength: t.call.body.length,
		Proto: "HTTP/2.0", ProtoMajor: 2,
	}
}

// received checks the response of an owner.
func (t *tried) received(resp *http.Response, addr string) *reply {
	c := t.call
	r := &reply{Outcome: resp.Header.Get(header.Outcome), Reason: resp.Header.Get(header.Reason)}
	if got := resp.Header.Get(header.RequestID); got != c.id && !c.in.off.requestID {
		// Nothing on this connection can be trusted any more.
		c.in.opt.Peers.Drop(addr)
		t.outcome = routing.PeerFailed
		c.in.opt.Logger.Error("response of owner belongs to another request",
			zap.String("request_id", c.id), zap.String("owner", string(t.target.Owner.ID)))
		c.publishAt(t.target.Backend, event.InvariantViolation, reasonWrongID)
		return &reply{Outcome: header.Unknown, Reason: reasonWrongID}
	}
	if load, err := header.ParseLoad(resp.Header.Get(header.Load)); err == nil {
		r.Load = &load
	}
	switch r.Outcome {
	case header.Answered:
		r.Response = resp
	case header.NotRun:
		r.Arrived = r.Reason == reasonBackendRefused
	case header.Unknown:
		r.Timeout = resp.StatusCode == http.StatusGatewayTimeout
	default:
		t.outcome = routing.PeerFailed
		r.Outcome, r.Reason = header.Unknown, reasonNoOutcome
	}
	return r
}

// lost classifies a request to an owner that brought no response.
func (t *tried) lost(ctx context.Context, err error) {
	t.outcome = routing.PeerFailed
	t.reply = &reply{Outcome: header.Unknown, Reason: peer.ReasonLost}
	var e *peer.Error
	if errors.As(err, &e) {
		t.reply.Reason = e.Reason
		if e.NotProcessed {
			t.reply.Outcome = header.NotRun
		}
		if e.Reason == peer.ReasonBusy || e.Reason == peer.ReasonLimit {
			t.outcome = routing.RefusedByOwner
		}
	}
	if t.reply.Outcome == header.Unknown && t.withheld() {
		t.reply.Outcome, t.reply.Reason = header.NotRun, reasonBodyWithheld
	}
	if errors.Is(context.Cause(ctx), context.DeadlineExceeded) {
		t.reply.Timeout, t.reply.Reason = true, reasonOwnerSilent
		if t.reply.Outcome == header.NotRun {
			t.reply.Reason = reasonDeadline
		}
		if t.limit < silentAfter {
			t.outcome = routing.Abandoned
		}
	}
	if t.call.request.Context().Err() != nil {
		t.reply.Reason = reasonCanceled
	}
	if t.outcome == routing.PeerFailed && !outrun(ctx) && t.call.request.Context().Err() == nil && !t.call.body.failed.Load() {
		t.call.in.opt.Logger.Warn("request to owner failed", zap.String("request_id", t.call.id),
			zap.String("owner", string(t.target.Owner.ID)), zap.String("step", fault.Step(err)), zap.Error(err))
	}
}

// withheld ends the attempt's access to the body of the request and reports whether
// the owner cannot have run the request, because it never got the body.
func (t *tried) withheld() bool {
	body, ok := t.body.(*attemptBody)
	return ok && !t.call.route.Idempotent && t.call.asksFirst() && body.withhold()
}

// withdrawable cancels an attempt whose owner has not asked for the body when the node
// has to end. The returned function ends the watch.
func (t *tried) withdrawable(ctx context.Context) (limited context.Context, stop func()) {
	if !t.call.asksFirst() {
		return ctx, func() {}
	}
	limited, cancel := context.WithCancelCause(ctx)
	watch := context.AfterFunc(t.call.in.ending, func() {
		if t.withheld() {
			cancel(errEnding)
		}
	})
	return limited, func() { watch() }
}

// errEnding is the cause of the end of an attempt that the end of the node prevents.
var errEnding = errors.New("the node ends")

// leavesBody ends the attempt's access to the body of the request and reports
// whether another attempt can send the whole body.
func (t *tried) leavesBody() bool {
	_ = t.body.Close()
	return t.call.body.repeatable()
}

// shed reports whether the backend server refused the work.
func (t *tried) shed() bool {
	return t.reply.Response != nil && t.reply.Response.StatusCode == http.StatusServiceUnavailable
}

// done reports the attempt to the balancer, once, and closes the answer.
func (t *tried) done(answerBytes int64) {
	if t.over {
		return
	}
	t.over = true
	t.reply.close()
	_ = t.body.Close() // The attempt takes no more bytes from the caller.
	in := t.call.in
	in.opt.Balancer.Done(in.opt.Now(), t.target, routing.Result{
		Outcome: t.outcome, Failed: t.failed && t.outcome == routing.Completed, Latency: t.latency,
		Load: t.reply.Load, Bytes: t.call.body.read.Load() + answerBytes,
	})
}

// close ends an attempt whose answer was not passed on to its end.
func (t *tried) close() {
	if !t.over {
		t.outcome = routing.Abandoned
	}
	t.done(0)
}
