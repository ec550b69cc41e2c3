package registry

import "fmt"

var statusNames = [...]string{Alive: "alive", Suspect: "suspect", Leaving: "leaving", Dead: "dead"}

// String returns the name of the status.
func (s MemberStatus) String() string {
	if int(s) < len(statusNames) {
		return statusNames[s]
	}
	return fmt.Sprintf("status(%d)", uint8(s))
}

var stateNames = [...]string{Active: "active", Probation: "probation", Draining: "draining", Ejected: "ejected"}

// String returns the name of the state.
func (s BackendState) String() string {
	if int(s) < len(stateNames) {
		return stateNames[s]
	}
	return fmt.Sprintf("state(%d)", uint8(s))
}
