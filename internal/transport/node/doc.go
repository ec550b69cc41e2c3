// Package node assembles a daemon from its parts: it binds the listeners, joins
// the decision cores to their transports, and runs one goroutine for each duty.
package node
