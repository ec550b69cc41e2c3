// Package routing chooses the backend server of a request at the ingress node. The
// package reads no clock and has no randomness of its own: every call carries both.
package routing
