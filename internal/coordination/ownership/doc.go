// Package ownership decides which backend servers a node owns. Each announcement
// of a backend server grants or renews a lease; the owner checks the lease before
// each dispatch. The package reads no clock: every call carries the time.
package ownership
