// Package e2e tests a fleet of separate processes under faults. Processes are
// killed, paused and cut off from the network, the platform fails, and operators
// make concurrent changes. The results that callers saw are compared with the work
// that backend servers ran.
package e2e
