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

// Buckets is the number of buckets into which a sync divides the policies of a table.
const Buckets = 64

// maxPullBytes bounds the documents in one PullReply, unless the first alone exceeds it.
const maxPullBytes = 1 << 20

// Member is a node that is alive in the view of this node.
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

// PullReply is the reply to a Pull.
type PullReply struct {
	Policies []policy.VersionedDocument
	// More is set if policies were omitted to limit the size of the reply.
	More bool
}

// Sync asks a peer for the differences between the two tables.
type Sync struct {
	// Digests holds the digest of each bucket of the table.
	Digests [Buckets]uint64
}

// SyncReply is the reply to a Sync.
type SyncReply struct {
	// Differs marks the buckets with different digests.
	Differs [Buckets]bool
	// Versions lists the policies in force in these buckets.
	Versions []Version
	// Confirmed is set if the replying node knows that its table is up to date. A
	// starting node relies only on such replies, because two starting nodes with empty
	// tables agree with each other.
	Confirmed bool
}

// TakeOver asks a peer to watch the platform temporarily in place of the sender, which
// gets no replies from the platform.
type TakeOver struct {
	// Revision is the platform revision of the last reply to the sender, or 0.
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

// Reply is the reply to a Call, or the error if there is none. The reply to a TakeOver
// has no content.
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
	// Text is the document, or empty if it is too large for a notification.
	Text []byte
}

// ReceivedNotification is a Notification that came from a peer.
type ReceivedNotification struct {
	From    registry.NodeID
	Version Version
	// Text is the document, or empty if the notification did not carry it.
	Text []byte
}

// PeerDigest is the digest of a peer's table, carried by a probe or its ack.
type PeerDigest struct {
	From   registry.NodeID
	Digest uint64
}

// PlatformRequest asks the platform for the policies. The caller of Step passes in a
// PlatformReply for every request, even if the next request was made in the meantime.
type PlatformRequest struct {
	ID uint64
	// Watch selects a watch from revision Since that waits for at most Wait. Otherwise
	// the request is a listing.
	Watch bool
	Since uint64
	Wait  time.Duration

	madeAt time.Time
}

// PlatformReply is the platform's reply to a request, or the error if there is none.
type PlatformReply struct {
	ID       uint64
	Objects  []platform.Object
	Revision uint64
	Err      error
}

// Input holds what happened since the last step.
type Input struct {
	Now time.Time
	// Members lists the live members, including this node; nil means no change.
	Members       []Member
	Notifications []ReceivedNotification
	Digests       []PeerDigest
	Replies       []Reply
	PlatformReply *PlatformReply
	// PlatformProgress is the ID of a request whose reply has begun to arrive, or 0.
	PlatformProgress uint64
	// FailedProbes is the number of membership probes without an ack in time.
	FailedProbes int
	// TakeOvers holds the requests of peers to watch the platform for them.
	TakeOvers []TakeOver
	// ReadPlatform requests a listing of the platform also if the node does not watch it.
	ReadPlatform bool
}

// Output holds the actions and state changes that result from a step.
type Output struct {
	Notifications []Notification
	Calls         []Call
	// PlatformRequest is a new request to the platform, or nil.
	PlatformRequest *PlatformRequest
	// CancelPlatformRequests is set if the replies to earlier requests are not needed.
	CancelPlatformRequests bool
	// InForce holds the policies that the step put in force.
	InForce []*policy.InForce
	// CurrentAsOf is the ID of a request to the platform, or 0: when that request was sent,
	// the platform had no newer fleet document than the one that is in force now.
	CurrentAsOf uint64
	Events      []event.Event
	Status      Status
	// Wake is the time at which Step must be called again if there is no input before.
	Wake time.Time
}

// Status describes whether the node has current policies and may serve.
type Status struct {
	// Ready is set if the node may serve requests.
	Ready bool
	// Confirmed is set if the node knows that its policies are up to date. A ready node
	// that is not confirmed serves the highest epochs that it received.
	Confirmed bool
	// Watcher is set if the node watches the platform for its failure domain.
	Watcher bool
	// LastPlatformReply is the time of the last reply of the platform to this node.
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
	// The flag must be read before the table. A confirmed node stays confirmed and its
	// epochs only rise, so that a table read later is at least as new as the flag states.
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
