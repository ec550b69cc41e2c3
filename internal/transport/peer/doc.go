// Package peer sends requests between nodes over HTTP/2 without TLS. It uses one
// connection per peer, on which the requests of all callers are multiplexed.
package peer
