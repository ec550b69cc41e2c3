package peer

import (
	"net/http"
	"time"
)

// Limits of the HTTP/2 server and client.
const (
	// MaxStreams bounds the requests in flight on one connection.
	MaxStreams = 250
	// streamWindow bounds the bytes of one body that a node buffers in memory.
	streamWindow = 256 << 10
	// connWindow is the sum of the windows of all streams, so that a body that is read
	// slowly does not block the others on the connection.
	connWindow = MaxStreams * streamWindow
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
		Protocols:         protocols,
		ReadHeaderTimeout: readHeaderTimeout,
		HTTP2: &http.HTTP2Config{
			MaxConcurrentStreams:          MaxStreams,
			MaxReceiveBufferPerStream:     streamWindow,
			MaxReceiveBufferPerConnection: connWindow,
			WriteByteTimeout:              writeTimeout,
		},
	}
}
