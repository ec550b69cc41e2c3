// Package retry decides what follows an attempt: another attempt, the answer, or
// a report to the caller. Retries exist only at the ingress node. The package
// reads no clock: every call carries the time.
package retry
