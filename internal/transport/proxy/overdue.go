package proxy

import (
	"net/http"
	"time"

	"wigeonspring.example/wigeonspring/internal/state/evidence"
)

// Limits of the time after which an exchange without a response is reported as overdue.
const (
	// overdueFactor times the median is far beyond the 99th percentile of a
	// healthy service.
	overdueFactor = 20
	// overdueMin prevents short pauses of a VM from counting as evidence.
	overdueMin = 250 * time.Millisecond
	// overdueSamples is the number of samples from which the median is trusted.
	overdueSamples = 20
	// maxTimerDelay is how late the timer may fire. A longer delay means that this
	// process was paused and not that the backend server is slow.
	maxTimerDelay = 50 * time.Millisecond
)

// watchOverdue reports the exchange as overdue if its response has not begun long after
// the exchange would normally have ended. This detects a gray failure of a backend
// server before the deadlines of its requests pass. The returned function stops the
// timer.
func (x *exchange) watchOverdue() (stop func()) {
	b := x.attempt.Baseline
	if b.Samples < overdueSamples || b.Median <= 0 || x.attempt.Request.ContentLength != 0 && !smallBody(x.attempt.Request) {
		return func() {}
	}
	after := max(overdueMin, overdueFactor*b.Median)
	due := x.owner.opt.Now().Add(after)
	timer := time.AfterFunc(after, func() {
		now := x.owner.opt.Now()
		if now.Sub(due) > maxTimerDelay {
			return
		}
		x.overdue.Store(true)
		x.report(evidence.Overdue, now, after)
	})
	return func() { timer.Stop() }
}

// smallBody reports whether the body is sent at once, so that a slow upload of the
// caller cannot be mistaken for a slow backend server.
func smallBody(r *http.Request) bool {
	return r.ContentLength > 0 && r.ContentLength <= maxSmallBodyBytes
}

// maxSmallBodyBytes is the size of a body that fits into the socket buffers.
const maxSmallBodyBytes = 16 << 10
