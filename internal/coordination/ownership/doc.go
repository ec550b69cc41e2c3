// Package ownership decides which backend servers a node owns. Each announcement
// of a backend server grants or renews a lease, and the owner checks the lease before
// each dispatch. The package reads no clock: the caller passes in the time.
package ownership
