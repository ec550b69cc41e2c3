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
	// pipelinedCheckInterval is how often it is checked afterwards. net/http notices the end of
	// the connection itself, unless a byte of a further request has arrived before.
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
	var mu sync.Mutex // guards timer and stopped
	var timer *time.Timer
	stopped := false
	check := func() {
		if closedByPeer(conn) {
			c.left.Store(true)
			leave()
			return
		}
		mu.Lock()
		defer mu.Unlock()
		if !stopped {
			timer.Reset(c.checkInterval())
		}
	}
	mu.Lock()
	defer mu.Unlock()
	timer = time.AfterFunc(c.checkInterval(), check)
	return func() {
		mu.Lock()
		defer mu.Unlock()
		stopped = true
		timer.Stop()
	}
}

// checkInterval returns the time until the next check of the caller's connection.
func (c *call) checkInterval() time.Duration {
	if c.body.unread() {
		return callerCheckInterval
	}
	return pipelinedCheckInterval
}
