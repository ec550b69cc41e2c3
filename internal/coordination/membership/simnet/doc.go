// Package simnet runs many membership cores in one process on virtual time,
// over a message fake with delay, loss, duplication, one-way cuts and pauses.
// Every run is determined by its seed.
package simnet
