// Package routing chooses the backend server of a request at the ingress node. It
// reads no clock and has no source of randomness: the caller passes in the time and
// the random number generator.
package routing
