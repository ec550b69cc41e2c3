package proxy

import (
	"context"
	"net"
	"sync"
	"time"
)

const (
	// callerCheckInterval is how often the connection of a caller is checked while its body
	// is not read.
	callerCheckInterval = 100 * time.Millisecond
	// pipelinedCheckInterval is how often it is checked while a further request waits on it.
	pipelinedCheckInterval = 500 * time.Millisecond
)

type connectionKey struct{}

// WithCallerConnection stores the connection of a caller in its context. It is meant for
// http.Server.ConnContext of the server that an Ingress handles. Without it, a caller that
// leaves is noticed only once its body has been read.
func WithCallerConnection(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connectionKey{}, c)
}

// abandoned reports whether the caller has left.
func (c *call) abandoned() bool { return c.request.Context().Err() != nil || c.left.Load() }

// watchCaller calls leave when the caller closes its connection. net/http notices the end of
// an HTTP/1 connection only by reading it, and does not read while the body is streamed or when
// a further request has arrived. The returned function ends the watch.
func (c *call) watchCaller(leave func()) (stop func()) {
	conn, ok := c.request.Context().Value(connectionKey{}).(net.Conn)
	if !ok || c.request.ProtoMajor != 1 {
		return func() {}
	}
	w := &callerWatch{call: c, conn: conn, leave: leave}
	if c.body.unread() {
		w.start()
	}
	pipelined, ok := conn.(*callerConn)
	if !ok {
		return w.stop
	}
	pipelined.notifyAhead(w.start)
	return func() {
		pipelined.notifyAhead(nil)
		w.stop()
	}
}

// callerWatch checks the connection of a caller from time to time.
type callerWatch struct {
	call  *call
	conn  net.Conn
	leave func()

	mu      sync.Mutex
	timer   *time.Timer
	stopped bool
}

// start starts the checks unless they have been started.
func (w *callerWatch) start() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.timer == nil && !w.stopped {
		w.timer = time.AfterFunc(w.interval(), w.check)
	}
}

func (w *callerWatch) check() {
	if closedByPeer(w.conn) {
		w.call.left.Store(true)
		w.leave()
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.stopped {
		w.timer.Reset(w.interval())
	}
}

func (w *callerWatch) interval() time.Duration {
	if w.call.body.unread() {
		return callerCheckInterval
	}
	return pipelinedCheckInterval
}

func (w *callerWatch) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
	if w.timer != nil {
		w.timer.Stop()
	}
}
