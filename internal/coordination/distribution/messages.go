package distribution

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"wigeonspring.example/wigeonspring/internal/state/event"
	"wigeonspring.example/wigeonspring/internal/state/platform"
	"wigeonspring.example/wigeonspring/internal/state/policy"
	"wigeonspring.example/wigeonspring/internal/state/registry"
)

// Buckets is the number of parts of a table that a sync compares.
const Buckets = 64

// maxPullBytes bounds the texts in one answer to a Pull.
const maxPullBytes = 1 << 20

// Member is a member that is alive in the view of this node.
type Member struct {
	ID            registry.NodeID
	FailureDomain string
}

// Version identifies one version of the policy of a service.
type Version struct {
	Service string
	Epoch   uint64
	Hash    uint64
}

// Pull asks a peer for the policies of some services.
type Pull struct{ Services []string }

// PullReply is the answer to a Pull.
type PullReply struct {
	Policies []policy.VersionedDocument
	// More says that policies were left out to bound the answer.
	More bool
}

// Sync asks a peer for what differs between the tables.
type Sync struct {
	// Digests are the digests of the parts of the table.
	Digests [Buckets]uint64
}

// SyncReply is the answer to a Sync.
type SyncReply struct {
	// Differs marks the parts with another digest.
	Differs [Buckets]bool
	// Versions lists the policies in force in these parts.
	Versions []Version
	// Confirmed says that the answering node knows that it is not behind. Only
	// such a node is evidence for a starting node: two starting nodes with empty
	// tables agree with each other.
	Confirmed bool
}

// TakeOver asks a peer to watch the platform for a while in place of the sender, which
// gets no answers from it.
type TakeOver struct {
	// Revision is that of the last answer that the sender got, or 0.
	Revision uint64
}

// Call is a request to a peer. One of Pull, Sync and TakeOver is set.
type Call struct {
	ID       uint64
	To       registry.NodeID
	Pull     *Pull
	Sync     *Sync
	TakeOver *TakeOver
}

// Reply is the answer to a Call, or the error instead of it. The answer to a TakeOver
// says nothing.
type Reply struct {
	ID   uint64
	Err  error
	Pull *PullReply
	Sync *SyncReply
}

// Notification is a datagram that tells a peer which version this node has in force.
type Notification struct {
	To      registry.NodeID
	Version Version
	// Text is the document, if it is small enough to go with the notice.
	Text []byte
}

// ReceivedNotification is a Notification that came from a peer.
type ReceivedNotification struct {
	From    registry.NodeID
	Version Version
	// Text is the document, or empty.
	Text []byte
}

// PeerDigest is the digest of a peer's table, from a probe or its answer.
type PeerDigest struct {
	From   registry.NodeID
	Digest uint64
}

// PlatformRequest asks the platform for the policies. Every request is answered with
// a PlatformReply, also one that is overdue when the next one is made.
type PlatformRequest struct {
	ID uint64
	// Watch selects a watch from revision Since for at most Wait; it is a listing
	// otherwise.
	Watch bool
	Since uint64
	Wait  time.Duration
}

// PlatformReply is the platform's answer to a request, or the error instead of it.
type PlatformReply struct {
	ID       uint64
	Objects  []platform.Object
	Revision uint64
	Err      error
}

// Input is what happened since the last step.
type Input struct {
	Now time.Time
	// Members are the members alive, this node included; nil means no change.
	Members       []Member
	Notifications []ReceivedNotification
	Digests       []PeerDigest
	Replies       []Reply
	PlatformReply *PlatformReply
	// FailedProbes counts probes of members that were not answered in time.
	FailedProbes int
	// TakeOvers are the requests of peers to watch the platform for them.
	TakeOvers []TakeOver
}

// Output is what the step decided.
type Output struct {
	Notifications []Notification
	Calls         []Call
	// PlatformRequest is a new request to the platform.
	PlatformRequest *PlatformRequest
	// CancelPlatformRequests says that the answers to earlier requests are not needed.
	CancelPlatformRequests bool
	// InForce are the policies that the step put in force.
	InForce []*policy.InForce
	Events  []event.Event
	Status  Status
	// Wake is the time of the next step if nothing happens before.
	Wake time.Time
}

// Status describes the node's knowledge of the policies.
type Status struct {
	// Ready says that the node may serve.
	Ready bool
	// Confirmed says that the node knows that it is not behind. A ready node that
	// is not confirmed serves the highest epochs that it reached.
	Confirmed bool
	// Watcher says that the node watches the platform for its failure domain.
	Watcher bool
	// LastPlatformReply is when the platform last answered this node.
	LastPlatformReply time.Time
}

// Watchers returns the members that watch the platform for a failure domain:
// the first two by rendezvous hash of the domain and the member.
func Watchers(members []Member, domain string) []registry.NodeID {
	type scored struct {
		id    registry.NodeID
		score uint64
	}
	var list []scored
	for _, m := range members {
		if m.FailureDomain == domain {
			list = append(list, scored{m.ID, xxhash.Sum64String(domain + "\x00" + string(m.ID))})
		}
	}
	slices.SortFunc(list, func(a, b scored) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.id, b.id))
	})
	var ids []registry.NodeID
	for _, s := range list[:min(len(list), 2)] {
		ids = append(ids, s.id)
	}
	return ids
}

func bucket(service string) int { return int(xxhash.Sum64String(service) % Buckets) }

func digests(table *policy.Table) (d [Buckets]uint64) {
	for _, p := range table.All() {
		d[bucket(p.Service)] += policy.EntryDigest(p.Service, p.Epoch, p.Hash)
	}
	return d
}

// ServeSync answers a peer's Sync. It is safe for concurrent use.
func (c *Core) ServeSync(s Sync) SyncReply {
	// The flag is read before the table: a node that is confirmed stays so, and
	// its table only rises.
	r := SyncReply{Confirmed: c.confirmed.Load()}
	for i, d := range digests(c.table) {
		r.Differs[i] = d != s.Digests[i]
	}
	for _, p := range c.table.All() {
		if r.Differs[bucket(p.Service)] {
			r.Versions = append(r.Versions, Version{p.Service, p.Epoch, p.Hash})
		}
	}
	return r
}

// ServePull answers a peer's Pull. It is safe for concurrent use.
func (c *Core) ServePull(p Pull) PullReply {
	var r PullReply
	size := 0
	for _, service := range p.Services {
		in := c.table.Get(service)
		if in == nil {
			continue
		}
		size += len(in.Text)
		if size > maxPullBytes && len(r.Policies) > 0 {
			r.More = true
			break
		}
		r.Policies = append(r.Policies, policy.VersionedDocument{Service: in.Service, Epoch: in.Epoch, Text: in.Text})
	}
	return r
}
