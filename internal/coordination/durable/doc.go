// Package durable decides when a node may acknowledge a departure, and how far a new process of
// the node may rely on what the platform has stored for it.
//
// The rule is that of write-ahead logging: an acknowledgment is given only after the platform has
// stored what it promises. Unlike a log, the platform may later return to an older copy of its data.
// Each return starts a new generation of the data, and each stored object states the generation
// in which it was complete. A process that reads an object of an earlier generation cannot tell
// what was lost. It then trusts no announcement that may have been sent before its own start,
// until all of these have arrived.
//
// The package reads no clock, starts no goroutine and calls no platform: times, results of calls
// and randomness are passed in, and the next call is returned.
package durable
