// Package permits manages the ejection permits of a node. One goroutine drives the
// floor.Holder. A fixed number of workers makes the calls to the platform and to peers, so
// that a slow call does not delay the Holder.
package permits
