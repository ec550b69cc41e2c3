package ejection

import (
	"wigeonspring.example/wigeonspring/internal/state/event"
	"wigeonspring.example/wigeonspring/internal/state/registry"
)

// Action is the type of a decision.
type Action uint8

// Actions of a decision.
const (
	// RequestPermit asks for an ejection permit. The answer is reported by
	// PermitGranted or PermitRefused.
	RequestPermit Action = iota
	// Eject takes the backend server out of service.
	Eject
	// Degrade lowers the weight of the backend server; Reason says why it is not
	// ejected.
	Degrade
	// BeginProbation returns an ejected backend server with one slot.
	BeginProbation
	// Restore returns the backend server to normal service.
	Restore
	// ReleasePermit gives a permit back that is no longer used.
	ReleasePermit
)

var actionNames = [...]string{"suspect", "eject", "degrade", "begin_probation", "restore", "release_permit"}

func (a Action) String() string { return actionNames[a] }

// Permit is an ejection permit of a service.
type Permit struct {
	ID string
	// Position is the position of the permit in the ledger, starting at 1. The
	// permit may be used only while the allowance is at least that large, so
	// that a crash after the grant does not let several owners eject at once
	// what only one of them still may.
	Position int
}

// Decision is one step for a backend server.
type Decision struct {
	Action  Action
	Backend registry.BackendID
	Service registry.ServiceID
	// Weight is the share of work after the decision.
	Weight float64
	// Permit is set for Eject and ReleasePermit.
	Permit   Permit
	Reason   string
	Evidence []event.Field
}

// View is the owner's local view of the services.
type View map[registry.ServiceID]ServiceView

// ServiceView is the local view of one service.
type ServiceView struct {
	// Floor is the healthy capacity that ejections must never undercut.
	Floor int
	// Serving is the number of backend servers that are alive and neither
	// draining nor ejected.
	Serving int
	// Ejected is the number of backend servers that are alive and ejected.
	Ejected int
	// Capacity is the sum of the weights of the serving backend servers.
	Capacity float64
}

// State is the state of a backend server in the core.
type State uint8

// States of a backend server.
const (
	Healthy State = iota
	Suspected
	Ejected
	InProbation
	Degraded
)

var stateNames = [...]string{"healthy", "suspected", "ejected", "probation", "degraded"}

func (s State) String() string { return stateNames[s] }

// Reasons of decisions that the core adds to those of the detectors.
const (
	ReasonFloor         = "floor"
	ReasonNoAnswer      = "permit_unanswered"
	ReasonBackoffOver   = "backoff_over"
	ReasonBelowFloor    = "serving_below_floor"
	ReasonRecovered     = "recovered"
	ReasonRemoved       = "removed"
	ReasonNotUsed       = "permit_not_used"
	ReasonProbationFail = "failed_in_probation"
	ReasonRevoked       = "permit_revoked"
)
