package proxy

import (
	"context"
	"net/http"
	"net/url"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"
	"go.uber.org/zap"

	"wigeonspring.example/wigeonspring/internal/coordination/admission"
	"wigeonspring.example/wigeonspring/internal/coordination/attempts"
	"wigeonspring.example/wigeonspring/internal/coordination/cost"
	"wigeonspring.example/wigeonspring/internal/coordination/suspicion"
	"wigeonspring.example/wigeonspring/internal/protocol/header"
	"wigeonspring.example/wigeonspring/internal/state/event"
	"wigeonspring.example/wigeonspring/internal/state/evidence"
	"wigeonspring.example/wigeonspring/internal/state/registry"
)

const tracerName = "wigeonspring.example/wigeonspring/internal/transport/proxy"

// Options of the spans, allocated once because every request needs them.
var (
	serverSpan = []trace.SpanStartOption{trace.WithSpanKind(trace.SpanKindServer)}
	clientSpan = []trace.SpanStartOption{trace.WithSpanKind(trace.SpanKindClient)}
)

// Leases reports whether this node holds the lease of a backend server.
// *ownership.Table implements it.
type Leases interface {
	Holds(now time.Time, id registry.BackendID) bool
}

// OwnerOptions configures an Owner. Leases and Backends are required.
type OwnerOptions struct {
	Self   registry.NodeID
	Region string
	// OwnsIncarnation reports whether only this process has used an incarnation. A request
	// with any other one was meant for another process of this node and is refused. Nil
	// accepts every incarnation.
	OwnsIncarnation func(incarnation uint64) bool
	Leases          Leases
	Backends        *Backends
	// Dialect names the headers of backend servers; nil selects header.DefaultDialect.
	Dialect *header.Dialect
	// Observe receives every exchange with a backend server. It must not block.
	Observe func(evidence.Observation)
	// Cost estimates the work of requests; nil reports no costs to ingress nodes.
	Cost    *cost.Estimator
	Events  event.Sink
	Logger  *zap.Logger
	Tracing trace.TracerProvider
	Now     func() time.Time
}

// Owner admits requests to the backend servers that this node owns and runs each
// at most once. It is the http.Handler for requests from other nodes.
type Owner struct {
	opt    OwnerOptions
	tracer trace.Tracer
	// failedCalls are the requests that failed at the ingress of this node.
	failedCalls failedCalls
	active      activeRequests
	// attempts are those of other nodes, and keptReplies the memory for their replies.
	attempts    *attempts.Log[*recoverable]
	keptReplies *byteBudget
	// requestCtx is canceled by EndRequests.
	requestCtx  context.Context
	endRequests context.CancelFunc
	drainer

	disabled disabledOwnerMechanisms
}

// disabledOwnerMechanisms switches mechanisms off in tests, to show that the invariants
// detect their absence.
type disabledOwnerMechanisms struct{ lease bool }

// NewOwner returns an owner that accepts requests.
func NewOwner(o OwnerOptions) *Owner {
	if o.Dialect == nil {
		o.Dialect = header.DefaultDialect()
	}
	if o.Observe == nil {
		o.Observe = func(evidence.Observation) {}
	}
	if o.Events == nil {
		o.Events = event.Discard{}
	}
	if o.Logger == nil {
		o.Logger = zap.NewNop()
	}
	if o.Tracing == nil {
		o.Tracing = noop.NewTracerProvider()
	}
	if o.Now == nil {
		o.Now = time.Now
	}
	owner := &Owner{
		opt: o, tracer: o.Tracing.Tracer(tracerName), keptReplies: newByteBudget(keptReplyBytes),
		attempts: attempts.NewLog(attempts.Options{}, (*recoverable).release),
	}
	owner.requestCtx, owner.endRequests = context.WithCancel(context.Background())
	return owner
}

// Stop refuses new requests as not run.
func (o *Owner) Stop() { o.beginDrain() }

// Drain refuses new requests as not run and waits until all requests in flight have
// ended or ctx is done.
func (o *Owner) Drain(ctx context.Context) error { return o.drain(ctx) }

// EndRequests ends the requests whose response has not begun, because the process exits now.
// Each ingress node is told so, as it may repeat the request elsewhere.
func (o *Owner) EndRequests() { o.endRequests() }

// ownerAttempt is an attempt as received by the owner of the backend server.
type ownerAttempt struct {
	header.Hop
	Deadline time.Time
	// ResponseDeadline is the time by which the response must begin; zero means Deadline.
	ResponseDeadline time.Time
	// Request is the caller's request without hop-by-hop and internal headers. The
	// owner changes its header.
	Request *http.Request
	// awaitBody, if set, returns when the first bytes of the body have arrived. It is
	// called as the last step before the request is sent to the backend server.
	awaitBody func() error
	// limitBody, if set, bounds the wait for the rest of the body.
	limitBody func()
	// dispatched, if set, records that the request is about to be sent to the backend
	// server. It reports false if the attempt was withdrawn.
	dispatched func() bool
}

// responseDeadline returns the time by which the response must begin.
func (a *ownerAttempt) responseDeadline() time.Time {
	if a.ResponseDeadline.IsZero() {
		return a.Deadline
	}
	return a.ResponseDeadline
}

// run executes an attempt. A refusal is returned before the body of the request is
// read. ctx is canceled at the deadline or when the caller goes away.
func (o *Owner) run(ctx context.Context, a *ownerAttempt) *reply {
	if !o.enter() {
		return notRun(reasonStopping, nil)
	}
	ctx, span := o.tracer.Start(ctx, "owner", serverSpan...)
	ctx, cancel := context.WithCancel(ctx)
	keepUntilEnd := context.AfterFunc(o.requestCtx, cancel)
	r := o.admit(ctx, a)
	keepUntilEnd()
	if span.IsRecording() {
		span.SetAttributes(attribute.String("wigeonspring.request_id", a.RequestID),
			attribute.String("wigeonspring.service", string(a.Service)),
			attribute.String("wigeonspring.route", a.Route),
			attribute.String("wigeonspring.backend", string(a.Backend)),
			attribute.String("wigeonspring.outcome", r.Outcome),
			attribute.String("wigeonspring.reason", r.Reason))
	}
	if r.Outcome == header.NotRun {
		o.opt.Events.Publish(event.Event{
			Time: o.opt.Now(), Kind: event.RequestRefused, Node: string(o.opt.Self), Service: string(a.Service),
			Backend: string(a.Backend), RequestID: a.RequestID, Reason: r.Reason,
		})
	}
	if r.Response == nil {
		cancel()
		span.End()
		o.leave()
		return r
	}
	// The request is in flight until its response has been forwarded.
	r.Response.Body = &closeHook{ReadCloser: r.Response.Body, hook: func() { cancel(); span.End(); o.leave() }}
	return r
}

// ownsIncarnation reports whether a request that was sent to an incarnation of this node was
// meant for this process.
func (o *Owner) ownsIncarnation(incarnation uint64) bool {
	return o.opt.OwnsIncarnation == nil || o.opt.OwnsIncarnation(incarnation)
}

// admit checks that this node may run the attempt and waits for a slot.
func (o *Owner) admit(ctx context.Context, a *ownerAttempt) *reply {
	if !o.ownsIncarnation(a.Incarnation) {
		return notRun(reasonIncarnation, nil)
	}
	b := o.opt.Backends.get(a.Backend)
	if b == nil || b.service != a.Service {
		return notRun(reasonNotOwner, nil)
	}
	if !o.opt.Leases.Holds(o.opt.Now(), a.Backend) && !o.disabled.lease {
		return notRun(reasonLease, nil)
	}
	trial := false
	if b.tracker != nil {
		trialRequest := suspicion.Request{TrialAllowed: a.Trial, Explore: a.Explore, NoBetterBackend: a.NoBetterBackend}
		switch b.tracker.Admit(o.opt.Now(), trialRequest) {
		case suspicion.Refuse:
			load := b.admitter.controller.Load()
			load.Weight = 0
			r := notRun(reasonSuspect, &load)
			r.RetryAfter = b.tracker.RetryAfter(o.opt.Now(), a.Trial)
			return r
		case suspicion.Trial:
			trial = true
		}
	}
	slotRequest := admission.Request{
		Caller: a.Caller, CallerWeight: a.CallerWeight, Route: a.Route, Rank: a.Rank, Deadline: a.responseDeadline(), Remote: a.Region != o.opt.Region,
		Repeatable: a.Idempotent, AvoidSuspect: b.tracker != nil && !a.Idempotent && !trial && !a.NoBetterBackend,
	}
	slotRequest.ExpectedWork = o.expectedWork(a)
	if a.Objective > 0 {
		slotRequest.Objective = o.opt.Now().Add(a.Objective)
	}
	ticket, reason := b.admitter.admit(ctx, slotRequest)
	load := b.admitter.controller.Load()
	if reason != "" {
		if trial {
			b.tracker.EndTrial()
		}
		if reason == reasonStopping || reason == reasonSuspect {
			load.Weight = 0 // Ingress nodes avoid the backend server for a moment.
		}
		r := notRun(reason, &load)
		r.Cost = o.reportCost(b, 0)
		return r
	}
	return o.dispatch(ctx, a, b, ticket, trial, &load)
}

// dispatch runs an admitted attempt on its backend server.
func (o *Owner) dispatch(ctx context.Context, a *ownerAttempt, b *ownedBackend, ticket uint64, trial bool, load *evidence.Load) *reply {
	x := &exchange{owner: o, attempt: a, backend: b, ticket: ticket}
	ctx, x.span = o.tracer.Start(ctx, "backend exchange", clientSpan...)
	leaseHeld, notSuspect, bodyNotSent := true, true, false
	x.start = o.opt.Now()
	ctx, responseBegan := withResponseDeadline(ctx, a.ResponseDeadline)
	defer responseBegan()
	defer x.watchOverdue()()
	// The lease may lapse and the backend server may become suspect while the request
	// is queued, while the connection is made and while the body is awaited.
	mayStart := func() bool {
		x.start = o.opt.Now()
		leaseHeld = o.opt.Leases.Holds(x.start, a.Backend) || o.disabled.lease
		if t := b.tracker; t != nil {
			notSuspect = t.Recheck(a.Idempotent, trial, a.NoBetterBackend) == suspicion.Allow
		}
		return leaseHeld && notSuspect && ctx.Err() == nil
	}
	resp, err := b.pool.Do(ctx, o.backendRequest(ctx, a, b.address), a.RequestID, a.Idempotent, func() bool {
		x.sent = mayStart()
		if x.sent && a.awaitBody != nil {
			bodyNotSent = a.awaitBody() != nil
			x.sent = !bodyNotSent && mayStart()
		}
		if x.sent && a.dispatched != nil {
			x.sent = a.dispatched()
		}
		if x.sent {
			o.active.begin(a.Repeat)
		}
		return x.sent
	})
	if err != nil {
		switch {
		case !notSuspect:
			x.end(evidence.Canceled, reasonSuspect, 0)
			return notRun(reasonSuspect, load)
		case bodyNotSent:
			x.end(evidence.Canceled, reasonBodyNotSent, 0)
			return notRun(reasonBodyNotSent, load)
		}
		return x.fail(err, leaseHeld, load)
	}
	if o.opt.Dialect.ProvesNotRun(resp.Response) {
		return x.refuse(resp, load)
	}
	if !a.Idempotent && o.opt.Dialect.IsUnprovedRefusal(resp.Response) {
		return x.rejectUnproved(resp, load)
	}
	x.wrapResponse(resp)
	if err := awaitBody(a.Request, resp.Response); err != nil {
		_ = resp.Body.Close() // Ends the exchange.
		return x.failedReply(err, load)
	}
	if o.opt.Cost != nil {
		*load = b.admitter.controller.Load() // The load on admission may be seconds old.
	}
	return &reply{Outcome: header.Answered, Load: load, Cost: o.reportCost(b, x.serviceTime(resp.StatusCode)), Response: resp.Response}
}

// backendRequest returns the request for the backend server.
func (o *Owner) backendRequest(ctx context.Context, a *ownerAttempt, address string) *http.Request {
	in := a.Request
	h := in.Header
	d := o.opt.Dialect
	header.Set(h, d.RequestID, a.RequestID)
	header.Set(h, d.Deadline, header.FormatDeadline(a.Deadline.Sub(o.opt.Now())))
	header.Set(h, d.ExpectedInstance, string(a.Backend))
	h[header.Attempt] = []string{header.FormatAttempt(a.Attempt)}
	if _, ok := h["User-Agent"]; !ok {
		h["User-Agent"] = []string{""} // Prevents net/http from adding its own.
	}
	inject(ctx, h)
	body := in.Body
	if in.ContentLength == 0 {
		// The HTTP/2 server sets an empty body that is not NoBody and would be sent
		// chunked.
		body = http.NoBody
	}
	u := &url.URL{Scheme: "http", Host: address, Path: in.URL.Path, RawPath: in.URL.RawPath, RawQuery: in.URL.RawQuery, ForceQuery: in.URL.ForceQuery}
	return &http.Request{
		Method: in.Method, URL: u, Host: in.Host, Header: h, Body: body, ContentLength: in.ContentLength,
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
	}
}

// inject replaces the trace context in h with that of ctx.
func inject(ctx context.Context, h http.Header) {
	delete(h, "Traceparent")
	delete(h, "Tracestate")
	propagation.TraceContext{}.Inject(ctx, propagation.HeaderCarrier(h))
}
