package proxy

import (
	"cmp"
	"errors"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"wigeonspring.example/wigeonspring/internal/coordination/suspicion"
	"wigeonspring.example/wigeonspring/internal/invariant"
	"wigeonspring.example/wigeonspring/internal/protocol/header"
	"wigeonspring.example/wigeonspring/internal/state/event"
	"wigeonspring.example/wigeonspring/internal/state/evidence"
	"wigeonspring.example/wigeonspring/internal/transport/backend"
	"wigeonspring.example/wigeonspring/internal/transport/metrics"
)

// exchange is the exchange of an admitted attempt with its backend server. It returns
// its slot and reports its evidence exactly once.
type exchange struct {
	owner   *Owner
	attempt *ownerAttempt
	backend *ownedBackend
	ticket  uint64
	start   time.Time
	latency time.Duration
	span    trace.Span
	once    sync.Once
	// sent is set when the request may be sent; from then on it counts as running.
	sent bool
	// overdue is set when the exchange was reported as overdue before it ended.
	overdue atomic.Bool
}

// report passes the evidence of the exchange to the detector.
func (x *exchange) report(kind evidence.Kind, now time.Time, latency time.Duration) {
	exchangeLatencies.Observe(kind.String(), latency)
	a := x.attempt
	if t := x.backend.tracker; t != nil {
		x.updateTracker(t, kind, now)
		return
	}
	x.owner.opt.Observe(evidence.Observation{
		Backend: a.Backend, Service: a.Service, Route: a.Route, Kind: kind,
		Latency: latency, At: now, Baseline: a.Baseline,
	})
}

// exchangeLatencies are the times from the first byte to the end of an exchange with a
// backend server.
var exchangeLatencies = metrics.NewHistograms("exchange")

// updateTracker passes the evidence to the tracker and publishes a change of its state.
func (x *exchange) updateTracker(t *suspicion.Tracker, kind evidence.Kind, now time.Time) {
	if a := x.attempt; kind == evidence.Canceled && a.Idempotent && a.Objective > 0 && cmp.Or(x.latency, now.Sub(x.start)) >= a.Objective {
		// Another attempt brought the response first, or the caller abandoned a
		// request that took longer than its objective.
		kind = evidence.Overdue
	}
	if kind == evidence.ServerError && x.owner.failedCalls.mayExplain(x.start, now) {
		kind = evidence.Canceled
	}
	if kind == evidence.Canceled || kind == evidence.Shed {
		t.EndTrial()
	}
	var e event.Kind
	switch t.Observe(now, x.start, kind) {
	case suspicion.Suspected:
		e = event.BackendSuspected
		x.backend.admitter.refuseSuspect()
	case suspicion.Cleared:
		e = event.BackendRestored
	default:
		return
	}
	a := x.attempt
	x.owner.opt.Events.Publish(event.Event{
		Time: now, Kind: e, Node: string(x.owner.opt.Self), Service: string(a.Service), Backend: string(a.Backend),
		RequestID: a.RequestID, Reason: kind.String(),
	})
}

// fail ends an exchange that brought no response.
func (x *exchange) fail(err error, leaseHeld bool, load *evidence.Load) *reply {
	var e *backend.Error
	if !errors.As(err, &e) {
		e = &backend.Error{Kind: evidence.Reset, Reason: backend.ReasonReset, Err: err}
	}
	kind, reason := e.Kind, e.Reason
	switch {
	case !leaseHeld:
		kind, reason = evidence.Canceled, reasonLease
	case reason == backend.ReasonWithdrawn:
		reason = reasonCanceled
		if !x.owner.opt.Now().Before(x.attempt.Deadline) {
			reason = reasonDeadline
		}
	case reason == backend.ReasonCanceled && x.owner.requestCtx.Err() != nil:
		reason = reasonStopping
	}
	x.end(kind, reason, 0)
	if e.NotSent {
		return notRun(reason, load)
	}
	invariant.Check(x.sent, "unknown_after_dispatch", "request %s was written without permission", x.attempt.RequestID)
	return &reply{Outcome: header.Unknown, Reason: reason, Timeout: kind == evidence.Timeout, Load: load}
}

// maxRefusalBodyBytes and refusalBodyTimeout bound how much of the body of a refusal is read,
// and for how long, so that the connection can be reused.
const (
	maxRefusalBodyBytes = 4 << 10
	refusalBodyTimeout  = 50 * time.Millisecond
)

// refuse ends an exchange whose backend server stated that it did not run the request.
func (x *exchange) refuse(resp *backend.Response, load *evidence.Load) *reply {
	x.discard(resp, evidence.Shed, reasonBackendRefused)
	r := notRun(reasonBackendRefused, load)
	r.RefusedByBackend = true
	return r
}

// rejectUnproved ends an exchange whose response claims, without proof, that the
// request has not run.
func (x *exchange) rejectUnproved(resp *backend.Response, load *evidence.Load) *reply {
	x.discard(resp, evidence.ServerError, reasonUnproved)
	return &reply{Outcome: header.Unknown, Reason: reasonUnproved, Load: load}
}

// discard ends an exchange whose response is not forwarded.
func (x *exchange) discard(resp *backend.Response, kind evidence.Kind, reason string) {
	resp.Discard(maxRefusalBodyBytes, refusalBodyTimeout)
	x.end(kind, reason, 0)
}

// wrapResponse prepares the response for the caller. Closing its body ends the exchange.
func (x *exchange) wrapResponse(resp *backend.Response) {
	x.latency = max(x.owner.opt.Now().Sub(x.start)-resp.UploadWait(), 1)
	kind := evidence.Success
	switch {
	case resp.StatusCode == http.StatusServiceUnavailable:
		kind = evidence.Shed
	case resp.StatusCode >= http.StatusInternalServerError:
		kind = evidence.ServerError
	}
	x.span.SetAttributes(attribute.Int("http.response.status_code", resp.StatusCode))
	resp.Body = &responseBody{ReadCloser: resp.Body, exchange: x, kind: kind, uploadWait: resp.UploadWait}
}

// end returns the slot and reports the evidence. serviceTime is 0 if the exchange did
// not complete.
func (x *exchange) end(kind evidence.Kind, reason string, serviceTime time.Duration) {
	x.once.Do(func() {
		o, a := x.owner, x.attempt
		now := o.opt.Now()
		x.backend.admitter.release(x.ticket, serviceTime)
		if x.sent {
			o.active.end(a.Repeat)
		}
		latency := x.latency
		if latency == 0 {
			latency = now.Sub(x.start)
		}
		if x.span.IsRecording() {
			x.span.SetAttributes(attribute.String("wigeonspring.backend", string(a.Backend)),
				attribute.String("wigeonspring.reason", reason))
		}
		x.span.End()
		if x.overdue.Load() && (kind == evidence.Timeout || kind == evidence.Reset) {
			return // Reported already.
		}
		x.report(kind, now, latency)
		if c := o.opt.Cost; c != nil && kind == evidence.Success {
			c.Observe(now, a.class(o.opt.Dialect), a.Backend, latency)
		}
	})
}
