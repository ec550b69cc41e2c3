// Package permits runs the permit holder of a node. One goroutine drives the
// core in coordination/floor; a fixed number of workers makes the calls to the
// platform and to peers, so that a slow call does not delay the core.
package permits
