package backend

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"wigeonspring.example/wigeonspring/internal/fault"
	"wigeonspring.example/wigeonspring/internal/state/evidence"
)

// Reasons of a failed exchange.
const (
	ReasonDial      = "backend_dial_failed"
	ReasonReset     = "backend_connection_reset"
	ReasonTimeout   = "deadline_passed"
	ReasonCanceled  = "caller_canceled"
	ReasonBodyCut   = "request_body_cut"
	ReasonMismatch  = "request_id_mismatch"
	ReasonNoLength  = "answer_without_length"
	ReasonTruncated = "answer_truncated"
	ReasonStatus    = "answer_status_invalid"
	ReasonWithdrawn = "dispatch_withdrawn"
)

// minStatus and MaxStatus bound the status of a response that ends an exchange.
const (
	minStatus = http.StatusOK
	MaxStatus = 599
)

// Error is the error of a failed exchange.
type Error struct {
	// Kind is the evidence about the backend server that the failure provides.
	Kind evidence.Kind
	// NotSent is set if no byte of the request was written.
	NotSent bool
	// Reason is a short machine-readable cause.
	Reason string
	Err    error
}

func (e *Error) Error() string { return fmt.Sprintf("%s: %v", e.Reason, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Do sends the request on one connection and never repeats it. id is the identifier of the
// request; if the response contains a request identifier, it must be the same. Once a
// backend server has sent one, a response without it counts on a new connection only. repeatable
// states that the request may run again if its response is lost. allowed is called once,
// directly before the first byte can be written, and reports whether the request may still
// be sent. The caller reads the body of the response and closes it. All errors, including
// those of the body, are of type *Error.
//
// http.Transport.RoundTrip is not used: it repeats a request on a new connection
// when a reused one fails and the method or an Idempotency-Key header suggests
// that this is safe. An http.ClientConn is bound to one connection and cannot do so.
func (p *Pool) Do(ctx context.Context, req *http.Request, id string, repeatable bool, allowed func() bool) (*Response, error) {
	c, err := p.get(ctx, repeatable)
	if err != nil {
		return nil, dialError(ctx, err)
	}
	if !allowed() {
		c.finish()
		return nil, &Error{Kind: evidence.Canceled, NotSent: true, Reason: ReasonWithdrawn,
			Err: fault.Newf("exchange with backend server", p.opt.Addr, "the permission to dispatch was withdrawn")}
	}
	ctx, cancel := context.WithCancel(ctx)
	req = req.WithContext(ctx)
	req.GetBody = nil
	x := &exchange{ctx: ctx, cancel: cancel, conn: c, addr: p.opt.Addr}
	if req.Body != nil && req.Body != http.NoBody {
		x.upload = &upload{ReadCloser: req.Body}
		req.Body = x.upload
	}
	resp, err := c.client.RoundTrip(req)
	if err != nil {
		unwritten := c.blockWrites()
		x.abandon()
		return nil, x.classify(err, unwritten)
	}
	got := resp.Header.Get(p.opt.IDHeader)
	if !p.belongs(resp, got, id, c.reused) && !p.disabled.requestID {
		x.abandon()
		p.recordUnmatched()
		return nil, x.fail(evidence.Reset, ReasonMismatch, errors.New("the response belongs to another request"))
	}
	if resp.StatusCode < minStatus || resp.StatusCode > MaxStatus {
		x.abandon()
		return nil, x.fail(evidence.Truncated, ReasonStatus, fmt.Errorf("the response has the status %03d", resp.StatusCode))
	}
	if !p.opt.CloseDelimited && closeDelimited(req, resp) {
		x.abandon()
		return nil, x.fail(evidence.Truncated, ReasonNoLength, errors.New("the end of the response cannot be recognized"))
	}
	// The backend server may send the same refusal again. If it contains no request
	// identifier, it would be taken for the response to the next request on the connection.
	x.noReuse = got == "" && p.opt.NotRun != nil && p.opt.NotRun(resp)
	resp.Body = &body{exchange: x, ReadCloser: resp.Body, readToEnd: req.Method == http.MethodHead || resp.ContentLength == 0}
	return &Response{Response: resp, exchange: x}, nil
}

// belongs reports whether a response with the identifier got can be that of the request id.
// A response without an identifier may consist of bytes that were sent after an earlier
// response on the connection.
func (p *Pool) belongs(resp *http.Response, got, id string, reused bool) bool {
	switch {
	case got != "" && got != id, got == "" && reused && p.repeatsID.Load():
		return false
	case got != "":
		p.repeatsID.Store(true)
	}
	return p.opt.Belongs == nil || p.opt.Belongs(resp, got, reused)
}

// Response is the response of a backend server. Its body must be closed.
type Response struct {
	*http.Response
	exchange *exchange
}

// UploadWait returns the time that the exchange has spent waiting for the body of the
// request. The backend server does not cause this delay.
func (r *Response) UploadWait() time.Duration {
	if r.exchange.upload == nil {
		return 0
	}
	return time.Duration(r.exchange.upload.waited.Load())
}

// Discard reads at most limit bytes of the body for at most wait, and ends the exchange. The
// connection is reused if that was the whole body.
func (r *Response) Discard(limit int64, wait time.Duration) {
	timer := time.AfterFunc(wait, r.exchange.abandon)
	defer timer.Stop()
	_, _ = io.CopyN(io.Discard, r.Body, limit)
	_ = r.Body.Close()
}

// closeDelimited reports whether the end of the response is marked only by the end of the
// connection. A truncated response would then look complete.
func closeDelimited(req *http.Request, resp *http.Response) bool {
	return resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 && req.Method != http.MethodHead
}

func dialError(ctx context.Context, err error) *Error {
	e := &Error{Kind: evidence.Reset, NotSent: true, Reason: ReasonDial, Err: err}
	switch cause := context.Cause(ctx); {
	case errors.Is(cause, context.DeadlineExceeded):
		e.Kind, e.Reason = evidence.Timeout, ReasonTimeout
	case cause != nil:
		e.Kind, e.Reason = evidence.Canceled, ReasonCanceled
	}
	return e
}

// exchange is one request and its response on a connection.
type exchange struct {
	ctx    context.Context
	cancel context.CancelFunc
	conn   *conn
	addr   string
	upload *upload
	// noReuse is set if the connection must not be used again.
	noReuse bool
	once    sync.Once
}

// abandon closes the connection, so that a late response is not taken for that of another
// request.
func (x *exchange) abandon() {
	x.once.Do(func() {
		_ = x.conn.client.Close()
		x.cancel()
	})
}

// complete ends an exchange whose response was read to the end.
func (x *exchange) complete() {
	if x.noReuse {
		x.abandon()
		return
	}
	x.once.Do(func() {
		x.conn.finish()
		x.cancel()
	})
}

// classify converts an error that occurred before the response began. unwritten states
// that no byte of the request was written.
func (x *exchange) classify(err error, unwritten bool) *Error {
	kind, reason := evidence.Reset, ReasonReset
	switch {
	case x.upload != nil && x.upload.failed.Load():
		kind, reason = evidence.Canceled, ReasonBodyCut
	case errors.Is(context.Cause(x.ctx), context.DeadlineExceeded), errors.Is(err, context.DeadlineExceeded):
		kind, reason = evidence.Timeout, ReasonTimeout
		if x.upload != nil && x.upload.waiting.Load() {
			kind = evidence.Canceled // The caller was too slow, not the backend server.
		}
	case errors.Is(err, context.Canceled):
		kind, reason = evidence.Canceled, ReasonCanceled
	}
	e := x.fail(kind, reason, err)
	e.NotSent = unwritten
	return e
}

func (x *exchange) fail(kind evidence.Kind, reason string, err error) *Error {
	return &Error{Kind: kind, Reason: reason, Err: fault.New("exchange with backend server", x.addr, err)}
}

// upload is the body of the request. It records whether reading it failed and how long the
// reads took, neither of which the backend server causes.
type upload struct {
	io.ReadCloser
	failed  atomic.Bool
	waiting atomic.Bool
	waited  atomic.Int64 // nanoseconds
}

func (u *upload) Read(p []byte) (int, error) {
	start := time.Now()
	u.waiting.Store(true)
	n, err := u.ReadCloser.Read(p)
	u.waiting.Store(false)
	u.waited.Add(int64(time.Since(start)))
	if err != nil && err != io.EOF {
		u.failed.Store(true)
	}
	return n, err
}

// body is the body of a response.
type body struct {
	*exchange
	io.ReadCloser
	// readToEnd is set when the response has been read to its end.
	readToEnd bool
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == nil {
		return n, nil
	}
	if err == io.EOF {
		b.readToEnd = true
		return n, io.EOF
	}
	kind, reason := evidence.Truncated, ReasonTruncated
	switch {
	case errors.Is(context.Cause(b.ctx), context.DeadlineExceeded):
		kind, reason = evidence.Timeout, ReasonTimeout
	case b.ctx.Err() != nil:
		kind, reason = evidence.Canceled, ReasonCanceled
	case b.upload != nil && b.upload.failed.Load():
		kind, reason = evidence.Canceled, ReasonBodyCut
	}
	return n, b.fail(kind, reason, err)
}

// Close ends the exchange. The connection is reused only if the response was read to its
// end.
func (b *body) Close() error {
	if !b.readToEnd {
		b.abandon()
		return nil
	}
	err := b.ReadCloser.Close()
	b.complete()
	return err
}
