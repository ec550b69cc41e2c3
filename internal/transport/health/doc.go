// Package health runs the ejection core of the daemon on one goroutine. The request path
// passes observations through a bounded ring and never blocks. If the ring is full, the
// observation is dropped and counted.
package health
