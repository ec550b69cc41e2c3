// Package event defines the structured record of a decision. It states what was
// decided, the node, service, backend server or request concerned, the reason and the
// evidence.
package event

import "time"

// Kind is the kind of a decision.
type Kind string

// Kinds of events.
const (
	BackendSuspected   Kind = "backend_suspected"
	BackendEjected     Kind = "backend_ejected"
	EjectionRefused    Kind = "ejection_refused"
	BackendDegraded    Kind = "backend_degraded"
	BackendProbation   Kind = "backend_probation"
	BackendRestored    Kind = "backend_restored"
	BackendAnnounced   Kind = "backend_announced"
	BackendDraining    Kind = "backend_draining"
	BackendLost        Kind = "backend_lost"
	NodeSuspected      Kind = "node_suspected"
	NodeDead           Kind = "node_dead"
	NodeJoined         Kind = "node_joined"
	NodeLeaving        Kind = "node_leaving"
	NodeRevived        Kind = "node_revived"
	NodeRefuted        Kind = "node_refuted"
	NodePaused         Kind = "node_paused"
	NodeSuperseded     Kind = "node_superseded"
	PolicyInForce      Kind = "policy_in_force"
	PolicyRefused      Kind = "policy_refused"
	RequestPlaced      Kind = "request_placed"
	RequestRetried     Kind = "request_retried"
	RequestHedged      Kind = "request_hedged"
	RequestRefused     Kind = "request_refused"
	RequestFailed      Kind = "request_failed"
	RequestSpilled     Kind = "request_spilled"
	ResponseEarly      Kind = "response_early"
	ResponseUnread     Kind = "response_unread"
	RetryBudgetSpent   Kind = "retry_budget_spent"
	PlatformDown       Kind = "platform_down"
	PlatformUp         Kind = "platform_up"
	PlatformCompacted  Kind = "platform_compacted"
	PlatformRestored   Kind = "platform_restored"
	KeysCurrent        Kind = "keys_current"
	KeysOutdated       Kind = "keys_outdated"
	TeamLimited        Kind = "team_limited"
	TeamWithinQuota    Kind = "team_within_quota"
	InvariantViolation Kind = "invariant_violation"
)

// Field is one value of the evidence.
type Field struct {
	Key   string `json:"key"`
	Value string `json:"value"`
}

// Event is the record of one decision.
type Event struct {
	Time      time.Time `json:"time"`
	Kind      Kind      `json:"kind"`
	Node      string    `json:"node,omitempty"`
	Service   string    `json:"service,omitempty"`
	Backend   string    `json:"backend,omitempty"`
	RequestID string    `json:"request_id,omitempty"`
	Reason    string    `json:"reason,omitempty"`
	Evidence  []Field   `json:"evidence,omitempty"`
}

// Sink receives events. Publish must not block.
type Sink interface{ Publish(Event) }

// Discard is a sink that drops every event.
type Discard struct{}

// Publish implements Sink.
func (Discard) Publish(Event) {}
