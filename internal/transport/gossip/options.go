package gossip

import (
	"math/rand/v2"
	"net"
	"net/http"
	"time"

	"go.uber.org/zap"

	"wigeonspring.example/wigeonspring/internal/coordination/membership"
	"wigeonspring.example/wigeonspring/internal/state/event"
	"wigeonspring.example/wigeonspring/internal/state/platform"
	"wigeonspring.example/wigeonspring/internal/state/registry"
)

// Directory is the index of records that the transport keeps up to date. Its methods
// are only called from the loop goroutine.
type Directory interface {
	// Apply stores a record if it is newer than the stored one.
	Apply(registry.Node) bool
	// SetStatus changes the member status at the given incarnation.
	SetStatus(id registry.NodeID, incarnation uint64, status registry.MemberStatus) bool
	// Remove deletes a record.
	Remove(id registry.NodeID)
}

// Options configures a Transport.
type Options struct {
	// Self is the first record of the local node. PeerAddr is the address that
	// other nodes use; the default is the address of the socket. Incarnation
	// defaults to the start time in milliseconds.
	Self registry.Node
	// Seeds are peer addresses that are contacted at start and probed periodically.
	Seeds []string
	// Listen is the UDP address to listen on; the default is Self.PeerAddr.
	Listen string
	// Conn replaces the socket, for tests.
	Conn net.PacketConn
	// Directory receives every change. It is required.
	Directory Directory
	// Membership holds the timing and the limits of the core. The transport sets Self
	// and Seeds, and Rand if it is nil.
	Membership membership.Options

	// PolicyDigest returns the digest of the policy table, or 0 if it is unknown. It
	// and the functions below must be safe for concurrent use and must not block.
	PolicyDigest func() uint64
	// OnPolicyNotice is called for every policy notice received.
	OnPolicyNotice func(peer membership.Peer, notice membership.PolicyNotice)
	// OnPolicyDigest is called with the policy digest of every ping and ack of a peer,
	// also if it equals the local one, which shows that no policy is missing.
	OnPolicyDigest func(peer membership.Peer, digest uint64)
	// OnDatagram is called with each datagram that begins with AppMarker. data is only valid
	// during the call.
	OnDatagram func(from string, data []byte)
	// OnUnansweredProbes is called with the number of probes that got no ack in time.
	OnUnansweredProbes func(probes int)
	// OnSuperseded is called when a newer process uses the ID of this node.
	OnSuperseded func()

	// PeerClient is used for twirp calls to peers.
	PeerClient *http.Client
	// SyncTimeout is the time limit of one directory sync.
	SyncTimeout time.Duration
	// LeaveDelay is how long Leave waits for the announcement to reach other nodes.
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
		o.Self.Incarnation = membership.NewIncarnation(time.Now(), rand.Uint64())
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
	if o.OnDatagram == nil {
		o.OnDatagram = func(string, []byte) {}
	}
	if o.OnUnansweredProbes == nil {
		o.OnUnansweredProbes = func(int) {}
	}
	if o.OnSuperseded == nil {
		o.OnSuperseded = func() {}
	}
	if o.PeerClient == nil {
		o.PeerClient = NewPeerClient()
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

const (
	// peerDialTimeout bounds the dial to a peer, whose VM may have lost power.
	peerDialTimeout = time.Second
	// peerResponseTimeout is the time in which the response to a call must begin. The
	// connection of a call that waits longer has probably fallen silent, and a starting node
	// makes one directory sync at a time. A large response may take longer to arrive.
	peerResponseTimeout = 1500 * time.Millisecond
)

// NewPeerClient returns a client for calls to other nodes.
func NewPeerClient() *http.Client {
	return &http.Client{Transport: &http.Transport{
		DialContext:         (&net.Dialer{Timeout: peerDialTimeout}).DialContext,
		MaxIdleConnsPerHost: 1, IdleConnTimeout: platform.IdleConnTimeout,
		ResponseHeaderTimeout: peerResponseTimeout,
	}}
}
