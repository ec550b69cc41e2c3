package node

import (
	"context"
	"strconv"
	"time"

	"go.uber.org/zap"

	"wigeonspring.example/wigeonspring/internal/coordination/distribution"
	"wigeonspring.example/wigeonspring/internal/coordination/membership"
	"wigeonspring.example/wigeonspring/internal/fault"
	"wigeonspring.example/wigeonspring/internal/state/evidence"
	"wigeonspring.example/wigeonspring/internal/state/policy"
	"wigeonspring.example/wigeonspring/internal/state/registry"
	"wigeonspring.example/wigeonspring/internal/transport/gossip"
)

// publishDelay is how long changes of this node's record are collected before they are
// published, so that the announcements of a dozen backend servers at start cause few
// gossip updates.
const publishDelay = 100 * time.Millisecond

func (n *Node) assembleGossip() error {
	s := n.opts.Settings
	var err error
	n.gossip, err = gossip.New(gossip.Options{
		Self:      n.selfRecord(),
		Seeds:     s.Membership.Seeds,
		Listen:    n.listeners.peer.Addr().String(),
		Directory: n.directory,
		Membership: membership.Options{
			ProbeInterval:     time.Duration(s.Membership.ProbeInterval),
			SyncInterval:      time.Duration(s.Membership.SyncInterval),
			PreferLocalDomain: n.opts.Adapter != nil,
			BytesPerSecond:    s.Limits.ControlBytesPerSecond,
			BurstBytes:        s.Limits.ControlBurstBytes,
		},
		PolicyDigest:   n.policies.Digest,
		OnPolicyNotice: n.receivePolicyNotice,
		OnPolicyDigest: func(p membership.Peer, digest uint64) {
			n.sync.HandleDigest(distribution.PeerDigest{From: p.ID, Digest: digest})
		},
		OnDatagram:         n.quotas.Receive,
		OnUnansweredProbes: n.sync.ReportFailedProbes,
		PeerClient:         n.peerClient,
		Events:             n.bus,
		Logger:             n.log,
	})
	return err
}

// selfRecord returns the record that this node publishes.
func (n *Node) selfRecord() registry.Node {
	s := n.opts.Settings
	return registry.Node{
		ID:            n.ID(),
		Incarnation:   n.incarnation,
		PeerAddr:      n.peerAddr,
		OperatorAddr:  n.OperatorAddr(),
		FailureDomain: s.Node.FailureDomain,
		Region:        s.Node.Region,
		Backends:      n.records.backends(),
	}
}

// requestPublication requests the publication of this node's record.
func (n *Node) requestPublication() {
	select {
	case n.publishRequested <- struct{}{}:
	default:
	}
}

// publishRecords publishes this node's record after changes until ctx is done.
func (n *Node) publishRecords(ctx context.Context) error {
	for {
		select {
		case <-n.publishRequested:
		case <-ctx.Done():
			return nil
		}
		if !sleep(ctx, publishDelay) {
			return nil
		}
		if !n.gossip.UpdateSelf(n.selfRecord()) {
			n.requestPublication()
		}
	}
}

// watchLeases removes backend servers whose lease has lapsed, until ctx is done.
func (n *Node) watchLeases(ctx context.Context) error {
	ticker := time.NewTicker(leaseCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			n.endLapsedLeases()
		}
	}
}

func (n *Node) endLapsedLeases() {
	n.leaseMu.Lock()
	defer n.leaseMu.Unlock()
	for _, ended := range n.records.leases.Tick(time.Now()) {
		n.removeBackend(ended)
	}
}

// liveMembers returns the members that are alive, this node included.
func (n *Node) liveMembers() []distribution.Member {
	nodes := n.directory.Snapshot().Nodes()
	members := make([]distribution.Member, 0, len(nodes)+1)
	self := false
	for _, m := range nodes {
		if m.Status != registry.Alive && m.ID != n.ID() {
			continue
		}
		self = self || m.ID == n.ID()
		members = append(members, distribution.Member{ID: m.ID, FailureDomain: m.FailureDomain})
	}
	if !self {
		members = append(members, distribution.Member{ID: n.ID(), FailureDomain: n.opts.Settings.Node.FailureDomain})
	}
	return members
}

// peerAddress returns the peer address of a node.
func (n *Node) peerAddress(id registry.NodeID) (string, error) {
	m := n.directory.Snapshot().Node(id)
	if m == nil {
		return "", fault.Newf("find peer address", string(id), "node is unknown")
	}
	return m.PeerAddr, nil
}

func (n *Node) sendPolicyNotice(v distribution.Version, text []byte, to []registry.NodeID) {
	n.gossip.SendPolicyNotice(membership.PolicyNotice{
		Service: registry.ServiceID(v.Service),
		Epoch:   v.Epoch,
		Hash:    policy.FormatHash(v.Hash),
		Text:    compressNotice(text),
	}, to)
}

func (n *Node) receivePolicyNotice(p membership.Peer, notice membership.PolicyNotice) {
	hash, err := strconv.ParseUint(notice.Hash, 16, 64)
	if err != nil {
		n.log.Debug("malformed hash in a policy notice", zap.String("peer", string(p.ID)))
		return
	}
	text, err := decompressNotice(notice.Text)
	if err != nil {
		n.log.Warn("malformed document in a policy notice", zap.String("peer", string(p.ID)), zap.Error(err))
	}
	n.sync.HandleNotification(distribution.ReceivedNotification{From: p.ID, Text: text, Version: distribution.Version{
		Service: string(notice.Service),
		Epoch:   notice.Epoch,
		Hash:    hash,
	}})
}

func (n *Node) observe(o evidence.Observation) { n.health.Observe(o) }
