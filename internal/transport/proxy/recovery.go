package proxy

import (
	"context"
	"expvar"
	"maps"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"wigeonspring.example/wigeonspring/internal/coordination/attempts"
	"wigeonspring.example/wigeonspring/internal/protocol/header"
	"wigeonspring.example/wigeonspring/internal/transport/peer"
)

const (
	// maxKeptReplyBytes is the largest reply, header and body, that is kept for a recovery.
	maxKeptReplyBytes = 64 << 10
	// keptReplyBytes bounds the memory of all such replies.
	keptReplyBytes = 4 << 20
	// headerValueBytes is the memory of a header value in addition to its text.
	headerValueBytes = 64
	// connectionLossGrace is how long an attempt goes on after its connection was lost. By
	// then, the ingress node asks for it on another connection.
	connectionLossGrace = 300 * time.Millisecond
	// streamEndDelay is how long an attempt whose stream has ended goes on until it is known
	// whether its connection was lost as well.
	streamEndDelay = 20 * time.Millisecond
	// bodyRestTimeout bounds the wait for the rest of a request body whose connection has
	// failed, for the case that the rest is already under way.
	bodyRestTimeout = 250 * time.Millisecond
)

// recoverable is an attempt of another node whose reply can be sent on another connection than
// the attempt arrived on. The reply is kept for a while after its end.
type recoverable struct {
	key attempts.Key
	// cancel ends the attempt.
	cancel context.CancelFunc
	// limitBody bounds the wait for the rest of the request body, if there is one.
	limitBody func()
	memory    *byteBudget
	// unwatch ends the watch of the connection.
	unwatch func() bool
	// done is closed when the reply is complete or will never be.
	done chan struct{}

	mu     sync.Mutex
	status int
	header http.Header
	body   []byte
	// kept is the number of bytes of the header and the body, which are reserved in memory.
	kept int64
	// ended is set when the handler of the attempt is about to return; the stream must not
	// be used any more.
	ended bool
	// lost is set if the reply cannot be sent again.
	lost bool
	// queries counts the recoveries that wait for the reply.
	queries int
	// disconnected is set if the attempt only goes on for the sake of a recovery.
	disconnected bool
}

// begin registers an attempt of another node. The returned context is that of the attempt. It
// outlives the connection for a short time. A nil result means that the attempt must be
// refused.
func (o *Owner) begin(ctx context.Context, a *ownerAttempt) (context.Context, *recoverable) {
	connection := ctx
	ctx, cancel := context.WithDeadline(context.WithoutCancel(ctx), a.Deadline)
	r := &recoverable{
		key:    attempts.Key{Origin: a.Origin, Sequence: a.Sequence},
		cancel: cancel, limitBody: a.limitBody, memory: o.keptReplies, done: make(chan struct{}),
	}
	if !o.attempts.Begin(o.opt.Now(), r.key, r, a.awaitBody != nil) {
		cancel()
		return nil, nil
	}
	a.dispatched = func() bool { return o.attempts.Dispatch(r.key) }
	r.unwatch = context.AfterFunc(connection, func() { r.streamEnded(peer.ConnectionClosed(connection)) })
	return ctx, r
}

// end ends the attempt. complete states that the whole reply was written.
func (o *Owner) end(r *recoverable, complete bool) {
	r.mu.Lock()
	r.ended = true
	if !complete {
		r.forget()
	}
	r.mu.Unlock()
	close(r.done)
	r.unwatch()
	r.cancel()
	o.attempts.End(o.opt.Now(), r.key)
}

// streamEnded is called when the stream of the attempt has ended. If the ingress node has
// canceled it, the attempt ends. If its connection was lost, it goes on for a short time.
func (r *recoverable) streamEnded(connectionClosed <-chan struct{}) {
	select {
	case <-r.done:
		return
	case <-connectionClosed:
		r.waitForQuery(connectionLossGrace)
	case <-time.After(streamEndDelay):
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.disconnected = true
	if r.queries == 0 {
		r.cancel()
	}
}

// waitForQuery waits until the attempt has ended, or for at most d.
func (r *recoverable) waitForQuery(d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-r.done:
	case <-timer.C:
	}
}

// forget frees the memory of the reply, which cannot be sent again then. The caller holds
// the lock.
func (r *recoverable) forget() {
	r.lost = true
	r.memory.give(r.kept)
	r.header, r.body, r.kept = nil, nil, 0
}

// reserve reserves memory for n more bytes of the reply. If there is none, it forgets the
// reply and returns false. The caller holds the lock.
func (r *recoverable) reserve(n int64) bool {
	if r.lost {
		return false
	}
	if r.kept+n > maxKeptReplyBytes || !r.memory.take(n) {
		r.forget()
		return false
	}
	r.kept += n
	return true
}

// release frees the memory of the reply when the attempt is no longer recorded.
func (r *recoverable) release() {
	if r == nil {
		return // The attempt was withdrawn before it arrived.
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.forget()
}

// keepHeader records the status of the reply and keeps its header.
func (r *recoverable) keepHeader(status int, h http.Header) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.status = status
	if r.reserve(headerBytes(h)) {
		r.header = maps.Clone(h)
	}
}

// keep adds bytes to the reply that is kept. It reports false if the reply can no longer be
// sent again.
func (r *recoverable) keep(p []byte) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.reserve(int64(len(p))) {
		return false
	}
	r.body = append(r.body, p...)
	return true
}

// headerBytes returns the memory that a header takes, approximately.
func headerBytes(h http.Header) (n int64) {
	for name, values := range h {
		n += int64(len(name))
		for _, v := range values {
			n += int64(len(v)) + headerValueBytes
		}
	}
	return n
}

// replyRecorder keeps a copy of the reply that is written to the connection of the attempt.
type replyRecorder struct {
	http.ResponseWriter
	attempt *recoverable
	// failed is set when the connection takes no more data. The rest of the reply is then
	// only kept.
	failed atomic.Bool
}

// Unwrap returns the writer of the connection, for http.ResponseController.
func (w *replyRecorder) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// FlushError implements the flushing of http.ResponseController.
func (w *replyRecorder) FlushError() error {
	if w.failed.Load() {
		return nil
	}
	return http.NewResponseController(w.ResponseWriter).Flush()
}

// WriteHeader implements http.ResponseWriter.
func (w *replyRecorder) WriteHeader(status int) {
	w.attempt.keepHeader(status, w.Header())
	w.ResponseWriter.WriteHeader(status)
}

// Write implements io.Writer.
func (w *replyRecorder) Write(p []byte) (int, error) {
	kept := w.attempt.keep(p)
	if w.failed.Load() {
		if !kept {
			return 0, http.ErrAbortHandler
		}
		return len(p), nil
	}
	n, err := w.ResponseWriter.Write(p)
	if err != nil && kept {
		w.failed.Store(true)
		return len(p), nil
	}
	return n, err
}

// serveRecovery replies to an ingress node that asks for an attempt whose connection failed.
func (o *Owner) serveRecovery(w http.ResponseWriter, r *http.Request) {
	q, err := header.ReadRecovery(r.Header)
	if err != nil {
		o.writeReply(w, q.RequestID, unknown(reasonInvalidHop))
		return
	}
	deadline := o.opt.Now().Add(q.TimeLeft)
	ctx, cancel := context.WithDeadline(r.Context(), deadline)
	defer cancel()
	_ = http.NewResponseController(w).SetWriteDeadline(deadline.Add(ownerGrace))
	if !o.ownsIncarnation(q.Incarnation) {
		// The attempt may have run at another process of this node.
		o.writeReply(w, q.RequestID, unknown(reasonIncarnation))
		return
	}
	status, attempt := o.attempts.Resolve(o.opt.Now(), attempts.Key{Origin: q.Origin, Sequence: q.Sequence})
	recoveries.Add(status.String(), 1)
	switch status {
	case attempts.Withdrawn:
		if attempt != nil {
			attempt.cancel()
		}
		o.writeReply(w, q.RequestID, notRun(reasonWithdrawn, nil))
	case attempts.Forgotten:
		o.writeReply(w, q.RequestID, unknown(reasonForgotten))
	default:
		o.replyAgain(ctx, w, q.RequestID, attempt)
	}
}

// replyAgain waits for the reply to an attempt and writes it.
func (o *Owner) replyAgain(ctx context.Context, w http.ResponseWriter, id string, r *recoverable) {
	r.mu.Lock()
	r.queries++
	if r.limitBody != nil && !r.ended {
		r.limitBody()
	}
	r.mu.Unlock()
	select {
	case <-r.done:
	case <-ctx.Done():
		r.queryAbandoned()
		return
	}
	r.mu.Lock()
	status, h, body, lost := r.status, r.header, r.body, r.lost
	r.queries--
	r.mu.Unlock()
	if lost || status == 0 || h.Get(header.RequestID) != id || h.Get("Trailer") != "" {
		o.writeReply(w, id, unknown(reasonNotKept))
		return
	}
	maps.Copy(w.Header(), h)
	w.WriteHeader(status)
	_, _ = w.Write(body) // A failure ends the stream, which the ingress node notices.
}

// queryAbandoned is called when the ingress node no longer waits for the reply to a recovery. If
// no reply has begun, the caller has left, and the attempt ends. Otherwise the reply may have
// arrived on the connection of the attempt after all, and goes on there.
func (r *recoverable) queryAbandoned() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.queries--
	if r.queries == 0 && (r.status == 0 || r.disconnected) {
		r.cancel()
	}
}

// recoveries counts the recoveries by what the owner knew about the attempt.
var recoveries = expvar.NewMap("attempt_recoveries")

// recoveryRequest asks the owner what became of the attempt.
func (t *ingressAttempt) recoveryRequest(hop header.Hop, addr string) *http.Request {
	q := header.Recovery{
		RequestID: hop.RequestID, Origin: hop.Origin, Sequence: hop.Sequence, Incarnation: hop.Incarnation,
		TimeLeft: max(t.begin.Add(hop.TimeLeft).Sub(t.call.in.opt.Now()), 0),
	}
	t.recovering.Store(true)
	r, err := http.NewRequest(http.MethodGet, "http://"+addr+"/", nil)
	if err != nil {
		return nil
	}
	r.Header["User-Agent"] = []string{""}
	q.Write(r.Header)
	return r
}
