// Package e2e checks the fleet as separate processes under faults: processes
// are killed, frozen and cut off, the platform fails, operators race. What
// callers saw is compared with what backend servers ran.
package e2e
