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

// ChangeKind is the kind of a Change.
type ChangeKind uint8

// Kinds of changes.
const (
	// Stored means that the full record is new, or has new content or a new version.
	Stored ChangeKind = iota
	// StatusChanged means that only the member status changed.
	StatusChanged
	// Removed means that the record was deleted.
	Removed
)

// Change is one change of the directory, to be applied in order.
type Change struct {
	Kind ChangeKind
	Node registry.Node
}

// EventKind is the kind of an Event.
type EventKind uint8

// Kinds of events.
const (
	EventJoined EventKind = iota
	EventSuspected
	EventDead
	EventLeaving
	// EventRevived means that a suspect, leaving or dead member is alive again.
	EventRevived
	// EventRefuted means that the local node raised its incarnation.
	EventRefuted
	// EventPaused means that the local process did not run for longer than pauseGap.
	EventPaused
	// EventSuperseded means that a newer process has the id of the local node. The
	// core sends nothing from then on.
	EventSuperseded
	// EventFilled means that the starting node has filled its directory, or that it
	// starts with an empty one because no seed could be reached.
	EventFilled
)

// Event is a decision of the core about a member.
type Event struct {
	Kind        EventKind
	Node        registry.NodeID
	Incarnation uint64
	Reason      string
}

// Sync asks the transport to run a directory sync with a peer and to report the
// result with Core.SyncDone.
type Sync struct {
	// Peer has no id if it is a seed whose id is not known yet.
	Peer Peer
	// Fill requests all records of the peer, for a starting node.
	Fill bool
}

// PeerPolicyNotice is a policy notice together with its sender.
type PeerPolicyNotice struct {
	Peer   Peer
	Notice PolicyNotice
}

// Ready is the output of the core since the previous call of Core.Ready.
type Ready struct {
	Datagrams     []Datagram
	Changes       []Change
	Events        []Event
	Syncs         []Sync
	PolicyNotices []PeerPolicyNotice
	// PolicyDigests lists the policy digests received in pings and acks.
	PolicyDigests []PolicyDigest
	// UnansweredProbes counts probes that got no ack within Options.AckTimeout.
	UnansweredProbes int
}

// Stats holds the counters of a core.
type Stats struct {
	// DroppedDatagrams counts datagrams that exceeded the send budget.
	DroppedDatagrams int64
	// StaleIncarnations counts messages with an incarnation lower than the known
	// one, which come from processes that have been replaced.
	StaleIncarnations int64
	Pauses            int64
	Refutations       int64
	// RecordsSent counts full records sent by datagram.
	RecordsSent int64
}
