package proxy

import (
	"context"
	"io"
	"net/http"
	"sync"
	"time"

	"wigeonspring.example/wigeonspring/internal/coordination/admission"
	"wigeonspring.example/wigeonspring/internal/protocol/header"
	"wigeonspring.example/wigeonspring/internal/state/evidence"
)

// Reasons for an outcome other than header.Answered. The packages admission, routing,
// retry, backend and peer define further reasons.
const (
	reasonStopping            = "node_stopping"
	reasonInvalidHop          = "invalid_request_between_nodes"
	reasonIncarnation         = "owner_incarnation_changed"
	reasonNotOwner            = "not_owner"
	reasonLease               = "lease_lapsed"
	reasonBodyConsumed        = "request_body_consumed"
	reasonBodyNotSent         = "request_body_not_sent"
	reasonNoOutcome           = "owner_gave_no_outcome"
	reasonWrongID             = "request_id_mismatch"
	reasonUnknownHost         = "unknown_host"
	reasonNoRoute             = "no_route"
	reasonBadID               = "invalid_request_id"
	reasonNoKey               = "key_missing"
	reasonUnknownKey          = "key_unknown"
	reasonKeysOutdated        = "keys_outdated"
	reasonOverQuota           = "over_quota"
	reasonBadDeadline         = "invalid_deadline"
	reasonBodyTooLarge        = "request_body_too_large"
	reasonBodyTruncated       = "request_body_cut"
	reasonBodyLate            = "request_body_late"
	reasonResponseTruncated   = "answer_cut"
	reasonOwnerTimeout        = "owner_did_not_answer"
	reasonUpgradeNotSupported = "upgrade_not_supported"
	reasonOverdue             = "attempt_overdue"
	reasonHedged              = "other_attempt_runs"
	reasonLastResort          = "only_suspects_left"
	reasonSuspect             = "backend_suspect"
	reasonUploadUnfinished    = "upload_unfinished"
	// reasonUnreadLate means that a caller had not read its response by the deadline, and
	// reasonUnreadMemory that the memory of such responses was full.
	reasonUnreadLate   = "response_unread_at_deadline"
	reasonUnreadMemory = "unread_responses_full"
	// reasonUnread means that the caller did not read while a response was cut.
	reasonUnread = "response_unread"
	// reasonWithdrawn means that the connection to the owner failed before the owner sent
	// the request to the backend server, and that the owner refuses it from then on.
	reasonWithdrawn = "withdrawn_before_dispatch"
	// reasonForgotten means that the owner no longer knows what became of the attempt, and
	// reasonNotKept that it no longer has the reply.
	reasonForgotten = "attempt_forgotten"
	reasonNotKept   = "reply_not_kept"
	// reasonBackendRefused means that the backend server stated that it did not run the
	// request.
	reasonBackendRefused = "backend_refused"
	// reasonUnproved means that the backend server refused the request without proof
	// that it did not run it.
	reasonUnproved = "backend_refusal_unproved"
)

// reply is the result of an attempt as reported by the owner.
type reply struct {
	// Outcome is header.Answered, header.NotRun or header.Unknown.
	Outcome string
	Reason  string
	// Timeout marks an outcome that is unknown because the deadline passed.
	Timeout bool
	// RefusedByBackend marks a refusal by the backend server itself, which the request
	// reached.
	RefusedByBackend bool
	// StatusInHeader is set if the ingress node reads the status of the response from
	// header.Status; see header.Hop.
	StatusInHeader bool
	// Load is the load of the backend server, or nil.
	Load *evidence.Load
	// Cost is the service time and the wait for a slot; nil if the owner does not report them.
	Cost *reportedCost
	// RetryAfter is how long the owner asks to avoid the backend server because it is
	// suspect; 0 if it is not.
	RetryAfter time.Duration
	// Response is the response of the backend server; nil unless Outcome is
	// header.Answered. Its body must be closed.
	Response *http.Response
}

// withResponseDeadline cancels the context with context.DeadlineExceeded as its cause
// at the given time, unless began is called before. A zero time sets no limit. The
// context is also used for the body of the response, which the limit does not cover.
func withResponseDeadline(ctx context.Context, by time.Time) (limited context.Context, began func()) {
	if by.IsZero() {
		return ctx, func() {}
	}
	limited, cancel := context.WithCancelCause(ctx)
	timer := time.AfterFunc(time.Until(by), func() { cancel(context.DeadlineExceeded) })
	return limited, func() { timer.Stop() }
}

func notRun(reason string, load *evidence.Load) *reply {
	return &reply{Outcome: header.NotRun, Reason: reason, Load: load}
}

func unknown(reason string) *reply { return &reply{Outcome: header.Unknown, Reason: reason} }

// reportedCost is the service time of a request, or 0 if it has not completed, and the wait for
// a slot at its backend server.
type reportedCost struct{ work, wait time.Duration }

func (r *reply) close() {
	if r.Response != nil {
		_ = r.Response.Body.Close()
	}
}

// copyBuffers holds the buffers through which bodies are copied.
var copyBuffers = sync.Pool{New: func() any { b := make([]byte, copyBufferBytes); return &b }}

// copyBody sends the body of a response and returns its size. A body without a
// declared length is flushed after every read, because it may be a stream of events.
// Errors of reading and of writing are returned separately.
func copyBody(w http.ResponseWriter, resp *http.Response) (n int64, readErr, writeErr error) {
	buf := copyBuffers.Get().(*[]byte)
	defer copyBuffers.Put(buf)
	flush := resp.ContentLength < 0
	control := http.NewResponseController(w)
	for {
		m, err := resp.Body.Read(*buf)
		if m > 0 {
			if _, werr := w.Write((*buf)[:m]); werr != nil {
				return n, nil, werr
			}
			n += int64(m)
			if flush {
				if werr := control.Flush(); werr != nil {
					return n, nil, werr
				}
			}
		}
		if err == io.EOF {
			return n, nil, nil
		}
		if err != nil {
			return n, err, nil
		}
	}
}

// copyHeader adds the header of a response to h, without the hop-by-hop headers and
// without those that only nodes may set.
func copyHeader(h http.Header, resp *http.Response) {
	header.StripHopByHop(resp.Header)
	header.StripInternal(resp.Header)
	for name, values := range resp.Header {
		h[name] = values
	}
	if _, ok := h["Content-Type"]; !ok {
		h["Content-Type"] = nil // Prevents net/http from detecting one.
	}
	header.StripInternal(resp.Trailer)
	for name := range resp.Trailer {
		h.Add("Trailer", name)
	}
}

// copyTrailer adds the trailer, which is known once the body has been read.
func copyTrailer(h http.Header, resp *http.Response) {
	header.StripInternal(resp.Trailer)
	for name, values := range resp.Trailer {
		h[name] = values
	}
}

// queueFull reports whether the owner refused the attempt because its queue has no room for it.
func (r *reply) queueFull() bool {
	reason := admission.Reason(r.Reason)
	return r.Outcome == header.NotRun && (reason == admission.QueueFull || reason == admission.RemoteShareFull)
}
