package proxy

import (
	"cmp"
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"
	"go.uber.org/zap"

	"wigeonspring.example/wigeonspring/internal/coordination/retry"
	"wigeonspring.example/wigeonspring/internal/coordination/routing"
	"wigeonspring.example/wigeonspring/internal/coordination/suspicion"
	"wigeonspring.example/wigeonspring/internal/protocol/header"
	"wigeonspring.example/wigeonspring/internal/state/event"
	"wigeonspring.example/wigeonspring/internal/state/policy"
	"wigeonspring.example/wigeonspring/internal/state/registry"
	"wigeonspring.example/wigeonspring/internal/transport/peer"
)

const (
	// defaultTimeout bounds a request if the policy sets no timeout.
	defaultTimeout = 30 * time.Second
	// callerGrace is how long after the deadline a caller may still send its body or
	// receive its response before its connection is closed.
	callerGrace = time.Second
	// defaultBodyBufferBytes is the memory for bodies that may be sent again, an eighth
	// of the memory of a node.
	defaultBodyBufferBytes = 8 << 20
)

// Policies finds the route of a request in the policies in force. *policy.Table
// implements it.
type Policies interface {
	Match(host, method, path string) (policy.Match, error)
}

// IngressOptions configures an Ingress. Directory, Policies, Balancer, Peers and
// Owner are required.
type IngressOptions struct {
	Self      registry.NodeID
	Region    string
	Directory *registry.Directory
	Policies  Policies
	Balancer  *routing.Balancer
	Peers     *peer.Pool
	// Owner runs the requests whose backend server this node owns.
	Owner *Owner
	// Dialect names the headers of callers; nil selects header.DefaultDialect.
	Dialect *header.Dialect
	// LocalService is the service on this VM. It is sent to backend servers as the
	// origin of the requests that arrive here.
	LocalService string
	// Stopping reports whether the node shuts down; nil means never.
	Stopping func() bool
	// FreeRefusals is the number of times that a request may be tried elsewhere
	// without being charged to the retry budget or to the number of attempts, after
	// an owner refused it before anything was sent to a backend server.
	FreeRefusals int
	// RetrySlack returns the number of retries in RetryWindow that this node allows a service
	// beyond the percentage of its requests. It may be a fraction; nil selects a minimum.
	RetrySlack func() float64
	// RetrySlackStart is the time from which the slack applies.
	RetrySlackStart time.Time
	// RetryWindow is the time in which retries are counted; 0 selects the default.
	RetryWindow time.Duration
	// MaxBufferedBodyBytes is the largest body that is read into memory before the first
	// attempt of a request that is not idempotent, so that it can be sent to another owner
	// after a refusal, and so that a caller that leaves is noticed. 0 streams every body
	// of a request that is not idempotent.
	MaxBufferedBodyBytes int64
	// BodyBufferBytes bounds the memory of all such bodies; beyond it they are
	// streamed. 0 selects defaultBodyBufferBytes.
	BodyBufferBytes int64
	// UnreadResponseBytes bounds the memory of the responses that callers do not read. If it
	// is full, the one that has been unread for the longest time is aborted. 0 selects
	// defaultUnreadResponseBytes.
	UnreadResponseBytes int64
	// ExpectContinue sends the body of a request that is not idempotent to an owner on
	// another node only after the owner has admitted the request and asked for the
	// body with 100 Continue. A request whose owner fails before that has provably not
	// run and is tried elsewhere. It costs one round trip between the nodes. Without
	// it, small bodies are sent at once.
	ExpectContinue bool
	// Quotas bounds the requests of teams; nil means that they have no bound.
	Quotas Quotas
	// TeamShares tells owners the team of each request and its quota, so that teams that
	// compete for a backend server share it by their quotas.
	TeamShares bool
	// KeysCurrent reports whether this node knows which keys are valid now; nil means
	// always. Requests that need a key are refused as not run while it is false.
	KeysCurrent func() bool
	Events      event.Sink
	Logger      *zap.Logger
	Tracing     trace.TracerProvider
	Now         func() time.Time
}

// Ingress is the http.Handler for the requests of callers.
type Ingress struct {
	opt           IngressOptions
	tracer        trace.Tracer
	budgets       sync.Map // registry.ServiceID -> *retry.Budget
	unservedRates sync.Map // registry.ServiceID -> *suspicion.UnservedRate
	splitter      routing.Splitter
	rngs          sync.Pool
	bodyBuffer    *byteBudget
	unread        unreadResponses
	// origin identifies this process to owners, and sequence numbers its attempts.
	origin   string
	sequence atomic.Uint64
	// attemptCtx is canceled by StopAttempts, when a new attempt could not end before
	// the process exits.
	attemptCtx     context.Context
	cancelAttempts context.CancelFunc
	// requestCtx is canceled by EndRequests.
	requestCtx  context.Context
	endRequests context.CancelFunc
	// callsUntil is set by AcceptCallsUntil.
	callsUntil atomic.Pointer[time.Time]
	drainer

	disabled disabledIngressMechanisms
}

// disabledIngressMechanisms switches mechanisms off in tests, to show that the tests
// detect their absence.
type disabledIngressMechanisms struct{ sentIsFinal, requestID bool }

// NewIngress returns an ingress that accepts requests.
func NewIngress(o IngressOptions) *Ingress {
	if o.Dialect == nil {
		o.Dialect = header.DefaultDialect()
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
	in := &Ingress{opt: o, tracer: o.Tracing.Tracer(tracerName), bodyBuffer: newByteBudget(cmp.Or(o.BodyBufferBytes, defaultBodyBufferBytes))}
	in.unread.limit = cmp.Or(o.UnreadResponseBytes, defaultUnreadResponseBytes)
	in.origin = string(o.Self) + "." + header.NewRequestID()[:8]
	in.attemptCtx, in.cancelAttempts = context.WithCancel(context.Background())
	in.requestCtx, in.endRequests = context.WithCancel(context.Background())
	in.rngs.New = func() any { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }
	return in
}

// Drain refuses new requests as not run and waits until all requests in flight have
// ended or ctx is done.
func (in *Ingress) Drain(ctx context.Context) error { return in.drain(ctx) }

// AcceptCallsUntil makes an ingress that drains serve the calls that the backend servers on
// this VM make while they still run requests, which would fail without them. Only requests
// whose deadline is before the given time are served.
func (in *Ingress) AcceptCallsUntil(t time.Time) { in.callsUntil.Store(&t) }

// callsExpected reports whether a draining ingress serves calls.
func (in *Ingress) callsExpected() bool {
	return in.callsUntil.Load() != nil && in.opt.Owner != nil && in.opt.Owner.active.any()
}

// StopAttempts prevents new attempts, because the process exits soon. Requests that no
// backend server has begun to process are reported as not run; the others continue.
func (in *Ingress) StopAttempts() { in.cancelAttempts() }

// EndRequests ends the requests whose response has not begun, because the process exits
// now. Each caller is told whether the request has run, as far as that is known.
func (in *Ingress) EndRequests() { in.endRequests() }

// ServeHTTP implements http.Handler.
func (in *Ingress) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c := &call{in: in, w: w, start: in.opt.Now()}
	c.control = http.NewResponseController(w)
	// Replaces the write deadline of the previous request on the connection.
	_ = c.control.SetWriteDeadline(c.start.Add(defaultTimeout))
	body := r.Body
	defer func() {
		if c.responded && body != nil && body != http.NoBody && (c.body == nil || c.body.unread()) {
			linger(c.control, r, body)
		}
	}()
	late := !in.enter()
	if late {
		w.Header().Set("Connection", "close")
		if !in.callsExpected() {
			c.refuse(http.StatusServiceUnavailable, reasonStopping)
			return
		}
		in.enterLate()
	}
	defer in.leave()
	ctx := propagation.TraceContext{}.Extract(r.Context(), propagation.HeaderCarrier(r.Header))
	ctx, c.span = in.tracer.Start(ctx, "ingress", serverSpan...)
	defer c.span.End()
	if !c.prepare(r) {
		return
	}
	defer c.body.releaseMemory()
	if late && !c.mayBeCall() {
		c.refuse(http.StatusServiceUnavailable, reasonStopping)
		return
	}
	ctx, cancel := context.WithDeadline(ctx, c.deadline)
	defer cancel()
	ctx, end := context.WithCancelCause(ctx)
	defer end(nil)
	c.keepUntilEnd = context.AfterFunc(in.requestCtx, func() { end(errStopping) })
	defer c.keepUntilEnd()
	defer c.watchCaller(func() { end(context.Canceled) })()
	c.run(ctx)
}

// prepare finds the policy and the route, and sets the deadline, the headers and the
// body of the request. If the request cannot be forwarded, it responds to the caller
// and returns false.
func (c *call) prepare(r *http.Request) bool {
	in := c.in
	if !c.identify(r) {
		return c.refuse(http.StatusBadRequest, reasonBadID)
	}
	// This is checked before the policies are read: a check after it could count policies that
	// came into force in between.
	keysCurrent := in.opt.KeysCurrent == nil || in.opt.KeysCurrent()
	m, err := in.opt.Policies.Match(hostName(r.Host), r.Method, r.URL.EscapedPath())
	switch {
	case errors.Is(err, policy.ErrUnknownHost):
		return c.refuse(http.StatusNotFound, reasonUnknownHost, policyEpoch(m.Epoch))
	case err != nil:
		return c.refuse(http.StatusNotFound, reasonNoRoute, policyEpoch(m.Epoch))
	}
	c.rank = m.Route.Rank
	// The node may not have learned of the first teams yet.
	keys := takeKeys(r.Header, in.opt.Dialect)
	if !c.authenticate(keys, &m, keysCurrent) {
		return false
	}
	rng := in.rngs.Get().(*rand.Rand)
	p := m.Targets[in.splitter.Choose(rng, m)].Policy
	in.rngs.Put(rng)
	route := m.Route
	c.policy, c.service, c.route = p, registry.ServiceID(p.Service), route
	if r.Header.Get("Upgrade") != "" && strings.Contains(strings.ToLower(r.Header.Get("Connection")), "upgrade") {
		return c.refuse(http.StatusNotImplemented, reasonUpgradeNotSupported)
	}
	if c.span.IsRecording() {
		c.span.SetAttributes(attribute.String("wigeonspring.request_id", c.id),
			attribute.String("wigeonspring.service", p.Service), attribute.String("wigeonspring.route", route.Name),
			attribute.String("http.request.method", r.Method))
	}
	timeout := time.Duration(route.Timeout)
	if timeout <= 0 {
		timeout = time.Duration(p.Document.Service.Timeout)
	}
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	if s := r.Header.Get(in.opt.Dialect.Deadline); s != "" {
		left, err := header.ParseDeadline(s)
		if err != nil {
			return c.refuse(http.StatusBadRequest, reasonBadDeadline)
		}
		timeout = min(timeout, left)
	}
	c.deadline = c.start.Add(timeout)
	if route.Objective > 0 {
		c.objective = c.start.Add(time.Duration(route.Objective))
	}
	c.caller = header.CallerName(r.Header.Get(header.Caller))
	header.StripInternal(r.Header)
	header.StripHopByHop(r.Header)
	header.Set(r.Header, in.opt.Dialect.CallerService, in.opt.LocalService)
	if c.team != nil {
		header.Set(r.Header, in.opt.Dialect.Team, c.team.Name)
		c.caller, c.callerWeight = "", 0
		if in.opt.TeamShares {
			c.caller, c.callerWeight = header.CallerName(c.team.Name), c.team.RatePerSecond
		}
	}
	c.request = r
	c.class = requestClass(c.service, route.Name, r, r.Header.Get(in.opt.Dialect.Team))
	return c.prepareBody(r)
}

// identify sets the identifier of the request. It reports false if the caller must
// send a valid one and did not.
func (c *call) identify(r *http.Request) bool {
	d := c.in.opt.Dialect
	if !d.UseCallerRequestID {
		c.id = header.NewRequestID()
		return true
	}
	id := r.Header.Get(d.RequestID)
	if !header.UsableRequestID(id) {
		c.id = header.NewRequestID()
		return false
	}
	c.id = id
	return true
}

// prepareBody prepares the body of the request for its attempts. If the body is refused,
// it responds to the caller and returns false.
func (c *call) prepareBody(r *http.Request) bool {
	limit := c.policy.Document.Service.Limits.MaxBodyBytes
	if limit > 0 && r.ContentLength > limit {
		return c.refuse(http.StatusRequestEntityTooLarge, reasonBodyTooLarge)
	}
	if r.Body != nil && r.Body != http.NoBody {
		// A request whose body has not been read ahead by its deadline cannot be served.
		_ = c.control.SetReadDeadline(c.deadline)
		if limit > 0 && r.ContentLength < 0 {
			// A copy, because net/http checks the type of r.Body to find out whether the
			// connection can be used again.
			limited := *r
			limited.Body = http.MaxBytesReader(c.w, r.Body, limit)
			r = &limited
		}
	}
	// A caller that reads slowly must not hold a slot of a backend server forever.
	_ = c.control.SetWriteDeadline(c.deadline.Add(callerGrace))
	readAhead := int64(maxReplayBytes)
	if !c.route.Idempotent {
		readAhead = c.in.opt.MaxBufferedBodyBytes
	}
	body, err := newCallerBody(r, readAhead, c.in.bodyBuffer)
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return c.refuse(http.StatusRequestEntityTooLarge, reasonBodyTooLarge)
	case errors.Is(err, os.ErrDeadlineExceeded):
		c.keepBodyUnread() // The caller gets its response without a further wait.
		return c.refuse(http.StatusRequestTimeout, reasonBodyLate)
	case err != nil:
		return c.refuse(http.StatusBadRequest, reasonBodyTruncated)
	}
	// A caller that stops sending must not hold the connection forever. The read that
	// notices its end has the same deadline, and a response may still be under way.
	_ = c.control.SetReadDeadline(c.deadline.Add(callerGrace))
	c.body = body
	return true
}

// hostName returns the host of a Host header in lower case and without the port.
func hostName(host string) string {
	if h, _, err := net.SplitHostPort(host); err == nil {
		host = h
	}
	return strings.ToLower(strings.TrimSuffix(host, "."))
}

func (in *Ingress) stopping() bool { return in.opt.Stopping != nil && in.opt.Stopping() }

// unservedRate returns the recent share of the requests of a service that were not
// served.
func (in *Ingress) unservedRate(id registry.ServiceID) *suspicion.UnservedRate {
	rate, ok := in.unservedRates.Load(id)
	if !ok {
		rate, _ = in.unservedRates.LoadOrStore(id, &suspicion.UnservedRate{})
	}
	return rate.(*suspicion.UnservedRate)
}

// budget returns the retry budget of a service.
func (in *Ingress) budget(id registry.ServiceID, percent float64) *retry.Budget {
	slack := 0.0
	if in.opt.RetrySlack != nil {
		slack = in.opt.RetrySlack()
	}
	if b, ok := in.budgets.Load(id); ok {
		budget := b.(*retry.Budget)
		budget.SetPercent(percent)
		budget.SetSlack(slack)
		return budget
	}
	options := retry.BudgetOptions{
		Percent: percent, Slack: slack, Shared: in.opt.RetrySlack != nil, SlackStart: in.opt.RetrySlackStart, RoundingOffset: rand.Float64(),
		Window: in.opt.RetryWindow,
	}
	b, _ := in.budgets.LoadOrStore(id, retry.NewBudget(options))
	return b.(*retry.Budget)
}
