// Package durable decides when a node may acknowledge a departure. The rule is that of write-ahead
// logging: an acknowledgment is given only after the platform has stored what it promises.
//
// The package reads no clock, starts no goroutine and calls no platform: times and results of
// calls are passed in, and the next call is returned.
package durable
