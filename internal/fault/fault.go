// Package fault defines the error type of the project. An error names the step
// that failed and the peer it was talking to.
package fault

import (
	"errors"
	"fmt"
)

// Error is a failure of one step, possibly while talking to a peer.
type Error struct {
	// Step is the operation that failed, such as "dial owner".
	Step string
	// Peer is the address or identifier of the other side; empty if none.
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

// Newf builds an error from a format string.
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
