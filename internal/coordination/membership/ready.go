package membership

import "wigeonspring.example/wigeonspring/internal/state/registry"

// Peer is a node and its address.
type Peer struct {
	ID   registry.NodeID
	Addr string
}

// PolicyDigest is the policy digest of a peer.
type PolicyDigest struct {
	Peer
	// Digest is the digest of the peer's policy table.
	Digest uint64
}

// Datagram is a message to send.
type Datagram struct {
	To      Peer
	Message *Message
}

// ChangeKind says what happened to a record.
type ChangeKind uint8

// Kinds of changes.
const (
	// Stored: the full record is new or has new content or a new version.
	Stored ChangeKind = iota
	// StatusChanged: only the member status changed.
	StatusChanged
	// Removed: the record was forgotten.
	Removed
)

// Change is one change of the directory, to be applied in order.
type Change struct {
	Kind ChangeKind
	Node registry.Node
}

// EventKind names a decision of the core.
type EventKind uint8

// Kinds of events.
const (
	EventJoined EventKind = iota
	EventSuspected
	EventDead
	EventLeaving
	// EventRevived: a suspect or dead member is alive again.
	EventRevived
	// EventRefuted: the local node raised its incarnation.
	EventRefuted
	// EventPaused: the local process did not run for a while.
	EventPaused
	// EventSuperseded: a newer process has the id of the local node; this core
	// sends nothing any more.
	EventSuperseded
	// EventFilled: the directory of the starting node is complete.
	EventFilled
)

// Event is one decision with its evidence.
type Event struct {
	Kind        EventKind
	Node        registry.NodeID
	Incarnation uint64
	Reason      string
}

// Sync asks the transport to run a directory sync with a peer and to report
// back by SyncDone. The id of a seed is not known beforehand.
type Sync struct {
	Peer Peer
	Fill bool
}

// PeerPolicyNotice is a policy notice together with its sender.
type PeerPolicyNotice struct {
	Peer   Peer
	Notice PolicyNotice
}

// Ready is the output of the core since the last call of Core.Ready.
type Ready struct {
	Datagrams     []Datagram
	Changes       []Change
	Events        []Event
	Syncs         []Sync
	PolicyNotices []PeerPolicyNotice
	// PolicyDigests lists the policy digests heard in probes and answers.
	PolicyDigests []PolicyDigest
	// UnansweredProbes counts probes that were not answered within the AckTimeout.
	UnansweredProbes int
}

// Stats counts what the core did.
type Stats struct {
	// Deferred counts datagrams that the send budget refused.
	Deferred int64
	// StaleIncarnations counts messages of processes that have been replaced.
	StaleIncarnations int64
	Pauses            int64
	Refutations       int64
	// RecordsSent counts full records sent by datagram.
	RecordsSent int64
}
