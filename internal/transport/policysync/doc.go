// Package policysync runs the distribution of policies on one goroutine: it
// carries the messages of the distribution core to peers and to the platform.
package policysync
