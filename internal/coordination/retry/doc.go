// Package retry decides what the ingress node does after an attempt: start another
// attempt, forward the response, or report the outcome to the caller. Only the ingress
// node retries requests. The package reads no clock: the caller passes in the time.
package retry
