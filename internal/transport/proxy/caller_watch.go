package proxy

import (
	"context"
	"net"
	"time"
)

// callerCheckInterval is how often the connection of a caller is checked while its body
// is not read.
const callerCheckInterval = 100 * time.Millisecond

type connectionKey struct{}

// WithCallerConnection stores the connection of a caller in its context. It is meant for
// http.Server.ConnContext of the server that an Ingress handles. Without it, a caller that
// leaves is noticed only once its body has been read.
func WithCallerConnection(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connectionKey{}, c)
}

// abandoned reports whether the caller has left.
func (c *call) abandoned() bool { return c.request.Context().Err() != nil || c.left.Load() }

// watchCaller calls leave when the caller closes its connection. It is needed as long as
// the body is streamed and has not been read to its end: net/http notices the end of an
// HTTP/1 connection only by reading it. The returned function ends the watch.
func (c *call) watchCaller(leave func()) (stop func()) {
	conn, ok := c.request.Context().Value(connectionKey{}).(net.Conn)
	if !ok || c.request.ProtoMajor != 1 || !c.body.unread() {
		return func() {}
	}
	done := make(chan struct{})
	go func() {
		ticker := time.NewTicker(callerCheckInterval)
		defer ticker.Stop()
		for c.body.unread() {
			select {
			case <-done:
				return
			case <-ticker.C:
			}
			if closedByPeer(conn) {
				c.left.Store(true)
				leave()
				return
			}
		}
	}()
	return func() { close(done) }
}
