// Package simnet runs many membership cores in one process on virtual time. It
// simulates a network with delay, loss, duplication and one-way partitions, and
// pauses of processes. Every run is determined by its seed.
package simnet
