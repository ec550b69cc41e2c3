package proxy

import (
	"cmp"
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"go.opentelemetry.io/otel/trace"

	"wigeonspring.example/wigeonspring/internal/coordination/cost"
	"wigeonspring.example/wigeonspring/internal/coordination/retry"
	"wigeonspring.example/wigeonspring/internal/coordination/routing"
	"wigeonspring.example/wigeonspring/internal/invariant"
	"wigeonspring.example/wigeonspring/internal/protocol/header"
	"wigeonspring.example/wigeonspring/internal/state/event"
	"wigeonspring.example/wigeonspring/internal/state/evidence"
	"wigeonspring.example/wigeonspring/internal/state/policy"
	"wigeonspring.example/wigeonspring/internal/state/registry"
	"wigeonspring.example/wigeonspring/internal/transport/metrics"
)

// call is one request of a caller.
type call struct {
	in       *Ingress
	w        http.ResponseWriter
	control  *http.ResponseController
	id       string
	start    time.Time
	deadline time.Time
	// objective is the time after which a response is no longer fully useful; zero
	// means none.
	objective time.Time
	span      trace.Span

	request *http.Request
	body    *callerBody
	policy  *policy.InForce
	service registry.ServiceID
	route   *policy.Route
	// caller is the name of the team, or what the request states. callerWeight is the quota of
	// the team; 0 means that it has none.
	caller       string
	callerWeight float64
	// team is the team whose key the request bears, or nil.
	team *policy.Team
	rank int
	// class is the class of the request for estimates of its work.
	class cost.Class
	// quotaTaken is set while the request counts against the quota of its team, and
	// retryAfterQuota is the retry delay of a request beyond the quota.
	quotaTaken      bool
	retryAfterQuota time.Duration

	// keepUntilEnd exempts the request from Ingress.EndRequests, once its response begins.
	keepUntilEnd func() bool

	// left is set when the caller has closed its connection before its body was read.
	left atomic.Bool

	// responded is set when a complete response has been written to the caller.
	responded bool

	budget *retry.Budget

	tried []registry.BackendID
	// suspects are the backend servers whose owner refused the request because they
	// are suspect. If no other backend server is left, they are tried again: as a
	// last resort, or without restriction if noBetter is set because no other backend
	// server is better.
	suspects             []registry.BackendID
	lastResort, noBetter bool
	// avoidedSuspects is the number of suspect backend servers that the latest attempt avoided.
	avoidedSuspects int
	// arrived counts the attempts that reached a backend server, and mayHaveRun those
	// of them that may have run. interrupted counts those that a planned stop ended.
	arrived, mayHaveRun, interrupted int
	// reason and timeout describe the last attempt that brought no response.
	reason  string
	timeout bool
	// superseded are the attempts that still run after another attempt brought the
	// response. The request ends after all of them have ended.
	superseded sync.WaitGroup
	// load is the load that an owner last reported with a refusal, or nil.
	load *evidence.Load
}

// run makes attempts until one is final and then responds to the caller.
func (c *call) run(ctx context.Context) {
	in := c.in
	defer c.superseded.Wait()
	limits := c.policy.Document.Service.Limits
	c.budget = in.budget(c.service, limits.RetryPercent)
	plan := retry.NewPlan(retry.Options{
		Idempotent: c.route.Idempotent, Rank: c.rank, MaxAttempts: cmp.Or(c.route.MaxAttempts, limits.MaxAttempts),
		LatencyObjective: time.Duration(c.route.Objective), FreeRefusals: in.opt.FreeRefusals,
		UpstreamRetryProbability: c.repeatProbability(),
		// An attempt that starts within the margin cannot bring a response in time.
		Deadline: c.deadline.Add(-2 * responseMargin(c.deadline.Sub(c.start))),
	})
	for {
		target, err := c.pick()
		if err != nil && c.retrySuspects() {
			continue
		}
		if err != nil {
			var refusal *routing.Refusal
			if errors.As(err, &refusal) && c.reason == "" {
				c.reason = string(refusal.Reason)
			}
			c.reportOutcome(plan.GiveUp(retry.NoTarget))
			return
		}
		t := c.attemptWithHedge(ctx, plan, target)
		c.countAttempt(t)
		state := t.state
		if in.disabled.sentIsFinal && state == retry.Sent {
			state = retry.NotSent
		}
		d := plan.Next(in.opt.Now(), c.budget, retry.AttemptResult{
			State: state, Shed: t.shed(), RefusedByBackend: t.reply.RefusedByBackend, Interrupted: t.interrupted(),
			NoRetry: c.noRetry(ctx),
		})
		if d.Action == retry.Retry && !t.releaseBody() {
			d = plan.GiveUp(reasonBodyConsumed)
		}
		if d.Action == retry.Answer {
			c.forwardResponse(t)
			return
		}
		t.done(0)
		c.recordFailure(t)
		if errors.Is(context.Cause(ctx), errStopping) {
			c.reason, c.timeout = reasonStopping, false
		}
		if d.Action == retry.Retry {
			c.publish(event.RequestRetried, string(d.Reason), event.Field{Key: "after", Value: c.reason})
		}
		if t.reply.Reason == reasonSuspect {
			c.suspects = append(c.suspects, t.target.Backend)
		}
		if d.Final() && d.Action == retry.ReportNotRun && in.attemptCtx.Err() == nil && c.retrySuspects() {
			plan = plan.Renew()
			continue
		}
		if d.Reason == retry.BudgetSpent {
			c.publish(event.RetryBudgetSpent, c.reason, event.Field{Key: "rank", Value: strconv.Itoa(c.rank)})
		}
		if d.Final() {
			c.reportOutcome(d)
			return
		}
	}
}

// noRetry returns why no attempt may follow, or "". A retry that the caller does not wait for
// would be lost to other requests.
func (c *call) noRetry(ctx context.Context) retry.Reason {
	switch {
	case ctx.Err() != nil:
		return retry.DeadlinePassed
	case c.in.attemptCtx.Err() != nil:
		return reasonStopping
	}
	return ""
}

// repeatProbability returns the probability that the request is a call made by a repeat
// that runs on this VM.
func (c *call) repeatProbability() float64 {
	if c.in.opt.Owner == nil || !c.resemblesCall() {
		return 0
	}
	return c.in.opt.Owner.active.repeatShare()
}

// resemblesCall reports whether the request may be a call made by a backend server on this
// VM. A call cannot be distinguished from the request of any other caller. Only idempotent
// requests for another service count as calls, because the calls of backend servers have
// these properties.
func (c *call) resemblesCall() bool {
	return c.route.Idempotent && string(c.service) != c.in.opt.LocalService
}

// mayBeCall reports whether a draining ingress serves the request as a call.
func (c *call) mayBeCall() bool {
	return c.resemblesCall() && !c.deadline.After(*c.in.callsUntil.Load())
}

// countAttempt counts an attempt that has ended.
func (c *call) countAttempt(t *ingressAttempt) {
	if t.reply.RefusedByBackend {
		c.arrived++
	}
	if t.state == retry.Sent || t.state == retry.Answered {
		c.arrived++
		c.mayHaveRun++
		invariant.Check(c.route.Idempotent || c.mayHaveRun == 1, "at_most_once",
			"request %s is not idempotent and may have run %d times", c.id, c.mayHaveRun)
	}
	if t.interrupted() {
		c.interrupted++
	}
}

// maxEagerBodyBytes is the largest body that is sent to an owner before it has asked
// for the body.
const maxEagerBodyBytes = 16 << 10

// expectsContinue reports whether an owner on another node must ask for the body with
// 100 Continue.
func (c *call) expectsContinue() bool {
	if c.body.streamed() || c.route.Idempotent {
		return c.body.streamed()
	}
	return c.body.length > maxEagerBodyBytes || c.in.opt.ExpectContinue && c.body.length > 0
}

// retrySuspects makes the suspect backend servers candidates again, as the last
// resort. It reports false if there are none, if they have been tried again already,
// if no attempt can send the whole body any more, or if the request has reached a
// backend server, because another attempt is then an ordinary retry. That does not hold
// for one that a planned stop interrupted, which is repeated without a retry.
func (c *call) retrySuspects() bool {
	if c.lastResort || len(c.suspects)+c.avoidedSuspects == 0 || c.arrived > c.interrupted || !c.body.replayable() || !c.in.opt.Now().Before(c.deadline) {
		return false
	}
	c.publish(event.RequestRetried, reasonLastResort, event.Field{Key: "suspects", Value: strconv.Itoa(len(c.suspects) + c.avoidedSuspects)})
	c.lastResort = true
	// A request that may run again loses nothing if the suspect backend server fails.
	known := len(c.in.opt.Directory.Snapshot().Service(c.service))
	c.noBetter = c.route.Idempotent || 2*(len(c.suspects)+c.avoidedSuspects) > known
	c.tried = slices.DeleteFunc(c.tried, func(id registry.BackendID) bool { return slices.Contains(c.suspects, id) })
	return true
}

func (c *call) pick() (routing.Target, error) {
	request := c.routingRequest()
	request.AvoidSuspects = !c.lastResort && !(c.route.Idempotent && c.budget.Available(c.in.opt.Now(), retry.PriorityOf(c.rank, true)))
	return c.pickFor(request)
}

func (c *call) pickFor(request routing.Request) (routing.Target, error) {
	in := c.in
	rng := in.rngs.Get().(*rand.Rand)
	defer in.rngs.Put(rng)
	return in.opt.Balancer.Pick(in.opt.Now(), rng, in.opt.Directory.Snapshot(), request)
}

// routingRequest returns the input of the balancer for the next attempt.
func (c *call) routingRequest() routing.Request {
	return routing.Request{
		Service: c.service, Route: c.route, Limits: c.policy.Document.Service.Limits,
		BodyBytes: c.body.length, Tried: c.tried, Class: c.class, TimeToObjective: c.timeToObjective(),
		Rank: c.rank, NoBetterBackend: c.noBetter,
	}
}

func (c *call) timeToObjective() time.Duration {
	if c.objective.IsZero() {
		return 0
	}
	return max(c.objective.Sub(c.in.opt.Now()), 0)
}

// recordFailure stores why an attempt brought no response.
func (c *call) recordFailure(t *ingressAttempt) {
	c.reason, c.timeout = t.reply.Reason, t.reply.Timeout
	if t.reply.Load != nil {
		c.load = t.reply.Load
	}
}

// forwardResponse sends the response of an attempt to the caller.
func (c *call) forwardResponse(t *ingressAttempt) {
	defer t.close()
	c.keepUntilEnd()
	resp := t.reply.Response
	h := c.w.Header()
	copyHeader(h, resp)
	h[header.RequestID] = []string{c.id}
	h[header.Outcome] = []string{header.Answered}
	c.recordResult(header.Answered, resp.StatusCode)
	if c.body.unread() {
		c.publish(event.ResponseEarly, reasonUploadUnfinished,
			event.Field{Key: "body_bytes_read", Value: strconv.FormatInt(c.body.bytesRead.Load(), 10)})
		c.keepBodyUnread()
	}
	c.w.WriteHeader(resp.StatusCode)
	w := c.in.unread.track(c.w, resp, t.target.Owner.ID != c.in.opt.Self)
	n, readErr, writeErr := copyBody(w, resp)
	if readErr != nil || writeErr != nil {
		if writeErr != nil {
			t.outcome = routing.Abandoned
			c.reportUnread(w.reason(writeErr))
		} else {
			t.failed = true
			c.publish(event.RequestFailed, reasonResponseTruncated)
		}
		c.endUpload(t)
		t.done(n)
		if conn, ok := c.request.Context().Value(connectionKey{}).(interface{ SetLinger(int) error }); ok && !c.request.ProtoAtLeast(1, 1) {
			// The end of the connection would be taken for that of the response.
			_ = conn.SetLinger(0)
		}
		// Aborts the connection: a truncated body must not look complete.
		panic(http.ErrAbortHandler)
	}
	copyTrailer(h, resp)
	c.responded = true
	c.endUpload(t)
	t.done(n)
}

// reportUnread reports a response that was aborted because the caller did not read it. An empty
// reason means that it was not.
func (c *call) reportUnread(reason string) {
	if reason == "" {
		return
	}
	unreadWrites.Add(reason, 1)
	c.publish(event.ResponseUnread, reason)
}

// endUpload bounds the wait for the caller's next bytes: the end of the attempt waits for a read
// of the body, and net/http reads from it before it closes an aborted connection, then without a
// limit. A whole response is sent first.
func (c *call) endUpload(t *ingressAttempt) {
	if !c.body.unread() {
		return
	}
	_ = t.body.Close()
	if c.request.ProtoMajor == 1 && c.responded {
		_ = c.control.SetReadDeadline(time.Now().Add(lingerTime))
		_ = c.control.Flush()
		return
	}
	_ = c.control.SetReadDeadline(time.Now())
	// Returns after a read that is under way has ended.
	_, _ = io.CopyN(io.Discard, c.request.Body, 1)
}

// keepBodyUnread prevents the HTTP/1 server from reading the rest of the caller's body when the
// response begins. An attempt that still sends the body would miss what the server read, and
// take the remainder for the whole. The connection cannot be used for another request.
func (c *call) keepBodyUnread() {
	if c.request.ProtoMajor == 1 && c.control.EnableFullDuplex() == nil {
		c.w.Header().Set("Connection", "close")
	}
}

// publishPlacement publishes the target of an attempt and its last known load.
func (c *call) publishPlacement(t routing.Target) {
	age := "none"
	if t.ReportAge >= 0 {
		age = t.ReportAge.Round(time.Millisecond).String()
	}
	evidence := []event.Field{
		{Key: "attempt", Value: strconv.Itoa(len(c.tried))},
		{Key: "owner", Value: string(t.Owner.ID)},
		{Key: "route", Value: c.route.Name},
		policyEpoch(c.policy.Epoch),
		{Key: "in_use", Value: strconv.Itoa(t.InUse)},
		{Key: "queued", Value: strconv.Itoa(t.Queued)},
		{Key: "report_age", Value: age},
	}
	if t.ExpectedWork > 0 {
		evidence = append(evidence,
			event.Field{Key: "expected_work", Value: t.ExpectedWork.Round(time.Millisecond).String()},
			event.Field{Key: "expected_wait", Value: t.ExpectedWait.Round(time.Millisecond).String()})
		expectedCosts.Observe("work", t.ExpectedWork)
		expectedCosts.Observe("wait", t.ExpectedWait)
	}
	c.publish(event.RequestPlaced, t.Locality.String(), evidence...)
}

// expectedCosts are the estimates with which requests were placed.
var expectedCosts = metrics.NewHistograms("expected_cost")

// policyEpoch names the policy that decided, as evidence of an event.
func policyEpoch(epoch uint64) event.Field {
	return event.Field{Key: "policy_epoch", Value: strconv.FormatUint(epoch, 10)}
}

// publish publishes a decision about the latest attempt.
func (c *call) publish(kind event.Kind, reason string, evidence ...event.Field) {
	var latest registry.BackendID
	if n := len(c.tried); n > 0 {
		latest = c.tried[n-1]
	}
	c.publishFor(latest, kind, reason, evidence...)
}

// publishFor publishes a decision about the attempt at a backend server.
func (c *call) publishFor(id registry.BackendID, kind event.Kind, reason string, evidence ...event.Field) {
	c.in.opt.Events.Publish(event.Event{
		Time: c.in.opt.Now(), Kind: kind, Node: string(c.in.opt.Self), Service: string(c.service),
		Backend: string(id), RequestID: c.id, Reason: reason, Evidence: evidence,
	})
}
