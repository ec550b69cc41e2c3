// Package fault defines the error type of the project. An error names the
// operation that failed and the peer that it communicated with.
package fault

import (
	"errors"
	"fmt"
)

// Error is a failure of one operation, possibly while communicating with a peer.
type Error struct {
	// Step is the operation that failed, such as "connect to owner".
	Step string
	// Peer is the address or identifier of the peer; empty if there is none.
	Peer string
	// Err is the cause.
	Err error
}

// New wraps err with its step and peer. It returns nil if err is nil.
func New(step, peer string, err error) error {
	if err == nil {
		return nil
	}
	return &Error{Step: step, Peer: peer, Err: err}
}

// Newf returns an Error whose cause is built from a format string. An operand of
// the verb %w can be unwrapped.
func Newf(step, peer, format string, args ...any) error {
	return &Error{Step: step, Peer: peer, Err: fmt.Errorf(format, args...)}
}

func (e *Error) Error() string {
	if e.Peer == "" {
		return e.Step + ": " + e.Err.Error()
	}
	return e.Step + " (peer " + e.Peer + "): " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Step returns the step of the outermost Error in the chain, or "".
func Step(err error) string {
	var e *Error
	if errors.As(err, &e) {
		return e.Step
	}
	return ""
}
