package proxy

import (
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"go.opentelemetry.io/otel/attribute"

	"wigeonspring.example/wigeonspring/internal/coordination/admission"
	"wigeonspring.example/wigeonspring/internal/coordination/retry"
	"wigeonspring.example/wigeonspring/internal/invariant"
	"wigeonspring.example/wigeonspring/internal/protocol/header"
	"wigeonspring.example/wigeonspring/internal/state/event"
	"wigeonspring.example/wigeonspring/internal/transport/metrics"
)

// reportOutcome tells the caller that no backend server has responded.
func (c *call) reportOutcome(d retry.Decision) {
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
		c.writeOutcome(http.StatusServiceUnavailable, header.NotRun, reason)
	case retry.ReportUnknown:
		status := http.StatusBadGateway
		if c.timeout {
			status = http.StatusGatewayTimeout
		}
		c.publish(event.RequestFailed, reason)
		c.writeOutcome(status, header.Unknown, reason)
	default:
		c.publish(event.RequestFailed, reason)
		c.writeOutcome(http.StatusBadGateway, header.Failed, reason)
	}
}

// refuse responds to a request that is not forwarded. It returns false.
func (c *call) refuse(status int, reason string, evidence ...event.Field) bool {
	c.publish(event.RequestRefused, reason, evidence...)
	c.writeOutcome(status, header.NotRun, reason)
	return false
}

// writeOutcome sends a response of the node itself.
func (c *call) writeOutcome(status int, outcome, reason string) {
	invariant.Check(outcome != header.NotRun || c.mayHaveRun == 0, "not_run_is_true",
		"request %s is reported as not run after %d attempts that may have run", c.id, c.mayHaveRun)
	c.recordResult(outcome, status)
	h := c.w.Header()
	h.Set("Content-Type", "text/plain; charset=utf-8")
	h[header.RequestID] = []string{c.id}
	header.Set(h, c.in.opt.Dialect.RequestID, c.id)
	h[header.Outcome] = []string{outcome}
	h[header.Reason] = []string{reason}
	switch {
	case outcome != header.NotRun:
	case status == http.StatusTooManyRequests:
		h.Set("Retry-After", formatRetryAfter(c.retryAfterQuota))
	case status == http.StatusServiceUnavailable:
		h.Set("Retry-After", c.retryAfter())
	}
	if outcome == header.NotRun {
		c.refundQuota()
	}
	text := outcome + ": " + reason + "\n"
	h.Set("Content-Length", strconv.Itoa(len(text)))
	if c.body != nil && c.body.unread() {
		c.keepBodyUnread()
	}
	if c.left.Load() {
		h.Set("Connection", "close") // The requests behind this one must not run.
	}
	c.w.WriteHeader(status)
	_, _ = io.WriteString(c.w, text)
	c.responded = true
}

// recordLocalFailure records a failed request for the owner on this VM, because its
// backend server may have made the request.
func (c *call) recordLocalFailure(status int) {
	if status >= http.StatusInternalServerError && c.in.opt.Owner != nil {
		c.in.opt.Owner.failedCalls.add(c.start, c.in.opt.Now())
	}
}

// retryAfter returns the value of the Retry-After header in seconds.
func (c *call) retryAfter() string {
	in := c.in
	rng := in.rngs.Get().(*rand.Rand)
	defer in.rngs.Put(rng)
	var median time.Duration
	if c.load != nil {
		median = in.opt.Balancer.Baseline(in.opt.Now(), c.service, "").Median
	}
	after := admission.RetryAfter(c.load, median, rng)
	return formatRetryAfter(after)
}

// formatRetryAfter formats a delay in seconds. Fractions are allowed.
func formatRetryAfter(d time.Duration) string {
	return strconv.FormatFloat(d.Seconds(), 'f', 2, 64)
}

// requestLatencies are the times from the arrival of a request to the header of its
// response.
var requestLatencies = metrics.NewHistograms("request")

// recordResult records the response that is about to be sent to the caller.
func (c *call) recordResult(outcome string, status int) {
	requestLatencies.Observe(outcome, c.in.opt.Now().Sub(c.start))
	c.recordLocalFailure(status)
	if c.service != "" {
		c.in.unservedRate(c.service).Add(c.in.opt.Now(), status < http.StatusInternalServerError)
	}
	if c.span == nil || !c.span.IsRecording() {
		return
	}
	c.span.SetAttributes(attribute.String("wigeonspring.outcome", outcome),
		attribute.Int("http.response.status_code", status), attribute.Int("wigeonspring.attempts", len(c.tried)))
}
