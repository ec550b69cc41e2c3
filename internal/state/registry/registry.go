// Package registry holds the records of nodes and backend servers that a node
// knows, and an index of the backend servers by service.
package registry

import "time"

// NodeID identifies a node across restarts.
type NodeID string

// BackendID identifies a backend server.
type BackendID string

// ServiceID identifies a service.
type ServiceID string

// MemberStatus is the liveness of a node as seen by the local node.
type MemberStatus uint8

// Member statuses. At the same incarnation, a later one in this list takes precedence.
const (
	Alive MemberStatus = iota
	Suspect
	Leaving
	Dead
)

// BackendState says whether a backend server may receive work.
type BackendState uint8

// States of a backend server, set by its owner.
const (
	Active BackendState = iota
	Probation
	Draining
	Ejected
)

// Backend is the part of the record of a backend server that every node knows.
type Backend struct {
	ID      BackendID
	Service ServiceID
	// Slots is the number of requests that the backend server runs concurrently.
	Slots int
	// Labels are matched by the selectors of routes.
	Labels map[string]string
	State  BackendState
	// Weight is the factor, 0 to 1, by which the backend server's share of the requests
	// is multiplied. A degraded backend server has a weight below 1.
	Weight float64
	// LeaseStartMillis is when the owner's lease of the backend server began, in Unix
	// milliseconds of the owner's wall clock. If two nodes list the same backend server,
	// it decides which of them is the owner; see Snapshot.Backend.
	LeaseStartMillis uint64
}

// Serving reports whether the backend server counts as healthy capacity.
func (b *Backend) Serving() bool { return b.State == Active || b.State == Probation }

// Node is the record that a node publishes about itself.
type Node struct {
	ID NodeID
	// Incarnation increases with every restart and every refuted suspicion.
	Incarnation uint64
	// Sequence increases with every change of the record within an incarnation.
	Sequence uint64
	// PeerAddr is the address (IP:port) for requests and RPCs between nodes over
	// TCP and for gossip over UDP.
	PeerAddr      string
	OperatorAddr  string
	FailureDomain string
	Region        string
	Status        MemberStatus
	Backends      []Backend
}

// Newer reports whether the record n supersedes b.
func (n *Node) Newer(b *Node) bool {
	if n.Incarnation != b.Incarnation {
		return n.Incarnation > b.Incarnation
	}
	if n.Sequence != b.Sequence {
		return n.Sequence > b.Sequence
	}
	return n.Status > b.Status
}

// Member is a backend server together with its owner.
type Member struct {
	Backend *Backend
	Owner   *Node
}

// LeaseDuration is the duration of the lease that an announcement gives the owner of a
// backend server. It counts from before the announcement was sent.
const LeaseDuration = 3 * time.Second
