package proxy

import (
	"context"
	"io"
	"net/http"
	"sync"
	"time"

	"wigeonspring.example/wigeonspring/internal/protocol/header"
	"wigeonspring.example/wigeonspring/internal/state/evidence"
)

// Reasons that the request path gives for an outcome other than answered. The
// packages admission, routing, retry, backend and peer define further ones.
const (
	reasonStopping      = "node_stopping"
	reasonBadHop        = "invalid_request_between_nodes"
	reasonIncarnation   = "owner_incarnation_changed"
	reasonNotOwner      = "not_owner"
	reasonLease         = "lease_lapsed"
	reasonBodyConsumed  = "request_body_consumed"
	reasonBodyWithheld  = "request_body_not_sent"
	reasonNoOutcome     = "owner_gave_no_outcome"
	reasonWrongID       = "request_id_mismatch"
	reasonUnknownHost   = "unknown_host"
	reasonNoRoute       = "no_route"
	reasonBadID         = "invalid_request_id"
	reasonBadDeadline   = "invalid_deadline"
	reasonBodyTooLarge  = "request_body_too_large"
	reasonBodyCut       = "request_body_cut"
	reasonAnswerCut     = "answer_cut"
	reasonOwnerSilent   = "owner_did_not_answer"
	reasonUpgradeUnsupp = "upgrade_not_supported"
	reasonOverdue       = "attempt_overdue"
	reasonHedged        = "other_attempt_runs"
	reasonSuspect       = "backend_suspect"
	// reasonBackendRefused: the backend server stated that it did not run the request.
	reasonBackendRefused = "backend_refused"
	// reasonUnproved: the backend server refused without proof that it did not run
	// the request.
	reasonUnproved = "backend_refusal_unproved"
)

// reply is the owner's answer to an attempt.
type reply struct {
	// Outcome is header.Answered, header.NotRun or header.Unknown.
	Outcome string
	Reason  string
	// Timeout marks an unknown outcome due to the deadline.
	Timeout bool
	// Arrived marks a refusal by the backend server itself; the request reached it.
	Arrived bool
	// Load is the load of the backend server, or nil.
	Load *evidence.Load
	// Response is the backend server's answer; nil unless answered. Its body must
	// be closed.
	Response *http.Response
}

// limitAnswer cancels the context with context.DeadlineExceeded as its cause at
// the given time, unless the answer began before. A zero time sets no limit. The
// context stays in use for the body of the answer.
func limitAnswer(ctx context.Context, by time.Time) (limited context.Context, began func()) {
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

func (r *reply) close() {
	if r.Response != nil {
		_ = r.Response.Body.Close()
	}
}

// copyBuffers holds the buffers through which bodies are copied.
var copyBuffers = sync.Pool{New: func() any { b := make([]byte, 32<<10); return &b }}

// copyBody sends the body of an answer and returns its size. A body without a
// declared length is flushed piece by piece, because it may be a stream of
// events. The errors of reading and of writing are kept apart.
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

// copyHeader adds the header of an answer to h, without the headers that apply
// to one connection or that only nodes may set.
func copyHeader(h http.Header, resp *http.Response) {
	header.StripHopByHop(resp.Header)
	header.StripInternal(resp.Header)
	for name, values := range resp.Header {
		h[name] = values
	}
	if _, ok := h["Content-Type"]; !ok {
		h["Content-Type"] = nil // Keeps net/http from guessing one.
	}
	header.StripInternal(resp.Trailer)
	for name := range resp.Trailer {
		h.Add("Trailer", name)
	}
}

// copyTrailer adds the trailer, which is known after the body was read.
func copyTrailer(h http.Header, resp *http.Response) {
	header.StripInternal(resp.Trailer)
	for name, values := range resp.Trailer {
		h[name] = values
	}
}
