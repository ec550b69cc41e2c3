package peer

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"
)

// Limits of the HTTP/2 server and client.
const (
	// MaxStreams bounds the requests in flight on one connection.
	MaxStreams = 250
	// StreamWindow bounds the bytes of one body that a node buffers in memory.
	StreamWindow = 256 << 10
	// connWindow is the sum of the windows of all streams, so that a body that is read
	// slowly does not block the others on the connection.
	connWindow = MaxStreams * StreamWindow
	// writeTimeout is the time without a written byte after which a connection that has
	// data to write is closed.
	writeTimeout = 5 * time.Second
	// readHeaderTimeout bounds the reading of the header of an HTTP/1 request.
	readHeaderTimeout = 5 * time.Second
)

// NewServer returns the server of the peer address. It speaks HTTP/2 without TLS
// with nodes and HTTP/1.1 with clients of RPCs.
func NewServer(h http.Handler) *http.Server {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	return &http.Server{
		Handler:           h,
		ConnContext:       withConnection,
		ConnState:         recordClosed,
		Protocols:         protocols,
		ReadHeaderTimeout: readHeaderTimeout,
		HTTP2: &http.HTTP2Config{
			MaxConcurrentStreams:          MaxStreams,
			MaxReceiveBufferPerStream:     StreamWindow,
			MaxReceiveBufferPerConnection: connWindow,
			WriteByteTimeout:              writeTimeout,
		},
	}
}

// closedConns holds, for each open connection of a server, the channel that is closed with it.
var closedConns sync.Map // net.Conn -> chan struct{}

type connectionKey struct{}

func withConnection(ctx context.Context, c net.Conn) context.Context {
	closed := make(chan struct{})
	closedConns.Store(c, closed)
	return context.WithValue(ctx, connectionKey{}, closed)
}

func recordClosed(c net.Conn, state http.ConnState) {
	if state != http.StateClosed {
		return
	}
	if closed, ok := closedConns.LoadAndDelete(c); ok {
		close(closed.(chan struct{}))
	}
}

// ConnectionClosed returns a channel that is closed when the connection of a request is
// closed, as opposed to the end of only its stream. ctx is the context of the request. The
// channel is nil if the request did not arrive at a server of this package.
func ConnectionClosed(ctx context.Context) <-chan struct{} {
	closed, _ := ctx.Value(connectionKey{}).(chan struct{})
	return closed
}
