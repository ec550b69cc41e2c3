package proxy

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"go.opentelemetry.io/otel/propagation"

	"wigeonspring.example/wigeonspring/internal/protocol/header"
)

// ownerGrace is the time after the deadline in which an owner may still send the
// outcome.
const ownerGrace = 100 * time.Millisecond

// bodyStartTimeout bounds the wait for the first bytes of a body that the owner has
// asked for. It is far above a round trip of 16 ms between regions. A slot is held
// during the wait.
const bodyStartTimeout = time.Second

// ServeHTTP serves the request of another node. A refusal is sent without reading the
// body, so that the ingress node can try the request elsewhere.
func (o *Owner) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Header.Get(header.Recover) != "" {
		o.serveRecovery(w, r)
		return
	}
	hop, err := header.ReadHop(r.Header)
	if err != nil {
		o.writeReply(w, hop.RequestID, notRun(reasonInvalidHop, nil))
		return
	}
	deadline := o.opt.Now().Add(hop.TimeLeft)
	ctx := propagation.TraceContext{}.Extract(r.Context(), propagation.HeaderCarrier(r.Header))
	// An ingress node that reads slowly must not hold a slot beyond the deadline.
	_ = http.NewResponseController(w).SetWriteDeadline(deadline.Add(ownerGrace))
	// The ingress node has set the origin service and the team. They are the only headers of
	// package header that go on to the backend server as they are.
	origin, team := r.Header.Get(o.opt.Dialect.CallerService), r.Header.Get(o.opt.Dialect.Team)
	header.StripInternal(r.Header)
	header.StripHopByHop(r.Header)
	header.Set(r.Header, o.opt.Dialect.CallerService, origin)
	if team != "" {
		header.Set(r.Header, o.opt.Dialect.Team, team)
	}
	a := &ownerAttempt{Hop: hop, Deadline: deadline, Request: r}
	if hop.AnswerWithin > 0 {
		a.ResponseDeadline = o.opt.Now().Add(hop.AnswerWithin)
	}
	if hop.Origin != "" && r.ContentLength != 0 {
		r.Body = &askedBody{ReadCloser: r.Body, w: w}
	}
	if !hop.Idempotent && r.ContentLength != 0 {
		body := newContinueBody(w, r)
		r.Body, a.awaitBody, a.limitBody = body, body.awaitFirstBytes, body.limitRest
	}
	if hop.Origin != "" {
		o.serveRecoverable(ctx, w, a)
		return
	}
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	reply := o.run(ctx, a)
	reply.StatusInHeader = hop.StatusInHeader
	defer reply.close()
	o.writeReply(w, hop.RequestID, reply)
}

// serveRecoverable serves an attempt whose reply the ingress node can also get on another
// connection. The interim response tells the ingress node that the attempt has arrived.
func (o *Owner) serveRecoverable(ctx context.Context, w http.ResponseWriter, a *ownerAttempt) {
	w.WriteHeader(http.StatusProcessing)
	ctx, attempt := o.begin(ctx, a)
	if attempt == nil {
		o.writeReply(w, a.RequestID, notRun(reasonWithdrawn, nil))
		return
	}
	complete := false
	defer func() { o.end(attempt, complete) }()
	reply := o.run(ctx, a)
	reply.StatusInHeader = a.StatusInHeader
	defer reply.close()
	o.writeReply(&replyRecorder{ResponseWriter: w, attempt: attempt}, a.RequestID, reply)
	complete = true
}

// askedBody sends 100 Continue at the first read. The HTTP/2 server of net/http does this by
// itself only if it has sent no other interim response.
type askedBody struct {
	io.ReadCloser
	w     http.ResponseWriter
	asked bool
}

// Read implements io.Reader.
func (b *askedBody) Read(p []byte) (int, error) {
	if !b.asked {
		b.asked = true
		b.w.WriteHeader(http.StatusContinue)
	}
	return b.ReadCloser.Read(p)
}

// continueBody is the body of a request of another node. The first read from it sends
// 100 Continue, upon which the ingress node sends the body.
type continueBody struct {
	*bufio.Reader
	io.Closer
	control *http.ResponseController
}

func newContinueBody(w http.ResponseWriter, r *http.Request) *continueBody {
	return &continueBody{Reader: bufio.NewReader(r.Body), Closer: r.Body, control: http.NewResponseController(w)}
}

// awaitFirstBytes asks the ingress node for the body and waits for its first bytes. An
// ingress node that was not asked treats the request as not run.
func (b *continueBody) awaitFirstBytes() error {
	if err := b.control.SetReadDeadline(time.Now().Add(bodyStartTimeout)); err != nil {
		return err
	}
	if _, err := b.Peek(1); err != nil && err != io.EOF { // An empty body is complete.
		return err
	}
	return b.control.SetReadDeadline(time.Time{})
}

// limitRest bounds the wait for bytes that have not arrived yet. The connection of the ingress
// node has failed, and the rest of the body may never come.
func (b *continueBody) limitRest() {
	_ = b.control.SetReadDeadline(time.Now().Add(bodyRestTimeout))
}

// writeReply sends a reply to the ingress node.
func (o *Owner) writeReply(w http.ResponseWriter, id string, r *reply) {
	h := w.Header()
	status := http.StatusServiceUnavailable
	if r.Response != nil {
		status = r.Response.StatusCode
		copyHeader(h, r.Response)
	}
	h[header.RequestID] = []string{id}
	h[header.Outcome] = []string{r.Outcome}
	if r.Reason != "" {
		h[header.Reason] = []string{r.Reason}
	}
	if r.Load != nil {
		h[header.Load] = []string{header.FormatLoad(*r.Load)}
	}
	if r.Cost != nil {
		h[header.Cost] = []string{header.FormatCost(r.Cost.work, r.Cost.wait)}
	}
	if r.RetryAfter > 0 {
		h[header.RetryAfterMillis] = []string{header.FormatDeadline(r.RetryAfter)}
	}
	if r.Response != nil && r.StatusInHeader && status >= http.StatusMultipleChoices && status != http.StatusNotModified {
		h[header.Status] = []string{strconv.Itoa(status)}
		status = http.StatusOK
	}
	if r.Outcome == header.Unknown {
		status = http.StatusBadGateway
		if r.Timeout {
			status = http.StatusGatewayTimeout
		}
	}
	w.WriteHeader(status)
	if r.Response == nil {
		return
	}
	if _, readErr, writeErr := copyBody(w, r.Response); readErr != nil || writeErr != nil {
		// Resets the stream: a truncated body must not look complete.
		panic(http.ErrAbortHandler)
	}
	copyTrailer(h, r.Response)
}
