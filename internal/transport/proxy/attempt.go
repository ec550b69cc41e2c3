package proxy

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.uber.org/zap"

	"wigeonspring.example/wigeonspring/internal/coordination/retry"
	"wigeonspring.example/wigeonspring/internal/coordination/routing"
	"wigeonspring.example/wigeonspring/internal/fault"
	"wigeonspring.example/wigeonspring/internal/protocol/header"
	"wigeonspring.example/wigeonspring/internal/state/event"
	"wigeonspring.example/wigeonspring/internal/transport/backend"
	"wigeonspring.example/wigeonspring/internal/transport/peer"
)

const (
	// maxResponseMargin is subtracted from the deadline that is sent to the owner, so
	// that its outcome arrives before the caller's deadline. It covers a round trip
	// of 16 ms between regions.
	maxResponseMargin = 25 * time.Millisecond
	// minFailureLimit is the shortest time limit of an attempt after which an owner
	// that has not responded counts as failed. With a shorter limit the margin does
	// not cover a round trip.
	minFailureLimit = 10 * maxResponseMargin
)

// ownerAckTimeout is the time in which an owner acknowledges a request. It is longer than the
// replacement of a connection that has failed takes.
const ownerAckTimeout = time.Second

func responseMargin(left time.Duration) time.Duration { return min(maxResponseMargin, left/10) }

// ingressAttempt is an attempt of the ingress at one backend server, through the
// owner of this backend server.
type ingressAttempt struct {
	call    *call
	target  routing.Target
	begin   time.Time
	latency time.Duration
	// limit is the time within which the owner had to respond.
	limit   time.Duration
	reply   *reply
	state   retry.State
	outcome routing.Outcome
	failed  bool
	body    io.ReadCloser
	hop     header.Hop
	// recovering is set once the owner is asked what became of the attempt.
	recovering atomic.Bool
	// cancel ends an attempt that may run concurrently with another one.
	cancel   context.CancelCauseFunc
	reported bool
}

// newAttempt returns the next attempt of the request.
func (c *call) newAttempt(plan *retry.Plan, target routing.Target) *ingressAttempt {
	in := c.in
	c.tried = append(c.tried, target.Backend)
	c.avoidedSuspects = target.AvoidedSuspects
	c.publishPlacement(target)
	now := in.opt.Now()
	left := c.deadline.Sub(now)
	left -= responseMargin(left)
	baseline := in.opt.Balancer.Baseline(now, c.service, target.Backend)
	var responseTimeout time.Duration
	// Without a retry, an attempt that ends early only loses the response.
	if by := plan.ResponseDeadline(now, baseline); c.body.replayable() && !by.IsZero() && plan.AllowsRetry(now, c.budget) {
		responseTimeout = by.Sub(now)
	}
	hop := header.Hop{
		RequestID: c.id, Backend: target.Backend, Service: c.service, Route: c.route.Name,
		Incarnation: target.Owner.Incarnation, TimeLeft: left, AnswerWithin: responseTimeout,
		Attempt: len(c.tried), Caller: c.caller, CallerWeight: c.callerWeight, Region: in.opt.Region, Baseline: baseline,
		Origin: in.origin, Sequence: in.sequence.Add(1),
		Rank: c.rank, Repeat: c.arrived > 0, Idempotent: c.route.Idempotent, NoBetterBackend: c.noBetter,
		// While too many requests of the service fail, a request that may run again or
		// that has been tried elsewhere may test a suspect backend server even if no
		// retry is available. A request that may run again risks no more by this than
		// one that has been tried elsewhere.
		Explore: (len(c.tried) > 1 || c.route.Idempotent) && in.unservedRate(c.service).High(now),
		// A retry is available if the trial fails.
		Trial: c.lastResort || c.route.Idempotent && c.body.replayable() && plan.AllowsRetry(now, c.budget),
	}
	hop.StatusInHeader = c.body.streamed()
	if !c.objective.IsZero() {
		hop.Objective = max(c.objective.Sub(now), 0)
	}
	if target.Locality == routing.OtherRegion {
		c.publish(event.RequestSpilled, target.Locality.String())
	}
	return &ingressAttempt{call: c, target: target, begin: now, body: c.body.open(), hop: hop}
}

// run sends the request to the owner of the target. It does not touch the state that
// the call changes between attempts, because another attempt may run concurrently.
func (t *ingressAttempt) run(ctx context.Context) {
	c := t.call
	if t.target.Owner.ID == c.in.opt.Self {
		t.runLocal(ctx, t.hop)
	} else {
		limited, end := t.withdrawUnsent(ctx)
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
	// The result of an attempt is not counted for or against its target if the caller
	// went away or stopped sending, or if another attempt brought the response first.
	if t.state != retry.Answered && (c.abandoned() || superseded(ctx) || errors.Is(context.Cause(ctx), errStopping) || c.body.failed.Load()) {
		t.outcome = routing.Abandoned
	}
}

// errSuperseded is the cause with which an attempt is canceled after another attempt
// brought the response.
var errSuperseded = errors.New("another attempt brought the response")

func superseded(ctx context.Context) bool { return errors.Is(context.Cause(ctx), errSuperseded) }

// runLocal runs the attempt in this process.
func (t *ingressAttempt) runLocal(ctx context.Context, hop header.Hop) {
	r := *t.call.request // The owner changes the header of the request.
	r.Header = r.Header.Clone()
	r.Body, r.ContentLength = t.body, t.call.body.length
	deadline := t.begin.Add(hop.TimeLeft)
	ctx, cancel := context.WithDeadline(ctx, deadline)
	a := &ownerAttempt{Hop: hop, Deadline: deadline, Request: &r}
	if hop.AnswerWithin > 0 {
		a.ResponseDeadline = t.begin.Add(hop.AnswerWithin)
	}
	t.reply = t.call.in.opt.Owner.run(ctx, a)
	if t.reply.Response == nil {
		cancel()
		return
	}
	t.reply.Response.Body = &closeHook{ReadCloser: t.reply.Response.Body, hook: cancel}
}

// runPeer runs the attempt on another node.
func (t *ingressAttempt) runPeer(ctx context.Context, hop header.Hop) {
	c := t.call
	ctx, span := c.in.tracer.Start(ctx, "peer hop", clientSpan...)
	addr := t.target.Owner.PeerAddr
	// The owner enforces the limit; the margin leaves it time to report that.
	var responseDeadline time.Time
	t.limit = c.deadline.Sub(t.begin)
	if hop.AnswerWithin > 0 {
		t.limit = hop.AnswerWithin + maxResponseMargin
		responseDeadline = t.begin.Add(t.limit)
	}
	ctx, responseBegan := withResponseDeadline(ctx, responseDeadline)
	defer responseBegan()
	if span.IsRecording() {
		span.SetAttributes(attribute.String("wigeonspring.request_id", c.id),
			attribute.String("wigeonspring.owner", string(t.target.Owner.ID)),
			attribute.String("wigeonspring.backend", string(t.target.Backend)))
	}
	resp, err := c.in.opt.Peers.DoRecoverable(ctx, addr, t.peerRequest(ctx, hop, addr), func() *http.Request { return t.recoveryRequest(hop, addr) })
	if err != nil {
		t.setError(ctx, err)
		span.SetAttributes(attribute.String("wigeonspring.reason", t.reply.Reason))
		span.End()
		return
	}
	resp.Body = &closeHook{ReadCloser: resp.Body, hook: func() { span.End() }}
	t.reply = t.parseReply(resp, addr)
	if t.reply.Response == nil {
		_ = resp.Body.Close()
	}
}

// peerRequest returns the request for the owner.
func (t *ingressAttempt) peerRequest(ctx context.Context, hop header.Hop, addr string) *http.Request {
	in := t.call.request
	h := in.Header.Clone()
	hop.Write(h)
	if _, ok := h["User-Agent"]; !ok {
		h["User-Agent"] = []string{""}
	}
	if t.call.expectsContinue() {
		// The owner asks for the body once it has admitted the request. Until then no
		// byte of the body is sent, and the request can be tried elsewhere.
		h["Expect"] = []string{"100-continue"}
	}
	inject(ctx, h)
	u := &url.URL{Scheme: "http", Host: addr, Path: in.URL.Path, RawPath: in.URL.RawPath, RawQuery: in.URL.RawQuery, ForceQuery: in.URL.ForceQuery}
	return &http.Request{
		Method: in.Method, URL: u, Host: in.Host, Header: h, Body: t.body, ContentLength: t.call.body.length,
		Proto: "HTTP/2.0", ProtoMajor: 2,
	}
}

// parseReply checks the response of an owner.
func (t *ingressAttempt) parseReply(resp *http.Response, addr string) *reply {
	c := t.call
	r := &reply{Outcome: resp.Header.Get(header.Outcome), Reason: resp.Header.Get(header.Reason)}
	if t.recovering.Load() && r.Outcome == "" {
		return unknown(reasonNoOutcome) // The owner runs a version without recovery.
	}
	if got := resp.Header.Get(header.RequestID); got != c.id && !c.in.disabled.requestID {
		// No other response on this connection can be trusted.
		c.in.opt.Peers.Drop(addr)
		t.outcome = routing.PeerFailed
		c.in.opt.Logger.Error("response of owner belongs to another request",
			zap.String("request_id", c.id), zap.String("owner", string(t.target.Owner.ID)))
		c.publishFor(t.target.Backend, event.InvariantViolation, reasonWrongID)
		return &reply{Outcome: header.Unknown, Reason: reasonWrongID}
	}
	if load, err := header.ParseLoad(resp.Header.Get(header.Load)); err == nil {
		r.Load = &load
	}
	if work, wait, err := header.ParseCost(resp.Header.Get(header.Cost)); err == nil {
		r.Cost = &reportedCost{work, wait}
	}
	if s := resp.Header.Get(header.RetryAfterMillis); s != "" {
		if after, err := header.ParseDeadline(s); err == nil {
			r.RetryAfter = after
		}
	}
	switch r.Outcome {
	case header.Answered:
		if s := resp.Header.Get(header.Status); s != "" {
			var err error
			if resp.StatusCode, err = strconv.Atoi(s); err != nil || resp.StatusCode < http.StatusMultipleChoices || resp.StatusCode > backend.MaxStatus {
				t.outcome = routing.PeerFailed
				return unknown(reasonNoOutcome)
			}
		}
		r.Response = resp
	case header.NotRun:
		r.RefusedByBackend = r.Reason == reasonBackendRefused
	case header.Unknown:
		r.Timeout = resp.StatusCode == http.StatusGatewayTimeout
	default:
		t.outcome = routing.PeerFailed
		r.Outcome, r.Reason = header.Unknown, reasonNoOutcome
	}
	return r
}

// setError classifies a request to an owner that brought no response.
func (t *ingressAttempt) setError(ctx context.Context, err error) {
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
	if t.reply.Outcome == header.Unknown && t.bodyNotSent() {
		t.reply.Outcome, t.reply.Reason = header.NotRun, reasonBodyNotSent
	}
	if errors.Is(context.Cause(ctx), context.DeadlineExceeded) {
		t.reply.Timeout, t.reply.Reason = true, reasonOwnerTimeout
		if t.reply.Outcome == header.NotRun {
			t.reply.Reason = reasonDeadline
		}
		if t.limit < minFailureLimit {
			t.outcome = routing.Abandoned
		}
	}
	if t.call.abandoned() {
		t.reply.Reason = reasonCanceled
	}
	if t.outcome == routing.PeerFailed && !superseded(ctx) && !t.call.abandoned() && !t.call.body.failed.Load() {
		t.call.in.opt.Logger.Warn("request to owner failed", zap.String("request_id", t.call.id),
			zap.String("owner", string(t.target.Owner.ID)), zap.String("step", fault.Step(err)), zap.Error(err))
	}
}

// bodyNotSent ends the attempt's access to the body of the request and reports whether
// the owner cannot have run the request, because no byte of the body was sent.
func (t *ingressAttempt) bodyNotSent() bool {
	body, ok := t.body.(*attemptBody)
	return ok && !t.call.route.Idempotent && t.call.expectsContinue() && body.closeUnread()
}

// withdrawUnsent cancels the attempt if the owner has not asked for the body when
// Ingress.StopAttempts is called, or if nothing was heard of the owner for ownerAckTimeout.
// The request has not run then. The returned function ends the watch.
//
// The second matters while packets to or from the owner are lost: the request would otherwise
// wait until its deadline, although another owner can serve it.
func (t *ingressAttempt) withdrawUnsent(ctx context.Context) (limited context.Context, stop func()) {
	if !t.call.expectsContinue() {
		return ctx, func() {}
	}
	limited, cancel := context.WithCancelCause(ctx)
	withdraw := func(cause error) {
		if t.bodyNotSent() {
			cancel(cause)
		}
	}
	unwatch := context.AfterFunc(t.call.in.attemptCtx, func() { withdraw(errStopping) })
	silent := time.AfterFunc(min(ownerAckTimeout, t.hop.TimeLeft/2), func() { withdraw(errUnacknowledged) })
	limited = httptrace.WithClientTrace(limited, &httptrace.ClientTrace{
		Got1xxResponse: func(int, textproto.MIMEHeader) error { silent.Stop(); return nil },
	})
	return limited, func() { unwatch(); silent.Stop() }
}

// errUnacknowledged is the cause with which an attempt is canceled because its owner has not
// acknowledged it.
var errUnacknowledged = errors.New("owner has not acknowledged the request")

// errStopping is the cause with which an attempt is canceled because the node is about
// to exit.
var errStopping = errors.New("node is shutting down")

// releaseBody ends the attempt's access to the body of the request and reports
// whether another attempt can send the whole body.
func (t *ingressAttempt) releaseBody() bool {
	_ = t.body.Close()
	return t.call.body.replayable()
}

// shed reports whether the backend server refused the request because of its load.
func (t *ingressAttempt) shed() bool {
	return t.reply.Response != nil && t.reply.Response.StatusCode == http.StatusServiceUnavailable
}

// interrupted reports whether the owner ended the attempt because of a planned stop.
func (t *ingressAttempt) interrupted() bool {
	return t.state == retry.Sent && t.reply.Reason == reasonStopping
}

// done reports the attempt to the balancer and closes the response. Only the first
// call has an effect.
func (t *ingressAttempt) done(responseBytes int64) {
	if t.reported {
		return
	}
	t.reported = true
	t.reply.close()
	_ = t.body.Close() // The attempt reads no more of the caller's body.
	in := t.call.in
	work, backlog := time.Duration(0), time.Duration(-1)
	if c := t.reply.Cost; c != nil {
		work, backlog = c.work, c.wait
	}
	if t.target.Owner.ID == in.opt.Self {
		work = 0 // The owner has observed it already.
	}
	in.opt.Balancer.Done(in.opt.Now(), t.target, routing.Result{
		Work: work, Backlog: backlog,
		Outcome: t.outcome, Failed: t.failed && t.outcome == routing.Completed, Latency: t.latency,
		Load: t.reply.Load, RetryAfter: t.reply.RetryAfter, OwnerReplaced: t.reply.Reason == reasonIncarnation,
		QueueFull: t.reply.queueFull(), Bytes: t.call.body.bytesRead.Load() + responseBytes,
	})
}

// close ends an attempt whose response was not forwarded completely.
func (t *ingressAttempt) close() {
	if !t.reported {
		t.outcome = routing.Abandoned
	}
	t.done(0)
}
