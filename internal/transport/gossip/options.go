package gossip

import (
	"net"
	"net/http"
	"time"

	"go.uber.org/zap"

	"wigeonspring.example/wigeonspring/internal/coordination/membership"
	"wigeonspring.example/wigeonspring/internal/state/event"
	"wigeonspring.example/wigeonspring/internal/state/platform"
	"wigeonspring.example/wigeonspring/internal/state/registry"
)

// Directory is the index of the records that the transport keeps up to date. It
// is called from the loop goroutine only.
type Directory interface {
	// Apply stores a record if it is newer than the one held.
	Apply(registry.Node) bool
	// SetStatus changes the member status at the given incarnation.
	SetStatus(id registry.NodeID, incarnation uint64, status registry.MemberStatus) bool
	// Remove forgets a record.
	Remove(id registry.NodeID)
}

// Options configures a Transport.
type Options struct {
	// Self is the first record of the local node. PeerAddr is the address that
	// other nodes use; the default is the address of the socket. Incarnation
	// defaults to the start time in milliseconds.
	Self registry.Node
	// Seeds are peer addresses contacted at start and probed now and then.
	Seeds []string
	// Listen is the UDP address to listen on; the default is Self.PeerAddr.
	Listen string
	// Conn replaces the socket, for tests.
	Conn net.PacketConn
	// Directory receives every change. It is required.
	Directory Directory
	// Membership holds timing and limits of the core; Self, Seeds and Rand are
	// filled in by the transport.
	Membership membership.Options

	// PolicyDigest returns the digest of the policy table, 0 if unknown. It must
	// be safe for concurrent use, as must the hooks below, and none may block.
	PolicyDigest func() uint64
	// OnPolicyNotice is called for every policy notice received.
	OnPolicyNotice func(peer membership.Peer, have membership.PolicyNotice)
	// OnPolicyDigest is called with the policy digest of every probe and answer that a peer sends.
	// A digest that equals the own one is told too: it shows that nothing is missing.
	OnPolicyDigest func(peer membership.Peer, digest uint64)
	// OnUnansweredProbes is called with the number of probes that were not answered in time.
	OnUnansweredProbes func(probes int)
	// OnSuperseded is called when a newer process has taken over the node's id.
	OnSuperseded func()

	// HTTPClient is used for twirp calls.
	HTTPClient *http.Client
	// SyncTimeout bounds one directory sync.
	SyncTimeout time.Duration
	// LeaveDelay is how long Leave waits for the announcement to spread.
	LeaveDelay time.Duration
	// RingSize is the capacity of each ring.
	RingSize int

	Events event.Sink
	Logger *zap.Logger
}

// Defaults of Options.
const (
	DefaultSyncTimeout = 5 * time.Second
	DefaultLeaveDelay  = 500 * time.Millisecond
	DefaultRingSize    = 1024
)

func (o *Options) setDefaults() {
	if o.Listen == "" {
		o.Listen = o.Self.PeerAddr
	}
	if o.Self.Incarnation == 0 {
		o.Self.Incarnation = uint64(time.Now().UnixMilli())
	}
	if o.PolicyDigest == nil {
		o.PolicyDigest = func() uint64 { return 0 }
	}
	if o.OnPolicyNotice == nil {
		o.OnPolicyNotice = func(membership.Peer, membership.PolicyNotice) {}
	}
	if o.OnPolicyDigest == nil {
		o.OnPolicyDigest = func(membership.Peer, uint64) {}
	}
	if o.OnUnansweredProbes == nil {
		o.OnUnansweredProbes = func(int) {}
	}
	if o.OnSuperseded == nil {
		o.OnSuperseded = func() {}
	}
	if o.HTTPClient == nil {
		o.HTTPClient = &http.Client{Transport: &http.Transport{
			MaxIdleConnsPerHost: 1, IdleConnTimeout: platform.IdleConnTimeout,
		}}
	}
	if o.SyncTimeout == 0 {
		o.SyncTimeout = DefaultSyncTimeout
	}
	if o.LeaveDelay == 0 {
		o.LeaveDelay = DefaultLeaveDelay
	}
	if o.RingSize == 0 {
		o.RingSize = DefaultRingSize
	}
	if o.Events == nil {
		o.Events = event.Discard{}
	}
	if o.Logger == nil {
		o.Logger = zap.NewNop()
	}
}
