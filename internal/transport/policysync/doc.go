// Package policysync runs a distribution.Core on one goroutine, and sends its calls,
// notifications and requests to peers and to the platform.
package policysync
