// Package node assembles the daemon from its components: it binds the listeners,
// connects the decision logic to its transports, and runs one goroutine for each
// background task.
package node
