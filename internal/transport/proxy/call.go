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
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"wigeonspring.example/wigeonspring/internal/coordination/admission"
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
	// objective is when an answer stops being fully useful; zero if not stated.
	objective time.Time
	span      trace.Span

	request *http.Request
	body    *callerBody
	policy  *policy.InForce
	service registry.ServiceID
	route   *policy.Route
	caller  string

	// answered is set when the caller was answered completely.
	answered bool

	budget *retry.Budget

	tried []registry.BackendID
	// suspects are the backend servers whose owner refused the request because they
	// are suspect. If nothing else is left, they are asked again: as a last resort,
	// or freely if noBetter says that no other is better.
	suspects             []registry.BackendID
	lastResort, noBetter bool
	// arrived counts the attempts that reached a backend server, and ran those that
	// may have run.
	arrived, ran int
	// reason and timeout describe the last attempt without an answer.
	reason  string
	timeout bool
	// losers are the attempts that end after another one was answered. They are waited
	// for before the request ends.
	losers sync.WaitGroup
	// load is the latest load that an owner reported with a refusal, or nil.
	load *evidence.Load
}

// run makes attempts until one is final and answers the caller.
func (c *call) run(ctx context.Context) {
	in := c.in
	defer c.losers.Wait()
	limits := c.policy.Document.Service.Limits
	c.budget = in.budget(c.service, limits.RetryPercent)
	plan := retry.NewPlan(retry.Options{
		Idempotent: c.route.Idempotent, MaxAttempts: cmp.Or(c.route.MaxAttempts, limits.MaxAttempts),
		LatencyObjective: time.Duration(c.route.Objective), FreeRefusals: in.opt.FreeRefusals, UpstreamRetryProbability: c.inherited(),
		// An attempt that starts within the margin could not be answered in time.
		Deadline: c.deadline.Add(-2 * margin(c.deadline.Sub(c.start))),
	})
	for {
		target, err := c.pick()
		if err != nil && c.askSuspects() {
			continue
		}
		if err != nil {
			var refusal *routing.Refusal
			if errors.As(err, &refusal) && c.reason == "" {
				c.reason = string(refusal.Reason)
			}
			c.report(plan.GiveUp(retry.NoTarget))
			return
		}
		t := c.try(ctx, plan, target)
		c.account(t)
		state := t.state
		if in.off.sentIsFinal && state == retry.Sent {
			state = retry.NotSent
		}
		d := plan.Next(in.opt.Now(), c.budget, retry.AttemptResult{State: state, Shed: t.shed(), RefusedByBackend: t.reply.Arrived})
		if d.Action == retry.Retry && !t.leavesBody() {
			d = plan.GiveUp(reasonBodyConsumed)
		}
		if d.Action == retry.Retry && ctx.Err() != nil {
			d = plan.GiveUp(retry.DeadlinePassed)
		}
		if d.Action == retry.Retry && in.ending.Err() != nil {
			d = plan.GiveUp(reasonStopping)
		}
		if d.Action == retry.Answer {
			c.answer(t)
			return
		}
		t.done(0)
		c.note(t)
		if d.Action == retry.Retry {
			c.publish(event.RequestRetried, string(d.Reason), event.Field{Key: "after", Value: c.reason})
		}
		if t.reply.Reason == reasonSuspect {
			c.suspects = append(c.suspects, t.target.Backend)
		}
		if d.Final() && d.Action == retry.ReportNotRun && in.ending.Err() == nil && c.askSuspects() {
			plan = plan.Renew()
			continue
		}
		if d.Reason == retry.BudgetSpent {
			c.publish(event.RetryBudgetSpent, c.reason)
		}
		if d.Final() {
			c.report(d)
			return
		}
	}
}

// inherited returns how likely the request is a call of a repeat that runs on this VM.
// Calls cannot be told from the requests of callers; those that count here may run
// again and go to another service, as calls do.
func (c *call) inherited() float64 {
	if c.in.opt.Owner == nil || !c.route.Idempotent || string(c.service) == c.in.opt.LocalService {
		return 0
	}
	return c.in.opt.Owner.running.repeatShare()
}

// account counts an attempt that has ended.
func (c *call) account(t *tried) {
	if t.reply.Arrived {
		c.arrived++
	}
	if t.state == retry.Sent || t.state == retry.Answered {
		c.arrived++
		c.ran++
		invariant.Check(c.route.Idempotent || c.ran == 1, "at_most_once",
			"request %s is not idempotent and may have run %d times", c.id, c.ran)
	}
}

// sentAtOnce is the largest body that is sent to an owner that has not asked for it.
const sentAtOnce = 16 << 10

// asksFirst reports whether an owner on another node has to ask for the body.
func (c *call) asksFirst() bool {
	if c.body.streamed() || c.route.Idempotent {
		return c.body.streamed()
	}
	return c.body.length > sentAtOnce || c.in.opt.ExpectContinue && c.body.length > 0
}

// askSuspects makes the suspect backend servers candidates once more, as the last
// resort. It reports false if there are none, they were asked, or the request has
// reached a backend server: then another attempt is a retry like any other.
func (c *call) askSuspects() bool {
	if c.lastResort || len(c.suspects) == 0 || c.arrived > 0 || !c.in.opt.Now().Before(c.deadline) {
		return false
	}
	c.lastResort = true
	// A request that may run again loses nothing by a failure.
	known := len(c.in.opt.Directory.Snapshot().Service(c.service))
	c.noBetter = c.route.Idempotent || 2*len(c.suspects) > known
	c.tried = slices.DeleteFunc(c.tried, func(id registry.BackendID) bool { return slices.Contains(c.suspects, id) })
	return true
}

func (c *call) pick() (routing.Target, error) {
	request := c.routing()
	request.AvoidSuspects = !c.lastResort && !(c.route.Idempotent && c.budget.Available(c.in.opt.Now()))
	return c.pickFor(request)
}

func (c *call) pickFor(request routing.Request) (routing.Target, error) {
	in := c.in
	rng := in.rngs.Get().(*rand.Rand)
	defer in.rngs.Put(rng)
	return in.opt.Balancer.Pick(in.opt.Now(), rng, in.opt.Directory.Snapshot(), request)
}

// routing returns what the balancer needs to know about the next attempt.
func (c *call) routing() routing.Request {
	return routing.Request{
		Service: c.service, Route: c.route, Limits: c.policy.Document.Service.Limits,
		BodyBytes: c.body.length, Tried: c.tried,
	}
}

// note remembers why an attempt brought no answer.
func (c *call) note(t *tried) {
	c.reason, c.timeout = t.reply.Reason, t.reply.Timeout
	if t.reply.Load != nil {
		c.load = t.reply.Load
	}
}

// answer passes the answer of an attempt to the caller.
func (c *call) answer(t *tried) {
	defer t.close()
	resp := t.reply.Response
	h := c.w.Header()
	copyHeader(h, resp)
	h[header.RequestID] = []string{c.id}
	h[header.Outcome] = []string{header.Answered}
	c.describe(header.Answered, resp.StatusCode)
	c.w.WriteHeader(resp.StatusCode)
	n, readErr, writeErr := copyBody(c.w, resp)
	if readErr != nil || writeErr != nil {
		if writeErr != nil {
			t.outcome = routing.Abandoned
		} else {
			t.failed = true
			c.publish(event.RequestFailed, reasonAnswerCut)
		}
		t.done(n)
		// A truncated body must not look complete.
		panic(http.ErrAbortHandler)
	}
	copyTrailer(h, resp)
	c.answered = true
	t.done(n)
}

// report tells the caller that there is no answer.
func (c *call) report(d retry.Decision) {
	reason := c.reason
	if reason == "" {
		reason = string(d.Reason)
	}
	if d.Reason == reasonBodyConsumed {
		reason = reasonBodyConsumed
	}
	switch d.Action {
	case retry.ReportNotRun:
		c.publish(event.RequestRefused, reason)
		c.write(http.StatusServiceUnavailable, header.NotRun, reason)
	case retry.ReportUnknown:
		status := http.StatusBadGateway
		if c.timeout {
			status = http.StatusGatewayTimeout
		}
		c.publish(event.RequestFailed, reason)
		c.write(status, header.Unknown, reason)
	default:
		c.publish(event.RequestFailed, reason)
		c.write(http.StatusBadGateway, header.Failed, reason)
	}
}

// refuse answers a request that is not passed on. It returns false.
func (c *call) refuse(status int, reason string, evidence ...event.Field) bool {
	c.publish(event.RequestRefused, reason, evidence...)
	c.write(status, header.NotRun, reason)
	return false
}

// write sends an answer of the node itself.
func (c *call) write(status int, outcome, reason string) {
	invariant.Check(outcome != header.NotRun || c.ran == 0, "not_run_is_true",
		"request %s is reported as not run after %d attempts that may have run", c.id, c.ran)
	c.describe(outcome, status)
	h := c.w.Header()
	h.Set("Content-Type", "text/plain; charset=utf-8")
	h[header.RequestID] = []string{c.id}
	header.Set(h, c.in.opt.Dialect.RequestID, c.id)
	h[header.Outcome] = []string{outcome}
	h[header.Reason] = []string{reason}
	if outcome == header.NotRun && status == http.StatusServiceUnavailable {
		h.Set("Retry-After", c.retryAfter())
	}
	text := outcome + ": " + reason + "\n"
	h.Set("Content-Length", strconv.Itoa(len(text)))
	c.w.WriteHeader(status)
	_, _ = io.WriteString(c.w, text)
	c.answered = true
}

// noteFailure remembers a failure for the backend server on this VM, which may have
// made the request.
func (c *call) noteFailure(status int) {
	if status >= http.StatusInternalServerError && c.in.opt.Owner != nil {
		c.in.opt.Owner.failed.add(c.start, c.in.opt.Now())
	}
}

// retryAfter returns the value of the header that asks the caller back, in seconds.
func (c *call) retryAfter() string {
	in := c.in
	rng := in.rngs.Get().(*rand.Rand)
	defer in.rngs.Put(rng)
	var median time.Duration
	if c.load != nil {
		median = in.opt.Balancer.Baseline(in.opt.Now(), c.service, "").Median
	}
	after := admission.RetryAfter(c.load, median, rng)
	return strconv.FormatFloat(after.Seconds(), 'f', 2, 64)
}

// latencies are the times from the arrival of a request to the header of its answer.
var latencies = metrics.NewHistograms("request")

// describe records what the caller is about to be told.
func (c *call) describe(outcome string, status int) {
	latencies.Observe(outcome, c.in.opt.Now().Sub(c.start))
	c.noteFailure(status)
	if c.service != "" {
		c.in.outcomes(c.service).Add(c.in.opt.Now(), status < http.StatusInternalServerError)
	}
	if c.span == nil || !c.span.IsRecording() {
		return
	}
	c.span.SetAttributes(attribute.String("wigeonspring.outcome", outcome),
		attribute.Int("http.response.status_code", status), attribute.Int("wigeonspring.attempts", len(c.tried)))
}

// publishPlacement reports where an attempt goes and what was known of the load
// there.
func (c *call) publishPlacement(t routing.Target) {
	age := "none"
	if t.ReportAge >= 0 {
		age = t.ReportAge.Round(time.Millisecond).String()
	}
	c.publish(event.RequestPlaced, t.Locality.String(),
		event.Field{Key: "attempt", Value: strconv.Itoa(len(c.tried))},
		event.Field{Key: "owner", Value: string(t.Owner.ID)},
		event.Field{Key: "route", Value: c.route.Name},
		policyEpoch(c.policy.Epoch),
		event.Field{Key: "in_use", Value: strconv.Itoa(t.InUse)},
		event.Field{Key: "queued", Value: strconv.Itoa(t.Queued)},
		event.Field{Key: "report_age", Value: age},
	)
}

// policyEpoch is the evidence of which policy decided.
func policyEpoch(epoch uint64) event.Field {
	return event.Field{Key: "policy_epoch", Value: strconv.FormatUint(epoch, 10)}
}

// publish reports a decision about the latest attempt.
func (c *call) publish(kind event.Kind, reason string, evidence ...event.Field) {
	var latest registry.BackendID
	if n := len(c.tried); n > 0 {
		latest = c.tried[n-1]
	}
	c.publishAt(latest, kind, reason, evidence...)
}

// publishAt reports a decision about the attempt at a backend server.
func (c *call) publishAt(id registry.BackendID, kind event.Kind, reason string, evidence ...event.Field) {
	c.in.opt.Events.Publish(event.Event{
		Time: c.in.opt.Now(), Kind: kind, Node: string(c.in.opt.Self), Service: string(c.service),
		Backend: string(id), RequestID: c.id, Reason: reason, Evidence: evidence,
	})
}
