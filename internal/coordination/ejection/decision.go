package ejection

import (
	"wigeonspring.example/wigeonspring/internal/state/event"
	"wigeonspring.example/wigeonspring/internal/state/registry"
)

// Action is the type of a decision.
type Action uint8

// Actions of a decision.
const (
	// RequestPermit asks the driver to request an ejection permit. The driver
	// reports the result with PermitGranted or PermitRefused.
	RequestPermit Action = iota
	// Eject removes the backend server from service.
	Eject
	// Degrade lowers the weight of the backend server. Reason says why it is not
	// ejected.
	Degrade
	// BeginProbation returns an ejected backend server to service with one slot.
	BeginProbation
	// Restore returns the backend server to normal service.
	Restore
	// ReleasePermit releases a permit that is no longer used.
	ReleasePermit
)

var actionNames = [...]string{"suspect", "eject", "degrade", "begin_probation", "restore", "release_permit"}

func (a Action) String() string { return actionNames[a] }

// Permit is an ejection permit of a service.
type Permit struct {
	ID string
	// Position is the position of the permit in the ledger, starting at 1. The
	// permit may be used only while the allowance of the service is at least the
	// position. Otherwise several owners could eject at once after a crash that
	// reduced the allowance to one.
	Position int
}

// Decision is an action for a backend server, with its reason and evidence.
type Decision struct {
	Action  Action
	Backend registry.BackendID
	Service registry.ServiceID
	// Weight is the weight of the backend server after the decision.
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
	// Floor is the capacity below which ejections must never reduce the service.
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

// Reasons of decisions in addition to those of the detectors.
const (
	ReasonFloor            = "floor"
	ReasonPermitUnanswered = "permit_unanswered"
	ReasonBackoffOver      = "backoff_over"
	ReasonBelowFloor       = "serving_below_floor"
	ReasonRecovered        = "recovered"
	ReasonRemoved          = "removed"
	ReasonPermitNotUsed    = "permit_not_used"
	ReasonProbationFailed  = "failed_in_probation"
	ReasonPermitRevoked    = "permit_revoked"
)
